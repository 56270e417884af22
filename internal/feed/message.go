package feed

import (
	"fmt"
	"time"
)

// Version is the version of the messages. Both ends have to speak the same.
const Version = 1

// AgeUnknown is the age of knowledge that has never been complete.
const AgeUnknown time.Duration = 1<<63 - 1

// maxNameLength bounds a cluster's name and a node's ID.
const maxNameLength = 64

// Message is what nodes send each other: Hello, Refused, Ping, Heartbeat, Batch, PrefixSet, Snapshot, WindowReset or
// Goodbye.
type Message interface {
	messageType() messageType
}

// Hello opens a connection, from both ends: the child's first, then the parent's that accepts it. A child that lost the
// thread says Hello again on the same connection, and is served from its positions on.
type Hello struct {
	Version uint64
	Cluster string
	ID      string
	Role    Role
	// Kinds is a checksum of the kinds' names and sorts, see Config.Kinds.
	KindsChecksum uint32
	// Epoch is the highest that the sender has seen.
	Epoch uint64
	// Probe: the child wants the parent's Hello alone for now, no changes.
	Probe bool
	// Stamp is the child's time stamp, see Ping. A parent's Hello echoes it.
	Stamp Stamp
	// Age is how old the sender's own knowledge is.
	Age time.Duration
	// SinceReceived is how long ago a child last received anything from a parent, AgeUnknown if it never has: one that
	// received nothing for a second may be sent a full burst.
	SinceReceived time.Duration
	// Positions are the sender's by kind.
	Positions []Position
}

// Stamp is a child's time in milliseconds plus one on its own steady clock. Zero stands for none.
type Stamp uint64

// RefusalReason says why a connection is refused.
type RefusalReason uint8

// The reasons of a refusal.
const (
	RefusedVersion RefusalReason = iota + 1
	RefusedCluster
	RefusedKinds
	RefusedRole
	RefusedFull
	RefusedEpoch
)

// String returns the reason in words.
func (r RefusalReason) String() string {
	switch r {
	case RefusedVersion:
		return "another version of the messages"
	case RefusedCluster:
		return "another cluster"
	case RefusedKinds:
		return "other kinds of changes"
	case RefusedRole:
		return "this role serves no such child"
	case RefusedFull:
		return "no room for another child"
	case RefusedEpoch:
		return "a lower epoch than the highest seen"
	}
	return fmt.Sprintf("reason %d", uint8(r))
}

// Refused ends a connection that its sender doesn't want.
type Refused struct {
	Reason RefusalReason
}

// Ping is a child's sign of life. Its parent answers with a Heartbeat.
type Ping struct {
	Stamp Stamp
}

// Heartbeat answers a Ping.
type Heartbeat struct {
	// Epoch is the highest that the parent has seen.
	Epoch uint64
	// Echo is the latest stamp that the parent had of this child.
	Echo Stamp
	// Age is how old the child's knowledge is with all that was sent to it.
	Age time.Duration
	// SourceAge is how old the parent's own knowledge is.
	SourceAge time.Duration
	// Positions are those that the child has come to with all that was sent to it.
	Positions []Position
}

// Batch brings changes of one kind without a gap: the first one's sequence follows that of From.
type Batch struct {
	Kind Kind
	From Position
	// Epoch is that of all changes in the batch.
	Epoch uint64
	Echo  Stamp
	// Age is how old the child's knowledge is once this message is applied.
	Age     time.Duration
	Changes []Change
}

// PrefixSet brings the changes of one kind between two positions as the set of their keys' prefixes.
type PrefixSet struct {
	Kind       Kind
	From, To   Position
	Echo       Stamp
	Age        time.Duration
	PrefixBits int
	// Prefixes are distinct and rise.
	Prefixes []uint64
}

// Snapshot brings a part of the latest state of a kind: the latest changes of their keys between From and At, in the order
// of their positions. Changes that were superseded are left out.
type Snapshot struct {
	Kind     Kind
	From, At Position
	Echo     Stamp
	Age      time.Duration
	Entries  []Change
	// Last: At is the end of the snapshot.
	Last bool
	// WholeAt is the position from which on the child has all that it has passed: what superseded the changes left out is
	// at WholeAt at the latest.
	CompleteAt Position
}

// WindowReset tells a child that the changes between two positions are not to be had anymore.
type WindowReset struct {
	Kind     Kind
	From, To Position
	Echo     Stamp
	Age      time.Duration
}

// Goodbye ends a connection in good order.
type Goodbye struct{}

// messageType is a message's first byte on the wire.
type messageType uint8

const (
	typeHello messageType = iota + 1
	typeRefused
	typePing
	typeHeartbeat
	typeBatch
	typePrefixSet
	typeSnapshot
	typeWindowReset
	typeGoodbye
)

func (Hello) messageType() messageType       { return typeHello }
func (Refused) messageType() messageType     { return typeRefused }
func (Ping) messageType() messageType        { return typePing }
func (Heartbeat) messageType() messageType   { return typeHeartbeat }
func (Batch) messageType() messageType       { return typeBatch }
func (PrefixSet) messageType() messageType   { return typePrefixSet }
func (Snapshot) messageType() messageType    { return typeSnapshot }
func (WindowReset) messageType() messageType { return typeWindowReset }
func (Goodbye) messageType() messageType     { return typeGoodbye }

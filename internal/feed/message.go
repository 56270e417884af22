package feed

import (
	"fmt"
	"time"
)

// Version is the protocol version. It must be equal at both ends of a connection.
const Version = 1

// AgeUnknown is the age of data that has never been complete.
const AgeUnknown time.Duration = 1<<63 - 1

// maxNameLength bounds the cluster name and the node ID, in bytes.
const maxNameLength = 64

// Message is a message between nodes: Hello, Refused, Ping, Heartbeat, Batch, PrefixSet, Snapshot, WindowReset or Goodbye.
type Message interface {
	messageType() messageType
}

// Hello opens a connection. The child sends it first, and a parent that accepts the child answers with its own. A child that
// receives a message out of sequence sends another Hello on the same connection and is served from its positions on.
type Hello struct {
	Version uint64
	Cluster string
	ID      string
	Role    Role
	// KindsChecksum is a checksum over the names and types of Config.Kinds.
	KindsChecksum uint32
	// Epoch is the highest epoch the sender has seen.
	Epoch uint64
	// Probe: the child requests only the parent's Hello and no changes for now.
	Probe bool
	// Stamp is the child's timestamp, see Ping. The parent's Hello echoes it.
	Stamp Stamp
	// Age is the age of the sender's own data.
	Age time.Duration
	// SinceReceived is how long ago a child last received anything from any parent, or AgeUnknown if it never has. After one
	// second a child may again be sent a full burst.
	SinceReceived time.Duration
	// Positions holds the sender's position in each kind.
	Positions []Position
}

// Stamp is a timestamp of a child: milliseconds on its own monotonic clock, plus one. Zero means none.
type Stamp uint64

// RefusalReason is the reason for refusing a connection.
type RefusalReason uint8

// Reasons for refusing a connection.
const (
	RefusedVersion RefusalReason = iota + 1
	RefusedCluster
	RefusedKinds
	RefusedRole
	RefusedFull
	RefusedEpoch
)

// String returns a description of the reason.
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

// Refused closes a connection and states why its sender rejects the peer.
type Refused struct {
	Reason RefusalReason
}

// Ping is sent by a child at regular intervals. Its parent answers with a Heartbeat.
type Ping struct {
	Stamp Stamp
}

// Heartbeat is a parent's answer to a Ping.
type Heartbeat struct {
	// Epoch is the highest epoch the parent has seen.
	Epoch uint64
	// Echo is the latest timestamp received from this child.
	Echo Stamp
	// Age is how old the child's data is once it has applied all that was sent to it.
	Age time.Duration
	// SourceAge is the age of the parent's own data.
	SourceAge time.Duration
	// Positions holds the positions that the child reaches with all that was sent to it.
	Positions []Position
}

// Batch carries consecutive changes of one kind: the sequence of the first one follows that of From.
type Batch struct {
	Kind Kind
	From Position
	// Epoch is the epoch of all changes in the batch.
	Epoch uint64
	Echo  Stamp
	// Age is how old the child's data is once this message is applied.
	Age     time.Duration
	Changes []Change
}

// PrefixSet replaces the changes of one kind between two positions by the set of their keys' prefixes.
type PrefixSet struct {
	Kind       Kind
	From, To   Position
	Echo       Stamp
	Age        time.Duration
	PrefixBits int
	// Prefixes are distinct and in increasing order.
	Prefixes []uint64
}

// Snapshot carries a part of the latest state of a kind: the changes between From and At that are the latest of their keys,
// in the order of their positions. Superseded changes are left out.
type Snapshot struct {
	Kind     Kind
	From, At Position
	Echo     Stamp
	Age      time.Duration
	Entries  []Change
	// Last: At is the end of the snapshot.
	Last bool
	// CompleteAt is the position from which on the child misses nothing: the changes that supersede those left out are at
	// CompleteAt at the latest.
	CompleteAt Position
}

// WindowReset tells a child that the changes between two positions are no longer available.
type WindowReset struct {
	Kind     Kind
	From, To Position
	Echo     Stamp
	Age      time.Duration
}

// Goodbye announces an orderly end of a connection.
type Goodbye struct{}

// messageType is the first byte of a message on the wire.
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

package feed

import "time"

// PeerID identifies a connection. The driver assigns it and never reuses it.
type PeerID uint64

// Output lists what the driver must do for a node.
type Output struct {
	// Persist must be on disk before Send is sent. Publisher only.
	Persist []Change
	// Send lists messages in the order in which they must be sent.
	Send []Envelope
	// Dial is the address of the parent to connect to, if not empty. It replaces an attempt that is still in progress.
	Dial string
	// Close lists connections to close once the messages for them in Send are sent. The node has already removed them:
	// calling PeerLost is not necessary.
	Close []PeerID
	// Events must be handled in order.
	Events []Event
}

// Envelope is a message to a peer.
type Envelope struct {
	Peer    PeerID
	Message Message
	// Frame is the encoded message as it is sent on the wire.
	Frame []byte
}

// Event is a notification from a relay or subscriber: Applied, AppliedSet, AppliedSnapshot, Reset, Stale or Fresh.
type Event interface {
	event()
}

// Applied reports a change that directly follows the previous one.
type Applied struct {
	Change Change
}

// AppliedSet replaces the changes after From up to and including To: each key with one of the prefixes counts as changed.
type AppliedSet struct {
	Kind       Kind
	From, To   Position
	PrefixBits int
	Prefixes   []uint64
}

// AppliedSnapshot reports a part of the latest state of a kind, which moves the node from From to To. Changes in between
// that are missing have been superseded by one that is included or still to come.
type AppliedSnapshot struct {
	Kind     Kind
	From, To Position
	Changes  []Change
	Last     bool
}

// Reset reports that the changes after From up to and including To are no longer available: all keys count as changed. From
// is zero for a new node.
type Reset struct {
	Kind     Kind
	From, To Position
}

// Stale reports that the node's data has become older than Config.MaxAge.
type Stale struct {
	Age time.Duration
}

// Fresh reports that the node's data is complete and at most Config.MaxAge old.
type Fresh struct{}

func (Applied) event()         {}
func (AppliedSet) event()      {}
func (AppliedSnapshot) event() {}
func (Reset) event()           {}
func (Stale) event()           {}
func (Fresh) event()           {}

package feed

import "time"

// PeerID is a connection, named by the driver. It is not used again for another connection.
type PeerID uint64

// Output is what the driver has to do for a node.
type Output struct {
	// Keep has to be on disk before Send is sent. Publisher only.
	Persist []Change
	// Send is in the order of sending.
	Send []Envelope
	// Dial, if not empty, is the parent to connect to. It takes the place of an attempt that is still under way.
	Dial string
	// Close lists connections to close once what stands in Send for them is sent. The node has forgotten them: PeerLost
	// need not be called.
	Close []PeerID
	// Events are to be acted on in their order.
	Events []Event
}

// Envelope is a message to a peer.
type Envelope struct {
	Peer    PeerID
	Message Message
	// Frame is the encoded message, as it goes over the wire.
	Frame []byte
}

// Event is what a node tells its user: Applied, AppliedSet, AppliedSnapshot, Reset, Stale or Fresh. The publisher has none.
type Event interface {
	event()
}

// Applied is a change that follows the one before it.
type Applied struct {
	Change Change
}

// AppliedSet stands for the changes after From up to To: each key that begins with one of the prefixes counts as changed.
type AppliedSet struct {
	Kind       Kind
	From, To   Position
	PrefixBits int
	Prefixes   []uint64
}

// AppliedSnapshot is a part of the latest state of a kind: with its changes the node has come from From to To. Changes in
// between that are left out have been superseded by one that is here or still to come.
type AppliedSnapshot struct {
	Kind     Kind
	From, To Position
	Changes  []Change
	Last     bool
}

// Reset tells that the changes after From up to To are not to be had anymore: all keys count as changed. For a newcomer
// From is zero.
type Reset struct {
	Kind     Kind
	From, To Position
}

// Stale tells that the node's knowledge has become older than Config.MaxAge.
type Stale struct {
	Age time.Duration
}

// Fresh tells that the node's knowledge is complete and not older than Config.MaxAge.
type Fresh struct{}

func (Applied) event()         {}
func (AppliedSet) event()      {}
func (AppliedSnapshot) event() {}
func (Reset) event()           {}
func (Stale) event()           {}
func (Fresh) event()           {}

package feed

import "time"

// Node is one node of the feed.
type Node struct {
	config Config
}

// NewNode returns a node. A publisher is given the changes that it kept, see Retained, in the order in which it kept them.
func NewNode(config Config, saved []Change, now time.Duration) (*Node, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	return &Node{config: config.withDefaults()}, nil
}

// Tick tells the node the time on a steady clock that also counts while the process is stopped. It has to be called before
// each round of other calls, with a time read after the messages of the round were: else the age of knowledge could be
// understated.
func (n *Node) Tick(now time.Duration) {}

// NextTick returns when Tick is to be called at the latest.
func (n *Node) NextTick() time.Duration { return 0 }

// Publish gives a change the next position of its kind.
func (n *Node) Publish(kind Kind, key, value []byte) (Position, error) { return Position{}, nil }

// PeerOpened tells of a new connection. dialled: it is the one to Output.Dial.
func (n *Node) PeerOpened(peer PeerID, dialled bool) {}

// DialFailed tells that the latest attempt to connect has failed.
func (n *Node) DialFailed() {}

// Receive takes a message from a peer. The node keeps what the message holds.
func (n *Node) Receive(peer PeerID, message Message) {}

// PeerLost tells that a connection has ended.
func (n *Node) PeerLost(peer PeerID) {}

// Leave says goodbye to all peers and closes their connections, before the process ends.
func (n *Node) Leave() {}

// TakeOutput returns what there is to do, and forgets it.
func (n *Node) TakeOutput() Output { return Output{} }

// Status returns the node's state.
func (n *Node) Status() Status { return Status{} }

// Retained returns the changes that a publisher has to keep, in an order that NewNode takes: a durable log may be cut down
// to them.
func (n *Node) Retained() []Change { return nil }

package feed

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// never is a time that is never reached.
const never = time.Duration(math.MaxInt64)

// seedStream separates the generator's sequence from those of other packages with the same seed.
const seedStream = 0x66656564

// Node is one node of the feed. It is not safe for concurrent use.
type Node struct {
	config Config
	now    time.Duration
	random *rand.Rand
	kinds  []kindLog
	// epoch is the highest epoch seen. A publisher that sees a higher one than its own is fenced.
	epoch  uint64
	fenced bool
	// watermark is that of a relay's or subscriber's data; see currentWatermark.
	watermark watermark
	fresh     bool
	hasLeft   bool

	upstream upstream
	children children
	output   Output
	counters Counters
}

// NewNode returns a node. A publisher passes the changes it has persisted (see Retained), with increasing positions within
// each kind; other roles pass none. now is the time on the clock that Tick uses. The error is a *ConfigError, a
// *SavedChangeError, or ErrNotPublisher.
func NewNode(config Config, saved []Change, now time.Duration) (*Node, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	config = config.withDefaults()
	n := &Node{
		config: config,
		now:    now,
		random: rand.New(rand.NewPCG(config.Seed, seedStream)),
		epoch:  config.Epoch,
	}
	for _, kind := range config.Kinds {
		n.kinds = append(n.kinds, newKindLog(kind, config.Role != Subscriber))
	}
	n.upstream = newUpstream(config, now)
	n.children = newChildren(config, now)
	if err := n.load(saved); err != nil {
		return nil, err
	}
	return n, nil
}

// load adds the changes that a publisher has persisted.
func (n *Node) load(saved []Change) error {
	if len(saved) > 0 && n.config.Role != Publisher {
		return ErrNotPublisher
	}
	for _, change := range saved {
		if int(change.Kind) >= len(n.kinds) {
			return &SavedChangeError{Change: change, Problem: "the kind is not configured"}
		}
		log := &n.kinds[change.Kind]
		if change.Position.Compare(log.head) <= 0 || change.Position.Sequence <= log.head.Sequence {
			return &SavedChangeError{Change: change, Problem: "its position is not after the previous one, " + log.head.String()}
		}
		if change.Position.Epoch > n.config.Epoch {
			return newConfigError("Epoch", "%d is lower than the epoch of the saved changes, %d", n.config.Epoch,
				change.Position.Epoch)
		}
		log.load(change)
	}
	return nil
}

// Tick passes the current time to the node. The clock must be monotonic and keep running while the process is suspended.
// Call Tick before each round of other calls, with a time read after the messages of that round were received: otherwise
// the age of the data may be understated.
func (n *Node) Tick(now time.Duration) {
	if now < n.now {
		return
	}
	if n.hasLeft {
		n.now = now
		return
	}
	suspended := now - n.NextTick()
	n.now = now
	if suspended > n.config.HeartbeatEvery {
		// This node was suspended, not its peers: their messages may still be waiting to be read.
		n.shiftLastHeard(suspended)
	}
	n.tickUpstream()
	n.tickChildren()
	n.updateFreshness()
}

// NextTick returns the latest time at which Tick must be called next.
func (n *Node) NextTick() time.Duration {
	if n.hasLeft {
		return never
	}
	next := min(n.nextUpstreamTick(), n.nextChildrenTick(), n.staleAt())
	return max(next, n.now)
}

// Publish assigns the next position of a kind to a change and returns it. The change counts as published once it is
// persisted, see Output.Persist. The error is ErrNotPublisher, ErrFenced, ErrUnknownKind, ErrKeyLength or ErrValueLength.
func (n *Node) Publish(kind Kind, key, value []byte) (Position, error) {
	if err := n.validatePublish(kind, key, value); err != nil {
		return Position{}, err
	}
	log := &n.kinds[kind]
	change := Change{
		Kind:     kind,
		Position: Position{Epoch: n.config.Epoch, Sequence: log.head.Sequence + 1},
		Key:      slices.Clone(key),
		Value:    slices.Clone(value),
	}
	log.append(change, watermark{known: true, at: n.now})
	n.children.pending = true
	n.output.Persist = append(n.output.Persist, change)
	return change.Position, nil
}

// validatePublish returns the error with which Publish refuses a change, or nil.
func (n *Node) validatePublish(kind Kind, key, value []byte) error {
	switch {
	case n.config.Role != Publisher:
		return ErrNotPublisher
	case n.fenced:
		return ErrFenced
	case int(kind) >= len(n.kinds):
		return ErrUnknownKind
	case len(key) == 0 || len(key) > MaxKeyLength:
		return ErrKeyLength
	case !n.config.Kinds[kind].Stateful && len(key) < minEventKeyLength:
		return ErrKeyLength
	case len(value) > n.config.Kinds[kind].MaxValue:
		return ErrValueLength
	}
	return nil
}

// PeerOpened reports a new connection. dialed is true for the connection requested by Output.Dial.
func (n *Node) PeerOpened(peer PeerID, dialed bool) {
	switch {
	case n.hasLeft:
		n.closePeer(peer)
	case dialed:
		n.greetParent(peer)
	default:
		n.addChild(peer)
	}
}

// Receive handles a message from a peer. The node retains the memory of the message.
func (n *Node) Receive(peer PeerID, message Message) {
	if link := n.upstream.link(peer); link != nil {
		n.counters.FromParents.add(len(Encode(message)))
		n.receiveFromParent(link, message)
		return
	}
	if child := n.children.byPeer[peer]; child != nil {
		n.counters.FromChildren.add(len(Encode(message)))
		n.receiveFromChild(child, message)
	}
}

// PeerLost reports that a connection has ended.
func (n *Node) PeerLost(peer PeerID) {
	if link := n.upstream.link(peer); link != nil {
		n.handleLinkLost(link)
		return
	}
	n.children.remove(peer)
}

// Leave sends Goodbye to all peers and closes their connections. It is called before the process exits.
func (n *Node) Leave() {
	n.hasLeft = true
	for _, link := range n.upstream.links() {
		n.closeLink(link, Goodbye{})
	}
	for _, child := range slices.Clone(n.children.ordered) {
		n.closeChild(child, Goodbye{})
	}
}

// TakeOutput returns the pending output and clears it.
func (n *Node) TakeOutput() Output {
	output := n.output
	n.output = Output{}
	return output
}

// Status returns the node's current status.
func (n *Node) Status() Status {
	status := Status{
		Role:      n.config.Role,
		Epoch:     n.epoch,
		Fenced:    n.fenced,
		Positions: n.positions(),
		Age:       n.age(),
		Children:  n.children.following(),
		Counters:  n.counters,
	}
	if parent := n.upstream.parent; parent != nil {
		status.Parent = parent.address
		status.Connected = true
	}
	return status
}

// Retained returns the changes that a publisher must persist, in an order that NewNode accepts. A durable log may be
// compacted to them.
func (n *Node) Retained() []Change {
	var changes []Change
	for i := range n.kinds {
		changes = append(changes, n.kinds[i].retained()...)
	}
	return changes
}

// positions returns the latest position of each kind, in the order of Config.Kinds.
func (n *Node) positions() []Position {
	positions := make([]Position, len(n.kinds))
	for i := range n.kinds {
		positions[i] = n.kinds[i].head
	}
	return positions
}

// send encodes a message and adds it to the output. It returns the frame's length in bytes.
func (n *Node) send(peer PeerID, message Message, traffic *Traffic) int {
	frame := Encode(message)
	n.output.Send = append(n.output.Send, Envelope{Peer: peer, Message: message, Frame: frame})
	traffic.add(len(frame))
	return len(frame)
}

// closePeer adds a connection to the output's list of connections to close.
func (n *Node) closePeer(peer PeerID) {
	n.output.Close = append(n.output.Close, peer)
}

// emit adds an event to the output.
func (n *Node) emit(event Event) {
	n.output.Events = append(n.output.Events, event)
}

// shiftLastHeard postpones the silence timeouts of all peers by the time for which this node was suspended.
func (n *Node) shiftLastHeard(suspended time.Duration) {
	for _, link := range n.upstream.links() {
		link.lastHeard += suspended
	}
	for _, child := range n.children.ordered {
		child.lastHeard += suspended
	}
}

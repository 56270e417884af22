package feed

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// never is a time that doesn't come.
const never = time.Duration(math.MaxInt64)

// seedStream keeps the generator's sequence apart from those of other packages with the same seed.
const seedStream = 0x66656564

// Node is one node of the feed. It is not safe for use by several goroutines at a time.
type Node struct {
	config Config
	now    time.Duration
	random *rand.Rand
	kinds  []kindLog
	// epoch is the highest seen. A publisher that has seen a higher one than its own is fenced.
	epoch  uint64
	fenced bool
	// known is the watermark of a relay's or a subscriber's knowledge, see currentWatermark.
	known watermark
	fresh bool
	left  bool

	upstream upstream
	children children
	output   Output
	counters Counters
}

// NewNode returns a node. A publisher is given the changes that it has kept, see Retained; by kind, their positions rise.
// Others keep nothing.
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

// load takes the changes that a publisher has kept.
func (n *Node) load(saved []Change) error {
	if len(saved) > 0 && n.config.Role != Publisher {
		return ErrNotPublisher
	}
	for _, change := range saved {
		if int(change.Kind) >= len(n.kinds) {
			return &SavedChangeError{Change: change, Problem: "the kind isn't configured"}
		}
		log := &n.kinds[change.Kind]
		if change.Position.Compare(log.head) <= 0 || change.Position.Sequence <= log.head.Sequence {
			return &SavedChangeError{Change: change, Problem: "is not later than the one before it, at " + log.head.String()}
		}
		if change.Position.Epoch > n.config.Epoch {
			return invalid("Epoch", "%d is lower than that of the changes kept, %d", n.config.Epoch, change.Position.Epoch)
		}
		log.load(change)
	}
	return nil
}

// Tick tells the node the time on a steady clock that also counts while the process is stopped. It has to be called before
// each round of other calls, with a time read after the messages of the round were: else the age of knowledge could be
// understated.
func (n *Node) Tick(now time.Duration) {
	if now < n.now {
		return
	}
	if n.left {
		n.now = now
		return
	}
	late := now - n.NextTick()
	n.now = now
	if late > n.config.HeartbeatEvery {
		// It is this node that was stopped. Others may have spoken meanwhile: what they said is still to be read.
		n.forgiveSilence(late)
	}
	n.tickUpstream()
	n.tickChildren()
	n.checkAge()
}

// NextTick returns when Tick is to be called at the latest.
func (n *Node) NextTick() time.Duration {
	if n.left {
		return never
	}
	next := min(n.upstreamTick(), n.childrenTick(), n.ageTick())
	return max(next, n.now)
}

// Publish gives a change the next position of its kind. It counts as published once it is kept, see Output.Keep.
func (n *Node) Publish(kind Kind, key, value []byte) (Position, error) {
	if err := n.checkPublish(kind, key, value); err != nil {
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

func (n *Node) checkPublish(kind Kind, key, value []byte) error {
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

// PeerOpened tells of a new connection. dialled: it is the one to Output.Dial.
func (n *Node) PeerOpened(peer PeerID, dialled bool) {
	switch {
	case n.left:
		n.close(peer)
	case dialled:
		n.parentOpened(peer)
	default:
		n.childOpened(peer)
	}
}

// Receive takes a message from a peer. The node keeps what the message holds.
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

// PeerLost tells that a connection has ended.
func (n *Node) PeerLost(peer PeerID) {
	if link := n.upstream.link(peer); link != nil {
		n.parentLost(link)
		return
	}
	n.children.remove(peer)
}

// Leave says goodbye to all peers and closes their connections, before the process ends.
func (n *Node) Leave() {
	n.left = true
	for _, link := range n.upstream.links() {
		n.endLink(link, Goodbye{})
	}
	for _, child := range slices.Clone(n.children.inOrder) {
		n.dismiss(child, Goodbye{})
	}
}

// TakeOutput returns what there is to do, and forgets it.
func (n *Node) TakeOutput() Output {
	output := n.output
	n.output = Output{}
	return output
}

// Status returns the node's state.
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

// Retained returns the changes that a publisher has to keep, in an order that NewNode takes: a durable log may be cut down
// to them.
func (n *Node) Retained() []Change {
	var changes []Change
	for i := range n.kinds {
		changes = append(changes, n.kinds[i].retained()...)
	}
	return changes
}

func (n *Node) positions() []Position {
	positions := make([]Position, len(n.kinds))
	for i := range n.kinds {
		positions[i] = n.kinds[i].head
	}
	return positions
}

// send encodes a message and puts it out. It returns the frame's length.
func (n *Node) send(peer PeerID, message Message, traffic *Traffic) int {
	frame := Encode(message)
	n.output.Send = append(n.output.Send, Envelope{Peer: peer, Message: message, Frame: frame})
	traffic.add(len(frame))
	return len(frame)
}

func (n *Node) close(peer PeerID) {
	n.output.Close = append(n.output.Close, peer)
}

func (n *Node) emit(event Event) {
	n.output.Events = append(n.output.Events, event)
}

// forgiveSilence moves the times at which others were last heard by the time for which this node was stopped.
func (n *Node) forgiveSilence(late time.Duration) {
	for _, link := range n.upstream.links() {
		link.heard += late
	}
	for _, child := range n.children.inOrder {
		child.heard += late
	}
}

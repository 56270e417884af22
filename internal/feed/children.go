package feed

import (
	"slices"
	"time"
)

// childSilenceFactor times Config.SilenceAfter is how long a child may be silent before its connection is closed.
const childSilenceFactor = 3

// child is an incoming connection from a node that follows this one or has yet to be accepted.
type child struct {
	peer PeerID
	id   string
	role Role
	// accepted: its Hello was accepted. following: it receives changes.
	accepted, following bool
	echo                Stamp
	lastHeard           time.Duration
	// heartbeatDue: a Ping has not been answered yet.
	heartbeatDue bool
	budget       budget
	// cursors holds one cursor per kind.
	cursors []cursor
	// lastServed is when changes were last sent to it.
	lastServed time.Duration
}

// cursor is the position a child reaches with all that was sent to it, and its catch-up mode.
type cursor struct {
	position Position
	// snapshot: the child is receiving a snapshot. coarse: it receives prefix sets until it has caught up.
	snapshot, coarse bool
}

// children is the state of a node's connections to its children.
type children struct {
	byPeer map[PeerID]*child
	// ordered lists the children in the order in which they connected.
	ordered     []*child
	totalBudget budget
	// pending: some child may be due something in the next round, which starts at nextRoundAt at the earliest.
	pending     bool
	nextRoundAt time.Duration
	// silenceCheckAt is when to check for silent children.
	silenceCheckAt time.Duration
}

func newChildren(config Config, now time.Duration) children {
	return children{
		byPeer:         make(map[PeerID]*child),
		totalBudget:    newPerSecondBudget(config.TotalBytesPerSecond, now),
		nextRoundAt:    now,
		silenceCheckAt: now,
	}
}

func (c *children) remove(peer PeerID) {
	delete(c.byPeer, peer)
	c.ordered = slices.DeleteFunc(c.ordered, func(child *child) bool { return child.peer == peer })
}

// following returns the number of children that receive changes.
func (c *children) following() int {
	count := 0
	for _, child := range c.ordered {
		if child.following {
			count++
		}
	}
	return count
}

// tickChildren closes silent children and runs the next sending round if they are due.
func (n *Node) tickChildren() {
	c := &n.children
	if n.now >= c.silenceCheckAt {
		c.silenceCheckAt = n.now + n.config.HeartbeatEvery
		n.closeSilentChildren()
	}
	if c.pending && n.now >= c.nextRoundAt {
		c.nextRoundAt = n.now + n.config.BatchEvery
		c.pending = n.serveRound()
	}
}

// nextChildrenTick returns when tickChildren next has work, or never.
func (n *Node) nextChildrenTick() time.Duration {
	c := &n.children
	if len(c.ordered) == 0 {
		return never
	}
	if c.pending {
		return min(c.silenceCheckAt, c.nextRoundAt)
	}
	return c.silenceCheckAt
}

// closeSilentChildren disconnects children from which nothing was heard for too long.
func (n *Node) closeSilentChildren() {
	timeout := childSilenceFactor * n.config.SilenceAfter
	for _, child := range slices.Clone(n.children.ordered) {
		if n.now-child.lastHeard >= timeout {
			n.closeChild(child, Goodbye{})
		}
	}
}

// addChild registers a new incoming connection.
func (n *Node) addChild(peer PeerID) {
	child := &child{peer: peer, lastHeard: n.now}
	n.children.byPeer[peer] = child
	n.children.ordered = append(n.children.ordered, child)
}

// closeChild sends a final message to a child and closes its connection. It does nothing if the child is already removed.
func (n *Node) closeChild(child *child, last Message) {
	if n.children.byPeer[child.peer] == nil {
		return
	}
	n.send(child.peer, last, &n.counters.ToChildren)
	n.closePeer(child.peer)
	n.children.remove(child.peer)
}

// receiveFromChild handles a message from a child. An unexpected message closes the connection.
func (n *Node) receiveFromChild(child *child, message Message) {
	child.lastHeard = n.now
	switch m := message.(type) {
	case Hello:
		n.receiveChildHello(child, m)
	case Ping:
		n.receivePing(child, m)
	case Refused, Goodbye:
		n.closePeer(child.peer)
		n.children.remove(child.peer)
	default:
		n.closeChild(child, Goodbye{})
	}
}

// receiveChildHello handles a child's Hello: its first one, or a later one with which it resynchronizes.
func (n *Node) receiveChildHello(child *child, hello Hello) {
	if reason := n.childRefusalReason(child, hello); reason != 0 {
		n.counters.Refused++
		n.closeChild(child, Refused{Reason: reason})
		return
	}
	if !child.accepted {
		child.budget = n.childBudget(hello)
		child.accepted = true
		child.role = hello.Role
		child.id = hello.ID
	}
	child.echo = hello.Stamp
	n.answerHello(child)
	if hello.Probe {
		return
	}
	child.following = true
	child.cursors = make([]cursor, len(hello.Positions))
	for i, position := range hello.Positions {
		child.cursors[i].position = position
	}
	// The child may be far behind: serve it at once instead of in the next round.
	n.serveChild(child)
	n.children.pending = true
}

// childRefusalReason returns why the sender of a Hello is refused as a child, or zero. A higher epoch in the Hello fences a
// publisher.
func (n *Node) childRefusalReason(child *child, hello Hello) RefusalReason {
	reason := n.mismatch(hello)
	switch {
	case reason != 0:
		return reason
	case !canServe(n.config.Role, hello.Role):
		return RefusedRole
	}
	n.observeEpoch(hello.Epoch)
	switch {
	case n.fenced:
		return RefusedEpoch
	case !child.following && n.children.following() >= n.config.MaxChildren:
		return RefusedFull
	}
	return 0
}

// childBudget returns the budget of a new child. It starts empty if the child received anything within the last second, from
// this node or another, and with no more than what remains to earlier connections of the same child.
func (n *Node) childBudget(hello Hello) budget {
	b := newPerSecondBudget(n.config.RelayBytesPerSecond, n.now)
	if hello.Role == Subscriber {
		b = newBudget(n.config.ChildBytesPerSecond, n.config.ChildBurst, n.now)
	}
	if hello.SinceReceived < time.Second {
		b.tokens = 0
	}
	for _, earlier := range n.children.ordered {
		if earlier.accepted && earlier.id == hello.ID {
			b.tokens = min(b.tokens, float64(earlier.budget.available(n.now)))
		}
	}
	return b
}

// answerHello sends a Hello regardless of the budgets. An overdraft delays what is sent next.
func (n *Node) answerHello(child *child) {
	n.sendToChild(child, n.newHello(child.echo, false))
}

// receivePing answers a Ping, at once or when the budgets next allow it.
func (n *Node) receivePing(child *child, ping Ping) {
	if !child.following {
		return
	}
	child.echo = ping.Stamp
	child.heartbeatDue = true
	n.sendHeartbeat(child)
}

// sendHeartbeat answers a Ping if the budgets allow it; otherwise the heartbeat stays due.
func (n *Node) sendHeartbeat(child *child) {
	heartbeat := Heartbeat{
		Epoch:     n.epoch,
		Echo:      child.echo,
		Age:       n.childAge(child),
		SourceAge: n.age(),
		Positions: child.positions(),
	}
	size := len(Encode(heartbeat))
	if size > min(child.budget.available(n.now), n.children.totalBudget.available(n.now)) {
		n.children.pending = true
		return
	}
	child.heartbeatDue = false
	n.sendToChild(child, heartbeat)
}

// sendToChild sends a message and deducts its size from the child's budget and the total budget.
func (n *Node) sendToChild(child *child, message Message) {
	size := n.send(child.peer, message, &n.counters.ToChildren)
	child.budget.take(size)
	n.children.totalBudget.take(size)
}

func (c *child) positions() []Position {
	positions := make([]Position, len(c.cursors))
	for i, cursor := range c.cursors {
		positions[i] = cursor.position
	}
	return positions
}

// childAge returns how old a child's data is once it has applied all that was sent to it.
func (n *Node) childAge(child *child) time.Duration {
	result := n.currentWatermark()
	for i := range child.cursors {
		result = result.earlier(n.kinds[i].watermarkAt(child.cursors[i], result))
	}
	return result.age(n.now)
}

// watermarkAt returns the watermark of a child's data of one kind, given the node's own watermark.
func (l *kindLog) watermarkAt(at cursor, own watermark) watermark {
	switch {
	case at.position.Compare(l.head) >= 0:
		return own
	case at.snapshot || !l.contains(at.position):
		return watermark{}
	}
	return l.after(at.position)[0].watermarkBefore
}

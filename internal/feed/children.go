package feed

import (
	"slices"
	"time"
)

// childSilence is for how many times SilenceAfter a child may be silent before its connection is closed.
const childSilence = 3

// child is a connection to a node that follows this one, or asks to.
type child struct {
	peer PeerID
	id   string
	role Role
	// greeted: its Hello was accepted. following: it is sent changes.
	greeted, following bool
	echo               Stamp
	heard              time.Duration
	// heartbeatDue: a Ping is still to be answered.
	heartbeatDue bool
	budget       budget
	// cursors are by kind.
	cursors []cursor
	// served is when it was last sent changes.
	served time.Duration
}

// cursor is how far a child has come with all that was sent to it.
type cursor struct {
	position Position
	// snapshot: the child is being sent the latest state. coarse: it gets sets of prefixes until it has caught up.
	snapshot, coarse bool
}

// children is a node's side towards its children.
type children struct {
	byPeer map[PeerID]*child
	// inOrder is by when they connected.
	inOrder []*child
	total   budget
	// pending: some child may have something to get in the next round, which is not before roundAt.
	pending bool
	roundAt time.Duration
	// checkAt is when to look for silent children.
	checkAt time.Duration
}

func newChildren(config Config, now time.Duration) children {
	return children{
		byPeer:  make(map[PeerID]*child),
		total:   newBoundBudget(config.TotalBytesPerSecond, now),
		roundAt: now,
		checkAt: now,
	}
}

func (c *children) remove(peer PeerID) {
	delete(c.byPeer, peer)
	c.inOrder = slices.DeleteFunc(c.inOrder, func(child *child) bool { return child.peer == peer })
}

// following counts the children that are sent changes.
func (c *children) following() int {
	count := 0
	for _, child := range c.inOrder {
		if child.following {
			count++
		}
	}
	return count
}

// tickChildren does what is due towards the children.
func (n *Node) tickChildren() {
	c := &n.children
	if n.now >= c.checkAt {
		c.checkAt = n.now + n.config.HeartbeatEvery
		n.dismissSilent()
	}
	if c.pending && n.now >= c.roundAt {
		c.roundAt = n.now + n.config.BatchEvery
		c.pending = n.serveRound()
	}
}

// childrenTick returns when the next thing is due.
func (n *Node) childrenTick() time.Duration {
	c := &n.children
	if len(c.inOrder) == 0 {
		return never
	}
	if c.pending {
		return min(c.checkAt, c.roundAt)
	}
	return c.checkAt
}

func (n *Node) dismissSilent() {
	longest := childSilence * n.config.SilenceAfter
	for _, child := range slices.Clone(n.children.inOrder) {
		if n.now-child.heard >= longest {
			n.dismiss(child, Goodbye{})
		}
	}
}

func (n *Node) childOpened(peer PeerID) {
	child := &child{peer: peer, heard: n.now}
	n.children.byPeer[peer] = child
	n.children.inOrder = append(n.children.inOrder, child)
}

// dismiss says a last word to a child and closes its connection, unless that has been done.
func (n *Node) dismiss(child *child, last Message) {
	if n.children.byPeer[child.peer] == nil {
		return
	}
	n.send(child.peer, last, &n.counters.ToChildren)
	n.close(child.peer)
	n.children.remove(child.peer)
}

func (n *Node) receiveFromChild(child *child, message Message) {
	child.heard = n.now
	switch m := message.(type) {
	case Hello:
		n.childGreeted(child, m)
	case Ping:
		n.childPinged(child, m)
	case Refused, Goodbye:
		n.close(child.peer)
		n.children.remove(child.peer)
	default:
		n.dismiss(child, Goodbye{})
	}
}

// childGreeted takes a child's Hello: the first one, or one that asks anew.
func (n *Node) childGreeted(child *child, hello Hello) {
	if reason := n.refuseChild(child, hello); reason != 0 {
		n.counters.Refused++
		n.dismiss(child, Refused{Reason: reason})
		return
	}
	if !child.greeted {
		child.budget = n.childBudget(hello)
		child.greeted = true
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
	// It may have waited for long: it isn't to wait for the next round too.
	n.serveChild(child)
	n.children.pending = true
}

// refuseChild returns why the sender of a Hello can't be a child, or zero. A publisher that learns of a higher epoch from it
// is fenced.
func (n *Node) refuseChild(child *child, hello Hello) RefusalReason {
	reason := n.mismatch(hello)
	switch {
	case reason != 0:
		return reason
	case !serves(n.config.Role, hello.Role):
		return RefusedRole
	}
	n.raiseEpoch(hello.Epoch)
	switch {
	case n.fenced:
		return RefusedEpoch
	case !child.following && n.children.following() >= n.config.MaxChildren:
		return RefusedFull
	}
	return 0
}

// childBudget returns the budget of a new child. It begins empty where the child has received something within the last
// second, from this node or another, and with what an earlier connection of the same child has left.
func (n *Node) childBudget(hello Hello) budget {
	b := newBoundBudget(n.config.RelayBytesPerSecond, n.now)
	if hello.Role == Subscriber {
		b = newBudget(n.config.ChildBytesPerSecond, n.config.ChildBurst, n.now)
	}
	if hello.SinceReceived < time.Second {
		b.tokens = 0
	}
	for _, earlier := range n.children.inOrder {
		if earlier.greeted && earlier.id == hello.ID {
			b.tokens = min(b.tokens, float64(earlier.budget.available(n.now)))
		}
	}
	return b
}

// answerHello may take the budgets below zero: what is sent next waits until that is made up for.
func (n *Node) answerHello(child *child) {
	n.sendToChild(child, n.hello(child.echo, false))
}

func (n *Node) childPinged(child *child, ping Ping) {
	if !child.following {
		return
	}
	child.echo = ping.Stamp
	child.heartbeatDue = true
	n.answerPing(child)
}

// answerPing sends a Heartbeat if the budgets have room for it, else it stays due.
func (n *Node) answerPing(child *child) {
	heartbeat := Heartbeat{
		Epoch:     n.epoch,
		Echo:      child.echo,
		Age:       n.childAge(child),
		SourceAge: n.age(),
		Positions: child.positions(),
	}
	size := len(Encode(heartbeat))
	if size > min(child.budget.available(n.now), n.children.total.available(n.now)) {
		n.children.pending = true
		return
	}
	child.heartbeatDue = false
	n.sendToChild(child, heartbeat)
}

func (n *Node) sendToChild(child *child, message Message) {
	size := n.send(child.peer, message, &n.counters.ToChildren)
	child.budget.take(size)
	n.children.total.take(size)
}

func (c *child) positions() []Position {
	positions := make([]Position, len(c.cursors))
	for i, cursor := range c.cursors {
		positions[i] = cursor.position
	}
	return positions
}

// childAge returns how old a child's knowledge is with all that was sent to it.
func (n *Node) childAge(child *child) time.Duration {
	mark := n.currentWatermark()
	for i := range child.cursors {
		mark = mark.earlier(n.kinds[i].watermarkAt(child.cursors[i], mark))
	}
	return mark.age(n.now)
}

// watermarkAt returns the watermark of a child's knowledge of one kind, where the node's own is whole.
func (l *kindLog) watermarkAt(at cursor, whole watermark) watermark {
	switch {
	case at.position.Compare(l.head) >= 0:
		return whole
	case at.snapshot || !l.contains(at.position):
		return watermark{}
	}
	return l.after(at.position)[0].knownBefore
}

package feed

import (
	"slices"
	"time"
)

const (
	// maxMessage bounds the bytes of one message with changes.
	maxMessage = 16 << 10
	// totalReserveShare is the part of the total burst that is left for heartbeats.
	totalReserveShare = 4
)

// serveRound sends the children what they lack, as far as the budgets go: settings before events, and first those who have
// waited longest. It returns whether anything is left.
func (n *Node) serveRound() bool {
	waiting := n.waitingChildren()
	for _, child := range waiting {
		if child.heartbeatDue {
			n.answerPing(child)
		}
	}
	for _, latest := range []bool{true, false} {
		for _, child := range waiting {
			n.serveKinds(child, latest)
		}
	}
	return slices.ContainsFunc(waiting, n.lacks)
}

// waitingChildren returns the children that lack something, the longest unserved first.
func (n *Node) waitingChildren() []*child {
	var waiting []*child
	for _, child := range n.children.inOrder {
		if n.lacks(child) {
			waiting = append(waiting, child)
		}
	}
	slices.SortStableFunc(waiting, func(a, b *child) int { return int(a.served - b.served) })
	return waiting
}

func (n *Node) lacks(child *child) bool {
	if !child.following {
		return false
	}
	if child.heartbeatDue {
		return true
	}
	for i := range child.cursors {
		if child.cursors[i].position.Compare(n.kinds[i].head) < 0 {
			return true
		}
	}
	return false
}

func (n *Node) serveChild(child *child) {
	n.serveKinds(child, true)
	n.serveKinds(child, false)
}

func (n *Node) serveKinds(child *child, latest bool) {
	for i := range n.kinds {
		if n.kinds[i].config.Stateful != latest {
			continue
		}
		for n.serveNext(child, Kind(i)) {
			child.served = n.now
		}
	}
}

// serveNext sends a child the next message of a kind. It returns false where nothing is lacking, or the budgets have no room.
func (n *Node) serveNext(child *child, kind Kind) bool {
	at := &child.cursors[kind]
	if at.position.Compare(n.kinds[kind].head) >= 0 {
		at.snapshot, at.coarse = false, false
		return false
	}
	next, after := n.nextMessage(child, kind, n.roomFor(child))
	if next == nil {
		n.counters.Deferred++
		return false
	}
	*at = after
	n.sendToChild(child, withAge(next, child.echo, n.childAge(child)))
	return true
}

// worthwhileShare is the part of a budget's burst that has to be there for a part of what doesn't fit whole.
const worthwhileShare = 3

// room is what the budgets allow a message with changes.
type room struct {
	bytes int
	// worthwhile: it is enough to send a part of what doesn't fit whole.
	worthwhile bool
}

func (n *Node) roomFor(child *child) room {
	own := child.budget.available(n.now)
	total := n.children.total.available(n.now) - n.children.total.burst/totalReserveShare
	bytes := min(own-heartbeatReserve, total, maxMessage)
	return room{bytes: bytes, worthwhile: bytes >= min(child.budget.burst, maxMessage)/worthwhileShare}
}

// nextMessage returns the next message with changes of a kind, with its age still to be set, and the cursor behind it. The
// message is nil where there is no room for it.
func (n *Node) nextMessage(child *child, kind Kind, room room) (Message, cursor) {
	at := child.cursors[kind]
	log := &n.kinds[kind]
	at = log.classify(at, child.role, n.config.CoarseAfter)
	switch {
	case at.snapshot:
		return log.nextSnapshot(at, kind, child.role, room)
	case log.needsReset(at, child.role, n.config.CoarseAfter):
		return log.nextReset(at, kind, child.role, room)
	case at.coarse:
		return log.nextPrefixSet(at, kind, room)
	}
	return log.nextBatch(at, kind, room)
}

// withAge sets what a message says of the age of knowledge once it is applied.
func withAge(message Message, echo Stamp, age time.Duration) Message {
	switch m := message.(type) {
	case Batch:
		m.Echo, m.Age = echo, age
		return m
	case PrefixSet:
		m.Echo, m.Age = echo, age
		return m
	case Snapshot:
		m.Echo, m.Age = echo, age
		return m
	case WindowReset:
		m.Echo, m.Age = echo, age
		return m
	}
	return message
}

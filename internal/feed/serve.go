package feed

import (
	"slices"
	"time"
)

const (
	// maxMessage bounds the bytes of one message with changes.
	maxMessage = 16 << 10
	// totalReserveShare is the divisor that gives the part of the total burst reserved for heartbeats.
	totalReserveShare = 4
)

// serveRound sends the children what they lack, as far as the budgets allow: heartbeats first, then stateful kinds, then
// events, starting with the children that have waited longest. It reports whether any child still lacks something.
func (n *Node) serveRound() bool {
	waiting := n.waitingChildren()
	for _, child := range waiting {
		if child.heartbeatDue {
			n.sendHeartbeat(child)
		}
	}
	for _, stateful := range []bool{true, false} {
		for _, child := range waiting {
			n.serveKinds(child, stateful)
		}
	}
	return slices.ContainsFunc(waiting, n.needsService)
}

// waitingChildren returns the children that lack something, least recently served first.
func (n *Node) waitingChildren() []*child {
	var waiting []*child
	for _, child := range n.children.ordered {
		if n.needsService(child) {
			waiting = append(waiting, child)
		}
	}
	slices.SortStableFunc(waiting, func(a, b *child) int { return int(a.lastServed - b.lastServed) })
	return waiting
}

// needsService reports whether a child is due a heartbeat or changes.
func (n *Node) needsService(child *child) bool {
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

// serveChild sends a child what it lacks, stateful kinds first.
func (n *Node) serveChild(child *child) {
	n.serveKinds(child, true)
	n.serveKinds(child, false)
}

// serveKinds sends a child what it lacks of either the stateful or the other kinds, as far as the budgets allow.
func (n *Node) serveKinds(child *child, stateful bool) {
	for i := range n.kinds {
		if n.kinds[i].config.Stateful != stateful {
			continue
		}
		for n.serveNext(child, Kind(i)) {
			child.lastServed = n.now
		}
	}
}

// serveNext sends a child the next message of a kind. It returns false if the child lacks nothing or the budgets are used up.
func (n *Node) serveNext(child *child, kind Kind) bool {
	at := &child.cursors[kind]
	if at.position.Compare(n.kinds[kind].head) >= 0 {
		at.snapshot, at.coarse = false, false
		return false
	}
	next, after := n.nextMessage(child, kind, n.allowanceFor(child))
	if next == nil {
		n.counters.Deferred++
		return false
	}
	*at = after
	n.sendToChild(child, withAge(next, child.echo, n.childAge(child)))
	return true
}

// minPartialShare is the divisor that gives the part of a budget's burst that must be available for a partial message.
const minPartialShare = 3

// allowance is what the budgets allow for a message with changes.
type allowance struct {
	bytes int
	// allowsPartial: there is enough to send a part of what does not fit as a whole.
	allowsPartial bool
}

// allowanceFor returns what the budgets allow for the next message with changes to a child, besides the reserves.
func (n *Node) allowanceFor(child *child) allowance {
	own := child.budget.available(n.now)
	total := n.children.totalBudget.available(n.now) - n.children.totalBudget.burst/totalReserveShare
	bytes := min(own-heartbeatReserve, total, maxMessage)
	return allowance{bytes: bytes, allowsPartial: bytes >= min(child.budget.burst, maxMessage)/minPartialShare}
}

// nextMessage returns the next message with changes of a kind, without echo and age, and the cursor after it. The message is
// nil if the budgets do not allow one.
func (n *Node) nextMessage(child *child, kind Kind, allowance allowance) (Message, cursor) {
	at := child.cursors[kind]
	log := &n.kinds[kind]
	at = log.selectMode(at, child.role, n.config.CoarseAfter)
	switch {
	case at.snapshot:
		return log.nextSnapshot(at, kind, child.role, allowance)
	case log.needsReset(at, child.role, n.config.CoarseAfter):
		return log.nextReset(at, kind, child.role, allowance)
	case at.coarse:
		return log.nextPrefixSet(at, kind, allowance)
	}
	return log.nextBatch(at, kind, allowance)
}

// withAge returns a message with changes with its echo and age set.
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

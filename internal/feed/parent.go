package feed

import "time"

// searchBackoffFactor times RetryMax is the maximum delay between attempts to find another parent while the current one has
// stale data.
const searchBackoffFactor = 8

// linkState is the state of a connection to a parent.
type linkState uint8

const (
	linkDialing linkState = iota + 1
	// linkAwaitingHello: this node has sent its Hello and waits for the parent's.
	linkAwaitingHello
	linkFollowing
)

// link is an outgoing connection to a parent, or an attempt to open one.
type link struct {
	index   int
	address string
	peer    PeerID
	state   linkState
	// dialedAt is when the attempt started, lastHeard when the last message arrived, lastChanged when the last changes did.
	dialedAt, lastHeard, lastChanged time.Duration
	// isProbe: the Hello that was sent requested no changes.
	isProbe bool
	// awaitsHello: messages before the parent's next Hello are ignored because they no longer match this node's positions.
	awaitsHello bool
	// epoch is the highest epoch the parent has seen, sourceStale whether the parent's own data is stale.
	epoch       uint64
	sourceStale bool
}

// upstream is the state of a node's connections to its parents. There is at most one parent, and at most one candidate: the
// next parent if there is none, otherwise one that may be better.
type upstream struct {
	addresses []string
	parent    *link
	candidate *link
	// nextAddress is the index of the next address to try, dialAt the time to try it. dialAt is never if nothing is scheduled.
	nextAddress   int
	dialAt        time.Duration
	retryBackoff  backoff
	searchBackoff backoff
	// returnAt is when to check whether the preferred parent is back.
	returnAt time.Duration
	pingAt   time.Duration
	// lastReceived is the time at which anything was last received from a parent.
	lastReceived watermark
}

func newUpstream(config Config, now time.Duration) upstream {
	u := upstream{
		addresses:     config.Parents,
		dialAt:        now,
		retryBackoff:  backoff{minDelay: config.RetryMin, maxDelay: config.RetryMax},
		searchBackoff: backoff{minDelay: config.RetryMax, maxDelay: searchBackoffFactor * config.RetryMax},
		returnAt:      never,
		pingAt:        never,
	}
	if len(config.Parents) == 0 {
		u.dialAt = never
	}
	return u
}

// link returns the established connection with that ID, or nil.
func (u *upstream) link(peer PeerID) *link {
	for _, link := range u.links() {
		if link.state != linkDialing && link.peer == peer {
			return link
		}
	}
	return nil
}

// links returns all current connections and attempts.
func (u *upstream) links() []*link {
	var links []*link
	if u.parent != nil {
		links = append(links, u.parent)
	}
	if u.candidate != nil {
		links = append(links, u.candidate)
	}
	return links
}

// tickUpstream handles timeouts of parent and candidate, and sends pings and opens connections that are due.
func (n *Node) tickUpstream() {
	u := &n.upstream
	if parent := u.parent; parent != nil && n.now-parent.lastHeard >= n.config.SilenceAfter {
		n.closeLink(parent, Goodbye{})
		n.handleParentClosed(parent)
	}
	if candidate := u.candidate; candidate != nil && n.now >= n.candidateDeadline(candidate) {
		n.closeLink(candidate, Goodbye{})
		n.handleCandidateTimeout(candidate)
	}
	if u.parent != nil && n.now >= u.pingAt {
		n.sendPing()
	}
	if u.parent != nil && n.now >= u.returnAt && u.candidate == nil {
		u.returnAt = never
		n.dial(0)
	}
	if n.now >= u.dialAt && u.candidate == nil {
		u.dialAt = never
		n.dial(u.nextAddress)
	}
}

// nextUpstreamTick returns when tickUpstream next has work, or never.
func (n *Node) nextUpstreamTick() time.Duration {
	u := &n.upstream
	next := never
	if u.parent != nil {
		next = min(u.pingAt, u.parent.lastHeard+n.config.SilenceAfter)
	}
	if u.candidate != nil {
		return min(next, n.candidateDeadline(u.candidate))
	}
	if u.parent != nil {
		next = min(next, u.returnAt)
	}
	return min(next, u.dialAt)
}

// candidateDeadline returns when to give up on a candidate. A frozen or overloaded process may accept a connection and send
// nothing: the first such candidate is dropped quickly, and the timeout grows with each failure up to that of a parent.
func (n *Node) candidateDeadline(candidate *link) time.Duration {
	if candidate.state == linkDialing {
		return candidate.dialedAt + n.config.DialTimeout
	}
	timeout := n.config.DialTimeout * time.Duration(max(n.upstream.retryBackoff.attempts, 1))
	return candidate.lastHeard + min(timeout, n.config.SilenceAfter)
}

// dial requests a connection to the parent with the given index and makes it the candidate.
func (n *Node) dial(index int) {
	address := n.upstream.addresses[index]
	n.upstream.candidate = &link{index: index, address: address, state: linkDialing, dialedAt: n.now}
	n.output.Dial = address
	n.counters.Dials++
}

// DialFailed reports that the latest attempt to connect has failed.
func (n *Node) DialFailed() {
	candidate := n.upstream.candidate
	if candidate == nil || candidate.state != linkDialing {
		return
	}
	n.upstream.candidate = nil
	n.handleCandidateClosed(candidate)
}

// greetParent sends a Hello on a new outgoing connection.
func (n *Node) greetParent(peer PeerID) {
	candidate := n.upstream.candidate
	if candidate == nil || candidate.state != linkDialing {
		n.closePeer(peer)
		return
	}
	candidate.peer = peer
	candidate.state = linkAwaitingHello
	candidate.lastHeard = n.now
	candidate.isProbe = n.upstream.parent != nil
	n.sendHello(candidate, candidate.isProbe)
}

// sendHello sends this node's positions to a parent and ignores the parent's other messages until it answers.
func (n *Node) sendHello(link *link, probe bool) {
	n.send(link.peer, n.newHello(stampAt(n.now), probe), &n.counters.ToParents)
	link.awaitsHello = true
}

// newHello returns a Hello with the current state of this node.
func (n *Node) newHello(stamp Stamp, probe bool) Hello {
	return Hello{
		Version:       Version,
		Cluster:       n.config.Cluster,
		ID:            n.config.ID,
		Role:          n.config.Role,
		KindsChecksum: n.config.kindsChecksum(),
		Epoch:         n.epoch,
		Probe:         probe,
		Stamp:         stamp,
		Age:           n.age(),
		SinceReceived: n.upstream.lastReceived.age(n.now),
		Positions:     n.positions(),
	}
}

// sendPing sends a Ping to the parent and schedules the next one.
func (n *Node) sendPing() {
	u := &n.upstream
	n.send(u.parent.peer, Ping{Stamp: stampAt(n.now)}, &n.counters.ToParents)
	u.pingAt = n.now + n.config.HeartbeatEvery
}

// handleLinkLost handles a connection that was ended by the peer or the network.
func (n *Node) handleLinkLost(link *link) {
	n.removeLink(link)
	n.handleLinkClosed(link)
}

// closeLink sends a final message and closes the connection, or abandons the attempt to connect.
func (n *Node) closeLink(link *link, last Message) {
	n.removeLink(link)
	if link.state == linkDialing {
		return
	}
	n.send(link.peer, last, &n.counters.ToParents)
	n.closePeer(link.peer)
}

// removeLink removes a link as parent, with its timers, or as candidate. It neither closes the connection nor dials another.
func (n *Node) removeLink(link *link) {
	u := &n.upstream
	if u.parent == link {
		u.parent = nil
		u.pingAt = never
		u.returnAt = never
	}
	if u.candidate == link {
		u.candidate = nil
	}
}

// handleLinkClosed schedules the next step after a connection was lost or closed and removed.
func (n *Node) handleLinkClosed(link *link) {
	if link.state == linkFollowing {
		n.handleParentClosed(link)
		return
	}
	n.handleCandidateClosed(link)
}

// handleParentClosed schedules an attempt at the next address after the connection to the parent has ended.
func (n *Node) handleParentClosed(parent *link) {
	n.counters.ParentsLost++
	n.scheduleNextParent(parent.index, n.now)
}

// handleCandidateClosed schedules the next attempt: at the next address, or later if there still is a parent.
func (n *Node) handleCandidateClosed(candidate *link) {
	if n.upstream.parent == nil {
		n.scheduleNextParent(candidate.index, candidate.dialedAt)
		return
	}
	n.upstream.nextAddress = n.nextIndex(candidate.index)
	n.scheduleReturn()
	n.scheduleSearch()
}

// handleCandidateTimeout schedules the next attempt. After a dial timeout the delay is short: the attempt has already taken
// its time and put no load on anyone, and a network that has healed should be used again soon.
func (n *Node) handleCandidateTimeout(candidate *link) {
	if n.upstream.parent != nil || candidate.state != linkDialing {
		n.handleCandidateClosed(candidate)
		return
	}
	n.upstream.nextAddress = n.nextIndex(candidate.index)
	n.upstream.dialAt = n.now + jitter(n.random, n.config.RetryMin)
}

// scheduleNextParent schedules an attempt at the address after that of a lost parent. The delay counts from a given time:
// the loss, or the start of the failed attempt.
func (n *Node) scheduleNextParent(lost int, from time.Duration) {
	u := &n.upstream
	u.nextAddress = n.nextIndex(lost)
	u.dialAt = max(n.now, from+u.retryBackoff.next(n.random))
}

// nextIndex returns the index of the address after the given one, cyclically.
func (n *Node) nextIndex(index int) int {
	return (index + 1) % len(n.upstream.addresses)
}

// scheduleReturn schedules a probe of the preferred parent if another one is being followed.
func (n *Node) scheduleReturn() {
	u := &n.upstream
	if u.parent == nil || u.parent.index == 0 || u.returnAt != never {
		return
	}
	u.returnAt = n.now + n.config.ReturnAfter + jitter(n.random, n.config.ReturnJitter)
}

// isParentStuck reports whether the parent's own data is stale and no changes arrive from it. A parent that is catching up
// is not stuck: leaving it would only cost time.
func (n *Node) isParentStuck() bool {
	parent := n.upstream.parent
	return parent.sourceStale && n.now-parent.lastChanged > n.config.HeartbeatEvery
}

// scheduleSearch schedules a probe of another parent while the current one is stuck.
func (n *Node) scheduleSearch() {
	u := &n.upstream
	if u.parent == nil {
		return
	}
	if !n.isParentStuck() {
		u.dialAt = never
		u.searchBackoff.reset()
		return
	}
	if len(u.addresses) < 2 || u.dialAt != never || u.candidate != nil {
		return
	}
	if u.nextAddress == u.parent.index {
		u.nextAddress = n.nextIndex(u.nextAddress)
	}
	u.dialAt = n.now + n.config.RetryMin + u.searchBackoff.next(n.random)
}

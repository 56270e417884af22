package feed

import "time"

// searchSlowdown is by how much the longest wait between looks at other parents exceeds RetryMax, while a parent is there
// whose own knowledge is stale.
const searchSlowdown = 8

// linkState is how far a connection to a parent has come.
type linkState uint8

const (
	linkDialling linkState = iota + 1
	// linkGreeting: Hello is sent, the parent's is awaited.
	linkGreeting
	linkFollowing
)

// link is a connection, or an attempt at one, to a parent.
type link struct {
	index   int
	address string
	peer    PeerID
	state   linkState
	// dialled is when the attempt began; heard is when the parent last said anything; changed is when it last brought changes.
	dialled, heard, changed time.Duration
	// probed: the Hello that was sent asked for no changes.
	probed bool
	// awaitsHello: what comes before the parent's next Hello doesn't fit anymore.
	awaitsHello bool
	// epoch is the highest that the parent has seen, sourceStale whether its own knowledge is stale.
	epoch       uint64
	sourceStale bool
}

// upstream is a node's side towards its parents. There is one parent at a time, and at most one candidate besides: the
// next parent where there is none, else one that may be better.
type upstream struct {
	addresses []string
	parent    *link
	candidate *link
	// next is the index of the next address to try, dialAt when. never: nothing is planned.
	next   int
	dialAt time.Duration
	retry  backoff
	search backoff
	// returnAt is when to look whether the preferred parent is back.
	returnAt time.Duration
	pingAt   time.Duration
	// received tells when anything was last received from a parent.
	received watermark
}

func newUpstream(config Config, now time.Duration) upstream {
	u := upstream{
		addresses: config.Parents,
		dialAt:    now,
		retry:     backoff{least: config.RetryMin, most: config.RetryMax},
		search:    backoff{least: config.RetryMax, most: searchSlowdown * config.RetryMax},
		returnAt:  never,
		pingAt:    never,
	}
	if len(config.Parents) == 0 {
		u.dialAt = never
	}
	return u
}

// link returns the connection of that name, or nil.
func (u *upstream) link(peer PeerID) *link {
	for _, link := range u.links() {
		if link.state != linkDialling && link.peer == peer {
			return link
		}
	}
	return nil
}

// links returns the connections and attempts that there are.
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

// tickUpstream does what is due towards the parents.
func (n *Node) tickUpstream() {
	u := &n.upstream
	if parent := u.parent; parent != nil && n.now-parent.heard >= n.config.SilenceAfter {
		n.endLink(parent, Goodbye{})
		n.parentGone(parent)
	}
	if candidate := u.candidate; candidate != nil && n.now >= n.candidateDeadline(candidate) {
		n.endLink(candidate, Goodbye{})
		n.candidateTimedOut(candidate)
	}
	if u.parent != nil && n.now >= u.pingAt {
		n.ping()
	}
	if u.parent != nil && n.now >= u.returnAt && u.candidate == nil {
		u.returnAt = never
		n.dial(0)
	}
	if n.now >= u.dialAt && u.candidate == nil {
		u.dialAt = never
		n.dial(u.next)
	}
}

// upstreamTick returns when the next thing is due.
func (n *Node) upstreamTick() time.Duration {
	u := &n.upstream
	next := never
	if u.parent != nil {
		next = min(u.pingAt, u.parent.heard+n.config.SilenceAfter)
	}
	if u.candidate != nil {
		return min(next, n.candidateDeadline(u.candidate))
	}
	if u.parent != nil {
		next = min(next, u.returnAt)
	}
	return min(next, u.dialAt)
}

// candidateDeadline returns when a candidate is given up. A process that is frozen or overloaded may take a connection and
// say nothing: the first is soon left for the next, but after each failure more time is given, up to that of a parent.
func (n *Node) candidateDeadline(candidate *link) time.Duration {
	if candidate.state == linkDialling {
		return candidate.dialled + n.config.DialTimeout
	}
	patience := n.config.DialTimeout * time.Duration(max(n.upstream.retry.attempts, 1))
	return candidate.heard + min(patience, n.config.SilenceAfter)
}

func (n *Node) dial(index int) {
	address := n.upstream.addresses[index]
	n.upstream.candidate = &link{index: index, address: address, state: linkDialling, dialled: n.now}
	n.output.Dial = address
	n.counters.Dials++
}

// DialFailed tells that the latest attempt to connect has failed.
func (n *Node) DialFailed() {
	candidate := n.upstream.candidate
	if candidate == nil || candidate.state != linkDialling {
		return
	}
	n.upstream.candidate = nil
	n.candidateGone(candidate)
}

// parentOpened greets the parent at the other end of a new connection.
func (n *Node) parentOpened(peer PeerID) {
	candidate := n.upstream.candidate
	if candidate == nil || candidate.state != linkDialling {
		n.close(peer)
		return
	}
	candidate.peer = peer
	candidate.state = linkGreeting
	candidate.heard = n.now
	candidate.probed = n.upstream.parent != nil
	n.sendHello(candidate, candidate.probed)
}

// sendHello says how far this node has come.
func (n *Node) sendHello(link *link, probe bool) {
	n.send(link.peer, n.hello(stampAt(n.now), probe), &n.counters.ToParents)
	link.awaitsHello = true
}

func (n *Node) hello(stamp Stamp, probe bool) Hello {
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
		SinceReceived: n.upstream.received.age(n.now),
		Positions:     n.positions(),
	}
}

func (n *Node) ping() {
	u := &n.upstream
	n.send(u.parent.peer, Ping{Stamp: stampAt(n.now)}, &n.counters.ToParents)
	u.pingAt = n.now + n.config.HeartbeatEvery
}

// parentLost takes the end of a connection that the other side or the network has ended.
func (n *Node) parentLost(link *link) {
	n.forgetLink(link)
	n.linkGone(link)
}

// endLink says a last word and closes the connection.
func (n *Node) endLink(link *link, last Message) {
	n.forgetLink(link)
	if link.state == linkDialling {
		return
	}
	n.send(link.peer, last, &n.counters.ToParents)
	n.close(link.peer)
}

func (n *Node) forgetLink(link *link) {
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

// linkGone plans what comes after the loss of a connection, which is forgotten already.
func (n *Node) linkGone(link *link) {
	if link.state == linkFollowing {
		n.parentGone(link)
		return
	}
	n.candidateGone(link)
}

func (n *Node) parentGone(parent *link) {
	n.counters.ParentsLost++
	n.planNextParent(parent.index, n.now)
}

// candidateGone goes on to the next address, or back to what the candidate was to be better than.
func (n *Node) candidateGone(candidate *link) {
	if n.upstream.parent == nil {
		n.planNextParent(candidate.index, candidate.dialled)
		return
	}
	n.upstream.next = n.nextIndex(candidate.index)
	n.planReturn()
	n.planSearch()
}

// candidateTimedOut goes on to the next address. An attempt at a connection that is given up has taken its time already, and
// has reached nobody: the next one follows soon, so that a network that was cut is used again soon after it heals.
func (n *Node) candidateTimedOut(candidate *link) {
	if n.upstream.parent != nil || candidate.state != linkDialling {
		n.candidateGone(candidate)
		return
	}
	n.upstream.next = n.nextIndex(candidate.index)
	n.upstream.dialAt = n.now + jitter(n.random, n.config.RetryMin)
}

// planNextParent plans an attempt at the address after that of a parent that is lost. The wait is from a moment on: from the
// loss, or from the beginning of the attempt that has failed.
func (n *Node) planNextParent(lost int, from time.Duration) {
	u := &n.upstream
	u.next = n.nextIndex(lost)
	u.dialAt = max(n.now, from+u.retry.next(n.random))
}

func (n *Node) nextIndex(index int) int {
	return (index + 1) % len(n.upstream.addresses)
}

// planReturn plans a look at the preferred parent where another one is followed.
func (n *Node) planReturn() {
	u := &n.upstream
	if u.parent == nil || u.parent.index == 0 || u.returnAt != never {
		return
	}
	u.returnAt = n.now + n.config.ReturnAfter + jitter(n.random, n.config.ReturnJitter)
}

// parentIsStuck tells whether the parent's own knowledge is stale and nothing new comes from it. One that is catching up
// itself is not stuck: to leave it then would only cost time.
func (n *Node) parentIsStuck() bool {
	parent := n.upstream.parent
	return parent.sourceStale && n.now-parent.changed > n.config.HeartbeatEvery
}

// planSearch plans a look at other parents while the one that is followed is stuck.
func (n *Node) planSearch() {
	u := &n.upstream
	if u.parent == nil {
		return
	}
	if !n.parentIsStuck() {
		u.dialAt = never
		u.search.reset()
		return
	}
	if len(u.addresses) < 2 || u.dialAt != never || u.candidate != nil {
		return
	}
	if u.next == u.parent.index {
		u.next = n.nextIndex(u.next)
	}
	u.dialAt = n.now + n.config.RetryMin + u.search.next(n.random)
}

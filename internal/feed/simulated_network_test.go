package feed

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"
)

// simulation runs nodes on a simulated network in virtual time. It is fully determined by its seed.
type simulation struct {
	now    time.Duration
	random *rand.Rand
	// publications is a separate generator, so that fleets of any size publish the same changes.
	publications *rand.Rand
	queue        eventQueue
	scheduled    uint64
	nodes        []*simulatedNode
	byName       map[string]*simulatedNode
	nextPeer     PeerID
	checker      *checker
	// isolated holds the regions that are cut off from all others.
	isolated map[int]bool
	// slowBy is added to the latency between regions until slowUntil.
	slowUntil, slowBy time.Duration
	// tamper, if set, modifies the events of a node before the checker sees them.
	tamper func(node *simulatedNode, events []Event) []Event
	// adjustAge, if set, modifies the age reported by a node before the checker sees it.
	adjustAge func(node *simulatedNode, age time.Duration) time.Duration
	// adjustBytes, if set, modifies the size of a message to a node before the checker sees it.
	adjustBytes func(node *simulatedNode, bytes int) int
}

// simulatedNode is a node with its process and its place in the network.
type simulatedNode struct {
	name   string
	region int
	config Config
	// node is nil while the process is down.
	node *Node
	// disk holds the changes that a publisher has persisted.
	disk   []Change
	starts uint64
	frozen bool
	// inbox holds what arrived while the process was frozen.
	inbox []func()
	peers map[PeerID]*connectionEnd
	// dials counts attempts, so that only the latest one is reported.
	dials  uint64
	tickAt time.Duration
}

// connectionEnd is one end of a connection.
type connectionEnd struct {
	owner *simulatedNode
	start uint64
	peer  PeerID
	other *connectionEnd
	open  bool
	// arrival is when the latest message from this end arrives, to preserve the order of messages.
	arrival time.Duration
	// held contains messages that are delayed until a cut ends.
	held []func()
}

const (
	nearLatency = time.Millisecond
	farLatency  = 60 * time.Millisecond
	// heldRecheck is the interval at which delivery of held messages is retried.
	heldRecheck = 20 * time.Millisecond
)

func newSimulation(seed uint64, config Config) *simulation {
	return &simulation{
		random:       rand.New(rand.NewPCG(seed, 1)),
		publications: rand.New(rand.NewPCG(seed, 3)),
		byName:       make(map[string]*simulatedNode),
		checker:      newChecker(config),
		isolated:     make(map[int]bool),
	}
}

// entry is an action scheduled for a time. Entries for the same time keep their order.
type entry struct {
	at     time.Duration
	number uint64
	action func()
}

type eventQueue []entry

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].number < q[j].number
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(entry)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	(*q)[len(*q)-1] = entry{}
	*q = (*q)[:len(*q)-1]
	return last
}

func (s *simulation) runAt(when time.Duration, action func()) {
	s.scheduled++
	heap.Push(&s.queue, entry{at: max(when, s.now), number: s.scheduled, action: action})
}

func (s *simulation) runAfter(wait time.Duration, action func()) {
	s.runAt(s.now+wait, action)
}

func (s *simulation) runUntil(end time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= end {
		next := heap.Pop(&s.queue).(entry)
		s.now = next.at
		next.action()
	}
	s.now = end
}

func (s *simulation) add(name string, region int, config Config) *simulatedNode {
	config.ID = name
	config.Seed = s.random.Uint64()
	node := &simulatedNode{name: name, region: region, config: config}
	s.nodes = append(s.nodes, node)
	s.byName[name] = node
	return node
}

// start starts a node's process with the changes on its disk.
func (s *simulation) start(sn *simulatedNode) {
	node, err := NewNode(sn.config, sn.disk, s.now)
	if err != nil {
		panic(fmt.Sprintf("%s: %v", sn.name, err))
	}
	sn.node = node
	sn.starts++
	sn.frozen = false
	sn.inbox = nil
	sn.peers = make(map[PeerID]*connectionEnd)
	sn.tickAt = never
	s.checker.recordStart(sn.name, sn.config.Role)
	s.run(sn, func() {})
}

// kill ends a node's process. Its peers notice, unless they are cut off.
func (s *simulation) kill(sn *simulatedNode) {
	if sn.node == nil {
		return
	}
	sn.node = nil
	for _, peer := range sortedPeers(sn.peers) {
		s.closeEnd(sn.peers[peer])
	}
	sn.peers = nil
}

func (s *simulation) freeze(sn *simulatedNode) {
	sn.frozen = true
}

func (s *simulation) unfreeze(sn *simulatedNode) {
	if !sn.frozen {
		return
	}
	sn.frozen = false
	inbox := sn.inbox
	sn.inbox = nil
	for _, action := range inbox {
		action()
	}
	if sn.node != nil {
		s.run(sn, func() {})
	}
}

// run passes an input to a node and executes its output.
func (s *simulation) run(sn *simulatedNode, input func()) {
	sn.node.Tick(s.now)
	s.reportAge(sn)
	input()
	s.execute(sn)
	s.reportAge(sn)
	s.scheduleTick(sn)
}

func (s *simulation) reportAge(sn *simulatedNode) {
	if sn.config.Role == Publisher {
		return
	}
	age := sn.node.age()
	if s.adjustAge != nil {
		age = s.adjustAge(sn, age)
	}
	s.report(sn, sn.node.output.Events)
	sn.node.output.Events = nil
	s.checker.checkAge(sn.name, age, s.now)
}

func (s *simulation) report(sn *simulatedNode, events []Event) {
	if s.tamper != nil {
		events = s.tamper(sn, events)
	}
	for _, event := range events {
		s.checker.checkEvent(sn.name, event, s.now)
	}
}

// deliver passes an input to a process, or queues it while the process is frozen. Input to a process that has ended is
// dropped.
func (s *simulation) deliver(sn *simulatedNode, start uint64, input func()) {
	switch {
	case sn.node == nil || sn.starts != start:
	case sn.frozen:
		sn.inbox = append(sn.inbox, func() { s.deliver(sn, start, input) })
	default:
		s.run(sn, input)
	}
}

func (s *simulation) scheduleTick(sn *simulatedNode) {
	next := sn.node.NextTick()
	if next == never || next >= sn.tickAt && sn.tickAt > s.now {
		return
	}
	// Timers of a driver may fire late, but never early.
	next = max(next, s.now) + time.Duration(s.random.IntN(int(time.Millisecond)))
	sn.tickAt = next
	start := sn.starts
	s.runAt(next, func() {
		if sn.tickAt == next && sn.starts == start {
			sn.tickAt = never
			s.deliver(sn, start, func() {})
		}
	})
}

// publish publishes a change if the node is running.
func (s *simulation) publish(sn *simulatedNode, kind Kind, key, value []byte) {
	if sn.node == nil || sn.frozen {
		return
	}
	s.run(sn, func() {
		if _, err := sn.node.Publish(kind, key, value); err != nil {
			s.checker.addViolation("%s: publish: %v", s.now, err)
		}
	})
}

func (s *simulation) execute(sn *simulatedNode) {
	output := sn.node.TakeOutput()
	for _, change := range output.Persist {
		sn.disk = append(sn.disk, change)
		s.checker.recordPublication(change, s.now)
	}
	for _, envelope := range output.Send {
		s.send(sn, envelope)
	}
	if output.Dial != "" {
		s.dial(sn, output.Dial)
	}
	for _, peer := range output.Close {
		if end := sn.peers[peer]; end != nil {
			delete(sn.peers, peer)
			s.closeEnd(end)
		}
	}
	s.report(sn, output.Events)
}

// reachable reports whether two nodes can currently reach each other.
func (s *simulation) reachable(a, b *simulatedNode) bool {
	return a.region == b.region || !s.isolated[a.region] && !s.isolated[b.region]
}

func (s *simulation) latency(a, b *simulatedNode) time.Duration {
	if a.region == b.region {
		return nearLatency
	}
	latency := farLatency + time.Duration(s.random.Int64N(int64(farLatency)/4))
	if s.now < s.slowUntil {
		latency += s.slowBy
	}
	return latency
}

func (s *simulation) dial(sn *simulatedNode, address string) {
	sn.dials++
	dial, start := sn.dials, sn.starts
	target := s.byName[address]
	if !s.reachable(sn, target) {
		return
	}
	s.runAfter(2*s.latency(sn, target), func() {
		if !s.reachable(sn, target) {
			return
		}
		s.deliver(sn, start, func() {
			switch {
			case sn.dials != dial:
			case target.node == nil:
				sn.node.DialFailed()
			default:
				s.connect(sn, target)
			}
		})
	})
}

func (s *simulation) connect(from, to *simulatedNode) {
	near := s.newEnd(from)
	far := s.newEnd(to)
	near.other, far.other = far, near
	s.deliver(to, to.starts, func() { to.node.PeerOpened(far.peer, false) })
	from.node.PeerOpened(near.peer, true)
}

func (s *simulation) newEnd(owner *simulatedNode) *connectionEnd {
	s.nextPeer++
	end := &connectionEnd{owner: owner, start: owner.starts, peer: s.nextPeer, open: true}
	owner.peers[end.peer] = end
	return end
}

func (s *simulation) send(sn *simulatedNode, envelope Envelope) {
	end := sn.peers[envelope.Peer]
	if end == nil || !end.open {
		return
	}
	other := end.other
	s.recordBytes(sn, other, len(envelope.Frame))
	s.transmit(end, func() {
		s.deliver(other.owner, other.start, func() {
			message, _, err := DecodeFrame(envelope.Frame, DefaultFrameLimit)
			if err != nil {
				s.checker.addViolation("%s: cannot decode a frame of %T: %v", s.now, envelope.Message, err)
				return
			}
			other.owner.node.Receive(other.peer, message)
		})
	})
}

// recordBytes passes the bytes of messages to children to the checker. A former parent may still send to a subscriber until
// it learns of the closed connection: those bytes count for the parent only, because the subscriber does not receive them.
func (s *simulation) recordBytes(from *simulatedNode, end *connectionEnd, bytes int) {
	to := end.owner
	if from.config.Role >= to.config.Role {
		return
	}
	if s.adjustBytes != nil {
		bytes = s.adjustBytes(to, bytes)
	}
	s.checker.recordSent("sent by "+from.name, bytes, from.node.config.TotalBytesPerSecond, s.now)
	if to.config.Role == Relay {
		s.checker.recordSent(from.name+" to "+to.name, bytes, from.node.config.RelayBytesPerSecond, s.now)
		return
	}
	limit := from.node.config.ChildBytesPerSecond + from.node.config.ChildBurst
	s.checker.recordSent(from.name+" to "+to.name, bytes, limit, s.now)
	if end.open {
		s.checker.recordSent("sent to "+to.name, bytes, limit, s.now)
	}
}

// transmit delivers something to the other end after everything that was sent before it.
func (s *simulation) transmit(end *connectionEnd, arrive func()) {
	at := max(s.now+s.latency(end.owner, end.other.owner), end.arrival)
	end.arrival = at
	s.runAt(at, func() { s.arrive(end, arrive) })
}

// arrive holds an arriving message while the regions cannot reach each other, and also the messages after it.
func (s *simulation) arrive(end *connectionEnd, arrive func()) {
	if len(end.held) == 0 && s.reachable(end.owner, end.other.owner) {
		arrive()
		return
	}
	end.held = append(end.held, arrive)
	if len(end.held) == 1 {
		s.runAfter(heldRecheck, func() { s.release(end) })
	}
}

// release delivers the held messages once the regions can reach each other again.
func (s *simulation) release(end *connectionEnd) {
	if !s.reachable(end.owner, end.other.owner) {
		s.runAfter(heldRecheck, func() { s.release(end) })
		return
	}
	held := end.held
	end.held = nil
	for _, arrive := range held {
		arrive()
	}
}

// closeEnd closes a connection at one end. The other end notices after it has received what was sent before.
func (s *simulation) closeEnd(end *connectionEnd) {
	if !end.open {
		return
	}
	end.open = false
	other := end.other
	s.transmit(end, func() { s.loseEnd(other) })
}

func (s *simulation) loseEnd(end *connectionEnd) {
	end.open = false
	s.deliver(end.owner, end.start, func() {
		delete(end.owner.peers, end.peer)
		end.owner.node.PeerLost(end.peer)
	})
}

// breakConnections breaks all connections of a node at both ends.
func (s *simulation) breakConnections(sn *simulatedNode) {
	for _, peer := range sortedPeers(sn.peers) {
		end := sn.peers[peer]
		s.loseEnd(end)
		s.loseEnd(end.other)
	}
}

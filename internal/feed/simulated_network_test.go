package feed

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"
)

// simulation runs nodes on a network with virtual time. All that happens follows from its seed.
type simulation struct {
	now    time.Duration
	random *rand.Rand
	// publications is apart from random, so that fleets of any size have the same changes.
	publications *rand.Rand
	eventQueue   eventQueue
	entered      uint64
	nodes        []*simulatedNode
	byName       map[string]*simulatedNode
	nextPeer     PeerID
	checker      *checker
	// isolated are the regions that can't reach others, nor be reached.
	isolated map[int]bool
	// slowUntil and slowBy delay what is sent between different regions.
	slowUntil, slowBy time.Duration
	// tamper, if set, changes a node's events on their way to the checker.
	tamper func(node *simulatedNode, events []Event) []Event
	// restateAge, if set, changes the age that a node states on its way to the checker.
	restateAge func(node *simulatedNode, age time.Duration) time.Duration
	// weigh, if set, changes the bytes of a message to a node on their way to the checker.
	weigh func(node *simulatedNode, bytes int) int
}

// simulatedNode is a node with its place in the network.
type simulatedNode struct {
	name   string
	region int
	config Config
	// node is nil while the process is down.
	node *Node
	// disk is what a publisher has kept.
	disk   []Change
	starts uint64
	frozen bool
	// inbox is what came while the process was frozen.
	inbox []func()
	peers map[PeerID]*connectionEnd
	// dials counts attempts, so that only the latest is reported.
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
	// arrival is when the latest message from this end arrives: they stay in order.
	arrival time.Duration
	// held is what waits for a cut to heal.
	held []func()
}

const (
	nearLatency = time.Millisecond
	farLatency  = 60 * time.Millisecond
	// heldRecheck is how often what waits for a cut to heal is tried again.
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

// entry is something to do at a time. Those of the same time keep their order.
type entry struct {
	at     time.Duration
	number uint64
	action func()
}

type eventQueue []entry

func (a eventQueue) Len() int { return len(a) }
func (a eventQueue) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].number < a[j].number
}
func (a eventQueue) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *eventQueue) Push(x any)   { *a = append(*a, x.(entry)) }
func (a *eventQueue) Pop() any {
	last := (*a)[len(*a)-1]
	(*a)[len(*a)-1] = entry{}
	*a = (*a)[:len(*a)-1]
	return last
}

func (s *simulation) at(when time.Duration, action func()) {
	s.entered++
	heap.Push(&s.eventQueue, entry{at: max(when, s.now), number: s.entered, action: action})
}

func (s *simulation) after(wait time.Duration, action func()) {
	s.at(s.now+wait, action)
}

func (s *simulation) runUntil(end time.Duration) {
	for len(s.eventQueue) > 0 && s.eventQueue[0].at <= end {
		next := heap.Pop(&s.eventQueue).(entry)
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

// start starts a node's process with what it has on disk.
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
	s.checker.start(sn.name, sn.config.Role)
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

func (s *simulation) wake(sn *simulatedNode) {
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

// run lets a node take something in, and does what it puts out.
func (s *simulation) run(sn *simulatedNode, input func()) {
	sn.node.Tick(s.now)
	s.reportAge(sn)
	input()
	s.carryOut(sn)
	s.reportAge(sn)
	s.planTick(sn)
}

func (s *simulation) reportAge(sn *simulatedNode) {
	if sn.config.Role == Publisher {
		return
	}
	age := sn.node.age()
	if s.restateAge != nil {
		age = s.restateAge(sn, age)
	}
	s.report(sn, sn.node.output.Events)
	sn.node.output.Events = nil
	s.checker.age(sn.name, age, s.now)
}

func (s *simulation) report(sn *simulatedNode, events []Event) {
	if s.tamper != nil {
		events = s.tamper(sn, events)
	}
	for _, event := range events {
		s.checker.event(sn.name, event, s.now)
	}
}

// deliver hands something to a process, or keeps it while that is frozen. It is dropped where the process has ended.
func (s *simulation) deliver(sn *simulatedNode, start uint64, input func()) {
	switch {
	case sn.node == nil || sn.starts != start:
	case sn.frozen:
		sn.inbox = append(sn.inbox, func() { s.deliver(sn, start, input) })
	default:
		s.run(sn, input)
	}
}

func (s *simulation) planTick(sn *simulatedNode) {
	next := sn.node.NextTick()
	if next == never || next >= sn.tickAt && sn.tickAt > s.now {
		return
	}
	// A driver's timer is late, and never early.
	next = max(next, s.now) + time.Duration(s.random.IntN(int(time.Millisecond)))
	sn.tickAt = next
	start := sn.starts
	s.at(next, func() {
		if sn.tickAt == next && sn.starts == start {
			sn.tickAt = never
			s.deliver(sn, start, func() {})
		}
	})
}

// publish publishes at a node, if it can.
func (s *simulation) publish(sn *simulatedNode, kind Kind, key, value []byte) {
	if sn.node == nil || sn.frozen {
		return
	}
	s.run(sn, func() {
		if _, err := sn.node.Publish(kind, key, value); err != nil {
			s.checker.fail("%s: publish: %v", s.now, err)
		}
	})
}

func (s *simulation) carryOut(sn *simulatedNode) {
	output := sn.node.TakeOutput()
	for _, change := range output.Persist {
		sn.disk = append(sn.disk, change)
		s.checker.publish(change, s.now)
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

// reachable tells whether two nodes' regions can reach each other.
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
	s.after(2*s.latency(sn, target), func() {
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
	s.weighMessage(sn, other, len(envelope.Frame))
	s.transmit(end, func() {
		s.deliver(other.owner, other.start, func() {
			message, _, err := DecodeFrame(envelope.Frame, DefaultFrameLimit)
			if err != nil {
				s.checker.fail("%s: a frame of %T can't be read: %v", s.now, envelope.Message, err)
				return
			}
			other.owner.node.Receive(other.peer, message)
		})
	})
}

// weighMessage reports the bytes of messages to children. A subscriber that has left a parent is sent more by it until the
// parent learns of that: this counts for the parent, but doesn't get to the subscriber anymore.
func (s *simulation) weighMessage(from *simulatedNode, end *connectionEnd, bytes int) {
	to := end.owner
	if from.config.Role >= to.config.Role {
		return
	}
	if s.weigh != nil {
		bytes = s.weigh(to, bytes)
	}
	s.checker.sent("sent by "+from.name, bytes, from.node.config.TotalBytesPerSecond, s.now)
	if to.config.Role == Relay {
		s.checker.sent(from.name+" to "+to.name, bytes, from.node.config.RelayBytesPerSecond, s.now)
		return
	}
	limit := from.node.config.ChildBytesPerSecond + from.node.config.ChildBurst
	s.checker.sent(from.name+" to "+to.name, bytes, limit, s.now)
	if end.open {
		s.checker.sent("sent to "+to.name, bytes, limit, s.now)
	}
}

// transmit lets something arrive at the other end, behind what was sent before it.
func (s *simulation) transmit(end *connectionEnd, arrive func()) {
	at := max(s.now+s.latency(end.owner, end.other.owner), end.arrival)
	end.arrival = at
	s.at(at, func() { s.arrive(end, arrive) })
}

// arrive holds what arrives for as long as the way is cut, and what comes behind it.
func (s *simulation) arrive(end *connectionEnd, arrive func()) {
	if len(end.held) == 0 && s.reachable(end.owner, end.other.owner) {
		arrive()
		return
	}
	end.held = append(end.held, arrive)
	if len(end.held) == 1 {
		s.after(heldRecheck, func() { s.release(end) })
	}
}

// release lets what was held arrive, once the way is open again.
func (s *simulation) release(end *connectionEnd) {
	if !s.reachable(end.owner, end.other.owner) {
		s.after(heldRecheck, func() { s.release(end) })
		return
	}
	held := end.held
	end.held = nil
	for _, arrive := range held {
		arrive()
	}
}

// closeEnd closes a connection at one end. The other end notices behind what was sent before.
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

// breakConnections breaks all connections of a node.
func (s *simulation) breakConnections(sn *simulatedNode) {
	for _, peer := range sortedPeers(sn.peers) {
		end := sn.peers[peer]
		s.loseEnd(end)
		s.loseEnd(end.other)
	}
}

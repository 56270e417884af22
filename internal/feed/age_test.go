package feed

import (
	"testing"
	"time"
)

func TestAgeCountsFromTheEchoedStamp(t *testing.T) {
	node := followingNode(t, subscriberConfig())
	sent := node.now
	echo := stampAt(sent)
	node.Tick(sent + 700*time.Millisecond)
	node.Receive(parentPeer, Heartbeat{Epoch: 5, Echo: echo, Age: 100 * time.Millisecond, Positions: node.positions()})
	if age := node.Status().Age; age != 800*time.Millisecond {
		t.Errorf("age %s", age)
	}
	// Messages with a higher age do not lower the watermark.
	node.Receive(parentPeer, Heartbeat{Epoch: 5, Echo: echo, Age: time.Hour, Positions: node.positions()})
	node.Receive(parentPeer, Heartbeat{Epoch: 5, Echo: echo, Age: AgeUnknown, Positions: node.positions()})
	node.Receive(parentPeer, Heartbeat{Epoch: 5, Echo: stampAt(time.Hour), Age: 0, Positions: node.positions()})
	if age := node.Status().Age; age != 800*time.Millisecond {
		t.Errorf("age %s after messages with a higher age", age)
	}
}

func TestAgeIgnoresMessagesThatDoNotFollow(t *testing.T) {
	node := followingNode(t, subscriberConfig())
	positions := []Position{{}, {5, 3}}
	node.Receive(parentPeer, Heartbeat{Epoch: 5, Echo: stampAt(node.now), Positions: positions})
	if age := node.Status().Age; age != AgeUnknown {
		t.Errorf("age %s", age)
	}
}

func TestAgeIsUnknownUntilASnapshotIsComplete(t *testing.T) {
	node := followingNode(t, subscriberConfig())
	echo := stampAt(node.now)
	part := Snapshot{
		At: Position{5, 3}, Echo: echo, Entries: []Change{testChange(0, 5, 3)}, Last: true, CompleteAt: Position{5, 4},
	}
	node.Receive(parentPeer, part)
	if age := node.Status().Age; age != AgeUnknown {
		t.Errorf("age %s before the superseding change has arrived", age)
	}
	rest := Batch{From: Position{5, 3}, Epoch: 5, Echo: echo, Changes: []Change{testChange(0, 5, 4)}}
	node.Receive(parentPeer, rest)
	if age := node.Status().Age; age != 0 {
		t.Errorf("age %s after the superseding change has arrived", age)
	}
}

func TestChildAgeCountsFromTheOldestMissingChange(t *testing.T) {
	config := publisherConfig()
	node := mustNode(t, config, []Change{testChange(0, 1, 1)})
	node.PeerOpened(otherPeer, false)
	hello := newTestHello(config, Relay, 1, AgeUnknown)
	hello.Positions[0] = Position{1, 1}
	node.Receive(otherPeer, hello)
	child := node.children.byPeer[otherPeer]
	if age := node.childAge(child); age != 0 {
		t.Errorf("child that lacks nothing: age %s", age)
	}
	node.Tick(time.Second)
	if _, err := node.Publish(0, []byte("key"), nil); err != nil {
		t.Fatal(err)
	}
	node.now += 3 * time.Second
	if age := node.childAge(child); age != 3*time.Second {
		t.Errorf("child that lacks a change published 3s ago: age %s", age)
	}
	child.cursors[0].position = Position{}
	if age := node.childAge(child); age != AgeUnknown {
		t.Errorf("child that lacks a change from before the restart: age %s", age)
	}
}

// agesOf runs a fleet with one relay in each of two regions for 15 seconds, cutting off region 1 after 5 seconds if isolate
// is set. It returns the Stale and Fresh events of a subscriber in region 1 and its age at the end.
func agesOf(t *testing.T, isolate bool) ([]Event, time.Duration) {
	t.Helper()
	p := plan{seed: 1, relays: 2, subscribers: 4, window: 300}
	s := p.build()
	var events []Event
	s.tamper = func(node *simulatedNode, all []Event) []Event {
		for _, event := range all {
			_, stale := event.(Stale)
			_, fresh := event.(Fresh)
			if node.name == subscriberName(1) && (stale || fresh) {
				events = append(events, event)
			}
		}
		return all
	}
	s.runUntil(5 * time.Second)
	s.isolated[1] = isolate
	s.runUntil(15 * time.Second)
	subscriber := s.byName[subscriberName(1)]
	if !subscriber.node.Status().Connected {
		t.Error("the subscriber is not connected to the relay in its region")
	}
	for _, violation := range s.checker.violations {
		t.Error(violation)
	}
	return events, subscriber.node.Status().Age
}

func TestIdleRegionStaysFreshAndCutRegionTurnsStale(t *testing.T) {
	events, age := agesOf(t, false)
	if countEvents[Fresh](events) != 1 || countEvents[Stale](events) != 0 || age > DefaultMaxAge {
		t.Errorf("idle: events %v, age %s", events, age)
	}
	events, age = agesOf(t, true)
	if countEvents[Fresh](events) != 1 || countEvents[Stale](events) != 1 || age < 10*time.Second {
		t.Errorf("cut off: events %v, age %s", events, age)
	}
}

func TestLiveChangesArriveWithinASecond(t *testing.T) {
	p := plan{seed: 3, relays: 3, subscribers: 30, window: 30000, purgesPerSecond: 22, settingsPerSecond: 1}
	s := p.build()
	s.publishUntil(20*time.Second, 0, p.settingsPerSecond)
	s.publishUntil(20*time.Second, 1, p.purgesPerSecond)
	const step = 50 * time.Millisecond
	s.runUntil(2 * time.Second)
	for s.now < 20*time.Second {
		s.runUntil(s.now + step)
		for _, node := range s.nodes {
			if node.config.Role == Subscriber {
				s.checker.requireCurrent(node.name, s.now-liveDelay, s.now)
			}
		}
	}
	if len(s.checker.violations) > 0 {
		t.Error(s.checker.violations[0])
	}
	subscriber := s.byName[subscriberName(7)].node.Status().Counters
	perSecond := (subscriber.FromParents.Bytes + subscriber.ToParents.Bytes) / 20
	t.Logf("traffic per subscriber: %d bytes per second", perSecond)
	if perSecond > 700 {
		t.Errorf("%d bytes per second per subscriber, want at most 700", perSecond)
	}
}

func TestPurgesArriveDespiteASmallTotalBudget(t *testing.T) {
	config := planConfig(3000)
	config.RelayBytesPerSecond = 6000
	config.TotalBytesPerSecond = 6000
	s := newSimulation(1, config)
	publisher := config
	publisher.Role, publisher.Epoch = Publisher, 1
	s.add(publisherName, 0, publisher)
	for i := range 10 {
		subscriber := config
		subscriber.Role, subscriber.Parents = Subscriber, []string{publisherName}
		s.add(subscriberName(i), 0, subscriber)
	}
	for _, node := range s.nodes {
		s.start(node)
	}
	// The burst of 100 purges exceeds what the total budget allows at once.
	s.publishUntil(10*time.Second, 1, 5)
	s.runAt(5*time.Second, func() {
		for range 100 {
			s.publishRandom(1)
		}
	})
	s.runUntil(15 * time.Second)
	for i := range 10 {
		s.checker.requireCurrent(subscriberName(i), s.now, s.now)
	}
	if deferred := s.byName[publisherName].node.Status().Counters.Deferred; deferred == 0 {
		t.Error("no changes were deferred")
	}
	for _, violation := range s.checker.violations {
		t.Error(violation)
	}
}

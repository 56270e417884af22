package feed

import (
	"testing"
	"time"
)

// lossFleet returns a fleet with ongoing changes until the given time.
func lossFleet(end time.Duration) *simulation {
	p := plan{seed: 5, relays: 4, subscribers: 40, window: 3000}
	s := p.build()
	s.publishUntil(end, 0, designSettingsPerSecond)
	s.publishUntil(end, 1, 22)
	return s
}

// requireCurrent requires that all subscribers are current.
func requireCurrent(t *testing.T, s *simulation) {
	t.Helper()
	for _, node := range s.nodes {
		if node.config.Role == Subscriber {
			s.checker.requireCurrent(node.name, s.now-liveDelay, s.now)
		}
	}
	for _, violation := range s.checker.violations {
		t.Error(violation)
	}
}

func TestSubscribersLeaveLostRelays(t *testing.T) {
	const lostAt = 5 * time.Second
	tests := []struct {
		name string
		lose func(s *simulation)
	}{
		{"two dead", func(s *simulation) {
			s.kill(s.byName[relayName(1)])
			s.kill(s.byName[relayName(2)])
		}},
		{"two frozen", func(s *simulation) {
			s.freeze(s.byName[relayName(1)])
			s.freeze(s.byName[relayName(2)])
		}},
		{"one dead, one frozen", func(s *simulation) {
			s.kill(s.byName[relayName(1)])
			s.freeze(s.byName[relayName(2)])
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := lossFleet(lostAt + currentWithin)
			s.runAt(lostAt, func() { test.lose(s) })
			s.runUntil(lostAt + currentWithin)
			requireCurrent(t, s)
		})
	}
}

func TestSubscribersLeaveARelayWithoutPublisher(t *testing.T) {
	const (
		lostAt = 5 * time.Second
		// The relay must time out its parent and become stale, and the subscribers must find another relay.
		movedWithin = 8 * time.Second
	)
	s := lossFleet(lostAt + movedWithin)
	relay := s.byName[relayName(1)]
	s.runAt(lostAt, func() {
		// Leave the relay without a publisher but still connected to its subscribers.
		relay.node.config.Parents[0] = "nowhere"
		relay.node.upstream.addresses = []string{relayName(2)}
		for _, peer := range sortedPeers(relay.peers) {
			if end := relay.peers[peer]; end.other.owner.config.Role == Publisher {
				s.loseEnd(end)
				s.loseEnd(end.other)
			}
		}
	})
	s.runUntil(lostAt + movedWithin)
	requireCurrent(t, s)
	if children := relay.node.Status().Children; children != 0 {
		t.Errorf("the relay has %d children", children)
	}
}

func TestBudgetOfANewConnection(t *testing.T) {
	config := publisherConfig()
	node := mustNode(t, config, nil)
	hello := newTestHello(config, Subscriber, 0, AgeUnknown)
	for _, test := range []struct {
		since  time.Duration
		wanted float64
	}{{AgeUnknown, DefaultChildBurst}, {time.Second, DefaultChildBurst}, {time.Second - 1, 0}, {0, 0}} {
		hello.SinceReceived = test.since
		if b := node.childBudget(hello); b.tokens != test.wanted {
			t.Errorf("%s since the last message: %.0f bytes, want %.0f", test.since, b.tokens, test.wanted)
		}
	}
	hello.SinceReceived = time.Minute
	node.PeerOpened(otherPeer, false)
	node.Receive(otherPeer, hello)
	spent := node.children.byPeer[otherPeer].budget
	if b := node.childBudget(hello); spent.tokens >= DefaultChildBurst || b.tokens != float64(int(spent.tokens)) {
		t.Errorf("another connection of the same child has %.0f bytes, the first has %.0f", b.tokens, spent.tokens)
	}
}

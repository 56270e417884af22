package feed

import (
	"reflect"
	"testing"
	"time"
)

// tickUntil ticks a node whenever it asks for it, until a moment, and returns all that it put out.
func tickUntil(node *Node, end time.Duration) Output {
	var all Output
	for {
		next := node.NextTick()
		if next > end {
			node.Tick(end)
			return all
		}
		node.Tick(next)
		output := node.TakeOutput()
		all.Send = append(all.Send, output.Send...)
		all.Close = append(all.Close, output.Close...)
		all.Events = append(all.Events, output.Events...)
		if output.Dial != "" {
			all.Dial = output.Dial
		}
	}
}

func TestSilentParentIsGivenUp(t *testing.T) {
	node := followingNode(t, subscriberConfig())
	tickUntil(node, node.now+DefaultSilenceAfter-time.Millisecond)
	if !node.Status().Connected {
		t.Fatal("given up too early")
	}
	output := tickUntil(node, node.now+DefaultRetryMin+time.Millisecond)
	if node.Status().Connected || len(output.Close) != 1 || output.Dial != "b" {
		t.Errorf("connected %t, closes %v, dials %q", node.Status().Connected, output.Close, output.Dial)
	}
}

func TestOwnStopIsNotTheParentsSilence(t *testing.T) {
	node := followingNode(t, subscriberConfig())
	node.Tick(node.now + time.Minute)
	if !node.Status().Connected {
		t.Error("gave its parent up for its own silence")
	}
}

func TestAttemptsGoOnThroughTheList(t *testing.T) {
	node := mustNode(t, subscriberConfig(), nil)
	var dialled []string
	for len(dialled) < 6 {
		node.Tick(node.NextTick())
		if address := node.TakeOutput().Dial; address != "" {
			dialled = append(dialled, address)
			if len(dialled)%2 == 0 {
				node.DialFailed()
			}
		}
	}
	if wanted := []string{"a", "b", "a", "b", "a", "b"}; !reflect.DeepEqual(dialled, wanted) {
		t.Errorf("dialled %v", dialled)
	}
	if most := 6 * (DefaultDialTimeout + DefaultRetryMax); node.now > most {
		t.Errorf("six attempts took %s", node.now)
	}
}

func TestCandidateThatSaysNothingIsLeftSoon(t *testing.T) {
	node := mustNode(t, subscriberConfig(), nil)
	node.Tick(0)
	node.TakeOutput()
	opened := PeerID(10)
	for _, patience := range []time.Duration{
		DefaultDialTimeout, DefaultDialTimeout, 2 * DefaultDialTimeout, 3 * DefaultDialTimeout, DefaultSilenceAfter,
		DefaultSilenceAfter,
	} {
		opened++
		node.PeerOpened(opened, true)
		begun := node.now
		for node.upstream.candidate != nil && node.upstream.candidate.peer == opened {
			node.Tick(node.NextTick())
		}
		if waited := node.now - begun; waited != patience {
			t.Errorf("left after %s, not %s", waited, patience)
		}
		for node.upstream.candidate == nil {
			node.Tick(node.NextTick())
		}
	}
}

func TestConnectionThatComesTooLateIsClosed(t *testing.T) {
	node := followingNode(t, subscriberConfig())
	node.PeerOpened(otherPeer, true)
	if output := node.TakeOutput(); len(output.Close) != 1 || output.Close[0] != otherPeer {
		t.Errorf("closes %v", output.Close)
	}
}

// nodeOnSecondParent returns a node that follows the second of its parents, kept by heartbeats up to a moment.
func nodeOnSecondParent(t *testing.T, sourceAge time.Duration) *Node {
	t.Helper()
	node := mustNode(t, subscriberConfig(), nil)
	node.Tick(0)
	node.DialFailed()
	node.Tick(DefaultRetryMin)
	if output := node.TakeOutput(); output.Dial != "b" {
		t.Fatalf("dials %q", output.Dial)
	}
	node.PeerOpened(parentPeer, true)
	node.Receive(parentPeer, greeting(node.config, Relay, 1, sourceAge))
	return node
}

// heartbeatsUntil answers the node's pings until it dials or a moment has come, and returns the address dialled.
func heartbeatsUntil(node *Node, end, sourceAge time.Duration) string {
	for node.now < end {
		node.Tick(min(node.NextTick(), end))
		output := node.TakeOutput()
		if output.Dial != "" {
			return output.Dial
		}
		for _, message := range sentTo(output, parentPeer) {
			if ping, ok := message.(Ping); ok {
				node.Receive(parentPeer, Heartbeat{
					Epoch: 1, Echo: ping.Stamp, Age: sourceAge, SourceAge: sourceAge, Positions: node.positions(),
				})
			}
		}
	}
	return ""
}

func TestPreferredParentIsReturnedTo(t *testing.T) {
	for _, fresh := range []bool{true, false} {
		node := nodeOnSecondParent(t, 0)
		address := heartbeatsUntil(node, time.Hour, 0)
		if address != "a" || node.now < DefaultReturnAfter || node.now > DefaultReturnAfter+DefaultReturnJitter+time.Second {
			t.Fatalf("dials %q at %s", address, node.now)
		}
		node.PeerOpened(otherPeer, true)
		if hello := sentTo(node.TakeOutput(), otherPeer)[0].(Hello); !hello.Probe {
			t.Error("asks for changes before it has left its parent")
		}
		age := AgeUnknown
		if fresh {
			age = 0
		}
		node.Receive(otherPeer, greeting(node.config, Relay, 1, age))
		output := node.TakeOutput()
		left, wanted := parentPeer, "a"
		if !fresh {
			left, wanted = otherPeer, "b"
		}
		if parent := node.Status().Parent; parent != wanted || len(output.Close) != 1 || output.Close[0] != left {
			t.Errorf("fresh %t: follows %q, closes %v", fresh, parent, output.Close)
		}
		if fresh {
			continue
		}
		if again := heartbeatsUntil(node, 3*time.Hour, 0); again != "a" {
			t.Errorf("looks no second time at its preferred parent, but dials %q", again)
		}
	}
}

func TestReturnsAreSpreadOverTime(t *testing.T) {
	const nodes = 200
	const slots = 10
	var counts [slots]int
	for seed := range uint64(nodes) {
		config := subscriberConfig()
		config.Seed = seed
		node := mustNode(t, config, nil)
		node.upstream.parent = &link{index: 1}
		node.planReturn()
		slot := (node.upstream.returnAt - DefaultReturnAfter) * slots / DefaultReturnJitter
		counts[min(slot, slots-1)]++
	}
	for slot, count := range counts {
		if count > 2*nodes/slots {
			t.Errorf("%d of %d return in the tenth %d of the time", count, nodes, slot)
		}
	}
}

func TestAnotherParentIsSoughtWhereTheParentIsStale(t *testing.T) {
	t.Run("a fresh one is taken", func(t *testing.T) {
		node := nodeOnSecondParent(t, time.Minute)
		if address := heartbeatsUntil(node, 10*time.Second, time.Minute); address != "a" {
			t.Fatalf("dials %q", address)
		}
		node.PeerOpened(otherPeer, true)
		node.Receive(otherPeer, greeting(node.config, Relay, 1, time.Second))
		if parent := node.Status().Parent; parent != "a" {
			t.Errorf("follows %q", parent)
		}
	})
	t.Run("it stays where all are stale", func(t *testing.T) {
		node := nodeOnSecondParent(t, time.Minute)
		heartbeatsUntil(node, 10*time.Second, time.Minute)
		node.PeerOpened(otherPeer, true)
		node.Receive(otherPeer, greeting(node.config, Relay, 1, time.Minute))
		if parent := node.Status().Parent; parent != "b" {
			t.Errorf("follows %q", parent)
		}
		if address := heartbeatsUntil(node, node.now+time.Minute, time.Minute); address != "a" {
			t.Errorf("looks at no other again, but dials %q", address)
		}
	})
	t.Run("it stays where the parent is fresh", func(t *testing.T) {
		node := nodeOnSecondParent(t, 0)
		if address := heartbeatsUntil(node, DefaultReturnAfter, 0); address != "" {
			t.Errorf("dials %q", address)
		}
	})
	t.Run("it stays where the parent is catching up", func(t *testing.T) {
		node := nodeOnSecondParent(t, time.Minute)
		for node.now < 10*time.Second {
			from := node.kinds[1].head
			node.Receive(parentPeer, purgeBatch(from, 1, 1))
			if address := heartbeatsUntil(node, node.now+200*time.Millisecond, time.Minute); address == "" {
				continue
			}
			node.PeerOpened(otherPeer, true)
			node.Receive(otherPeer, greeting(node.config, Relay, 1, 0))
			node.TakeOutput()
		}
		if parent := node.Status().Parent; parent != "b" {
			t.Errorf("follows %q", parent)
		}
	})
}

func TestLossOfTheParentDuringALookTakesTheCandidate(t *testing.T) {
	node := nodeOnSecondParent(t, time.Minute)
	heartbeatsUntil(node, 10*time.Second, time.Minute)
	node.PeerOpened(otherPeer, true)
	node.TakeOutput()
	node.PeerLost(parentPeer)
	node.Receive(otherPeer, greeting(node.config, Relay, 1, time.Minute))
	sent := sentTo(node.TakeOutput(), otherPeer)
	if parent := node.Status().Parent; parent != "a" || len(sent) != 1 || sent[0].(Hello).Probe {
		t.Errorf("follows %q, sent %v", parent, sent)
	}
}

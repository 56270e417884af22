package feed

import (
	"reflect"
	"testing"
	"time"
)

// tickUntil ticks a node whenever it requests it, until the given time, and returns all of its output.
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

func TestSilentParentIsDropped(t *testing.T) {
	node := followingNode(t, subscriberConfig())
	tickUntil(node, node.now+DefaultSilenceAfter-time.Millisecond)
	if !node.Status().Connected {
		t.Fatal("disconnected too early")
	}
	output := tickUntil(node, node.now+DefaultRetryMin+time.Millisecond)
	if node.Status().Connected || len(output.Close) != 1 || output.Dial != "b" {
		t.Errorf("connected %t, closes %v, dials %q", node.Status().Connected, output.Close, output.Dial)
	}
}

func TestOwnSuspensionDoesNotDropTheParent(t *testing.T) {
	node := followingNode(t, subscriberConfig())
	node.Tick(node.now + time.Minute)
	if !node.Status().Connected {
		t.Error("dropped its parent after its own suspension")
	}
}

func TestAttemptsCycleThroughTheParents(t *testing.T) {
	node := mustNode(t, subscriberConfig(), nil)
	var dialed []string
	for len(dialed) < 6 {
		node.Tick(node.NextTick())
		if address := node.TakeOutput().Dial; address != "" {
			dialed = append(dialed, address)
			if len(dialed)%2 == 0 {
				node.DialFailed()
			}
		}
	}
	if wanted := []string{"a", "b", "a", "b", "a", "b"}; !reflect.DeepEqual(dialed, wanted) {
		t.Errorf("dialed %v", dialed)
	}
	if most := 6 * (DefaultDialTimeout + DefaultRetryMax); node.now > most {
		t.Errorf("six attempts took %s", node.now)
	}
}

func TestSilentCandidateIsDroppedSoon(t *testing.T) {
	node := mustNode(t, subscriberConfig(), nil)
	node.Tick(0)
	node.TakeOutput()
	opened := PeerID(10)
	for _, timeout := range []time.Duration{
		DefaultDialTimeout, DefaultDialTimeout, 2 * DefaultDialTimeout, 3 * DefaultDialTimeout, DefaultSilenceAfter,
		DefaultSilenceAfter,
	} {
		opened++
		node.PeerOpened(opened, true)
		start := node.now
		for node.upstream.candidate != nil && node.upstream.candidate.peer == opened {
			node.Tick(node.NextTick())
		}
		if waited := node.now - start; waited != timeout {
			t.Errorf("dropped after %s, want %s", waited, timeout)
		}
		for node.upstream.candidate == nil {
			node.Tick(node.NextTick())
		}
	}
}

func TestLateConnectionIsClosed(t *testing.T) {
	node := followingNode(t, subscriberConfig())
	node.PeerOpened(otherPeer, true)
	if output := node.TakeOutput(); len(output.Close) != 1 || output.Close[0] != otherPeer {
		t.Errorf("closes %v", output.Close)
	}
}

// nodeOnSecondParent returns a node that follows its second parent, whose own data has age sourceAge.
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
	node.Receive(parentPeer, newTestHello(node.config, Relay, 1, sourceAge))
	return node
}

// heartbeatsUntil answers the node's pings until it dials or the end time is reached, and returns the dialed address.
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

func TestNodeReturnsToItsPreferredParent(t *testing.T) {
	for _, fresh := range []bool{true, false} {
		node := nodeOnSecondParent(t, 0)
		address := heartbeatsUntil(node, time.Hour, 0)
		if address != "a" || node.now < DefaultReturnAfter || node.now > DefaultReturnAfter+DefaultReturnJitter+time.Second {
			t.Fatalf("dials %q at %s", address, node.now)
		}
		node.PeerOpened(otherPeer, true)
		if hello := sentTo(node.TakeOutput(), otherPeer)[0].(Hello); !hello.Probe {
			t.Error("requests changes while it still has another parent")
		}
		age := AgeUnknown
		if fresh {
			age = 0
		}
		node.Receive(otherPeer, newTestHello(node.config, Relay, 1, age))
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
			t.Errorf("does not probe its preferred parent again: dials %q", again)
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
		node.scheduleReturn()
		slot := (node.upstream.returnAt - DefaultReturnAfter) * slots / DefaultReturnJitter
		counts[min(slot, slots-1)]++
	}
	for slot, count := range counts {
		if count > 2*nodes/slots {
			t.Errorf("%d of %d nodes return in tenth %d of the interval", count, nodes, slot)
		}
	}
}

func TestStaleParentIsReplaced(t *testing.T) {
	t.Run("switches to a fresh candidate", func(t *testing.T) {
		node := nodeOnSecondParent(t, time.Minute)
		if address := heartbeatsUntil(node, 10*time.Second, time.Minute); address != "a" {
			t.Fatalf("dials %q", address)
		}
		node.PeerOpened(otherPeer, true)
		node.Receive(otherPeer, newTestHello(node.config, Relay, 1, time.Second))
		if parent := node.Status().Parent; parent != "a" {
			t.Errorf("follows %q", parent)
		}
	})
	t.Run("stays if all are stale", func(t *testing.T) {
		node := nodeOnSecondParent(t, time.Minute)
		heartbeatsUntil(node, 10*time.Second, time.Minute)
		node.PeerOpened(otherPeer, true)
		node.Receive(otherPeer, newTestHello(node.config, Relay, 1, time.Minute))
		if parent := node.Status().Parent; parent != "b" {
			t.Errorf("follows %q", parent)
		}
		if address := heartbeatsUntil(node, node.now+time.Minute, time.Minute); address != "a" {
			t.Errorf("does not probe another parent again: dials %q", address)
		}
	})
	t.Run("stays if the parent is fresh", func(t *testing.T) {
		node := nodeOnSecondParent(t, 0)
		if address := heartbeatsUntil(node, DefaultReturnAfter, 0); address != "" {
			t.Errorf("dials %q", address)
		}
	})
	t.Run("stays if the parent is catching up", func(t *testing.T) {
		node := nodeOnSecondParent(t, time.Minute)
		for node.now < 10*time.Second {
			from := node.kinds[1].head
			node.Receive(parentPeer, purgeBatch(from, 1, 1))
			if address := heartbeatsUntil(node, node.now+200*time.Millisecond, time.Minute); address == "" {
				continue
			}
			node.PeerOpened(otherPeer, true)
			node.Receive(otherPeer, newTestHello(node.config, Relay, 1, 0))
			node.TakeOutput()
		}
		if parent := node.Status().Parent; parent != "b" {
			t.Errorf("follows %q", parent)
		}
	})
}

func TestCandidateReplacesAParentLostDuringAProbe(t *testing.T) {
	node := nodeOnSecondParent(t, time.Minute)
	heartbeatsUntil(node, 10*time.Second, time.Minute)
	node.PeerOpened(otherPeer, true)
	node.TakeOutput()
	node.PeerLost(parentPeer)
	node.Receive(otherPeer, newTestHello(node.config, Relay, 1, time.Minute))
	sent := sentTo(node.TakeOutput(), otherPeer)
	if parent := node.Status().Parent; parent != "a" || len(sent) != 1 || sent[0].(Hello).Probe {
		t.Errorf("follows %q, sent %v", parent, sent)
	}
}

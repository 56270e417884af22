package feed

import (
	"encoding/binary"
	"fmt"
	"slices"
	"testing"
	"time"
)

// catchUp runs a publisher with one child in virtual time.
type catchUp struct {
	s                *simulation
	publisher, child *simulatedNode
	// events are the child's events.
	events []Event
}

// newCatchUp starts a publisher and publishes count changes of a kind. The child is not started yet.
func newCatchUp(t *testing.T, role Role, window int, kind Kind, count int) *catchUp {
	t.Helper()
	config := planConfig(window)
	config.Kinds[0].Window = window
	c := &catchUp{s: newSimulation(1, config)}
	publisher := config
	publisher.Role, publisher.Epoch = Publisher, 1
	c.publisher = c.s.add(publisherName, 0, publisher)
	child := config
	child.Role, child.Parents = role, []string{publisherName}
	c.child = c.s.add("child", 1, child)
	c.s.tamper = func(node *simulatedNode, events []Event) []Event {
		if node == c.child {
			c.events = append(c.events, events...)
		}
		return events
	}
	c.s.start(c.publisher)
	c.publish(kind, count)
	return c
}

func (c *catchUp) publish(kind Kind, count int) {
	for range count {
		if kind == 1 {
			c.s.publish(c.publisher, kind, binary.BigEndian.AppendUint64(nil, c.s.random.Uint64()), nil)
			continue
		}
		c.s.publish(c.publisher, kind, fmt.Appendf(nil, "key-%d", c.s.random.IntN(50)), []byte("value"))
	}
}

// disconnectDuring publishes changes while the child is cut off, then lets it reconnect.
func (c *catchUp) disconnectDuring(kind Kind, count int) {
	c.s.isolated[1] = true
	c.s.runUntil(c.s.now + 3*time.Second)
	c.publish(kind, count)
	c.events = nil
	delete(c.s.isolated, 1)
	c.s.runUntil(c.s.now + 8*time.Second)
}

func (c *catchUp) requireConsistent(t *testing.T) {
	t.Helper()
	c.s.checker.requireCurrent("child", c.s.now, c.s.now)
	c.s.checker.requireLatestState("child", c.s.now)
	for _, violation := range c.s.checker.violations {
		t.Error(violation)
	}
}

// countEvents returns the number of events of one type.
func countEvents[T Event](events []Event) int {
	count := 0
	for _, event := range events {
		if _, ok := event.(T); ok {
			count++
		}
	}
	return count
}

func TestCatchUpModeDependsOnDistance(t *testing.T) {
	const window = 1000
	tests := []struct {
		name                string
		role                Role
		kind                Kind
		missed              int
		exact, sets, resets bool
		snapshots           bool
	}{
		{name: "purges, subscriber a little behind", role: Subscriber, kind: 1, missed: DefaultCoarseAfter, exact: true},
		{name: "purges, subscriber far behind", role: Subscriber, kind: 1, missed: DefaultCoarseAfter + 1, sets: true},
		{name: "purges, subscriber at the end of the window", role: Subscriber, kind: 1, missed: window, sets: true},
		{name: "purges, subscriber beyond the window", role: Subscriber, kind: 1, missed: window + 1, resets: true},
		{name: "purges, relay at the end of the window", role: Relay, kind: 1, missed: window, exact: true},
		{name: "purges, relay beyond the window", role: Relay, kind: 1, missed: window + 1, exact: true, resets: true},
		{name: "settings, subscriber at the end of the window", role: Subscriber, kind: 0, missed: 300, exact: true},
		{name: "settings, subscriber beyond the window", role: Subscriber, kind: 0, missed: window + 1, snapshots: true},
		{name: "settings, relay beyond the window", role: Relay, kind: 0, missed: window + 1, exact: true, snapshots: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := newCatchUp(t, test.role, window, test.kind, 10)
			c.s.start(c.child)
			c.s.runUntil(2 * time.Second)
			c.disconnectDuring(test.kind, test.missed)
			c.requireConsistent(t)
			exact, sets := countEvents[Applied](c.events), countEvents[AppliedSet](c.events)
			resets, snapshots := countEvents[Reset](c.events), countEvents[AppliedSnapshot](c.events)
			if exact > 0 != test.exact || sets > 0 != test.sets || resets > 0 != test.resets || snapshots > 0 != test.snapshots {
				t.Errorf("%d changes, %d sets, %d resets, %d snapshots", exact, sets, resets, snapshots)
			}
		})
	}
}

func TestPrefixSetsAreCompact(t *testing.T) {
	const missed = 2640
	c := newCatchUp(t, Subscriber, 30000, 1, 10)
	c.s.start(c.child)
	c.s.runUntil(2 * time.Second)
	before := c.publisher.node.Status().Counters.ToChildren.Bytes
	c.disconnectDuring(1, missed)
	c.requireConsistent(t)
	prefixes := 0
	for _, event := range c.events {
		if set, ok := event.(AppliedSet); ok {
			prefixes += len(set.Prefixes)
		}
	}
	bytes := c.publisher.node.Status().Counters.ToChildren.Bytes - before
	t.Logf("%d purges: %d prefixes of 2^24, %d bytes with heartbeats", missed, prefixes, bytes)
	if prefixes > missed || bytes > 7500 {
		t.Errorf("%d prefixes and %d bytes for %d purges", prefixes, bytes, missed)
	}
}

func TestNewNodeReceivesTheLatestStateInParts(t *testing.T) {
	for _, role := range []Role{Subscriber, Relay} {
		c := newCatchUp(t, role, 100, 0, 600)
		c.s.start(c.child)
		c.s.runUntil(5 * time.Second)
		c.requireConsistent(t)
		if parts := countEvents[AppliedSnapshot](c.events); parts == 0 || role == Subscriber && parts < 2 {
			t.Errorf("%s: %d parts of a snapshot", role, parts)
		}
	}
}

func TestSnapshotResumesAfterConnectionLoss(t *testing.T) {
	c := newCatchUp(t, Subscriber, 10, 0, 0)
	for i := range 200 {
		c.s.publish(c.publisher, 0, fmt.Appendf(nil, "key-%d", i), make([]byte, 40))
	}
	c.s.start(c.child)
	for countEvents[AppliedSnapshot](c.events) < 3 {
		c.s.runUntil(c.s.now + 10*time.Millisecond)
	}
	c.s.breakConnections(c.child)
	c.s.runUntil(c.s.now + 10*time.Second)
	c.requireConsistent(t)
	sent := 0
	for _, event := range c.events {
		if part, ok := event.(AppliedSnapshot); ok {
			sent += len(part.Changes)
		}
	}
	if sent != 200 {
		t.Errorf("%d entries applied of 200", sent)
	}
}

func TestNewSubscriberSkipsOldPurges(t *testing.T) {
	c := newCatchUp(t, Subscriber, 3000, 1, 2000)
	c.s.start(c.child)
	c.s.runUntil(2 * time.Second)
	c.requireConsistent(t)
	if resets, others := countEvents[Reset](c.events), countEvents[AppliedSet](c.events); resets != 1 || others != 0 {
		t.Errorf("%d resets, %d sets", resets, others)
	}
}

func TestRelayReceivesTheWholeWindow(t *testing.T) {
	c := newCatchUp(t, Relay, 1000, 1, 1500)
	c.s.start(c.child)
	c.s.runUntil(4 * time.Second)
	c.requireConsistent(t)
	if records := len(c.child.node.kinds[1].records); records != 1000 {
		t.Errorf("the window has %d changes, want 1000", records)
	}
}

func TestDivergedChildMovesForward(t *testing.T) {
	// The child has received changes 11 to 20 from a publisher that is gone. Its successor continues after change 10.
	log := newKindLog(KindConfig{Window: 100}, true)
	for sequence := uint64(1); sequence <= 15; sequence++ {
		epoch := uint64(1)
		if sequence > 10 {
			epoch = 2
		}
		log.append(testChange(1, epoch, sequence), watermark{})
	}
	at := cursor{position: Position{1, 20}}
	if !log.needsReset(at, Relay, DefaultCoarseAfter) {
		t.Fatal("no reset for a position that is not in the log")
	}
	for role, wanted := range map[Role]Position{Relay: {2, 11}, Subscriber: {2, 15}} {
		message, after := log.nextReset(at, 1, role, allowance{bytes: 1000})
		if reset := message.(WindowReset); reset.To != wanted || after.position != wanted {
			t.Errorf("%s: reset to %s, want %s", role, reset.To, wanted)
		}
	}
}

func TestSettingsAreSentBeforePurges(t *testing.T) {
	c := newCatchUp(t, Subscriber, 3000, 1, 10)
	c.s.start(c.child)
	c.s.runUntil(2 * time.Second)
	c.s.isolated[1] = true
	c.s.runUntil(c.s.now + 3*time.Second)
	c.publish(1, 2000)
	c.publish(0, 20)
	c.events = nil
	delete(c.s.isolated, 1)
	c.s.runUntil(c.s.now + 8*time.Second)
	c.requireConsistent(t)
	lastSetting := slices.IndexFunc(c.events, func(event Event) bool {
		applied, ok := event.(Applied)
		return ok && applied.Change.Kind == 0 && applied.Change.Position.Sequence == 20
	})
	if firstSet := indexOf[AppliedSet](c.events); lastSetting < 0 || lastSetting > firstSet+1 {
		t.Errorf("the last setting is event %d, the first set %d", lastSetting, firstSet)
	}
}

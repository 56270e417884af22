package feed

import (
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"
)

// plantedPlan contains a cut long enough to cause prefix sets, and a restart that causes snapshots and resets.
func plantedPlan(window int) plan {
	return plan{
		seed: 1, relays: 2, subscribers: 6, window: window, purgesPerSecond: 22, settingsPerSecond: 4,
		steps: []step{
			{fault: faultRegionCut, at: 5 * time.Second, duration: 30 * time.Second, region: 1},
			{fault: faultAllRestart, at: 50 * time.Second, duration: time.Second},
		},
		faultsEndAt: 51 * time.Second,
	}
}

// tamperOnce returns a tamper function that corrupts what one node reports, at the first opportunity.
func tamperOnce(corrupt func([]Event) ([]Event, bool)) func(*simulatedNode, []Event) []Event {
	done := false
	return func(node *simulatedNode, events []Event) []Event {
		if done || node.name != subscriberName(1) {
			return events
		}
		corrupted, did := corrupt(slices.Clone(events))
		if !did {
			return events
		}
		done = true
		return corrupted
	}
}

// indexOf returns the index of the first event of a type, or -1.
func indexOf[T Event](events []Event) int {
	return slices.IndexFunc(events, func(event Event) bool {
		_, ok := event.(T)
		return ok
	})
}

// corruptFirst returns a function that corrupts the first event of a type.
func corruptFirst[T Event](corrupt func(T) []Event) func([]Event) ([]Event, bool) {
	return func(events []Event) ([]Event, bool) {
		index := indexOf[T](events)
		if index < 0 {
			return events, false
		}
		corrupted := corrupt(events[index].(T))
		done := !reflect.DeepEqual(corrupted, []Event{events[index]})
		return slices.Replace(events, index, index+1, corrupted...), done
	}
}

func TestCheckerFindsPlantedFaults(t *testing.T) {
	const largeWindow, smallWindow = 3000, 300
	tests := []struct {
		name   string
		window int
		plant  func(*simulation)
		wanted string
	}{
		{"none", largeWindow, nil, ""},
		{"none with a small window", smallWindow, nil, ""},
		{"dropped change", largeWindow, plantEvents(corruptFirst(func(Applied) []Event { return nil })), "changes are lost"},
		{"repeated change", largeWindow, plantEvents(corruptFirst(func(e Applied) []Event {
			return []Event{e, e}
		})), "repeated or out of order"},
		{"changes out of order", largeWindow, plantEvents(swapChanges), "changes are lost"},
		{"changed value", largeWindow, plantEvents(corruptFirst(func(e Applied) []Event {
			e.Change.Value = []byte("other")
			return []Event{e}
		})), "differs from what was published"},
		{"missing prefix", largeWindow, plantEvents(corruptFirst(func(e AppliedSet) []Event {
			e.Prefixes = e.Prefixes[1:]
			return []Event{e}
		})), "does not match the prefixes"},
		{"excess prefix", largeWindow, plantEvents(corruptFirst(func(e AppliedSet) []Event {
			e.Prefixes = append(slices.Clone(e.Prefixes), 1<<24-1)
			return []Event{e}
		})), "does not match the prefixes"},
		{"dropped set", largeWindow, plantEvents(corruptFirst(func(AppliedSet) []Event { return nil })), "the node was at"},
		{"needless set", largeWindow, plantEvents(corruptFirst(needlessSet)), "is not needed"},
		{"needless reset", largeWindow, plantEvents(corruptFirst(func(e AppliedSet) []Event {
			return []Event{Reset{Kind: e.Kind, From: e.From, To: e.To}}
		})), "is not needed"},
		{"needless snapshot", largeWindow, plantEvents(corruptFirst(needlessSnapshot)), "is not needed"},
		{"snapshot without its entries", smallWindow, plantEvents(corruptFirst(func(e AppliedSnapshot) []Event {
			e.Changes = nil
			return []Event{e}
		})), "the latest change of its key"},
		{"understated age", largeWindow, plantUnderstatedAge, "reports an age"},
		{"too many bytes", largeWindow, plantExcessBytes, "bytes within a second"},
		{"never current", largeWindow, plantSilence, "is not current"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			s := runPlan(plantedPlan(test.window), test.plant)
			if test.wanted == "" {
				if len(s.checker.violations) > 0 {
					t.Errorf("violation without a planted fault: %s", s.checker.violations[0])
				}
				return
			}
			found := slices.ContainsFunc(s.checker.violations, func(violation string) bool {
				return strings.Contains(violation, test.wanted)
			})
			if !found {
				t.Errorf("no violation contains %q; found: %q", test.wanted, s.checker.violations)
			}
		})
	}
}

func plantEvents(corrupt func([]Event) ([]Event, bool)) func(*simulation) {
	return func(s *simulation) { s.tamper = tamperOnce(corrupt) }
}

// swapChanges swaps two consecutive changes.
func swapChanges(events []Event) ([]Event, bool) {
	for i := 1; i < len(events); i++ {
		first, isFirst := events[i-1].(Applied)
		second, isSecond := events[i].(Applied)
		if isFirst && isSecond && first.Change.Kind == second.Change.Kind {
			events[i-1], events[i] = second, first
			return events, true
		}
	}
	return events, false
}

// needlessSet reports a change that was received individually as a prefix set.
func needlessSet(e Applied) []Event {
	if e.Change.Kind != 1 {
		return []Event{e}
	}
	position := e.Change.Position
	from := Position{Epoch: position.Epoch, Sequence: position.Sequence - 1}
	if from.Sequence == 0 {
		from = Position{}
	}
	return []Event{AppliedSet{
		Kind: 1, From: from, To: position, PrefixBits: 24, Prefixes: []uint64{keyPrefix(e.Change.Key, 24)},
	}}
}

// needlessSnapshot reports a change that was received in a batch as a snapshot, unless it is the first change.
func needlessSnapshot(e Applied) []Event {
	position := e.Change.Position
	if e.Change.Kind != 0 || position.Sequence == 1 {
		return []Event{e}
	}
	from := Position{Epoch: position.Epoch, Sequence: position.Sequence - 1}
	return []Event{AppliedSnapshot{Kind: 0, From: from, To: position, Changes: []Change{e.Change}, Last: true}}
}

// plantSilence drops all events of one node.
func plantSilence(s *simulation) {
	s.tamper = func(node *simulatedNode, events []Event) []Event {
		if node.name == subscriberName(1) {
			return nil
		}
		return events
	}
}

func plantUnderstatedAge(s *simulation) {
	s.adjustAge = func(node *simulatedNode, age time.Duration) time.Duration {
		if node.name != subscriberName(1) || age == AgeUnknown {
			return age
		}
		return age / 2
	}
}

func plantExcessBytes(s *simulation) {
	s.adjustBytes = func(node *simulatedNode, bytes int) int {
		if node.name != subscriberName(1) {
			return bytes
		}
		return 2 * bytes
	}
}

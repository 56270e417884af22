package feed

import (
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"
)

// plantedPlan has a cut that is long enough for sets of prefixes, and a restart that makes for snapshots and resets.
func plantedPlan(window int) plan {
	return plan{
		seed: 1, relays: 2, subscribers: 6, window: window, purgesPerSecond: 22, settingsPerSecond: 4,
		steps: []step{
			{fault: faultRegionCut, at: 5 * time.Second, lasts: 30 * time.Second, region: 1},
			{fault: faultAllRestart, at: 50 * time.Second, lasts: time.Second},
		},
		healed: 51 * time.Second,
	}
}

// tamperOnce returns a tamper that spoils what one node reports, the first time that it can.
func tamperOnce(spoil func([]Event) ([]Event, bool)) func(*simulatedNode, []Event) []Event {
	done := false
	return func(node *simulatedNode, events []Event) []Event {
		if done || node.name != subscriberName(1) {
			return events
		}
		spoilt, did := spoil(slices.Clone(events))
		if !did {
			return events
		}
		done = true
		return spoilt
	}
}

// indexOf returns where the first event of a type is, or -1.
func indexOf[T Event](events []Event) int {
	return slices.IndexFunc(events, func(event Event) bool {
		_, is := event.(T)
		return is
	})
}

// spoilFirst returns a spoiler of the first event of a type.
func spoilFirst[T Event](spoil func(T) []Event) func([]Event) ([]Event, bool) {
	return func(events []Event) ([]Event, bool) {
		index := indexOf[T](events)
		if index < 0 {
			return events, false
		}
		spoilt := spoil(events[index].(T))
		did := !reflect.DeepEqual(spoilt, []Event{events[index]})
		return slices.Replace(events, index, index+1, spoilt...), did
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
		{"dropped change", largeWindow, plantEvents(spoilFirst(func(Applied) []Event { return nil })), "changes are lost"},
		{"repeated change", largeWindow, plantEvents(spoilFirst(func(e Applied) []Event { return []Event{e, e} })), "repeated or out of order"},
		{"changes out of order", largeWindow, plantEvents(swapChanges), "changes are lost"},
		{"changed value", largeWindow, plantEvents(spoilFirst(func(e Applied) []Event {
			e.Change.Value = []byte("other")
			return []Event{e}
		})), "not published like that"},
		{"missing prefix", largeWindow, plantEvents(spoilFirst(func(e AppliedSet) []Event {
			e.Prefixes = e.Prefixes[1:]
			return []Event{e}
		})), "has not the prefixes"},
		{"excess prefix", largeWindow, plantEvents(spoilFirst(func(e AppliedSet) []Event {
			e.Prefixes = append(slices.Clone(e.Prefixes), 1<<24-1)
			return []Event{e}
		})), "has not the prefixes"},
		{"dropped set", largeWindow, plantEvents(spoilFirst(func(AppliedSet) []Event { return nil })), "the node was at"},
		{"needless set", largeWindow, plantEvents(spoilFirst(needlessSet)), "is not needed"},
		{"needless reset", largeWindow, plantEvents(spoilFirst(func(e AppliedSet) []Event {
			return []Event{Reset{Kind: e.Kind, From: e.From, To: e.To}}
		})), "is not needed"},
		{"needless snapshot", largeWindow, plantEvents(spoilFirst(needlessSnapshot)), "is not needed"},
		{"snapshot without its entries", smallWindow, plantEvents(spoilFirst(func(e AppliedSnapshot) []Event {
			e.Changes = nil
			return []Event{e}
		})), "the latest of its key"},
		{"understated age", largeWindow, plantYoungAge, "states an age"},
		{"too many bytes", largeWindow, plantManyBytes, "bytes within a second"},
		{"never current", largeWindow, plantSilence, "is not current"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			s := runPlan(plantedPlan(test.window), test.plant)
			if test.wanted == "" {
				if len(s.checker.violations) > 0 {
					t.Errorf("found with no fault planted: %s", s.checker.violations[0])
				}
				return
			}
			found := slices.ContainsFunc(s.checker.violations, func(violation string) bool {
				return strings.Contains(violation, test.wanted)
			})
			if !found {
				t.Errorf("no violation has %q; found: %q", test.wanted, s.checker.violations)
			}
		})
	}
}

func plantEvents(spoil func([]Event) ([]Event, bool)) func(*simulation) {
	return func(s *simulation) { s.tamper = tamperOnce(spoil) }
}

// swapChanges swaps two changes that follow each other.
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

// needlessSet reports a change that came exactly as a set.
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

// needlessSnapshot reports a change that came in a batch as a snapshot, if it isn't the first.
func needlessSnapshot(e Applied) []Event {
	position := e.Change.Position
	if e.Change.Kind != 0 || position.Sequence == 1 {
		return []Event{e}
	}
	from := Position{Epoch: position.Epoch, Sequence: position.Sequence - 1}
	return []Event{AppliedSnapshot{Kind: 0, From: from, To: position, Changes: []Change{e.Change}, Last: true}}
}

// plantSilence drops all that one node reports.
func plantSilence(s *simulation) {
	s.tamper = func(node *simulatedNode, events []Event) []Event {
		if node.name == subscriberName(1) {
			return nil
		}
		return events
	}
}

func plantYoungAge(s *simulation) {
	s.restateAge = func(node *simulatedNode, age time.Duration) time.Duration {
		if node.name != subscriberName(1) || age == AgeUnknown {
			return age
		}
		return age / 2
	}
}

func plantManyBytes(s *simulation) {
	s.weigh = func(node *simulatedNode, bytes int) int {
		if node.name != subscriberName(1) {
			return bytes
		}
		return 2 * bytes
	}
}

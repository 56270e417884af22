package feed

import (
	"testing"
	"time"
)

// fleetTraffic is the traffic between all nodes of a fleet.
type fleetTraffic struct {
	subscribers     int
	messages, bytes float64
}

// measureFleet counts all messages of a fleet with ongoing changes while a relay fails and recovers and a region is cut off.
func measureFleet(t *testing.T, subscribers int) fleetTraffic {
	t.Helper()
	p := plan{
		seed: 7, relays: 4, subscribers: subscribers, window: 30000, purgesPerSecond: 22, settingsPerSecond: 0.5,
		steps: []step{
			{fault: faultRelayDown, at: 5 * time.Second, duration: 5 * time.Second, node: relayName(1)},
			{fault: faultRegionCut, at: 8 * time.Second, duration: 20 * time.Second, region: 2},
		},
		faultsEndAt: 28 * time.Second,
	}
	s := runPlan(p, nil)
	if len(s.checker.violations) > 0 {
		t.Fatalf("%d subscribers: %s", subscribers, s.checker.violations[0])
	}
	total := fleetTraffic{subscribers: subscribers}
	for _, node := range s.nodes {
		counters := node.node.Status().Counters
		for _, traffic := range []Traffic{counters.ToChildren, counters.ToParents} {
			total.messages += float64(traffic.Messages)
			total.bytes += float64(traffic.Bytes)
		}
	}
	return total
}

func TestTrafficGrowsLinearly(t *testing.T) {
	// Fleets of different sizes draw different random numbers: allow for that variation.
	const tolerance = 1.05
	var fleets []fleetTraffic
	for _, subscribers := range []int{50, 100, 200, 400} {
		fleets = append(fleets, measureFleet(t, subscribers))
	}
	first := fleets[0]
	perSubscriber := first.bytes / float64(first.subscribers)
	var messagesAdded, bytesAdded float64
	for i, fleet := range fleets[1:] {
		smaller := fleets[i]
		added := float64(fleet.subscribers - smaller.subscribers)
		messages := (fleet.messages - smaller.messages) / added
		bytes := (fleet.bytes - smaller.bytes) / added
		t.Logf("%d to %d subscribers: %.0f messages and %.0f bytes per added subscriber", smaller.subscribers,
			fleet.subscribers, messages, bytes)
		if i > 0 && (messages > messagesAdded*tolerance || bytes > bytesAdded*tolerance) {
			t.Errorf("traffic per added subscriber rises from %d to %d: %.0f messages after %.0f, %.0f bytes after %.0f",
				smaller.subscribers, fleet.subscribers, messages, messagesAdded, bytes, bytesAdded)
		}
		messagesAdded, bytesAdded = messages, bytes
		if each := fleet.bytes / float64(fleet.subscribers); each > perSubscriber*tolerance {
			t.Errorf("%d subscribers: %.0f bytes each, with %d subscribers it was %.0f", fleet.subscribers, each,
				first.subscribers, perSubscriber)
		}
	}
}

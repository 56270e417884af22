package feed

import (
	"testing"
	"time"
)

const (
	cutRegion      = 1
	cutSubscribers = 120
)

// buildCutFleet returns a fleet with 120 subscribers in region 1, and with their preferred relay there if relayInside is set.
func buildCutFleet(seed uint64, relayInside bool) *simulation {
	config := planConfig(30000)
	s := newSimulation(seed, config)
	publisher := config
	publisher.Role, publisher.Epoch = Publisher, 1
	s.add(publisherName, 0, publisher)
	const relays = 4
	for i := range relays {
		relay := config
		relay.Role, relay.Parents = Relay, []string{publisherName}
		region := i
		if i == cutRegion && !relayInside {
			region = 0
		}
		s.add(relayName(i), region, relay)
	}
	for i := range cutSubscribers {
		subscriber := config
		subscriber.Role = Subscriber
		for offset := range relays {
			subscriber.Parents = append(subscriber.Parents, relayName((cutRegion+offset)%relays))
		}
		s.add(subscriberName(i), cutRegion, subscriber)
	}
	for _, node := range s.nodes {
		s.start(node)
	}
	return s
}

func TestRegionCutForTwoMinutes(t *testing.T) {
	const (
		cutAt           = 10 * time.Second
		purgesPerSecond = 22
	)
	tests := []struct {
		name        string
		relayInside bool
	}{
		{"with its relay", true},
		{"without a relay", false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(5) {
				s := buildCutFleet(seed, test.relayInside)
				cut := step{fault: faultRegionCut, at: cutAt, duration: longCut, region: cutRegion}
				s.schedule(cut)
				healed := cutAt + longCut
				s.publishUntil(healed+currentWithin, 0, designSettingsPerSecond)
				s.publishUntil(healed+currentWithin, 1, purgesPerSecond)
				s.runUntil(healed + currentWithin)
				for i := range cutSubscribers {
					s.checker.requireCurrent(subscriberName(i), s.now-liveDelay, s.now)
				}
				if len(s.checker.violations) > 0 {
					t.Fatalf("seed %d: %s and %d more", seed, s.checker.violations[0], len(s.checker.violations)-1)
				}
			}
		})
	}
}

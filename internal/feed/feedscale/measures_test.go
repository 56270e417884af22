package feedscale

import (
	"testing"
	"time"
)

// TestGreatestSecondSpansSlices has a second count from any slice on, not from whole seconds alone.
func TestGreatestSecondSpansSlices(t *testing.T) {
	const length = 4 * time.Second
	meter := newMeter(time.Now(), length)
	for slice, bytes := range map[int]uint32{8: 100, 12: 50, 17: 30, 18: 70, 30: 200} {
		meter.slices[slice].bytes.Store(bytes)
		meter.slices[slice].segments.Store(1)
	}
	if most := meter.greatestSecond(0, length); most != (traffic{Bytes: 200, Segments: 3}) {
		t.Errorf("in all: %+v", most)
	}
	if most := meter.greatestSecond(0, 2*time.Second); most != (traffic{Bytes: 180, Segments: 3}) {
		t.Errorf("in the first two seconds: %+v", most)
	}
	if sum := meter.total(time.Second, 2*time.Second); sum != (traffic{Bytes: 150, Segments: 3}) {
		t.Errorf("in the second one: %+v", sum)
	}
}

// TestPlacement has the region that is cut hold one relay and as many subscribers as asked for, and every subscriber prefer
// the relays of its own region.
func TestPlacement(t *testing.T) {
	const cutSize = 120
	place := newPlacement(Options{Subscribers: DefaultSubscribers, Relays: DefaultRelays, Regions: DefaultRegions, CutSize: cutSize})
	relays := make([]int, DefaultRegions)
	for _, region := range place.relayRegions {
		relays[region]++
	}
	subscribers := make([]int, DefaultRegions)
	for subscriber, region := range place.subscriberRegions {
		subscribers[region]++
		for i, relay := range place.parents[subscriber] {
			if own := place.relayRegions[relay] == region; own != (i < relays[region]) {
				t.Fatalf("subscriber %d of region %d has parents %v", subscriber, region, place.parents[subscriber])
			}
		}
	}
	if relays[cutRegion] != 1 || subscribers[cutRegion] != cutSize {
		t.Errorf("%d relays and %d subscribers in the region that is cut", relays[cutRegion], subscribers[cutRegion])
	}
}

// TestReachedAt takes the first event that brought a subscriber to each kind's position.
func TestReachedAt(t *testing.T) {
	history := &history{}
	history.apply(appliedChange{At: 10, Sequence: 4, Epoch: 1, Kind: Settings})
	history.apply(appliedChange{At: 20, Sequence: 5, Epoch: 1, Kind: Settings})
	history.cover(coveredRange{At: 30, Kind: Purges, From: position{1, 6}, To: position{1, 9}})
	history.apply(appliedChange{At: 40, Sequence: 10, Epoch: 1, Kind: Purges})
	for _, c := range []struct {
		settings, purges uint64
		want             time.Duration
		reached          bool
	}{{4, 7, 30, true}, {5, 10, 40, true}, {6, 7, 0, false}} {
		at, reached := history.reachedAt([kinds]position{{1, c.settings}, {1, c.purges}})
		if at != c.want || reached != c.reached {
			t.Errorf("settings %d, purges %d: at %v, %v", c.settings, c.purges, at, reached)
		}
	}
	if _, reached := history.reachedAt([kinds]position{}); !reached {
		t.Error("nothing published was not reached")
	}
}

// TestWorkloadIsSeeded has the same seed give the same workload, and its identities be read back.
func TestWorkloadIsSeeded(t *testing.T) {
	for kind := range kinds {
		options := smallFleet()
		first, second := planWorkload(options, kind), planWorkload(options, kind)
		options.Seed++
		other := planWorkload(options, kind)
		if len(first) != len(second) || first[0] != second[0] || first[0] == other[0] {
			t.Errorf("%v: %+v, %+v and, by another seed, %+v", kind, first[0], second[0], other[0])
		}
		for _, change := range first {
			if identity, ok := identityOf(kind, change.key(), []byte(change.Value)); !ok || identity != change.Identity {
				t.Errorf("%v: read %x back as %x", kind, change.Identity, identity)
			}
		}
	}
}

package feedscale

import (
	"testing"
	"time"
)

// TestPeakSecondSpansSlices checks that a peak second may start at any slice, not just at a whole second.
func TestPeakSecondSpansSlices(t *testing.T) {
	const length = 4 * time.Second
	meter := newMeter(time.Now(), length)
	for slice, bytes := range map[int]uint32{8: 100, 12: 50, 17: 30, 18: 70, 30: 200} {
		meter.slices[slice].bytes.Store(bytes)
		meter.slices[slice].segments.Store(1)
	}
	if most := meter.peakSecond(0, length); most != (traffic{Bytes: 200, Segments: 3}) {
		t.Errorf("peak over the whole time: %+v", most)
	}
	if most := meter.peakSecond(0, 2*time.Second); most != (traffic{Bytes: 180, Segments: 3}) {
		t.Errorf("peak in the first two seconds: %+v", most)
	}
	if sum := meter.total(time.Second, 2*time.Second); sum != (traffic{Bytes: 150, Segments: 3}) {
		t.Errorf("total in the second second: %+v", sum)
	}
}

// TestPlacement checks that cutRegion has one relay and the requested number of subscribers, and that every subscriber
// prefers the relays of its own region.
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
		t.Errorf("%d relays and %d subscribers in the region to cut off", relays[cutRegion], subscribers[cutRegion])
	}
}

// TestReachedAt checks that the first event that reaches each kind's position counts.
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
		t.Error("not reached although nothing was published")
	}
}

// TestWorkloadIsSeeded checks that equal seeds give equal workloads, and that identities can be extracted from changes.
func TestWorkloadIsSeeded(t *testing.T) {
	for kind := range kinds {
		options := smallFleetOptions()
		first, second := planWorkload(options, kind), planWorkload(options, kind)
		options.Seed++
		other := planWorkload(options, kind)
		if len(first) != len(second) || first[0] != second[0] || first[0] == other[0] {
			t.Errorf("%v: %+v, %+v and, with another seed, %+v", kind, first[0], second[0], other[0])
		}
		for _, change := range first {
			if identity, ok := identityOf(kind, change.key(), []byte(change.Value)); !ok || identity != change.Identity {
				t.Errorf("%v: identity %x extracted as %x", kind, change.Identity, identity)
			}
		}
	}
}

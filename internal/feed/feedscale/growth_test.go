package feedscale

import (
	"testing"
	"time"
)

const (
	growthRelays   = 3
	growthStart    = 10 * time.Second // until all are connected
	growthSettle   = 5 * time.Second
	growthMargin   = 1.05 // nodes draw their waits, so that their batches fall differently
	growthLength   = 20 * time.Second
	perSubscriber  = 700.0 // bytes a second, at most
	publisherLimit = 1000  // bytes a second to each relay, at most
)

// sentIn has a virtual fleet play the workload, and returns what the publisher and what all relays sent meanwhile.
func sentIn(t *testing.T, subscribers int) (publisher, relays traffic) {
	fleet := newVirtualFleet(t, subscribers, growthRelays)
	fleet.run(growthStart)
	clear(fleet.sent)
	fleet.publish(Options{PurgesPerSecond: DefaultPurgesPerSecond, SettingsPerSecond: 0.2, SettingBytes: DefaultSettingBytes,
		Duration: growthLength, Seed: 7})
	fleet.run(growthStart + growthLength)
	for relay := range growthRelays {
		relays.add(fleet.sent[1+relay])
	}
	publisher = fleet.sent[0]
	fleet.run(growthStart + growthLength + growthSettle)
	audit := newAudit(&fleet.ledger)
	for i, subscriber := range fleet.subscribers {
		findings, coverage := audit.check(i, &subscriber.history)
		if len(findings) > 0 || coverage.Superseded > 0 {
			t.Fatalf("subscriber %d of %d: found %v; %d settings superseded", i, subscribers, findings, coverage.Superseded)
		}
	}
	return publisher, relays
}

// TestGrowthIsLinear plays the same workload to 30, 60 and 120 subscribers. Messages and bytes of all relays may grow no
// faster than the subscribers, and the publisher's not at all.
func TestGrowthIsLinear(t *testing.T) {
	const smallest = 30
	publisher, relays := sentIn(t, smallest)
	t.Logf("%d subscribers: publisher %+v, relays %+v", smallest, publisher, relays)
	if rate := float64(relays.Bytes) / smallest / growthLength.Seconds(); rate > perSubscriber {
		t.Errorf("a subscriber is sent %.0f bytes a second, want at most %.0f", rate, perSubscriber)
	}
	if rate := publisher.Bytes / growthRelays / int(growthLength.Seconds()); rate > publisherLimit {
		t.Errorf("a relay is sent %d bytes a second, want at most %d", rate, publisherLimit)
	}
	for _, times := range []int{2, 4} {
		morePublisher, moreRelays := sentIn(t, smallest*times)
		t.Logf("%d subscribers: publisher %+v, relays %+v", smallest*times, morePublisher, moreRelays)
		checkGrowth(t, "the publisher", publisher, morePublisher, 1)
		checkGrowth(t, "the relays", relays, moreRelays, times)
	}
}

func checkGrowth(t *testing.T, who string, was, is traffic, times int) {
	t.Helper()
	for _, c := range []struct {
		what    string
		was, is int
	}{{"messages", was.Segments, is.Segments}, {"bytes", was.Bytes, is.Bytes}} {
		expected := float64(c.was * times)
		if got := float64(c.is); got > expected*growthMargin || got < expected/growthMargin {
			t.Errorf("%s: %d %s, want %.0f within %.0f%%", who, c.is, c.what, expected, 100*(growthMargin-1))
		}
	}
}

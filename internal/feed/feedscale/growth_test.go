package feedscale

import (
	"testing"
	"time"
)

const (
	growthRelays      = 3
	growthStart       = 10 * time.Second // for all nodes to connect
	growthSettleTime  = 5 * time.Second
	growthTolerance   = 1.05 // nodes have random delays, so the boundaries of their batches vary
	growthDuration    = 20 * time.Second
	maxSubscriberRate = 700.0 // bytes per second
	maxRelayRate      = 1000  // bytes per second to each relay
)

// measureTraffic runs the workload on a virtual fleet, and returns the traffic sent by the publisher and by all relays.
func measureTraffic(t *testing.T, subscribers int) (publisher, relays traffic) {
	fleet := newVirtualFleet(t, subscribers, growthRelays)
	fleet.run(growthStart)
	clear(fleet.sent)
	fleet.publish(Options{PurgesPerSecond: DefaultPurgesPerSecond, SettingsPerSecond: 0.2, SettingBytes: DefaultSettingBytes,
		Duration: growthDuration, Seed: 7})
	fleet.run(growthStart + growthDuration)
	for relay := range growthRelays {
		relays.add(fleet.sent[1+relay])
	}
	publisher = fleet.sent[0]
	fleet.run(growthStart + growthDuration + growthSettleTime)
	audit := newAudit(&fleet.ledger)
	for i, subscriber := range fleet.subscribers {
		findings, coverage := audit.check(i, &subscriber.history)
		if len(findings) > 0 || coverage.Superseded > 0 {
			t.Fatalf("subscriber %d of %d: found %v; %d settings superseded", i, subscribers, findings, coverage.Superseded)
		}
	}
	return publisher, relays
}

// TestGrowthIsLinear runs the same workload with 30, 60 and 120 subscribers. The relays' messages and bytes must grow in
// proportion to the subscribers, and the publisher's must not grow.
func TestGrowthIsLinear(t *testing.T) {
	const smallest = 30
	publisher, relays := measureTraffic(t, smallest)
	t.Logf("%d subscribers: publisher %+v, relays %+v", smallest, publisher, relays)
	if rate := float64(relays.Bytes) / smallest / growthDuration.Seconds(); rate > maxSubscriberRate {
		t.Errorf("%.0f bytes per second to a subscriber, want at most %.0f", rate, maxSubscriberRate)
	}
	if rate := publisher.Bytes / growthRelays / int(growthDuration.Seconds()); rate > maxRelayRate {
		t.Errorf("%d bytes per second to a relay, want at most %d", rate, maxRelayRate)
	}
	for _, factor := range []int{2, 4} {
		morePublisher, moreRelays := measureTraffic(t, smallest*factor)
		t.Logf("%d subscribers: publisher %+v, relays %+v", smallest*factor, morePublisher, moreRelays)
		checkGrowth(t, "the publisher", publisher, morePublisher, 1)
		checkGrowth(t, "the relays", relays, moreRelays, factor)
	}
}

// checkGrowth fails the test unless the traffic grew by the factor, within growthTolerance.
func checkGrowth(t *testing.T, sender string, before, after traffic, factor int) {
	t.Helper()
	for _, c := range []struct {
		unit    string
		was, is int
	}{{"messages", before.Segments, after.Segments}, {"bytes", before.Bytes, after.Bytes}} {
		expected := float64(c.was * factor)
		if got := float64(c.is); got > expected*growthTolerance || got < expected/growthTolerance {
			t.Errorf("%s: %d %s, want %.0f within %.0f%%", sender, c.is, c.unit, expected, 100*(growthTolerance-1))
		}
	}
}

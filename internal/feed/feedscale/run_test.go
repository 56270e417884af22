package feedscale

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"
)

// smallFleetOptions returns options for a fleet in the calling process that publishes about sixty changes.
func smallFleetOptions() Options {
	return Options{Subscribers: 60, Relays: 3, Regions: 3, PurgesPerSecond: 25, SettingsPerSecond: 5,
		SettingBytes: DefaultSettingBytes, Duration: 2 * time.Second, Seed: 1}
}

// runFleet runs a fleet, logs its table and fails the test if the run failed.
func runFleet(t *testing.T, options Options) *Result {
	t.Helper()
	options.Directory = t.TempDir()
	result, err := Run(context.Background(), options, func(line string) { t.Log(line) })
	if err != nil {
		t.Fatal(err)
	}
	var table bytes.Buffer
	result.Table(&table)
	t.Log("\n" + table.String())
	if result.Failed() {
		t.Errorf("findings %v, convergence error: %v", result.Findings, result.ConvergenceError)
	}
	return result
}

// TestNothingLost checks that every subscriber applies every change over real sockets.
func TestNothingLost(t *testing.T) {
	t.Parallel()
	options := smallFleetOptions()
	result := runFleet(t, options)
	for kind := range kinds {
		if of := result.Kinds[kind]; of.PropagationLatency.Count != of.Published || of.Published == 0 || of.Failed > 0 ||
			of.Partial > 0 {
			t.Errorf("%v: %+v, want all changes applied by all subscribers", kind, of)
		}
	}
	if result.DeliveryLatency.Count != options.Subscribers*(result.Kinds[Settings].Published+result.Kinds[Purges].Published) {
		t.Errorf("%d changes applied over all subscribers", result.DeliveryLatency.Count)
	}
	checkReport(t, result)
}

// checkReport checks that the report contains the charts and the table, and refers to no other files.
func checkReport(t *testing.T, result *Result) {
	t.Helper()
	var report bytes.Buffer
	if err := result.HTML(&report); err != nil {
		t.Fatal(err)
	}
	text := report.String()
	for _, part := range []string{"<svg", "the slowest change", "none lost, none twice, none out of order"} {
		if !strings.Contains(text, part) {
			t.Errorf("the report lacks %q", part)
		}
	}
	if strings.Contains(text, "src=") || strings.Contains(text, "<link") {
		t.Error("the report needs other files")
	}
}

// TestRelayKilled checks that subscribers of a killed relay lose nothing.
func TestRelayKilled(t *testing.T) {
	t.Parallel()
	options := smallFleetOptions()
	options.KillRelays, options.Duration = 1, 3*time.Second
	if result := runFleet(t, options); len(result.Faults) != 1 {
		t.Errorf("faults: %+v", result.Faults)
	}
}

// TestRegionCut checks that subscribers cut off for long become stale, and catch up once the partition heals.
func TestRegionCut(t *testing.T) {
	t.Parallel()
	options := smallFleetOptions()
	options.CutSize, options.CutDuration, options.Duration = 20, 5*time.Second, 9*time.Second
	result := runFleet(t, options)
	if len(result.Faults) != 1 {
		t.Fatalf("faults: %+v", result.Faults)
	}
	if cut := result.Faults[0]; cut.StaleSubscribers != options.CutSize || cut.NotRecovered != 0 {
		t.Errorf("%d of %d subscribers that were cut off became stale; %d did not recover", cut.StaleSubscribers,
			options.CutSize, cut.NotRecovered)
	}
	if result.Subscriber.Counted != options.Subscribers-options.CutSize {
		t.Errorf("%d subscribers counted", result.Subscriber.Counted)
	}
}

// TestAllRestarted checks that a restarted publisher continues from its log.
func TestAllRestarted(t *testing.T) {
	t.Parallel()
	options := smallFleetOptions()
	options.RestartAll, options.Duration = true, 6*time.Second
	runFleet(t, options)
}

func TestInvalidOptions(t *testing.T) {
	for name, invalidate := range map[string]func(*Options){
		"no subscriber":       func(o *Options) { o.Subscribers = 0 },
		"no duration":         func(o *Options) { o.Duration = 0 },
		"a negative rate":     func(o *Options) { o.PurgesPerSecond = -1 },
		"too small a setting": func(o *Options) { o.SettingBytes = identityDigits - 1 },
		"all relays killed":   func(o *Options) { o.KillRelays = o.Relays },
		"frozen in process":   func(o *Options) { o.FreezeRelays = 1 },
		"a cut without time":  func(o *Options) { o.CutSize = 1 },
		"a cut to the end":    func(o *Options) { o.CutSize, o.CutDuration = 1, o.Duration },
	} {
		options := smallFleetOptions()
		invalidate(&options)
		if options.validate() == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}

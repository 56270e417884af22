package feedscale

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"
)

// smallFleet is a fleet in this process that publishes some sixty changes.
func smallFleet() Options {
	return Options{Subscribers: 60, Relays: 3, Regions: 3, PurgesPerSecond: 25, SettingsPerSecond: 5,
		SettingBytes: DefaultSettingBytes, Duration: 2 * time.Second, Seed: 1}
}

func play(t *testing.T, options Options) *Result {
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
		t.Errorf("found %v, unsettled: %v", result.Findings, result.ConvergenceError)
	}
	return result
}

// TestNothingLost has every subscriber apply every change over real sockets.
func TestNothingLost(t *testing.T) {
	t.Parallel()
	options := smallFleet()
	result := play(t, options)
	for kind := range kinds {
		if of := result.Kinds[kind]; of.PropagationLatency.Count != of.Published || of.Published == 0 || of.Failed > 0 || of.Partial > 0 {
			t.Errorf("%v: %+v, want all of them everywhere", kind, of)
		}
	}
	if result.DeliveryLatency.Count != options.Subscribers*(result.Kinds[Settings].Published+result.Kinds[Purges].Published) {
		t.Errorf("%d applied", result.DeliveryLatency.Count)
	}
	checkReport(t, result)
}

// checkReport has the report hold the pictures and the table.
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

// TestRelayKilled has subscribers go on with another relay.
func TestRelayKilled(t *testing.T) {
	t.Parallel()
	options := smallFleet()
	options.KillRelays, options.Duration = 1, 3*time.Second
	if result := play(t, options); len(result.Faults) != 1 {
		t.Errorf("faults: %+v", result.Faults)
	}
}

// TestRegionCut has a region miss changes for longer than its knowledge may be old, and get them after the heal.
func TestRegionCut(t *testing.T) {
	t.Parallel()
	options := smallFleet()
	options.CutSize, options.CutDuration, options.Duration = 20, 5*time.Second, 9*time.Second
	result := play(t, options)
	if len(result.Faults) != 1 {
		t.Fatalf("faults: %+v", result.Faults)
	}
	if cut := result.Faults[0]; cut.StaleSubscribers != options.CutSize || cut.NotRecovered != 0 {
		t.Errorf("%d of the %d that were cut off were told so; %d never had what was published meanwhile", cut.StaleSubscribers, options.CutSize,
			cut.NotRecovered)
	}
	if result.Subscriber.Counted != options.Subscribers-options.CutSize {
		t.Errorf("%d subscribers counted", result.Subscriber.Counted)
	}
}

// TestAllRestarted has the publisher go on from its log.
func TestAllRestarted(t *testing.T) {
	t.Parallel()
	options := smallFleet()
	options.RestartAll, options.Duration = true, 6*time.Second
	play(t, options)
}

func TestUnusableOptions(t *testing.T) {
	for name, spoil := range map[string]func(*Options){
		"no subscriber":       func(o *Options) { o.Subscribers = 0 },
		"no duration":         func(o *Options) { o.Duration = 0 },
		"a negative rate":     func(o *Options) { o.PurgesPerSecond = -1 },
		"too small a setting": func(o *Options) { o.SettingBytes = identityDigits - 1 },
		"all relays killed":   func(o *Options) { o.KillRelays = o.Relays },
		"frozen in process":   func(o *Options) { o.FreezeRelays = 1 },
		"a cut without time":  func(o *Options) { o.CutSize = 1 },
		"a cut to the end":    func(o *Options) { o.CutSize, o.CutDuration = 1, o.Duration },
	} {
		options := smallFleet()
		spoil(&options)
		if options.validate() == nil {
			t.Errorf("%s: not refused", name)
		}
	}
}

package main

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"larchthread/internal/feed/feedscale"
)

// Simulated balancers receive every change from relay processes of which one is killed and one suspended.
func TestScaleFeedWithProcesses(t *testing.T) {
	options := feedscale.Options{Subscribers: 24, Relays: 4, Regions: 4, PurgesPerSecond: 20, SettingsPerSecond: 5,
		SettingBytes: feedscale.DefaultSettingBytes, Duration: 4 * time.Second, Seed: 1, KillRelays: 1, FreezeRelays: 1,
		Program: os.Args[0], Environment: []string{"LARCHTHREAD_SERVE=1"}, Directory: t.TempDir()}
	result, err := feedscale.Run(context.Background(), options, func(line string) { t.Log(line) })
	if err != nil {
		t.Fatal(err)
	}
	var table bytes.Buffer
	result.Table(&table)
	t.Log("\n" + table.String())
	if result.Failed() {
		t.Error("changes were lost, or did not arrive")
	}
	if wantProcesses := options.Relays - options.KillRelays + 1; len(result.Processes) != wantProcesses || len(result.Faults) != 2 {
		t.Errorf("%d processes measured, want %d; faults: %+v", len(result.Processes), wantProcesses, result.Faults)
	}
	for _, kind := range []feedscale.Kind{feedscale.Settings, feedscale.Purges} {
		if stats := result.Kinds[kind]; stats.Published == 0 || stats.Failed > 0 ||
			stats.PropagationLatency.Count+stats.Partial != stats.Published {
			t.Errorf("%v: %+v", kind, stats)
		}
	}
}

// The command prints the result for a small fleet and writes the report.
func TestScaleFeedCommand(t *testing.T) {
	report := filepath.Join(t.TempDir(), "report.html")
	var output, progress bytes.Buffer
	root := newRootCommand()
	root.SetOut(&output)
	root.SetErr(&progress)
	root.SetArgs([]string{"scale", "feed", "--in-process", "--balancers", "6", "--relays", "2", "--seconds", "1", "--html", report})
	if err := root.Execute(); err != nil {
		t.Fatalf("%v\n%s", err, &progress)
	}
	for _, part := range []string{"6 subscribers, 2 relays", "none lost, none twice, none out of order", "report: "} {
		if !strings.Contains(output.String(), part) {
			t.Errorf("output lacks %q:\n%s", part, &output)
		}
	}
	if !strings.Contains(progress.String(), "all fresh") {
		t.Errorf("progress: %s", &progress)
	}
	if text, err := os.ReadFile(report); err != nil || !strings.Contains(string(text), "<svg") {
		t.Errorf("report: %v, %d bytes", err, len(text))
	}
}

// Invalid options end the command with exitFailure and a message.
func TestScaleFeedRefusesOptions(t *testing.T) {
	var progress bytes.Buffer
	root := newRootCommand()
	root.SetErr(&progress)
	root.SetArgs([]string{"scale", "feed", "--balancers", "0"})
	if err := root.Execute(); err != exitError(exitFailure) || !strings.Contains(progress.String(), "at least one subscriber") {
		t.Errorf("error %v, output %q", err, &progress)
	}
}

package main

import (
	"bytes"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"larchthread/internal/feed"
)

// runConfigCheck runs the command config check on a file with the given text, and returns its output and exit code. The output
// names the file FILE.
func runConfigCheck(t *testing.T, text string) (message string, code int) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "control.yaml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	var output bytes.Buffer
	c := newRootCommand()
	c.SetArgs([]string{"config", "check", path})
	c.SetOut(&output)
	c.SetErr(&output)
	code = execute(c)
	return strings.ReplaceAll(output.String(), path, "FILE"), code
}

// config check reports every error of a control file at once, each with its key.
func TestControlFileFaults(t *testing.T) {
	for _, c := range []struct {
		text string
		want []string // prefix of each error, in order; none if the file is valid
	}{
		{"control: {cluster: c, id: n, role: publisher, epoch: 1, listen: '127.0.0.1:0', directory: d}", nil},
		{"control: {cluster: c, id: n, role: relay, parents: ['10.0.0.1:7'], listen: '[::1]:0'}", nil},
		{"control: {cluster: c, id: n, role: follower, parents: ['10.0.0.1:7', '10.0.0.2:7']}", nil},
		{"control:", []string{"control: missing"}},
		{"control: {}", []string{`control.role: "", want publisher, relay or follower`, "control.cluster: missing",
			"control.id: missing", `control.listen: "", want an IP address with a port`, "control.parents: missing"}},
		{"control: {rolle: relay, epoch: -1}\nother: 1", []string{"line 1: field rolle not found",
			"line 1: cannot unmarshal !!int `-1` into uint64", "line 2: field other not found"}},
		{"control: {cluster: c, id: n, role: publisher, listen: here, parents: ['10.0.0.1:7', there]}", []string{
			"control.epoch: missing, a publisher needs 1 or more", `control.listen: "here", want an IP address with a port`,
			"control.directory: missing", "control.parents: a publisher has none, leave them out",
			`control.parents[1]: "there", want an IP address with a port`}},
		{"control: {cluster: c, id: n, role: follower, listen: '10.0.0.1:7', directory: d, epoch: 1, batch_ms: -5}", []string{
			"control.epoch: only a publisher has one, leave it out", "control.listen: a follower serves nobody, leave it out",
			"control.directory: only a publisher has one, leave it out", "control.parents: missing",
			"control.batch_ms: -5, want 1 or more"}},
		{"control: {cluster: c, id: n, role: follower, parents: ['10.0.0.1:7', '10.0.0.1:7']}", []string{
			"control.parents[1]: is empty or given twice"}},
		{"control: {cluster: c, id: n, role: relay, parents: ['10.0.0.1:7'], listen: '10.0.0.2:7', silence_ms: 600, " +
			"child_burst_bytes: 9,\n  settings: {max_value_bytes: 5000}}", []string{
			"control.silence_ms: has to be at least twice", "control.child_burst_bytes: ",
			"control.settings.max_value_bytes: has to be 0 to "}},
	} {
		message, code := runConfigCheck(t, c.text)
		lines := strings.Split(strings.TrimSpace(message), "\n")
		if len(c.want) == 0 {
			if code != 0 || !strings.HasPrefix(message, "FILE: a control file of a ") {
				t.Errorf("%s: exit code %d: %s", c.text, code, message)
			}
			continue
		}
		if code != exitFailure || len(lines) != len(c.want) {
			t.Errorf("%s: exit code %d, want %d errors:\n%s", c.text, code, len(c.want), message)
			continue
		}
		for n, line := range lines {
			if !strings.HasPrefix(line, "control file FILE: "+c.want[n]) {
				t.Errorf("%s: error %q, want prefix %q", c.text, line, c.want[n])
			}
		}
	}
}

// The example control file in deploy is valid, and shows the defaults in comments that are valid too.
func TestControlExample(t *testing.T) {
	raw, err := os.ReadFile("../../deploy/control.yaml")
	if err != nil {
		t.Fatal(err)
	}
	text := string(raw)
	if message, code := runConfigCheck(t, text); code != 0 ||
		!strings.Contains(message, "a control file of a publisher in cluster larch, listens on 127.0.0.1:7400") {
		t.Errorf("exit code %d: %s", code, message)
	}
	example, faults := parseControl([]byte(text))
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	uncommented := regexp.MustCompile(`(?m)^  # ([a-z_]+:)`).ReplaceAllString(text, "  $1")
	full, faults := parseControl([]byte(uncommented))
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	if len(full.Parents) == 0 {
		t.Error("the example does not show parents")
	}
	for _, number := range full.numbers() {
		if *number.value == 0 {
			t.Errorf("the example does not show %s", number.key)
		}
	}
	full.Parents = nil
	if err := full.feedConfig().Validate(); err != nil {
		t.Error(err)
	}
	checkDefaults(t, example.feedConfig(), full.feedConfig())
}

// checkDefaults checks that the values in the example's comments are the defaults.
func checkDefaults(t *testing.T, example, full feed.Config) {
	t.Helper()
	for name, pair := range map[string][2]int{
		"max_children":           {full.MaxChildren, feed.DefaultMaxChildren},
		"child_bytes_per_second": {full.ChildBytesPerSecond, feed.DefaultChildBytesPerSecond},
		"child_burst_bytes":      {full.ChildBurst, feed.DefaultChildBurst},
		"relay_bytes_per_second": {full.RelayBytesPerSecond, feed.DefaultRelayBytesPerSecond},
		"total_bytes_per_second": {full.TotalBytesPerSecond, feed.DefaultTotalBytesPerSecond},
		"coarse_after":           {full.CoarseAfter, feed.DefaultCoarseAfter},
		"settings.window":        {full.Kinds[settingsKind].Window, example.Kinds[settingsKind].Window},
		"settings.max_value":     {full.Kinds[settingsKind].MaxValue, example.Kinds[settingsKind].MaxValue},
		"purges.window":          {full.Kinds[purgesKind].Window, example.Kinds[purgesKind].Window},
	} {
		if pair[0] != pair[1] {
			t.Errorf("%s: the example shows %d, the default is %d", name, pair[0], pair[1])
		}
	}
	for name, pair := range map[string][2]time.Duration{
		"batch_ms":         {full.BatchEvery, feed.DefaultBatchEvery},
		"heartbeat_ms":     {full.HeartbeatEvery, feed.DefaultHeartbeatEvery},
		"silence_ms":       {full.SilenceAfter, feed.DefaultSilenceAfter},
		"dial_ms":          {full.DialTimeout, feed.DefaultDialTimeout},
		"retry_min_ms":     {full.RetryMin, feed.DefaultRetryMin},
		"retry_max_ms":     {full.RetryMax, feed.DefaultRetryMax},
		"max_age_ms":       {full.MaxAge, feed.DefaultMaxAge},
		"return_ms":        {full.ReturnAfter, feed.DefaultReturnAfter},
		"return_jitter_ms": {full.ReturnJitter, feed.DefaultReturnJitter},
	} {
		if pair[0] != pair[1] {
			t.Errorf("%s: the example shows %v, the default is %v", name, pair[0], pair[1])
		}
	}
}

//go:build faults

package main

import (
	"testing"

	"larchthread/internal/trial"
)

// A build with the tag faults lets a trial inject disk and clock faults into running processes. A process that starts during a
// clock fault starts with its clock off.
func TestSpoiltFilesAndClocks(t *testing.T) {
	p, err := trial.ParsePlan([]byte(`
name: files and clocks
load: {for: 2.5s, rate: 100}
faults:
- {at: 0.3s, for: 1s, what: disk, of: [b1], by: sync}
- {at: 0.5s, for: 1.7s, what: clock, of: [b2], by: -30s}
- {at: 0.8s, for: 0.6s, what: kill, of: [b2]}
`))
	if err != nil {
		t.Fatal(err)
	}
	runPlan(t, p)
}

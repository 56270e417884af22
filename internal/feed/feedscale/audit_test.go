package feedscale

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

const auditedChanges = 20

// newTestLedger returns a ledger with auditedChanges acknowledged changes of each kind; settings cycle through four keys.
func newTestLedger() *ledger {
	published := &ledger{}
	for kind := range kinds {
		for i := range auditedChanges {
			published.add(kind, publishAttempt{Identity: testIdentity(kind, i), Key: fmt.Sprint(i % 4),
				Position: position{1, uint64(i + 1)}, Acknowledged: true})
		}
	}
	return published
}

func testIdentity(kind Kind, i int) uint64 {
	return uint64(i+1)<<40 | uint64(kind)
}

// completeHistory returns the history of a subscriber that applied every change in order.
func completeHistory() *history {
	complete := &history{}
	for i := range auditedChanges {
		for kind := range kinds {
			complete.apply(appliedChange{time.Duration(i), testIdentity(kind, i), uint32(i + 1), 1, kind})
		}
	}
	return complete
}

func findingsOf(history *history) []Finding {
	findings, _ := newAudit(newTestLedger()).check(0, history)
	return findings
}

func TestAuditAcceptsCompleteHistory(t *testing.T) {
	if findings := findingsOf(completeHistory()); len(findings) > 0 {
		t.Errorf("found %v", findings)
	}
}

// TestAuditDetectsViolations damages a complete history in one way at a time.
func TestAuditDetectsViolations(t *testing.T) {
	const purge, lastSetting = 2*7 + 1, 2 * (auditedChanges - 1) // indices into the applied changes
	for _, c := range []struct {
		name   string
		damage func(h *history)
		want   Violation
	}{
		{"a purge lost", func(h *history) { h.applied = slices.Delete(h.applied, purge, purge+1) }, Lost},
		{"the last purge lost", func(h *history) { h.applied = h.applied[:len(h.applied)-1] }, Lost},
		{"the last value of a setting lost", func(h *history) {
			h.applied = slices.Delete(h.applied, lastSetting, lastSetting+1)
		}, Lost},
		{"a purge applied twice", func(h *history) { h.applied = slices.Insert(h.applied, purge, h.applied[purge]) }, Duplicated},
		{"a setting applied twice", func(h *history) { h.applied = append(h.applied, h.applied[lastSetting]) }, Duplicated},
		{"two purges swapped", func(h *history) {
			h.applied[purge], h.applied[purge+2] = h.applied[purge+2], h.applied[purge]
		}, OutOfOrder},
		{"a purge that was never published", func(h *history) { h.applied[purge].Identity++ }, Unknown},
		{"a purge at a wrong position", func(h *history) { h.applied[purge].Sequence++ }, Unknown},
		{"a range that repeats a purge", func(h *history) {
			h.cover(coveredRange{Kind: Purges, From: position{1, 6}, To: position{1, 7}, PrefixBits: 24,
				Prefixes: []uint64{testIdentity(Purges, 6) >> 40}})
		}, Duplicated},
	} {
		t.Run(c.name, func(t *testing.T) {
			damaged := completeHistory()
			c.damage(damaged)
			findings := findingsOf(damaged)
			if !slices.ContainsFunc(findings, func(f Finding) bool { return f.Violation == c.want }) {
				t.Errorf("found %v, want one %v", findings, c.want)
			}
		})
	}
}

// TestAuditOfCoveredRange checks that purges received as prefixes count as covered, and that a missing prefix is found.
func TestAuditOfCoveredRange(t *testing.T) {
	const from, to = 5, 12 // indices of the purges in the range
	for missing := range 2 {
		partial := completeHistory()
		partial.applied = slices.DeleteFunc(partial.applied, func(change appliedChange) bool {
			return change.Kind == Purges && change.Sequence > from && change.Sequence <= to
		})
		covered := coveredRange{Kind: Purges, From: position{1, from}, To: position{1, to}, PrefixBits: 24, AppliedBefore: 2 * from}
		for i := from + missing; i < to; i++ {
			covered.Prefixes = append(covered.Prefixes, testIdentity(Purges, i)>>40)
		}
		partial.covered = append(partial.covered, covered)
		findings, coverage := newAudit(newTestLedger()).check(0, partial)
		if len(findings) != missing || coverage.ByPrefix != to-from-missing {
			t.Errorf("%d prefixes missing: found %v, %d covered", missing, findings, coverage.ByPrefix)
		}
	}
}

// TestAuditOfSupersededSetting checks that a subscriber may skip all but the latest value of each setting.
func TestAuditOfSupersededSetting(t *testing.T) {
	latest := completeHistory()
	latest.applied = slices.DeleteFunc(latest.applied, func(change appliedChange) bool {
		return change.Kind == Settings && change.Sequence <= auditedChanges-4
	})
	findings, coverage := newAudit(newTestLedger()).check(0, latest)
	if len(findings) > 0 || coverage.Superseded != auditedChanges-4 {
		t.Errorf("found %v, %d superseded", findings, coverage.Superseded)
	}
}

// TestAuditOfReset checks that a reset covers the purges before it.
func TestAuditOfReset(t *testing.T) {
	const to = 9
	reset := completeHistory()
	reset.applied = slices.DeleteFunc(reset.applied, func(change appliedChange) bool {
		return change.Kind == Purges && change.Sequence <= to
	})
	reset.covered = append(reset.covered, coveredRange{Kind: Purges, To: position{1, to}, Reset: true})
	findings, coverage := newAudit(newTestLedger()).check(0, reset)
	if len(findings) > 0 || coverage.ByReset != to {
		t.Errorf("found %v, %d by reset", findings, coverage.ByReset)
	}
}

// TestAuditOfUncertainChange checks that an unacknowledged change may be applied or not.
func TestAuditOfUncertainChange(t *testing.T) {
	published := newTestLedger()
	published.changes[Purges][auditedChanges-1].Acknowledged = false
	without := completeHistory()
	without.applied = without.applied[:len(without.applied)-1]
	for name, history := range map[string]*history{"with": completeHistory(), "without": without} {
		if findings, _ := newAudit(published).check(0, history); len(findings) > 0 {
			t.Errorf("%s: found %v", name, findings)
		}
	}
}

// TestResultWithFindingFails checks that a finding, or a subscriber that is not current, fails the run.
func TestResultWithFindingFails(t *testing.T) {
	damaged := completeHistory()
	damaged.applied = slices.Delete(damaged.applied, 1, 2)
	result := &Result{Findings: findingsOf(damaged)}
	var table strings.Builder
	result.Table(&table)
	if want := "subscriber 0: purges 0000010000000001 at 1/1: lost"; !result.Failed() || !strings.Contains(table.String(), want) {
		t.Errorf("failed: %v, want %q in:\n%s", result.Failed(), want, &table)
	}
	if (&Result{}).Failed() || !(&Result{ConvergenceError: errTimeout}).Failed() {
		t.Error("Failed is wrong for an empty result or one with a convergence error")
	}
}

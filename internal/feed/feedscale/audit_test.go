package feedscale

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

const auditedChanges = 20

// auditedLedger has a ledger with changes of both kinds, one after another; settings have four keys in turn.
func auditedLedger() *ledger {
	book := &ledger{}
	for kind := range kinds {
		for i := range auditedChanges {
			book.add(kind, publishedChange{Identity: identityFor(kind, i), Key: fmt.Sprint(i % 4),
				Position: position{1, uint64(i + 1)}, Acknowledged: true})
		}
	}
	return book
}

func identityFor(kind Kind, i int) uint64 {
	return uint64(i+1)<<40 | uint64(kind)
}

// faithful is the history of a subscriber that applied everything in order.
func faithful() *history {
	faithful := &history{}
	for i := range auditedChanges {
		for kind := range kinds {
			faithful.apply(appliedChange{time.Duration(i), identityFor(kind, i), uint32(i + 1), 1, kind})
		}
	}
	return faithful
}

func findingsOf(history *history) []Finding {
	findings, _ := newAudit(auditedLedger()).check(0, history)
	return findings
}

func TestAuditPassesFaithfulHistory(t *testing.T) {
	if findings := findingsOf(faithful()); len(findings) > 0 {
		t.Errorf("found %v", findings)
	}
}

// TestAuditFindsPlantedFaults plants one fault of each sort in a faithful history.
func TestAuditFindsPlantedFaults(t *testing.T) {
	const purge, lastSetting = 2*7 + 1, 2 * (auditedChanges - 1) // places in the list of applied changes
	for _, c := range []struct {
		name  string
		plant func(h *history)
		want  Violation
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
				Prefixes: []uint64{identityFor(Purges, 6) >> 40}})
		}, Duplicated},
	} {
		t.Run(c.name, func(t *testing.T) {
			planted := faithful()
			c.plant(planted)
			findings := findingsOf(planted)
			if !slices.ContainsFunc(findings, func(f Finding) bool { return f.Violation == c.want }) {
				t.Errorf("found %v, want one %v", findings, c.want)
			}
		})
	}
}

// TestAuditOfCoveredRange has a range of purges come as prefixes, in full and with one prefix missing.
func TestAuditOfCoveredRange(t *testing.T) {
	const from, to = 5, 12 // of the purges, by index
	for missing := range 2 {
		partial := faithful()
		partial.applied = slices.DeleteFunc(partial.applied, func(change appliedChange) bool {
			return change.Kind == Purges && change.Sequence > from && change.Sequence <= to
		})
		covered := coveredRange{Kind: Purges, From: position{1, from}, To: position{1, to}, PrefixBits: 24, After: 2 * from}
		for i := from + missing; i < to; i++ {
			covered.Prefixes = append(covered.Prefixes, identityFor(Purges, i)>>40)
		}
		partial.covered = append(partial.covered, covered)
		findings, coverage := newAudit(auditedLedger()).check(0, partial)
		if len(findings) != missing || coverage.ByPrefix != to-from-missing {
			t.Errorf("%d prefixes missing: found %v, %d covered", missing, findings, coverage.ByPrefix)
		}
	}
}

// TestAuditOfSupersededSetting has a subscriber take in only the latest value of each setting.
func TestAuditOfSupersededSetting(t *testing.T) {
	latest := faithful()
	latest.applied = slices.DeleteFunc(latest.applied, func(change appliedChange) bool {
		return change.Kind == Settings && change.Sequence <= auditedChanges-4
	})
	findings, coverage := newAudit(auditedLedger()).check(0, latest)
	if len(findings) > 0 || coverage.Superseded != auditedChanges-4 {
		t.Errorf("found %v, %d superseded", findings, coverage.Superseded)
	}
}

// TestAuditOfReset has everything before a reset count as purged.
func TestAuditOfReset(t *testing.T) {
	const to = 9
	reset := faithful()
	reset.applied = slices.DeleteFunc(reset.applied, func(change appliedChange) bool {
		return change.Kind == Purges && change.Sequence <= to
	})
	reset.covered = append(reset.covered, coveredRange{Kind: Purges, To: position{1, to}, Reset: true})
	findings, coverage := newAudit(auditedLedger()).check(0, reset)
	if len(findings) > 0 || coverage.ByReset != to {
		t.Errorf("found %v, %d by reset", findings, coverage.ByReset)
	}
}

// TestAuditOfUncertainChange lets a change of which the publisher did not hear be there or not.
func TestAuditOfUncertainChange(t *testing.T) {
	book := auditedLedger()
	book.changes[Purges][auditedChanges-1].Acknowledged = false
	without := faithful()
	without.applied = without.applied[:len(without.applied)-1]
	for name, history := range map[string]*history{"with": faithful(), "without": without} {
		if findings, _ := newAudit(book).check(0, history); len(findings) > 0 {
			t.Errorf("%s: found %v", name, findings)
		}
	}
}

// TestResultWithFindingFails has a finding fail the run, and be told.
func TestResultWithFindingFails(t *testing.T) {
	planted := faithful()
	planted.applied = slices.Delete(planted.applied, 1, 2)
	result := &Result{Findings: findingsOf(planted)}
	var table strings.Builder
	result.Table(&table)
	if want := "subscriber 0: purges 0000010000000001 at 1/1: lost"; !result.Failed() || !strings.Contains(table.String(), want) {
		t.Errorf("failed: %v, want %q in:\n%s", result.Failed(), want, &table)
	}
	if (&Result{}).Failed() || !(&Result{ConvergenceError: errTimeout}).Failed() {
		t.Error("a run fails where it is sound, or not where subscribers stay behind")
	}
}

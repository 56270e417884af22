package feedscale

import (
	"cmp"
	"fmt"
	"slices"
)

// Violation is a way in which the delivery of a change to a subscriber can be wrong.
type Violation uint8

// The violations that an audit detects.
const (
	Lost       Violation = iota // published, but neither applied nor covered
	Duplicated                  // applied twice, or applied and covered
	OutOfOrder                  // applied after a later change
	Unknown                     // applied, but never published with this identity and position
)

// String returns the violation's name.
func (f Violation) String() string {
	switch f {
	case Lost:
		return "lost"
	case Duplicated:
		return "repeated"
	case OutOfOrder:
		return "out of order"
	default:
		return "unknown"
	}
}

// Finding reports a violation for one change at one subscriber.
type Finding struct {
	Subscriber int
	Kind       Kind
	Violation  Violation
	Position   position
	Identity   uint64
}

// String describes the finding on one line.
func (f Finding) String() string {
	return fmt.Sprintf("subscriber %d: %v %016x at %d/%d: %v", f.Subscriber, f.Kind, f.Identity, f.Position.Epoch,
		f.Position.Sequence, f.Violation)
}

// audit compares the histories of subscribers with the published changes.
type audit struct {
	published [kinds][]publishAttempt
	index     [kinds]map[uint64]int // into published, by identity
}

// newAudit returns an audit of the changes in a ledger, which must not grow any more.
func newAudit(ledger *ledger) *audit {
	a := &audit{}
	for kind := range kinds {
		a.published[kind] = assignUncertainPositions(ledger.published(kind))
		a.index[kind] = make(map[uint64]int, len(a.published[kind]))
		for i, change := range a.published[kind] {
			a.index[kind][change.Identity] = i
		}
	}
	return a
}

// assignUncertainPositions gives each unacknowledged change the position of the acknowledged one before it, so that
// positions never decrease. It modifies and returns the slice.
func assignUncertainPositions(changes []publishAttempt) []publishAttempt {
	var last position
	for i := range changes {
		if changes[i].Acknowledged {
			last = changes[i].Position
		}
		changes[i].Position = last
	}
	return changes
}

// Coverage counts the changes that a subscriber did not apply individually, by how they were covered.
type Coverage struct {
	ByPrefix   int // purges covered by the prefix of their key
	ByReset    int // changes covered by a reset
	Superseded int // settings replaced by a later value of the same key
}

// check audits one subscriber's history, and returns the violations and how changes were covered otherwise.
func (a *audit) check(subscriber int, history *history) ([]Finding, Coverage) {
	history.mutex.Lock()
	defer history.mutex.Unlock()
	var findings []Finding
	var coverage Coverage
	for kind := range kinds {
		walk := newAuditWalk(a, subscriber, kind)
		walk.run(history)
		walk.reportLost()
		findings = append(findings, walk.findings...)
		coverage.ByPrefix += walk.coverage.ByPrefix
		coverage.ByReset += walk.coverage.ByReset
		coverage.Superseded += walk.coverage.Superseded
	}
	return findings, coverage
}

// auditWalk goes through one subscriber's history for one kind of changes.
type auditWalk struct {
	published  []publishAttempt
	index      map[uint64]int
	subscriber int
	kind       Kind
	accounted  []bool // by index of published: applied or covered so far
	cursor     position
	findings   []Finding
	coverage   Coverage
}

// newAuditWalk returns a walk with no change accounted for yet.
func newAuditWalk(a *audit, subscriber int, kind Kind) *auditWalk {
	published := a.published[kind]
	return &auditWalk{published: published, index: a.index[kind], subscriber: subscriber, kind: kind,
		accounted: make([]bool, len(published))}
}

// run processes the applied changes and covered ranges in the order in which the subscriber received them.
func (w *auditWalk) run(history *history) {
	covered := history.covered
	for i, change := range history.applied {
		for len(covered) > 0 && covered[0].AppliedBefore <= i {
			w.cover(covered[0])
			covered = covered[1:]
		}
		w.apply(change)
	}
	for _, rest := range covered {
		w.cover(rest)
	}
}

// apply accounts for an applied change, and reports it if it is unknown, duplicated or out of order.
func (w *auditWalk) apply(change appliedChange) {
	if change.Kind != w.kind {
		return
	}
	at := change.position()
	i, known := w.index[change.Identity]
	if !known || w.published[i].Acknowledged && w.published[i].Position != at {
		w.report(Unknown, at, change.Identity)
		return
	}
	switch {
	case w.accounted[i]:
		w.report(Duplicated, at, change.Identity)
	case at.compare(w.cursor) <= 0:
		w.report(OutOfOrder, at, change.Identity)
	}
	w.accounted[i] = true
	w.advance(at)
}

// cover accounts for the acknowledged changes within a range. Unless the range is a reset, each must match one of its
// prefixes and must not have been applied or covered before.
func (w *auditWalk) cover(covered coveredRange) {
	if covered.Kind != w.kind {
		return
	}
	first, _ := slices.BinarySearchFunc(w.published, covered.From, func(change publishAttempt, from position) int {
		if change.Position.compare(from) <= 0 {
			return -1
		}
		return 1
	})
	for i := first; i < len(w.published); i++ {
		change := w.published[i]
		if change.Position.compare(covered.To) > 0 {
			break
		}
		if change.Acknowledged {
			w.coverChange(i, covered)
		}
	}
	w.advance(covered.To)
}

// coverChange accounts for the published change with index i, which is within a covered range.
func (w *auditWalk) coverChange(i int, covered coveredRange) {
	change := w.published[i]
	switch {
	case covered.Reset:
		if !w.accounted[i] {
			w.coverage.ByReset++
		}
	case w.accounted[i]:
		w.report(Duplicated, change.Position, change.Identity)
	case !covered.includes(change.Identity):
		return // reported as lost at the end
	default:
		w.coverage.ByPrefix++
	}
	w.accounted[i] = true
}

// includes reports whether an identity has one of the range's prefixes.
func (c coveredRange) includes(identity uint64) bool {
	_, found := slices.BinarySearch(c.Prefixes, identity>>(identityBits-c.PrefixBits))
	return found
}

// advance moves the cursor forward to a position; it never moves back.
func (w *auditWalk) advance(to position) {
	if to.compare(w.cursor) > 0 {
		w.cursor = to
	}
}

// reportLost reports the acknowledged changes that are not accounted for, except settings superseded by a later value of
// the same key. It also sorts all findings by sequence.
func (w *auditWalk) reportLost() {
	superseded := map[string]bool{} // keys of settings with a later value accounted for
	for i, change := range slices.Backward(w.published) {
		switch {
		case w.accounted[i]:
			if w.kind == Settings {
				superseded[change.Key] = true
			}
		case !change.Acknowledged:
		case superseded[change.Key] && w.kind == Settings:
			w.coverage.Superseded++
		default:
			w.report(Lost, change.Position, change.Identity)
		}
	}
	slices.SortStableFunc(w.findings, func(x, y Finding) int { return cmp.Compare(x.Position.Sequence, y.Position.Sequence) })
}

// report adds a finding.
func (w *auditWalk) report(fault Violation, at position, identity uint64) {
	w.findings = append(w.findings, Finding{w.subscriber, w.kind, fault, at, identity})
}

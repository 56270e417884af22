package feedscale

import (
	"cmp"
	"fmt"
	"slices"
)

// Violation is what an audit found wrong with a change at a subscriber.
type Violation uint8

// The faults.
const (
	Lost       Violation = iota // published, and neither applied nor covered
	Duplicated                  // applied twice, or applied and covered
	OutOfOrder                  // applied behind a later one
	Unknown                     // applied, and never published as such
)

// String names the fault.
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

// Finding is a fault of one change at one subscriber.
type Finding struct {
	Subscriber int
	Kind       Kind
	Violation  Violation
	Position   position
	Identity   uint64
}

// String describes the finding in one line.
func (f Finding) String() string {
	return fmt.Sprintf("subscriber %d: %v %016x at %d/%d: %v", f.Subscriber, f.Kind, f.Identity, f.Position.Epoch,
		f.Position.Sequence, f.Violation)
}

// audit compares the histories of subscribers with what was published.
type audit struct {
	published [kinds][]publishedChange
	index     [kinds]map[uint64]int // of published, by identity
}

func newAudit(ledger *ledger) *audit {
	a := &audit{}
	for kind := range kinds {
		a.published[kind] = placeUncertain(ledger.published(kind))
		a.index[kind] = make(map[uint64]int, len(a.published[kind]))
		for i, change := range a.published[kind] {
			a.index[kind][change.Identity] = i
		}
	}
	return a
}

// placeUncertain gives changes of unknown position that of the one before, so that positions never fall.
func placeUncertain(changes []publishedChange) []publishedChange {
	var last position
	for i := range changes {
		if changes[i].Acknowledged {
			last = changes[i].Position
		}
		changes[i].Position = last
	}
	return changes
}

// Coverage counts how a subscriber came by the changes that it did not apply one by one.
type Coverage struct {
	ByPrefix   int // purges covered by the prefix of their key
	ByReset    int // changes covered by a reset
	Superseded int // settings of which a later value was applied
}

// check audits one subscriber's history.
func (a *audit) check(subscriber int, history *history) ([]Finding, Coverage) {
	history.mutex.Lock()
	defer history.mutex.Unlock()
	var findings []Finding
	var coverage Coverage
	for kind := range kinds {
		walk := newAuditWalk(a, subscriber, kind)
		walk.run(history)
		walk.finish()
		findings = append(findings, walk.findings...)
		coverage.ByPrefix += walk.coverage.ByPrefix
		coverage.ByReset += walk.coverage.ByReset
		coverage.Superseded += walk.coverage.Superseded
	}
	return findings, coverage
}

// auditWalk goes through one subscriber's history of one kind.
type auditWalk struct {
	published  []publishedChange
	index      map[uint64]int
	subscriber int
	kind       Kind
	taken      []bool // by index of published: applied or covered
	cursor     position
	findings   []Finding
	coverage   Coverage
}

func newAuditWalk(a *audit, subscriber int, kind Kind) *auditWalk {
	published := a.published[kind]
	return &auditWalk{published: published, index: a.index[kind], subscriber: subscriber, kind: kind,
		taken: make([]bool, len(published))}
}

// run takes the applied changes and covered ranges in the order in which they came.
func (w *auditWalk) run(history *history) {
	covered := history.covered
	for i, change := range history.applied {
		for len(covered) > 0 && covered[0].After <= i {
			w.cover(covered[0])
			covered = covered[1:]
		}
		w.apply(change)
	}
	for _, rest := range covered {
		w.cover(rest)
	}
}

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
	case w.taken[i]:
		w.report(Duplicated, at, change.Identity)
	case at.compare(w.cursor) <= 0:
		w.report(OutOfOrder, at, change.Identity)
	}
	w.taken[i] = true
	w.advance(at)
}

// cover takes a range. A published change within it has to be among its prefixes, and must not have been applied already.
func (w *auditWalk) cover(covered coveredRange) {
	if covered.Kind != w.kind {
		return
	}
	first, _ := slices.BinarySearchFunc(w.published, covered.From, func(change publishedChange, from position) int {
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

func (w *auditWalk) coverChange(i int, covered coveredRange) {
	change := w.published[i]
	switch {
	case covered.Reset:
		if !w.taken[i] {
			w.coverage.ByReset++
		}
	case w.taken[i]:
		w.report(Duplicated, change.Position, change.Identity)
	case !covered.includes(change.Identity):
		return // found as lost at the end
	default:
		w.coverage.ByPrefix++
	}
	w.taken[i] = true
}

// includes tells whether an identity has one of the range's prefixes.
func (c coveredRange) includes(identity uint64) bool {
	_, found := slices.BinarySearch(c.Prefixes, identity>>(identityBits-c.PrefixBits))
	return found
}

func (w *auditWalk) advance(to position) {
	if to.compare(w.cursor) > 0 {
		w.cursor = to
	}
}

// finish finds what was lost. A setting may be left out where a later value of its key was applied.
func (w *auditWalk) finish() {
	later := map[string]bool{} // keys of settings of which a later value was applied
	for i, change := range slices.Backward(w.published) {
		switch {
		case w.taken[i]:
			if w.kind == Settings {
				later[change.Key] = true
			}
		case !change.Acknowledged:
		case later[change.Key] && w.kind == Settings:
			w.coverage.Superseded++
		default:
			w.report(Lost, change.Position, change.Identity)
		}
	}
	slices.SortStableFunc(w.findings, func(x, y Finding) int { return cmp.Compare(x.Position.Sequence, y.Position.Sequence) })
}

func (w *auditWalk) report(fault Violation, at position, identity uint64) {
	w.findings = append(w.findings, Finding{w.subscriber, w.kind, fault, at, identity})
}

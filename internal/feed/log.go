package feed

import (
	"slices"
	"sort"
)

// record is a change within the window of a log.
type record struct {
	change Change
	// watermarkBefore is the node's watermark without this change and all later ones.
	watermarkBefore watermark
}

// kindLog holds a node's data of one kind: its position and, unless the node is a subscriber, the window of the most recent
// changes without a gap and the latest change of each key.
type kindLog struct {
	config KindConfig
	// storesChanges is false if only the position is stored.
	storesChanges bool
	head          Position
	// completeAt is the position from which on nothing is missing. It is ahead of head while a snapshot has left out changes
	// that are superseded by changes still to come.
	completeAt Position
	// base is the position before the first record. baseChange is the change at that position, if known: a publisher
	// persists it so that it can restore base after a restart.
	base       Position
	baseChange Change
	records    []record
	latest     latestState
}

// newKindLog returns an empty log. Without storesChanges it holds only the position.
func newKindLog(config KindConfig, storesChanges bool) kindLog {
	log := kindLog{config: config, storesChanges: storesChanges}
	log.latest.byKey = make(map[string]Change)
	return log
}

// append adds the change that follows head.
func (l *kindLog) append(change Change, watermarkBefore watermark) {
	l.head = change.Position
	if !l.storesChanges {
		return
	}
	l.records = append(l.records, record{change: change, watermarkBefore: watermarkBefore})
	if l.config.Stateful {
		l.latest.set(change)
	}
	if len(l.records) > l.config.Window {
		l.dropOldest()
	}
}

// dropOldest removes the first record of the window, which becomes its base.
func (l *kindLog) dropOldest() {
	l.baseChange = l.records[0].change
	l.base = l.baseChange.Position
	// The backing array lives until append replaces it: clear the slot to release the key and value.
	l.records[0] = record{}
	l.records = l.records[1:]
}

// resetTo moves head forward over changes that are not received individually. It empties the window.
func (l *kindLog) resetTo(at Position) {
	l.head = at
	l.base = at
	l.baseChange = Change{}
	l.records = nil
}

// applySnapshot applies one part of a snapshot that ends at a position.
func (l *kindLog) applySnapshot(entries []Change, at Position) {
	if l.storesChanges && l.config.Stateful {
		for _, entry := range entries {
			l.latest.set(entry)
		}
	}
	l.resetTo(at)
}

// isComplete reports whether each change up to head is known, or a later change of the same key.
func (l *kindLog) isComplete() bool {
	return l.head.Compare(l.completeAt) >= 0
}

// load adds a saved change. Positions must increase; after a gap the window starts anew.
func (l *kindLog) load(change Change) {
	follows := change.Position.Sequence == l.head.Sequence+1
	if follows {
		l.append(change, watermark{})
		return
	}
	l.applySnapshot([]Change{change}, change.Position)
	l.baseChange = change
}

// contains reports whether p is the base or the position of a record, so that a child at p can be served change by change.
func (l *kindLog) contains(p Position) bool {
	if p == l.base {
		return true
	}
	index := l.recordIndex(p)
	return index > 0 && l.records[index-1].change.Position == p
}

// recordIndex returns the index of the first record after p's sequence, or -1 if p's sequence is outside the window.
func (l *kindLog) recordIndex(p Position) int {
	if p.Sequence < l.base.Sequence || p.Sequence-l.base.Sequence > uint64(len(l.records)) {
		return -1
	}
	return int(p.Sequence - l.base.Sequence)
}

// after returns the records that follow p, which must be contained in the window.
func (l *kindLog) after(p Position) []record {
	return l.records[l.recordIndex(p):]
}

// firstContainedAfter returns the earliest contained position later than p, which must be earlier than head.
func (l *kindLog) firstContainedAfter(p Position) Position {
	if l.base.Compare(p) > 0 {
		return l.base
	}
	index := sort.Search(len(l.records), func(i int) bool {
		return l.records[i].change.Position.Compare(p) > 0
	})
	return l.records[index].change.Position
}

// retained returns the changes that a publisher must persist: the window with its base, and the latest change of each key.
func (l *kindLog) retained() []Change {
	var changes []Change
	for _, change := range l.latest.after(Position{}) {
		if change.Position.Compare(l.base) < 0 {
			changes = append(changes, change)
		}
	}
	if len(l.baseChange.Key) > 0 {
		changes = append(changes, l.baseChange)
	}
	for _, record := range l.records {
		changes = append(changes, record.change)
	}
	return changes
}

// latestState holds the latest change of each key.
type latestState struct {
	byKey map[string]Change
	// ordered holds the changes sorted by position, or nil if they must be sorted again.
	ordered []Change
}

func (s *latestState) set(change Change) {
	s.byKey[string(change.Key)] = change
	s.ordered = nil
}

// after returns the changes later than p, in the order of their positions.
func (s *latestState) after(p Position) []Change {
	if s.ordered == nil {
		s.ordered = make([]Change, 0, len(s.byKey))
		for _, change := range s.byKey {
			s.ordered = append(s.ordered, change)
		}
		slices.SortFunc(s.ordered, func(a, b Change) int { return a.Position.Compare(b.Position) })
	}
	index := sort.Search(len(s.ordered), func(i int) bool { return s.ordered[i].Position.Compare(p) > 0 })
	return s.ordered[index:]
}

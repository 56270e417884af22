package feed

import (
	"slices"
	"sort"
)

// record is a change in a log.
type record struct {
	change Change
	// knownBefore is the node's watermark as it was without this change and all later ones.
	knownBefore watermark
}

// kindLog holds what a node knows of one kind: its position and, unless the node is a subscriber, the window of the latest
// changes without a gap and the latest change of each key.
type kindLog struct {
	config KindConfig
	// keeps is false where the position alone is kept.
	keeps bool
	head  Position
	// wholeAt is the position from which on all that was passed is known, after a snapshot that left out changes whose
	// successors it hadn't come to yet.
	wholeAt Position
	// base is the position before the first record. baseChange is the change there, if the node had it: a publisher
	// keeps it on disk, so that it knows the base after a restart.
	base       Position
	baseChange Change
	records    []record
	latest     latestState
}

func newKindLog(config KindConfig, keeps bool) kindLog {
	log := kindLog{config: config, keeps: keeps}
	log.latest.byKey = make(map[string]Change)
	return log
}

// append takes the change that follows head.
func (l *kindLog) append(change Change, knownBefore watermark) {
	l.head = change.Position
	if !l.keeps {
		return
	}
	l.records = append(l.records, record{change: change, knownBefore: knownBefore})
	if l.config.Stateful {
		l.latest.set(change)
	}
	if len(l.records) > l.config.Window {
		l.dropOldest()
	}
}

func (l *kindLog) dropOldest() {
	l.baseChange = l.records[0].change
	l.base = l.baseChange.Position
	// The array is kept until append outgrows it: it shall not hold on to the key and value.
	l.records[0] = record{}
	l.records = l.records[1:]
}

// restart moves head forward over changes that the node doesn't get one by one: the window is empty then.
func (l *kindLog) restart(at Position) {
	l.head = at
	l.base = at
	l.baseChange = Change{}
	l.records = nil
}

// applySnapshot takes a part of a snapshot that ends at a position.
func (l *kindLog) applySnapshot(entries []Change, at Position) {
	if l.keeps && l.config.Stateful {
		for _, entry := range entries {
			l.latest.set(entry)
		}
	}
	l.restart(at)
}

// isWhole tells whether all changes up to head are known, or later ones of the same keys.
func (l *kindLog) isWhole() bool {
	return l.head.Compare(l.wholeAt) >= 0
}

// load takes kept changes whose positions rise. Where there is a gap, what came before it is no part of the window.
func (l *kindLog) load(change Change) {
	follows := change.Position.Sequence == l.head.Sequence+1
	if follows {
		l.append(change, watermark{})
		return
	}
	l.applySnapshot([]Change{change}, change.Position)
	l.baseChange = change
}

// contains tells whether p is the base or the position of a record: a child there can be served exactly.
func (l *kindLog) contains(p Position) bool {
	if p == l.base {
		return true
	}
	index := l.index(p)
	return index > 0 && l.records[index-1].change.Position == p
}

// index returns where the records after p's sequence begin, or -1 where that is out of the window.
func (l *kindLog) index(p Position) int {
	if p.Sequence < l.base.Sequence || p.Sequence-l.base.Sequence > uint64(len(l.records)) {
		return -1
	}
	return int(p.Sequence - l.base.Sequence)
}

// after returns the records that follow p, which is contained.
func (l *kindLog) after(p Position) []record {
	return l.records[l.index(p):]
}

// firstContainedAfter returns the earliest contained position that is later than p, which is earlier than head.
func (l *kindLog) firstContainedAfter(p Position) Position {
	if l.base.Compare(p) > 0 {
		return l.base
	}
	index := sort.Search(len(l.records), func(i int) bool {
		return l.records[i].change.Position.Compare(p) > 0
	})
	return l.records[index].change.Position
}

// retained returns what a publisher has to keep: the window with its base, and the latest change of each key.
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
	// ordered holds the same by position. It is nil where it has to be made anew.
	ordered []Change
}

func (s *latestState) set(change Change) {
	s.byKey[string(change.Key)] = change
	s.ordered = nil
}

// after returns the changes later than p by position.
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

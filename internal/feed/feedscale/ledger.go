package feedscale

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// position is a position in the feed's order of the changes of a kind.
type position struct {
	Epoch    uint64
	Sequence uint64
}

// compare returns -1, 0 or +1 if p is before, equal to or after q.
func (p position) compare(q position) int {
	if byEpoch := cmp.Compare(p.Epoch, q.Epoch); byEpoch != 0 {
		return byEpoch
	}
	return cmp.Compare(p.Sequence, q.Sequence)
}

// publishAttempt is an attempt to publish a planned change.
type publishAttempt struct {
	Identity     uint64
	Key          string
	Due, Done    time.Duration // since the run began
	Position     position      // zero unless acknowledged
	Acknowledged bool          // if false, the change may or may not have been published
}

// ledger records the attempts to publish, by kind and in order. It is safe for concurrent use through its methods.
type ledger struct {
	mutex   sync.Mutex
	changes [kinds][]publishAttempt
}

// add records an attempt to publish a change of a kind.
func (l *ledger) add(kind Kind, change publishAttempt) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.changes[kind] = append(l.changes[kind], change)
}

// head returns the position of the last change of a kind that was acknowledged by a time since the start of the run, or the
// zero position if there is none.
func (l *ledger) head(kind Kind, at time.Duration) position {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, change := range slices.Backward(l.changes[kind]) {
		if change.Acknowledged && change.Done <= at {
			return change.Position
		}
	}
	return position{}
}

// counts returns the numbers of acknowledged and failed attempts of a kind.
func (l *ledger) counts(kind Kind) (acknowledged, failed int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, change := range l.changes[kind] {
		if change.Acknowledged {
			acknowledged++
		}
	}
	return acknowledged, len(l.changes[kind]) - acknowledged
}

// published returns a copy of the attempts of a kind.
func (l *ledger) published(kind Kind) []publishAttempt {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return slices.Clone(l.changes[kind])
}

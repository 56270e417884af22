package feedscale

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// position is a place in the order of a kind's changes, as the feed names it.
type position struct {
	Epoch    uint64
	Sequence uint64
}

func (p position) compare(q position) int {
	if byEpoch := cmp.Compare(p.Epoch, q.Epoch); byEpoch != 0 {
		return byEpoch
	}
	return cmp.Compare(p.Sequence, q.Sequence)
}

// publishedChange is an attempt to publish a planned change.
type publishedChange struct {
	Identity     uint64
	Key          string
	Due, Done    time.Duration // since the run began
	Position     position      // of an acknowledged one
	Acknowledged bool          // otherwise the attempt failed, and the change may or may not have been published
}

// ledger keeps what was published, by kind and in the order of publishing.
type ledger struct {
	mutex   sync.Mutex
	changes [kinds][]publishedChange
}

func (l *ledger) add(kind Kind, change publishedChange) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.changes[kind] = append(l.changes[kind], change)
}

// head is the position of the last change of a kind that had been acknowledged at a time since the run began.
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

// counts are the numbers of acknowledged and of failed attempts of a kind.
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

// published is a copy of what was published of a kind.
func (l *ledger) published(kind Kind) []publishedChange {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return slices.Clone(l.changes[kind])
}

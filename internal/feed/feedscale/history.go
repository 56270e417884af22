package feedscale

import (
	"sync"
	"sync/atomic"
	"time"
	"unsafe"
)

// appliedChange is a change that a subscriber applied.
type appliedChange struct {
	At       time.Duration // since the run began
	Identity uint64
	Sequence uint32
	Epoch    uint16
	Kind     Kind
}

func (a appliedChange) position() position {
	return position{uint64(a.Epoch), uint64(a.Sequence)}
}

// coveredRange is a range of changes that a subscriber took in as a whole: by the prefixes of its keys, or as a reset, after
// which everything counts as purged.
type coveredRange struct {
	At         time.Duration
	After      int // the number of changes that had been applied before
	Kind       Kind
	From, To   position // the changes after From up to To
	Reset      bool
	PrefixBits int
	Prefixes   []uint64 // rising
}

// history is what one subscriber applied, in its order.
type history struct {
	mutex   sync.Mutex
	applied []appliedChange
	covered []coveredRange
	fresh   []freshness
	heads   [kinds]atomic.Uint64 // the last sequence by kind, for waiting and progress
}

// freshness tells when a subscriber's knowledge became stale or fresh.
type freshness struct {
	At    time.Duration
	Stale bool
}

func (h *history) apply(change appliedChange) {
	h.mutex.Lock()
	h.applied = append(h.applied, change)
	h.mutex.Unlock()
	h.advance(change.Kind, uint64(change.Sequence))
}

// advance notes the sequence that the subscriber has come to.
func (h *history) advance(kind Kind, sequence uint64) {
	h.heads[kind].Store(sequence)
}

func (h *history) cover(covered coveredRange) {
	h.mutex.Lock()
	covered.After = len(h.applied)
	h.covered = append(h.covered, covered)
	h.mutex.Unlock()
	h.advance(covered.Kind, covered.To.Sequence)
}

func (h *history) freshen(at time.Duration, stale bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.fresh = append(h.fresh, freshness{at, stale})
}

// isFresh tells whether the subscriber was last told that its knowledge is fresh.
func (h *history) isFresh() bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return len(h.fresh) > 0 && !h.fresh[len(h.fresh)-1].Stale
}

// reached tells whether the subscriber has come to a sequence of each kind.
func (h *history) reached(sequences [kinds]uint64) bool {
	for kind, sequence := range sequences {
		if h.heads[kind].Load() < sequence {
			return false
		}
	}
	return true
}

// bytes is the memory that the history itself holds.
func (h *history) bytes() int {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return cap(h.applied) * int(unsafe.Sizeof(appliedChange{}))
}

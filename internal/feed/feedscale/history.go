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
	h.heads[change.Kind].Store(uint64(change.Sequence))
}

func (h *history) cover(covered coveredRange) {
	h.mutex.Lock()
	covered.After = len(h.applied)
	h.covered = append(h.covered, covered)
	h.mutex.Unlock()
	h.heads[covered.Kind].Store(covered.To.Sequence)
}

func (h *history) freshen(at time.Duration, stale bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.fresh = append(h.fresh, freshness{at, stale})
}

// bytes is the memory that the history itself holds.
func (h *history) bytes() int {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return cap(h.applied) * int(unsafe.Sizeof(appliedChange{}))
}

package feedscale

import (
	"sync"
	"sync/atomic"
	"time"
	"unsafe"
)

// appliedChange records a change that a subscriber applied.
type appliedChange struct {
	At       time.Duration // since the run began
	Identity uint64
	Sequence uint32
	Epoch    uint16
	Kind     Kind
}

// position returns the change's position in the feed.
func (a appliedChange) position() position {
	return position{uint64(a.Epoch), uint64(a.Sequence)}
}

// coveredRange records a range of changes that a subscriber received as a whole: as prefixes of the keys, or as a reset,
// which counts as a purge of everything.
type coveredRange struct {
	At            time.Duration
	AppliedBefore int // number of changes applied before it
	Kind          Kind
	From, To      position // covers positions after From up to and including To
	Reset         bool
	PrefixBits    int
	Prefixes      []uint64 // sorted
}

// history records what one subscriber received, in order. It is safe for concurrent use through its methods.
type history struct {
	mutex            sync.Mutex
	applied          []appliedChange
	covered          []coveredRange
	freshnessChanges []freshnessChange
	heads            [kinds]atomic.Uint64 // latest sequence by kind
}

// freshnessChange records when a subscriber became stale or fresh.
type freshnessChange struct {
	At    time.Duration
	Stale bool
}

// apply records an applied change.
func (h *history) apply(change appliedChange) {
	h.mutex.Lock()
	h.applied = append(h.applied, change)
	h.mutex.Unlock()
	h.advance(change.Kind, uint64(change.Sequence))
}

// advance records the sequence that the subscriber has reached for a kind.
func (h *history) advance(kind Kind, sequence uint64) {
	h.heads[kind].Store(sequence)
}

// cover records a covered range and sets its AppliedBefore.
func (h *history) cover(covered coveredRange) {
	h.mutex.Lock()
	covered.AppliedBefore = len(h.applied)
	h.covered = append(h.covered, covered)
	h.mutex.Unlock()
	h.advance(covered.Kind, covered.To.Sequence)
}

// addFreshness records that the subscriber became stale or fresh at a time since the start of the run.
func (h *history) addFreshness(at time.Duration, stale bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.freshnessChanges = append(h.freshnessChanges, freshnessChange{at, stale})
}

// isFresh reports whether the subscriber's latest freshness event was fresh.
func (h *history) isFresh() bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return len(h.freshnessChanges) > 0 && !h.freshnessChanges[len(h.freshnessChanges)-1].Stale
}

// reached reports whether the subscriber has reached the given sequence of each kind.
func (h *history) reached(sequences [kinds]uint64) bool {
	for kind, sequence := range sequences {
		if h.heads[kind].Load() < sequence {
			return false
		}
	}
	return true
}

// memoryBytes returns the approximate memory used by the history, in bytes.
func (h *history) memoryBytes() int {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return cap(h.applied) * int(unsafe.Sizeof(appliedChange{}))
}

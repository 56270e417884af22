package routing

import (
	"github.com/cespare/xxhash/v2"

	"larchthread/balance"
)

// Which ids of ops are taken: those of open ops, and for a while those of ops that may have run and must not run twice.

const (
	pastIDRetention = 5000.0  // ms; longer than any TTL: until then a client may send an op again whose answer it missed
	maxPastIDs      = 1 << 15 // some 2 MB; beyond it the oldest are forgotten
)

// pastID is the id of an op that may have run, as its hash.
type pastID struct {
	hash  uint64
	until float64 // ms
}

// opIDs are the ids that a new op must not have.
type opIDs struct {
	open  map[string]*op
	past  map[uint64]float64 // until when a past id is taken in ms, by hash
	order []pastID           // the same, the oldest first
}

// newOpIDs returns a registry in which no id is taken.
func newOpIDs() opIDs { return opIDs{open: map[string]*op{}, past: map[uint64]float64{}} }

// isTaken reports whether an id is that of an open op, or of one that may have run a short time ago.
func (ids *opIDs) isTaken(id string, now float64) bool {
	if ids.open[id] != nil {
		return true
	}
	return len(ids.past) > 0 && ids.past[xxhash.Sum64String(id)] > now
}

// addPast marks an id, given by its hash, as taken for pastIDRetention.
func (ids *opIDs) addPast(hash uint64, now float64) {
	for len(ids.order) > 0 && (ids.order[0].until <= now || len(ids.order) >= maxPastIDs) {
		if oldest := ids.order[0]; ids.past[oldest.hash] == oldest.until { // else it was added again since
			delete(ids.past, oldest.hash)
		}
		ids.order = ids.order[1:]
	}
	until := now + pastIDRetention
	ids.past[hash] = until
	ids.order = append(ids.order, pastID{hash, until})
}

// mustNotRepeat reports whether the op may have run, so that another one with its id must not.
func (o *op) mustNotRepeat() bool {
	return o.possibleRuns > 0 && o.Category.Repeat != balance.Redeliverable
}

// close ends the time in which the id belongs to an open op.
func (ids *opIDs) close(o *op, now float64) {
	if ids.open[o.command.ID] != o {
		return
	}
	delete(ids.open, o.command.ID)
	if o.mustNotRepeat() {
		ids.addPast(xxhash.Sum64String(o.command.ID), now)
	}
}

// noteSent counts a push that has been written in full, and may run from then on. The other process is told of the id, as
// the op may come to it next.
func (r *Router) noteSent(o *op) {
	o.possibleRuns++
	if r.handOver.peer != nil && o.mustNotRepeat() {
		r.handOver.peer.ShareIDs([]uint64{xxhash.Sum64String(o.command.ID)})
	}
}

// hashesToShare returns the hashes of all ids that must not run at another process.
func (ids *opIDs) hashesToShare(now float64) (hashes []uint64) {
	for _, o := range ids.open {
		if o.mustNotRepeat() {
			hashes = append(hashes, xxhash.Sum64String(o.command.ID))
		}
	}
	for hash, until := range ids.past {
		if until > now {
			hashes = append(hashes, hash)
		}
	}
	return hashes
}

// AdoptIDs marks ids of the other process, given by their hashes, as taken.
func (r *Router) AdoptIDs(hashes []uint64) {
	for _, hash := range hashes {
		r.clients.ids.addPast(hash, r.loop.Now())
	}
}

package feed

import "time"

// currentWatermark returns the watermark of the node's data. A publisher is always up to date, unless another publisher has
// fenced it.
func (n *Node) currentWatermark() watermark {
	if n.config.Role == Publisher {
		return watermark{known: !n.fenced, at: n.now}
	}
	return n.watermark
}

// age returns an upper bound on the age of the node's data, or AgeUnknown.
func (n *Node) age() time.Duration {
	return n.currentWatermark().age(n.now)
}

// updateWatermark advances the watermark by what a parent's message states: with that message applied, the data was at most
// age old when the child sent the stamp echo. It does nothing while any kind is incomplete: the parent knows only the
// positions, not which changes an earlier snapshot (possibly from another parent) left out.
func (n *Node) updateWatermark(echo Stamp, age time.Duration) {
	for i := range n.kinds {
		if !n.kinds[i].isComplete() {
			return
		}
	}
	n.watermark = n.watermark.later(watermarkFrom(echo, age, n.now))
	n.updateFreshness()
}

// updateFreshness emits Stale or Fresh when the age of the data crosses Config.MaxAge.
func (n *Node) updateFreshness() {
	if n.config.Role == Publisher {
		return
	}
	age := n.age()
	fresh := age <= n.config.MaxAge
	if fresh == n.fresh {
		return
	}
	n.fresh = fresh
	if fresh {
		n.emit(Fresh{})
		return
	}
	n.emit(Stale{Age: age})
}

// staleAt returns the time at which the data becomes stale if no parent confirms it before then, or never if it
// is stale already.
func (n *Node) staleAt() time.Duration {
	if !n.fresh {
		return never
	}
	return n.watermark.at + n.config.MaxAge + time.Millisecond
}

// observeEpoch records an epoch reported by a peer. A higher epoch than any seen before fences a publisher, and closes the
// connection to a parent that has a lower one.
func (n *Node) observeEpoch(epoch uint64) {
	if epoch <= n.epoch {
		return
	}
	n.epoch = epoch
	if n.config.Role == Publisher {
		n.fence()
		return
	}
	if parent := n.upstream.parent; parent != nil && parent.epoch < epoch {
		n.closeLink(parent, Refused{Reason: RefusedEpoch})
		n.scheduleNextParent(parent.index, n.now)
	}
}

// fence stops a publisher and disconnects its children, because the ages it has reported to them no longer hold.
func (n *Node) fence() {
	n.fenced = true
	for len(n.children.ordered) > 0 {
		n.closeChild(n.children.ordered[0], Refused{Reason: RefusedEpoch})
	}
}

package feed

import "time"

// currentWatermark returns the watermark of all that the node knows. A publisher knows all at any time, unless another one
// has taken its place.
func (n *Node) currentWatermark() watermark {
	if n.config.Role == Publisher {
		return watermark{known: !n.fenced, at: n.now}
	}
	return n.known
}

// age returns how old the node's knowledge may be at most.
func (n *Node) age() time.Duration {
	return n.currentWatermark().age(n.now)
}

// learn takes what a parent's message says of the age of all that the node knows with it. The parent goes by positions
// alone: it doesn't know what an earlier snapshot, perhaps another parent's, has left out.
func (n *Node) learn(echo Stamp, age time.Duration) {
	for i := range n.kinds {
		if !n.kinds[i].isWhole() {
			return
		}
	}
	n.known = n.known.later(watermarkFrom(echo, age, n.now))
	n.checkAge()
}

// checkAge tells when knowledge becomes stale, or fresh.
func (n *Node) checkAge() {
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

// ageTick returns when knowledge becomes stale, if nothing is learned until then.
func (n *Node) ageTick() time.Duration {
	if !n.fresh {
		return never
	}
	return n.known.at + n.config.MaxAge + time.Millisecond
}

// raiseEpoch takes an epoch from a peer. It ends what is bound to a lower one: a publisher's right to publish, or the
// connection to a parent of a lower epoch.
func (n *Node) raiseEpoch(epoch uint64) {
	if epoch <= n.epoch {
		return
	}
	n.epoch = epoch
	if n.config.Role == Publisher {
		n.fence()
		return
	}
	if parent := n.upstream.parent; parent != nil && parent.epoch < epoch {
		n.endLink(parent, Refused{Reason: RefusedEpoch})
		n.planNextParent(parent.index, n.now)
	}
}

// fence ends a publisher's work: what it told its children of the age of their knowledge doesn't hold anymore.
func (n *Node) fence() {
	n.fenced = true
	for len(n.children.inOrder) > 0 {
		n.dismiss(n.children.inOrder[0], Refused{Reason: RefusedEpoch})
	}
}

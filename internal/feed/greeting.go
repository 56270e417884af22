package feed

// receiveFromParent takes a message from the parent or from a candidate.
func (n *Node) receiveFromParent(link *link, message Message) {
	link.heard = n.now
	n.upstream.received = watermark{known: true, at: n.now}
	switch m := message.(type) {
	case Refused, Goodbye:
		n.endLink(link, Goodbye{})
		n.linkGone(link)
	case Hello:
		n.parentGreeted(link, m)
	case Heartbeat:
		n.receiveHeartbeat(link, m)
	default:
		n.receiveChanges(link, message)
	}
}

// parentGreeted takes a parent's Hello: the first one, or one that answers another Hello of this node.
func (n *Node) parentGreeted(link *link, hello Hello) {
	if reason := n.refuseParent(hello); reason != 0 {
		n.refuseLink(link, reason)
		return
	}
	link.epoch = hello.Epoch
	link.sourceStale = hello.Age > n.config.MaxAge
	if link.state == linkFollowing {
		n.resumeAfterHello(link)
		return
	}
	if n.upstream.parent == nil {
		n.follow(link)
		return
	}
	if !n.isBetter(link) {
		n.endLink(link, Goodbye{})
		n.candidateGone(link)
		return
	}
	n.endLink(n.upstream.parent, Goodbye{})
	n.follow(link)
}

// isBetter tells whether to leave the parent for a candidate.
func (n *Node) isBetter(candidate *link) bool {
	preferred := candidate.index < n.upstream.parent.index
	return !candidate.sourceStale && (preferred || n.parentIsStuck())
}

// refuseParent returns why the sender of a Hello can't be a parent, or zero.
func (n *Node) refuseParent(hello Hello) RefusalReason {
	reason := n.mismatch(hello)
	switch {
	case reason != 0:
		return reason
	case !serves(hello.Role, n.config.Role):
		return RefusedRole
	case hello.Epoch < n.epoch:
		return RefusedEpoch
	}
	return 0
}

// mismatch returns why the sender of a Hello can be neither parent nor child, or zero.
func (n *Node) mismatch(hello Hello) RefusalReason {
	switch {
	case hello.Version != Version:
		return RefusedVersion
	case hello.Cluster != n.config.Cluster:
		return RefusedCluster
	case hello.KindsChecksum != n.config.kindsChecksum() || len(hello.Positions) != len(n.kinds):
		return RefusedKinds
	}
	return 0
}

// serves tells whether a parent of one role may have a child of another: the depth is two, and there are no loops.
func serves(parent, child Role) bool {
	switch parent {
	case Publisher:
		return child == Relay || child == Subscriber
	case Relay:
		return child == Subscriber
	}
	return false
}

func (n *Node) refuseLink(link *link, reason RefusalReason) {
	n.endLink(link, Refused{Reason: reason})
	n.linkGone(link)
}

// follow makes a candidate the parent.
func (n *Node) follow(link *link) {
	u := &n.upstream
	u.candidate = nil
	u.parent = link
	u.dialAt = never
	u.next = n.nextIndex(link.index)
	u.returnAt = never
	u.pingAt = n.now + jitter(n.random, n.config.HeartbeatEvery)
	link.state = linkFollowing
	link.changed = n.now
	n.raiseEpoch(link.epoch)
	n.planReturn()
	if link.probed {
		n.sendHello(link, false)
		return
	}
	n.resumeAfterHello(link)
}

func (n *Node) resumeAfterHello(link *link) {
	link.awaitsHello = false
	n.raiseEpoch(link.epoch)
	n.planSearch()
}

// receiveHeartbeat takes a parent's sign of life.
func (n *Node) receiveHeartbeat(link *link, m Heartbeat) {
	if link.state != linkFollowing || link.awaitsHello {
		return
	}
	if m.Epoch < n.epoch {
		n.refuseLink(link, RefusedEpoch)
		return
	}
	link.epoch = m.Epoch
	n.raiseEpoch(m.Epoch)
	link.sourceStale = m.SourceAge > n.config.MaxAge
	n.upstream.retry.reset()
	n.planSearch()
	if !n.isAt(m.Positions) {
		n.helloAgain(link)
		return
	}
	n.learn(m.Echo, m.Age)
}

// isAt tells whether the node has come as far as its parent takes it to have, or further: then what the parent says of the
// age of that knowledge holds.
func (n *Node) isAt(positions []Position) bool {
	if len(positions) != len(n.kinds) {
		return false
	}
	for i, position := range positions {
		if n.kinds[i].head.Compare(position) < 0 {
			return false
		}
	}
	return true
}

// helloAgain asks the parent to go on from this node's positions, after a message that doesn't fit them.
func (n *Node) helloAgain(link *link) {
	n.counters.Resyncs++
	n.sendHello(link, false)
}

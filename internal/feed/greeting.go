package feed

// receiveFromParent handles a message from the parent or the candidate.
func (n *Node) receiveFromParent(link *link, message Message) {
	link.lastHeard = n.now
	n.upstream.lastReceived = watermark{known: true, at: n.now}
	switch m := message.(type) {
	case Refused, Goodbye:
		n.closeLink(link, Goodbye{})
		n.handleLinkClosed(link)
	case Hello:
		n.receiveParentHello(link, m)
	case Heartbeat:
		n.receiveHeartbeat(link, m)
	default:
		n.receiveChanges(link, message)
	}
}

// receiveParentHello handles a parent's Hello: its first one, or the answer to a later Hello of this node.
func (n *Node) receiveParentHello(link *link, hello Hello) {
	if reason := n.parentRefusalReason(hello); reason != 0 {
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
	if !n.isBetterParent(link) {
		n.closeLink(link, Goodbye{})
		n.handleCandidateClosed(link)
		return
	}
	n.closeLink(n.upstream.parent, Goodbye{})
	n.follow(link)
}

// isBetterParent reports whether to leave the current parent for a candidate.
func (n *Node) isBetterParent(candidate *link) bool {
	preferred := candidate.index < n.upstream.parent.index
	return !candidate.sourceStale && (preferred || n.isParentStuck())
}

// parentRefusalReason returns why the sender of a Hello is refused as a parent, or zero.
func (n *Node) parentRefusalReason(hello Hello) RefusalReason {
	reason := n.mismatch(hello)
	switch {
	case reason != 0:
		return reason
	case !canServe(hello.Role, n.config.Role):
		return RefusedRole
	case hello.Epoch < n.epoch:
		return RefusedEpoch
	}
	return 0
}

// mismatch returns why a Hello is incompatible with this node regardless of roles, or zero.
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

// canServe reports whether a node with the role parent may serve a node with the role child. The tree has at most two levels
// below the publisher and no loops.
func canServe(parent, child Role) bool {
	switch parent {
	case Publisher:
		return child == Relay || child == Subscriber
	case Relay:
		return child == Subscriber
	}
	return false
}

// refuseLink closes a connection to a parent with a reason and schedules the next attempt.
func (n *Node) refuseLink(link *link, reason RefusalReason) {
	n.closeLink(link, Refused{Reason: reason})
	n.handleLinkClosed(link)
}

// follow makes a candidate the parent.
func (n *Node) follow(link *link) {
	u := &n.upstream
	u.candidate = nil
	u.parent = link
	u.dialAt = never
	u.nextAddress = n.nextIndex(link.index)
	u.returnAt = never
	u.pingAt = n.now + jitter(n.random, n.config.HeartbeatEvery)
	link.state = linkFollowing
	link.lastChanged = n.now
	n.observeEpoch(link.epoch)
	n.scheduleReturn()
	if link.isProbe {
		n.sendHello(link, false)
		return
	}
	n.resumeAfterHello(link)
}

// resumeAfterHello accepts messages from the parent again, once it has answered this node's Hello.
func (n *Node) resumeAfterHello(link *link) {
	link.awaitsHello = false
	n.observeEpoch(link.epoch)
	n.scheduleSearch()
}

// receiveHeartbeat handles a parent's answer to a Ping.
func (n *Node) receiveHeartbeat(link *link, m Heartbeat) {
	if link.state != linkFollowing || link.awaitsHello {
		return
	}
	if m.Epoch < n.epoch {
		n.refuseLink(link, RefusedEpoch)
		return
	}
	link.epoch = m.Epoch
	n.observeEpoch(m.Epoch)
	link.sourceStale = m.SourceAge > n.config.MaxAge
	n.upstream.retryBackoff.reset()
	n.scheduleSearch()
	if !n.hasReached(m.Positions) {
		n.resync(link)
		return
	}
	n.updateWatermark(m.Echo, m.Age)
}

// hasReached reports whether the node is at or past the positions that its parent assumes, so that the age stated by the
// parent holds for the node's data.
func (n *Node) hasReached(positions []Position) bool {
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

// resync asks the parent to continue from this node's positions, after a message that does not follow them.
func (n *Node) resync(link *link) {
	n.counters.Resyncs++
	n.sendHello(link, false)
}

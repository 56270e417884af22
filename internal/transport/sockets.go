package transport

import "slices"

// makeRoom evicts a connection and reports whether it could. Unproven connections go first once their grace
// period is over or if they are many, so that a flood of them does not evict others; then the connection idle
// longest. For an outgoing connection, idle outgoing ones go before clients: one client's requests may keep hundreds
// of them in turn.
func (l *Loop) makeRoom(outgoing bool) bool {
	var oldest, oldestOutgoing, unproven *Conn
	n := 0
	for _, c := range l.conns {
		if c == nil || c.status != established && c.status != halfClosing || c.endReason != "" || c.hasNewInput ||
			c.EvictionClass == nil || c.usesReserve() {
			continue
		}
		switch c.EvictionClass() {
		case Idle:
			if c.blockedAt == l.now {
				continue
			}
			if oldest == nil || c.LastUsed < oldest.LastUsed {
				oldest = c
			}
			if c.listener == nil && (oldestOutgoing == nil || c.LastUsed < oldestOutgoing.LastUsed) {
				oldestOutgoing = c
			}
		case Unproven:
			if n++; unproven == nil || c.CreatedAt < unproven.CreatedAt {
				unproven = c
			}
		}
	}
	if outgoing && oldestOutgoing != nil {
		oldest = oldestOutgoing
	}
	if unproven != nil && (l.now-unproven.CreatedAt > unprovenGrace || n > l.maxSockets/unprovenDivisor || oldest == nil) {
		oldest = unproven
	}
	if oldest == nil {
		return false
	}
	if n, _ := oldest.peek(); n > 0 { // closing it now would lose input, and answers in transit
		if oldest.read(); oldest.hasNewInput { // false if memory is full
			return l.makeRoom(outgoing)
		}
	}
	if oldest != unproven && oldest.AwaitsPeer() { // a next request on it would have its answers discarded in transit
		oldest.blockedAt = l.now
		return l.makeRoom(outgoing)
	}
	l.evict(oldest)
	return true
}

// evict closes a connection and its descriptor at once, so that many can be accepted in a round.
func (l *Loop) evict(c *Conn) {
	c.Handler.Ended(c, Evicted)
	c.Close(Evicted)
	l.closeSocket(c)
}

// HasUnsent reports whether a half-closed connection has output that could not be sent yet.
func (l *Loop) HasUnsent() bool {
	return slices.ContainsFunc(l.conns, func(c *Conn) bool {
		return c != nil && c.status == halfClosing && (c.Out.Len() > 0 || c.linger.unsent > 0)
	})
}

// SetMaxSockets sets the limit of open sockets, not counting reserved descriptors. Open ones are not closed.
func (l *Loop) SetMaxSockets(sockets int) { l.maxSockets = sockets }

// SocketUsage returns the number of open sockets and its limit.
func (l *Loop) SocketUsage() (open, limit int) { return l.openSockets, l.maxSockets }

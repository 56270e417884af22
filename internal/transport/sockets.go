package transport

import "slices"

// makeRoom closes a connection that nothing is owed on, if there is one. Those on which nothing of use has ever come go first,
// once they have had time for it or where they are many: a flood of them must not cost the others theirs.
func (l *Loop) makeRoom() bool {
	var oldest, unproven *Conn
	n := 0
	for _, c := range l.conns {
		if c == nil || c.status != up && c.status != halfClosing || c.why != "" || c.fresh || c.EvictionClass == nil || c.reserved() {
			continue
		}
		switch c.EvictionClass() {
		case Idle:
			if oldest == nil || c.LastUsed < oldest.LastUsed {
				oldest = c
			}
		case Unproven:
			if n++; unproven == nil || c.CreatedAt < unproven.CreatedAt {
				unproven = c
			}
		}
	}
	if unproven != nil && (l.now-unproven.CreatedAt > unprovenFor || n > l.most/unprovenShare || oldest == nil) {
		oldest = unproven
	}
	if oldest == nil {
		return false
	}
	if n, _ := oldest.peek(); n > 0 { // something has come on it just now: closing it would lose that, and what it was sent
		if oldest.read(); oldest.fresh { // it is not where memory is full
			return l.makeRoom()
		}
	}
	l.shed(oldest)
	return true
}

// shed closes a connection at once: many may be accepted in a round.
func (l *Loop) shed(c *Conn) {
	c.Handler.Ended(c, Evicted)
	c.Close(Evicted)
	l.drop(c)
}

// HasUnsent tells whether a connection that is to end has still something to send.
func (l *Loop) HasUnsent() bool {
	return slices.ContainsFunc(l.conns, func(c *Conn) bool { return c != nil && c.status == halfClosing && c.Out.Len() > 0 })
}

// SetMaxSockets sets how many sockets may be open, beside the spare ones; what is open stays.
func (l *Loop) SetMaxSockets(sockets int) { l.most = sockets }

// SocketUsage is how many are open, and how many may be.
func (l *Loop) SocketUsage() (open, most int) { return l.open, l.most }

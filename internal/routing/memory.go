package routing

import (
	"larchthread/internal/protocol"
	"larchthread/internal/transport"
)

// reserve sees to it that there is room for the long value that is on its way, and tells whether it may be read. Where
// there is none, it waits behind those that wait already: half-read values would otherwise wait for each other.
func (c *client) reserve() bool {
	n := c.commands.Coming()
	if n <= protocol.WholeMost || c.bulk > 0 || c.conn.In.Len() <= protocol.WholeMost { // a length alone reserves nothing
		return true
	}
	if !c.queued {
		c.queued = true
		c.router.waiting = append(c.router.waiting, c)
		c.router.admit()
	}
	return !c.queued
}

// admit lets those that wait for room read, in their order. One alone may always: the largest value may be more than the
// part of the buffers that is for such.
func (r *Router) admit() {
	for len(r.waiting) > 0 {
		c := r.waiting[0]
		n := c.commands.Coming()
		if r.bulk > 0 && float64(r.bulk+n) > float64(r.budget)*bulkShare {
			return
		}
		r.waiting = r.waiting[1:]
		r.bulk += n
		c.bulk, c.queued = n, false
		c.conn.Pause(false)
		c.attend(true)
	}
}

// release gives back what was reserved for a long value.
func (r *Router) release(n *int) {
	if *n > 0 {
		r.bulk -= *n
		*n = 0
		r.admit()
	}
}

// idleBytes is how much a client holds that nothing here can move on: answers that it does not take, or a command
// of which the rest has not come, so that it is not taken yet.
func (c *client) idleBytes() int {
	n := c.conn.Out.Len()
	if len(c.line) == 0 {
		n += c.conn.In.Len()
	}
	return n
}

// spare closes the clients that hold the most where buffers run short: over the limit of memory all would be lost.
func (r *Router) spare() {
	for r.loop.Pool.Full() {
		var worst *client
		for _, c := range r.clients {
			if n := c.idleBytes(); n > 0 && (worst == nil || n > worst.idleBytes()) {
				worst = c
			}
		}
		if worst == nil {
			return
		}
		why := transport.SlowReader
		if worst.conn.Out.Len() == 0 {
			why = transport.HalfSent
		}
		worst.cut(why)
	}
}

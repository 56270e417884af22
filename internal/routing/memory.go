package routing

import (
	"slices"

	"larchthread/internal/protocol"
	"larchthread/internal/transport"
)

// memoryBudget is how many bytes buffers may take, and what of it is reserved for long values of writes.
type memoryBudget struct {
	pool     *transport.Pool
	alone    int       // bytes where this is the instance's only process
	bytes    int       // bytes now
	reserved int       // bytes for long values of writes
	waiting  []*client // those whose long value has no room yet, first come first
}

// newMemoryBudget gives buffers so many bytes.
func newMemoryBudget(pool *transport.Pool, bytes int) memoryBudget {
	m := memoryBudget{pool: pool, alone: bytes}
	m.share(false)
	return m
}

// share leaves half of the bytes to another process of the instance, or takes them back.
func (m *memoryBudget) share(withOther bool) {
	m.bytes = m.alone
	if withOther {
		m.bytes /= 2
	}
	m.pool.MaxBytes = m.bytes
}

// reserve sees to it that there is room for the long value that is on its way, and tells whether it may be read. Where
// there is none, it waits behind those that wait already: half-read values would otherwise wait for each other.
func (c *client) reserve() bool {
	n := c.commands.PendingValueBytes()
	if n <= protocol.MaxBufferedValueBytes || c.bulk > 0 || c.conn.In.Len() <= protocol.MaxBufferedValueBytes { // a length alone reserves nothing
		return true
	}
	if !c.queued {
		c.router.memory.queue(c)
	}
	return !c.queued
}

// queue has a client wait for room for its long value.
func (m *memoryBudget) queue(c *client) {
	c.queued = true
	m.waiting = append(m.waiting, c)
	m.admit()
}

// withdraw has a client wait no longer.
func (m *memoryBudget) withdraw(c *client) {
	if !c.queued {
		return
	}
	c.queued = false
	m.waiting = slices.DeleteFunc(m.waiting, func(x *client) bool { return x == c })
	m.admit() // the next may fit
}

// admit lets those that wait for room read, in their order. One alone may always: the largest value may be more than the
// part of the buffers that is for such.
func (m *memoryBudget) admit() {
	for len(m.waiting) > 0 {
		c := m.waiting[0]
		n := c.commands.PendingValueBytes()
		if m.reserved > 0 && float64(m.reserved+n) > float64(m.bytes)*bulkShare {
			return
		}
		m.waiting = m.waiting[1:]
		m.reserved += n
		c.bulk, c.queued = n, false
		c.conn.SetPaused(false)
		c.attend(true)
	}
}

// release gives back what was reserved for a long value.
func (m *memoryBudget) release(n *int) {
	if *n > 0 {
		m.reserved -= *n
		*n = 0
		m.admit()
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
	for r.loop.Pool.IsFull() {
		var worst *client
		for _, c := range r.clients.all {
			if n := c.idleBytes(); n > 0 && (worst == nil || n > worst.idleBytes()) {
				worst = c
			}
		}
		if worst == nil {
			return
		}
		why := transport.SlowReader
		if worst.conn.Out.Len() == 0 {
			why = transport.IncompleteCommand
		}
		worst.cut(why)
	}
}

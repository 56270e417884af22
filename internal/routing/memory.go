package routing

import (
	"slices"

	"larchthread/internal/protocol"
	"larchthread/internal/transport"
)

// memoryBudget limits the bytes in buffers and reserves part of them for large values of writes.
type memoryBudget struct {
	pool       *transport.Pool
	soleBytes  int       // limit while this is the only process of the instance
	limitBytes int       // current limit
	reserved   int       // for large values of writes
	waiting    []*client // clients without a reservation, in order of arrival
}

// newMemoryBudget limits the pool to that many bytes.
func newMemoryBudget(pool *transport.Pool, bytes int) memoryBudget {
	m := memoryBudget{pool: pool, soleBytes: bytes}
	m.setShared(false)
	return m
}

// setShared halves the limit while another process of the instance runs, or restores it.
func (m *memoryBudget) setShared(withOther bool) {
	m.limitBytes = m.soleBytes
	if withOther {
		m.limitBytes /= 2
	}
	m.pool.MaxBytes = m.limitBytes
}

// reserveMemory reports whether the client's input may be read on. For a large value it first reserves memory;
// if there is too little, the client waits in a queue, since partly read values could otherwise block each other.
func (c *client) reserveMemory() bool {
	n := c.decoder.PendingValueBytes()
	if n <= protocol.MaxBufferedValueBytes || c.reservedBytes > 0 ||
		c.conn.In.Len() <= protocol.MaxBufferedValueBytes { // a declared length alone reserves nothing
		return true
	}
	if !c.awaitsMemory {
		c.router.memory.enqueue(c)
	}
	return !c.awaitsMemory
}

// enqueue lets a client wait for a reservation.
func (m *memoryBudget) enqueue(c *client) {
	c.awaitsMemory = true
	m.waiting = append(m.waiting, c)
	m.admit()
}

// dequeue removes a client from the queue.
func (m *memoryBudget) dequeue(c *client) {
	if !c.awaitsMemory {
		return
	}
	c.awaitsMemory = false
	m.waiting = slices.DeleteFunc(m.waiting, func(x *client) bool { return x == c })
	m.admit() // the next one may fit
}

// admit grants reservations in order of arrival while there is room. A single one is always granted, as the
// largest value may exceed the share for large values.
func (m *memoryBudget) admit() {
	for len(m.waiting) > 0 {
		c := m.waiting[0]
		n := c.decoder.PendingValueBytes()
		if m.reserved > 0 && float64(m.reserved+n) > float64(m.limitBytes)*largeWriteShare {
			return
		}
		m.waiting = m.waiting[1:]
		m.reserved += n
		c.reservedBytes, c.awaitsMemory = n, false
		c.conn.SetPaused(false)
		c.updateTimer(true)
	}
}

// release returns *n reserved bytes and sets *n to 0.
func (m *memoryBudget) release(n *int) {
	if *n > 0 {
		m.reserved -= *n
		*n = 0
		m.admit()
	}
}

// stalledBytes returns the buffered bytes that only the client can release: unread answers, and input of an
// incomplete command.
func (c *client) stalledBytes() int {
	n := c.conn.Out.Len()
	if len(c.pipeline) == 0 {
		n += c.conn.In.Len()
	}
	return n
}

// evictForMemory closes the clients that hold the most stalled bytes while the buffer limit is exceeded.
func (r *Router) evictForMemory() {
	for r.loop.Pool.IsFull() {
		var worst *client
		for _, c := range r.clients.all {
			if n := c.stalledBytes(); n > 0 && (worst == nil || n > worst.stalledBytes()) {
				worst = c
			}
		}
		if worst == nil {
			return
		}
		reason := transport.SlowReader
		if worst.conn.Out.Len() == 0 {
			reason = transport.IncompleteCommand
		}
		worst.closeNow(reason)
	}
}

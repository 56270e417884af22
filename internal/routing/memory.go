package routing

import (
	"slices"

	"larchthread/internal/transport"
)

// memoryBudget limits the bytes in buffers and reserves part of them for large values of writes.
//
// Memory for a value is reserved as it arrives, so that a client that writes slowly holds little. All clients
// together leave enough for the largest value that is being received; from that, one after another gets all it
// still needs, so that partly received values never block each other.
type memoryBudget struct {
	pool       *transport.Pool
	soleBytes  int       // limit while this is the only process of the instance
	limitBytes int       // current limit
	reserved   int       // for large values of writes
	receiving  []*client // clients that receive a large value, in order of arrival
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
	m.admit()
}

// reserve reserves memory for the client's next read, or for all that is missing of its value. It returns false
// if there is too little. largest is the size in bytes of the largest value that is being received.
func (m *memoryBudget) reserve(c *client, largest int) bool {
	w := &c.largeWrite
	missing := c.decoder.PendingValueBytes() - w.reservedBytes
	next := min(missing, c.conn.In.Len()+transport.MaxReadBytes-w.reservedBytes)
	limit := int(float64(m.limitBytes) * largeWriteShare)
	granted := 0
	switch {
	case next <= 0: // enough is reserved
	case m.reserved+next <= limit-largest:
		granted = next
	case m.reserved+missing <= limit:
		granted = missing
	case m.reserved == w.reservedBytes: // alone: the largest value may exceed the share for large values
		granted = missing
	default:
		return false
	}
	m.reserved += granted
	w.reservedBytes += granted
	return true
}

// largestReceived returns the size in bytes of the largest value that is being received.
func (m *memoryBudget) largestReceived() (size int) {
	for _, c := range m.receiving {
		size = max(size, c.decoder.PendingValueBytes())
	}
	return size
}

// admit reserves memory for the waiting clients, in order of arrival, as far as there is room.
func (m *memoryBudget) admit() {
	largest := m.largestReceived()
	for _, c := range slices.Clone(m.receiving) {
		if c.largeWrite.awaitsMemory && m.reserve(c, largest) {
			c.endMemoryWait()
			c.conn.SetPaused(false)
			c.updateTimer(true)
		}
	}
}

// complete ends the client's reservation once its value has been received. It returns the bytes reserved, which are
// to be released with the value.
func (m *memoryBudget) complete(c *client) (reservedBytes int) {
	if c.largeWrite.reservedBytes == 0 && !c.largeWrite.awaitsMemory {
		return 0
	}
	c.endMemoryWait()
	m.receiving = slices.DeleteFunc(m.receiving, func(x *client) bool { return x == c })
	reservedBytes, c.largeWrite.reservedBytes = c.largeWrite.reservedBytes, 0
	return reservedBytes
}

// cancel ends the client's reservation and releases its memory.
func (m *memoryBudget) cancel(c *client) { m.release(m.complete(c)) }

// release returns reserved bytes.
func (m *memoryBudget) release(bytes int) {
	if bytes > 0 {
		m.reserved -= bytes
		m.admit()
	}
}

// stalledBytes returns the buffered bytes that only the client can release: unread answers, and input of an
// incomplete command. Input that has not been delivered, or is being discarded, is released by this process.
func (c *client) stalledBytes() int {
	n := c.conn.Out.Len()
	if len(c.pipeline) == 0 && !c.conn.HasUndelivered() && !c.decoder.IsDiscarding() {
		n += c.conn.In.Len()
	}
	return n
}

// evictForMemory closes the clients that hold the most stalled bytes while the buffer limit is exceeded: over the
// limit of memory, all would be lost. A write is refused instead if more of it may stand in the socket: its client
// may have sent all of it.
func (r *Router) evictForMemory() {
	for r.loop.Pool.IsFull() {
		var worst *client
		for _, c := range r.clients.all {
			if n := c.stalledBytes(); n > 0 && (worst == nil || n > worst.stalledBytes()) {
				worst = c
			}
		}
		switch {
		case worst == nil:
			return
		case worst.conn.Out.Len() > 0:
			worst.closeNow(transport.SlowReader)
		case worst.decoder.HasPending() && worst.conn.HasUnread():
			worst.refuseWrite()
		default:
			worst.closeNow(transport.IncompleteCommand)
		}
	}
}

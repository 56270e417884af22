package routing

import (
	"slices"

	"larchthread/internal/protocol"
	"larchthread/internal/transport"
)

// memoryBudget limits the bytes in buffers, those of open commands, and those that are expected for their answers. It
// reserves part of them for large values of writes.
//
// A command is counted before it is read, with an answer as large as recent ones: what has been dispatched is kept until
// its turn comes, so nothing could be given back then without losing an answer.
//
// Memory for a value is reserved as it arrives, so that a client that writes slowly holds little. All clients
// together leave enough for the largest value that is being received; from that, one after another gets all it
// still needs, so that partly received values never block each other.
type memoryBudget struct {
	pool       *transport.Pool
	soleBytes  int       // limit while this is the only process of the instance
	limitBytes int       // current limit
	critical   int       // bytes in use above which the process may be killed
	reserved   int       // for large values of writes
	heapBytes  int       // of open commands, outside the buffers
	expected   int       // answers of unknown size that have not arrived
	answerSize float64   // expected bytes of an answer
	receiving  []*client // clients that receive a large value, in order of arrival
}

// newMemoryBudget limits the pool to that many bytes.
func newMemoryBudget(pool *transport.Pool, bytes int) memoryBudget {
	m := memoryBudget{pool: pool, soleBytes: bytes, answerSize: protocol.MaxBufferedValueBytes + transport.BufferSize}
	m.setShared(false)
	return m
}

// setShared halves the limit while another process of the instance runs, or restores it.
func (m *memoryBudget) setShared(withOther bool) {
	m.limitBytes = m.soleBytes
	if withOther {
		m.limitBytes /= 2
	}
	m.critical = int(float64(m.soleBytes) * criticalShare)
	if withOther { // what was in use before is given back as clients read
		m.critical = m.soleBytes
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

// charge counts bytes outside the buffers for an op.
func (m *memoryBudget) charge(o *op, bytes int) {
	o.heapBytes += bytes
	m.heapBytes += bytes
}

// discharge ends the counting of an op's bytes outside the buffers.
func (m *memoryBudget) discharge(o *op) {
	m.heapBytes -= o.heapBytes
	o.heapBytes = 0
}

// expectAnswer counts memory for the answer of an op until it arrives, or the op ends.
func (m *memoryBudget) expectAnswer(o *op) {
	o.expectsAnswer = true
	m.expected++
}

// endExpected ends the counting of memory for the answer of an op.
func (m *memoryBudget) endExpected(o *op) {
	if o.expectsAnswer {
		o.expectsAnswer = false
		m.expected--
	}
}

// recordAnswer adapts the expected size to an answer of the given bytes.
func (m *memoryBudget) recordAnswer(bytes int) {
	if bytes > maxUnpooledBytes { // its first and last buffers are not full
		bytes += transport.BufferSize
	}
	weight := answerSizeFallWeight
	if float64(bytes) > m.answerSize {
		weight = answerSizeRiseWeight
	}
	m.answerSize += (float64(bytes) - m.answerSize) * weight
}

// usedBytes returns the bytes in buffers, those of open commands, and those expected for their answers.
func (m *memoryBudget) usedBytes() int {
	return m.inUse() + int(float64(m.expected)*m.answerSize)
}

// streamWindow returns how many bytes of a streamed value are buffered for its client: fewer where hundreds of streams
// would not fit.
func (m *memoryBudget) streamWindow() int {
	if m.pool.IsShort() {
		return transport.BufferSize
	}
	return streamWindowBytes
}

// isShort reports whether so much memory is in use that clients which stall are to be closed.
func (m *memoryBudget) isShort() bool {
	return float64(m.inUse()) >= float64(m.limitBytes)*evictionShare
}

// inUse returns the bytes in buffers and those of open commands.
func (m *memoryBudget) inUse() int { return m.pool.UsedBytes() + m.heapBytes }

// isCritical reports whether the limit is exceeded by so much that the process may be killed.
func (m *memoryBudget) isCritical() bool { return m.inUse() > m.critical }

// hasRoomForAnswer reports whether the answer of one more op fits into the limit.
func (m *memoryBudget) hasRoomForAnswer() bool {
	return float64(m.usedBytes())+m.answerSize <= float64(m.limitBytes)
}

// hasRoomInPipeline reports whether a client may have one more op open behind another. Such ops leave a part of the
// limit to clients that have none open.
func (m *memoryBudget) hasRoomInPipeline() bool {
	return float64(m.usedBytes())+m.answerSize <= float64(m.limitBytes)*pipelineShare
}

// mayTakeCommand reports whether the client's next command may be read. One behind others waits, unread, for room for
// its answer: what is dispatched has to be kept until its turn comes, however long the answers are.
func (c *client) mayTakeCommand() bool {
	unsent := c.conn.Out.Len() + c.queuedBytes
	if len(c.pipeline) == 0 && unsent == 0 {
		return true
	}
	return len(c.pipeline) < maxPipelinedCommands && unsent < maxUnsentBytes && c.router.memory.hasRoomInPipeline()
}

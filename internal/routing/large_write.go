package routing

import (
	"larchthread/internal/protocol"
	"larchthread/internal/transport"
)

// How a client's large value is received while memory is short: it waits for a reservation, or is refused.

// largeWrite is the reservation of a client that receives a large value.
type largeWrite struct {
	reservedBytes int             // buffer bytes reserved for the value
	awaitsMemory  bool            // reading is paused until more is reserved
	timer         transport.Timer // limits a wait for memory
}

// reserveMemory reports whether the client's input may be read on. For a large value, memory for the next read is
// reserved first; if there is too little, the client waits.
func (c *client) reserveMemory() bool {
	n := c.decoder.PendingValueBytes()
	w := &c.largeWrite
	switch {
	case n <= protocol.MaxBufferedValueBytes || c.decoder.IsDiscarding():
		return true
	case w.reservedBytes == 0 && c.conn.In.Len() <= protocol.MaxBufferedValueBytes: // a declared length alone reserves nothing
		return true
	case w.awaitsMemory:
		return false
	case w.reservedBytes == 0:
		c.router.memory.receiving = append(c.router.memory.receiving, c)
	}
	if m := &c.router.memory; m.reserve(c, m.largestReceived()) {
		return true
	}
	w.awaitsMemory = true
	w.timer.Fire = c.refuseWrite
	c.router.loop.SetTimer(&w.timer, min(c.decoder.PendingTTL()*memoryWaitShare, progressTimeout))
	return false
}

// refuseWrite gives up the write that is being received, for which there is no memory. Its time may be running, as all
// of it may have arrived; so its value is discarded, and the write is nacked once the last byte has been read.
func (c *client) refuseWrite() {
	c.router.log.Info("no memory for a write", "peer", c.conn.Peer(), "bytes", c.decoder.PendingValueBytes())
	c.decoder.DiscardValue(&c.conn.In)
	c.router.memory.cancel(c)
	c.conn.SetPaused(false)
	c.updateTimer(true)
}

// endMemoryWait marks the client as no longer waiting for memory.
func (c *client) endMemoryWait() {
	c.largeWrite.awaitsMemory = false
	c.router.loop.StopTimer(&c.largeWrite.timer)
}

package transport

import "golang.org/x/sys/unix"

// HalfClose writes the pending output, then closes the connection once the peer has closed it, or a while after
// all of it has been sent. The peer has halfCloseWriteTimeout for each part of the output that it reads, and for all of it
// where memory is full, since nothing else could free that output. An immediate close with unread input would discard
// output in transit. The handler gets no more events.
func (c *Conn) HalfClose(reason Reason) {
	if c.status != established {
		c.Close(reason)
		return
	}
	c.setStatus(halfClosing)
	c.In.Free()
	c.EvictionClass = func() EvictionClass {
		if c.Out.Len() > 0 || c.linger.unsent > 0 {
			return Needed
		}
		return Unproven
	}
	c.AfterWrite = nil
	c.halfCloseTimer.Fire = func() { c.onHalfCloseTimeout(reason) }
	c.Handler = closingHandler{reason}
	c.loop.SetTimer(&c.halfCloseTimer, halfCloseWriteTimeout)
	c.paused = false
	c.Flush()
}

// linger tracks how a half-closed connection's peer reads what the kernel still holds for it.
type linger struct {
	unsent     int     // bytes at the last check
	progressAt float64 // ms; when fewer were last seen
}

// kernelUnsent returns how many bytes of output, and of its end, the kernel could not send yet, as the peer has no room.
func (c *Conn) kernelUnsent() int {
	n, err := unix.IoctlGetInt(c.fd, unix.SIOCOUTQNSD)
	if err != nil {
		return 0
	}
	return n
}

// Written returns how many bytes of output the socket has accepted since the connection was opened.
func (c *Conn) Written() int { return int(c.bytesWritten) }

// Acknowledged returns how many bytes of output the peer's system has taken in since the connection was opened.
func (c *Conn) Acknowledged() int {
	written := int(c.bytesWritten)
	if c.fd < 0 {
		return written
	}
	pending, err := unix.IoctlGetInt(c.fd, unix.SIOCOUTQ)
	if err != nil {
		return written
	}
	return max(0, written-pending)
}

// HasKernelUnsent reports whether the kernel holds output that the peer has no room for.
func (c *Conn) HasKernelUnsent() bool { return c.fd >= 0 && c.kernelUnsent() > 0 }

// DiscardUnsent has the output that the kernel holds discarded, not sent, as the connection is closed.
func (c *Conn) DiscardUnsent() {
	if c.fd >= 0 {
		unix.SetsockoptLinger(c.fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
	}
}

// AwaitsPeer reports whether output waits, here or in the kernel, for the peer to read what came before.
func (c *Conn) AwaitsPeer() bool { return c.Out.Len() > 0 || c.fd >= 0 && c.kernelUnsent() > 0 }

// onHalfCloseTimeout closes a half-closed connection, unless its peer still reads, slowly, what was written to it.
func (c *Conn) onHalfCloseTimeout(reason Reason) {
	unsent := c.kernelUnsent()
	if c.Out.Len() > 0 || unsent == 0 {
		c.Close(reason)
		return
	}
	if unsent < c.linger.unsent {
		c.linger.progressAt = c.loop.now
	}
	c.linger.unsent = unsent
	if c.loop.now-c.linger.progressAt >= halfCloseWriteTimeout {
		c.Close(reason)
		return
	}
	c.loop.SetTimer(&c.halfCloseTimer, halfClosePeerTimeout)
}

// closingHandler handles connections that HalfClose is closing.
type closingHandler struct{ reason Reason }

// Received discards input.
func (closingHandler) Received(c *Conn) { c.In.Free() }

// Ended closes the connection with the reason that HalfClose was given.
func (h closingHandler) Ended(c *Conn, reason Reason) { c.Close(h.reason) }

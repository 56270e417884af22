package transport

import "golang.org/x/sys/unix"

// IsQuiet reports whether the connection is open and has no unread input, also none in its socket that has not
// been collected yet.
func (c *Conn) IsQuiet() bool {
	if c.status != established || c.endReason != "" || c.hasNewInput || c.In.Len() > 0 {
		return false
	}
	if c.loop.ReadClock()-c.loop.now < pollValidity { // the poll of this round is recent
		return true
	}
	return c.socketEmpty()
}

// HasPendingInput reports whether input or the connection's end has arrived that has not been delivered. While
// reading is paused it returns false.
func (c *Conn) HasPendingInput() bool {
	switch {
	case c.paused: // input is not to be delivered yet
		return false
	case c.hasNewInput || c.endReason != "":
		return true
	}
	return !c.socketEmpty()
}

// HasUndelivered reports whether In holds input that has not been delivered yet.
func (c *Conn) HasUndelivered() bool { return c.hasNewInput }

// HasUnread reports whether the socket has input, or the end of the stream, that has not been read.
func (c *Conn) HasUnread() bool { return !c.socketEmpty() }

// IsAtEOF reports whether the peer has closed the connection and all its input is consumed.
func (c *Conn) IsAtEOF() bool {
	n, err := c.peek()
	return c.In.Len() == 0 && (c.endReason != "" || n == 0 && err == nil)
}

// EndsBefore reports whether the peer has ended the connection and fewer than size bytes of input are left.
func (c *Conn) EndsBefore(size int) bool {
	if !c.peerEnded || c.fd < 0 {
		return false
	}
	unread, err := unix.IoctlGetInt(c.fd, unix.SIOCINQ)
	return err == nil && c.In.Len()+unread < size
}

// readOnAccept reads what a connection sent before the loop first polled it. A client may have disconnected
// already.
func (c *Conn) readOnAccept() {
	c.read()
	if c.isClient() && c.hasNewInput && c.endReason == "" && c.peerHasClosed() {
		c.recordEnd(PeerClosed)
	}
}

// peerHasClosed reports whether the peer's end has arrived, perhaps behind input that has not been read.
func (c *Conn) peerHasClosed() bool {
	fds := []unix.PollFd{{Fd: int32(c.fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(fds, 0)
	return err == nil && n > 0 && fds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}

// peek looks for a byte in the socket. It returns 0 and no error at the end of the stream.
func (c *Conn) peek() (n int, err error) {
	var b [1]byte
	n, _, err = unix.Recvfrom(c.fd, b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return n, err
}

// socketEmpty reports whether the socket has neither input nor the end of the stream.
func (c *Conn) socketEmpty() bool {
	_, err := c.peek()
	return err == unix.EAGAIN
}

// IsPaused reports whether reading is paused.
func (c *Conn) IsPaused() bool { return c.paused }

// SetPaused stops or resumes reading. Input that arrives during a pause counts as having arrived when the pause
// began.
func (c *Conn) SetPaused(on bool) {
	if c.paused == on || c.status != established {
		return
	}
	c.paused = on
	c.waitingSince = 0 // waiting is due to the peer from here on
	switch {
	case !c.isClient(): // nobody needs the arrival time of an answer
	case on:
		c.held.fromIfContinued(c.loop.now)
		c.noteUnread(c.loop.conservativeArrival())
	case c.socketEmpty():
		c.unreadFrom = 0
	default:
		c.held.resume()
	}
	c.updateEvents()
}

// noteUnread records the earliest time in Unix ms at which input in the socket can have arrived, unless an
// earlier one is known.
func (c *Conn) noteUnread(at float64) {
	if c.unreadFrom == 0 {
		c.unreadFrom = at
	}
}

// inputWait returns for how many ms input that has not been delivered, or is still in the socket, may have waited.
func (c *Conn) inputWait() float64 {
	earliest := c.loop.now
	if c.unreadFrom > 0 && !c.socketEmpty() {
		earliest = min(earliest, c.unreadFrom)
	}
	if c.hasNewInput && c.In.Len() > 0 {
		earliest = min(earliest, c.ArrivedAt)
	}
	if from := c.held.fromIfContinued(c.loop.now); from > 0 {
		earliest = min(earliest, from)
	}
	return c.loop.now - earliest
}

// read reads from the socket up to MaxReadBytes or ReadLimit, and records the input's arrival time.
func (c *Conn) read() {
	waits := c.mustDeferRead()
	if waits && c.unreadFrom == 0 && c.socketEmpty() { // later input must not count as having arrived now
		return
	}
	wasHeld := c.unreadFrom > 0
	if from := c.held.fromIfContinued(c.loop.conservativeArrival()); from > 0 {
		c.unreadFrom = from
	}
	c.noteUnread(c.loop.conservativeArrival())
	if c.waitingSince == 0 {
		c.waitingSince = c.loop.EarliestArrival()
	}
	if waits {
		return
	}
	if !c.hasNewInput {
		c.ArrivedAt, c.inputSince = c.unreadFrom, c.waitingSince
	}
	earliest := c.unreadFrom
	c.unreadFrom, c.waitingSince = 0, 0
	limit := MaxReadBytes
	if c.loop.Pool.IsShort() {
		limit = BufferSize
	}
	if c.ReadLimit > 0 {
		limit = min(limit, c.ReadLimit)
	}
	got := 0
	defer func() { c.noteHeld(wasHeld, earliest, got, limit) }()
	for got < limit {
		b := c.In.tail()
		n, err := unix.Read(c.fd, b.data[b.w:min(BufferSize, b.w+limit-got)])
		switch {
		case err == unix.EINTR:
			continue
		case n > 0:
			b.w += n
			c.In.size += n
			c.bytesRead += uint64(n)
			got += n
			c.hasNewInput = true
			c.markReady()
			if b.w < BufferSize {
				return
			}
			continue
		case err == unix.EAGAIN:
		case err != nil:
			c.recordEnd(Reset)
		default:
			c.recordEnd(PeerClosed)
		}
		c.In.trim()
		return
	}
}

// mustDeferRead reports whether a client's input stays in the socket: until earlier input is delivered, or
// until the pool has room.
func (c *Conn) mustDeferRead() bool {
	switch {
	case !c.isClient():
		return false
	case c.inReadyList && c.hasNewInput:
		return true
	}
	return c.status == established && c.loop.Pool.IsFull()
}

// ScheduleReceive delivers In to the handler again in the next round; its waiting time starts now.
func (l *Loop) ScheduleReceive(c *Conn) {
	if !c.hasNewInput {
		c.inputSince = l.now
	}
	if c.status == established {
		c.hasNewInput = true
		c.markReady()
	}
}

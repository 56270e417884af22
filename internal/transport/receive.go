package transport

import "golang.org/x/sys/unix"

// IsQuiet tells whether the connection is open and nothing stands unread at its socket: what has come behind the last
// answer, or its end, may not have been gathered yet.
func (c *Conn) IsQuiet() bool {
	if c.status != up || c.why != "" || c.fresh || c.In.Len() > 0 {
		return false
	}
	if c.loop.ReadClock()-c.loop.now < quietFor { // this round has looked at all sockets
		return true
	}
	return c.nothingUnread()
}

// HasPendingInput tells whether something has come, be it the end, that the owner has not been told yet.
func (c *Conn) HasPendingInput() bool {
	switch {
	case c.paused: // what comes on it is not to be heard yet
		return false
	case c.fresh || c.why != "":
		return true
	}
	return !c.nothingUnread()
}

// IsAtEOF tells whether nothing more will come: the other side has ended the connection, and all it said is taken.
func (c *Conn) IsAtEOF() bool {
	n, err := c.peek()
	return c.In.Len() == 0 && (c.why != "" || n == 0 && err == nil)
}

// arrived takes what has come on a connection from a client before the loop first looked at it. The client may have left
// already, behind what it asked.
func (c *Conn) arrived() {
	c.read()
	if !c.fromClient() || !c.fresh || c.why != "" {
		return
	}
	if n, err := c.peek(); n == 0 && err == nil {
		c.broke(PeerClosed)
	}
}

// peek looks for a byte that stands unread at the socket: none and no error is its end.
func (c *Conn) peek() (n int, err error) {
	var b [1]byte
	n, _, err = unix.Recvfrom(c.fd, b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return n, err
}

// nothingUnread tells whether neither a byte nor the end stands unread at the socket.
func (c *Conn) nothingUnread() bool {
	_, err := c.peek()
	return err == unix.EAGAIN
}

// IsPaused tells whether nothing is read for now.
func (c *Conn) IsPaused() bool { return c.paused }

// SetPaused stops reading, or starts it again. What comes meanwhile may have come from the pause on.
func (c *Conn) SetPaused(on bool) {
	if c.paused == on || c.status != up {
		return
	}
	c.paused = on
	c.first = 0 // this process has it wait for the other side's sake
	switch {
	case !c.fromClient(): // nobody asks when an answer came
	case on:
		c.unreadSince(c.loop.least())
	case c.nothingUnread():
		c.unread = 0
	}
	c.interest()
}

// unreadSince notes the earliest time at which what stands unread at the socket can have come, unless an earlier one is known.
func (c *Conn) unreadSince(at float64) {
	if c.unread == 0 {
		c.unread = at
	}
}

// read takes what has come.
func (c *Conn) read() {
	waits := c.readWaits()
	if waits && c.unread == 0 && c.nothingUnread() { // what will come must not count from this look
		return
	}
	c.unreadSince(c.loop.least())
	if c.first == 0 {
		c.first = c.loop.EarliestArrival()
	}
	if waits {
		return
	}
	if !c.fresh {
		c.ArrivedAt, c.heard = c.unread, c.first
	}
	c.unread, c.first = 0, 0
	for got := 0; got < readMost; {
		b := c.In.tail()
		n, err := unix.Read(c.fd, b.data[b.w:])
		switch {
		case err == unix.EINTR:
			continue
		case n > 0:
			b.w += n
			c.In.size += n
			c.took += uint64(n)
			got += n
			c.fresh = true
			c.noted()
			if b.w < BufferSize {
				return
			}
			continue
		case err == unix.EAGAIN:
		case err != nil:
			c.broke(Reset)
		default:
			c.broke(PeerClosed)
		}
		c.In.trim()
		return
	}
}

// readWaits tells whether what a client has sent has to wait at its socket: for what was read before it, since one read then
// takes more, or for memory, since a round that read from all would go over it before anything is let go of.
func (c *Conn) readWaits() bool {
	switch {
	case !c.fromClient():
		return false
	case c.news && c.fresh:
		return true
	}
	return c.status == up && c.loop.Pool.IsFull()
}

// ScheduleReceive has the owner look in the next round at what stands in In.
func (l *Loop) ScheduleReceive(c *Conn) {
	if !c.fresh {
		c.heard = l.now
	}
	l.DeferReceive(c)
}

// DeferReceive does the same for what the owner had no time for in this round: it waits on.
func (l *Loop) DeferReceive(c *Conn) {
	if c.status == up {
		c.fresh = true
		c.noted()
	}
}

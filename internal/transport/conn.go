package transport

import (
	"net/netip"
	"slices"

	"golang.org/x/sys/unix"
)

// ConnHandler receives the events of a connection.
type ConnHandler interface {
	Received(c *Conn)             // c.In holds new input
	Ended(c *Conn, reason Reason) // the peer, the network or an eviction ended it; not called after Close
}

// EvictionClass tells whether a connection may be closed to make room for others.
type EvictionClass uint8

const (
	Needed   EvictionClass = iota // in use: must not be evicted
	Idle                          // may be evicted
	Unproven                      // nothing useful has arrived on it: evicted first
)

// status is the state of a connection.
type status uint8

const (
	connecting status = iota // being established
	established
	halfClosing // the last output is being sent; input is discarded until the peer closes
	closed      // ended; the socket is closed at the end of the round
)

// Conn is a connection with its input and output.
type Conn struct {
	In, Out       Chain
	Handler       ConnHandler
	BeforeWrite   func()               // called before Out is written, to append time-dependent output; may be nil
	AfterWrite    func()               // called after some of Out was written, or connecting began; may be nil
	EvictionClass func() EvictionClass // may be nil: not evicted
	LastUsed      float64              // ms
	CreatedAt     float64              // ms
	ArrivedAt     float64              // ms; earliest time at which the last byte of a command in In can have arrived
	ReadLimit     int                  // bytes that the next read may take at the most; 0: MaxReadBytes

	loop           *Loop
	listener       *Listener // that accepted it, or nil
	kind           string    // of peer, for the log
	peer           netip.AddrPort
	fd             int
	generation     int32 // tells its events from those of others that had or will have its descriptor
	status         status
	events         uint32  // registered with epoll
	endReason      Reason  // undelivered end; empty if there is none
	inReadyList    bool    // in loop.readyConns
	hasNewInput    bool    // In has undelivered input
	inWriteQueue   bool    // in loop.writeQueue
	paused         bool    // reading is paused
	peerEnded      bool    // the peer's end has arrived while reading was paused
	unreadFrom     float64 // ms; earliest time at which input still in the socket can have arrived; 0 if unknown
	held           heldInput
	waitingSince   float64 // ms; since when that input may wait because of this process; 0 if unknown
	inputSince     float64 // ms; the same for the input in In
	connectTimer   Timer   // ends a connection that is not established in time
	halfCloseTimer Timer   // closes a half-closed connection
	linger         linger  // of a half-closed connection
	blockedAt      float64 // ms; round in which output was last seen to wait for the peer
	blockedSince   float64 // ms; since when the socket has accepted nothing of Out; 0 while it does
	bytesRead      uint64
	bytesWritten   uint64
}

// Peer returns the peer's address.
func (c *Conn) Peer() netip.AddrPort { return c.peer }

// usesReserve reports whether the connection's descriptor comes from its listener's reserve.
func (c *Conn) usesReserve() bool { return c.listener != nil && c.listener.reserve > 0 }

// IsOpen reports whether the connection is established and not closing.
func (c *Conn) IsOpen() bool { return c.status == established }

// setStatus is the only place that changes the status. A closed connection stays closed. The connect timer stops
// with the connecting status: later it would end what the connection has begun since.
func (c *Conn) setStatus(to status) {
	if c.status == closed {
		return
	}
	c.status = to
	if to != connecting {
		c.loop.StopTimer(&c.connectTimer)
	}
}

// LimitConnecting ends the connection with ConnectTimeout unless it is established within timeout ms.
func (c *Conn) LimitConnecting(timeout float64) {
	if c.status != connecting {
		return
	}
	c.connectTimer.Fire = func() { c.recordEnd(ConnectTimeout) }
	c.loop.SetTimer(&c.connectTimer, timeout)
}

// WriteBlockedFor returns for how many ms the socket has accepted nothing of Out.
func (c *Conn) WriteBlockedFor() float64 {
	if c.blockedSince == 0 || c.Out.Len() == 0 {
		return 0
	}
	return c.loop.now - c.blockedSince
}

// Flush writes Out at the end of the round, or once the connection is established.
func (c *Conn) Flush() {
	c.LastUsed = c.loop.now
	c.queueWrite()
}

// Close closes the connection at the end of the round, before anything is written. Unsent output is lost.
func (c *Conn) Close(reason Reason) {
	if c.status == closed {
		return
	}
	c.setStatus(closed)
	c.In.Free()
	c.Out.Free()
	c.loop.StopTimer(&c.halfCloseTimer)
	c.loop.closeQueue = append(c.loop.closeQueue, c)
	if c.fd >= 0 && !c.usesReserve() {
		c.loop.openSockets--
	}
	if c.listener != nil {
		c.listener.remove(c)
	}
	c.logEnd(reason)
}

// Detach removes an open connection from the loop. It returns the descriptor, the input that has not been consumed,
// and for how many ms that input, or input still in the socket, may have waited. The handler gets no more events.
func (c *Conn) Detach() (fd int, unread []byte, waited float64) {
	fd, unread, waited = c.fd, c.In.Bytes(), c.inputWait()
	// Closing the descriptor would not suffice, as the socket stays open in the other process.
	unix.EpollCtl(c.loop.epoll, unix.EPOLL_CTL_DEL, fd, nil)
	c.loop.conns[fd] = nil
	c.Close(HandedOver)
	c.fd = -1
	return fd, unread, waited
}

// logEnd logs why the connection ended, its age in ms and its bytes.
func (c *Conn) logEnd(reason Reason) {
	c.loop.Log.Info("connection ended", "reason", string(reason), "kind", c.kind, "peer", c.peer.String(),
		"ms", int(c.loop.now-c.CreatedAt), "in", c.bytesRead, "out", c.bytesWritten)
}

// markReady adds the connection to the loop's list of those with events to deliver.
func (c *Conn) markReady() {
	switch {
	case c.inReadyList:
		return
	case c.usesReserve():
		c.loop.readyConns = slices.Insert(c.loop.readyConns, 0, c)
	default:
		c.loop.readyConns = append(c.loop.readyConns, c)
	}
	c.inReadyList = true
}

// isClient reports whether the peer sends requests. Requests may wait; answers may not.
func (c *Conn) isClient() bool { return c.listener != nil && !c.usesReserve() }

// deliver passes new input and the connection's end to the handler. Input of a client that has disconnected is
// dropped.
func (c *Conn) deliver() {
	c.inReadyList = false
	if c.hasNewInput && c.status != closed && !(c.isClient() && c.endReason != "") {
		c.hasNewInput = false
		c.Handler.Received(c)
	}
	if c.endReason != "" && c.status != closed {
		c.Handler.Ended(c, c.endReason)
		c.Close(c.endReason)
	}
}

// recordEnd stores the reason for an end that is delivered later.
func (c *Conn) recordEnd(reason Reason) {
	if c.endReason == "" {
		c.endReason = reason
	}
	c.markReady()
}

// wantedEvents returns the epoll events to register. The peer's end is watched for even while reading is paused: a
// client's requests are not forwarded in vain then, and a host's answer may be incomplete.
func (c *Conn) wantedEvents() (want uint32) {
	if c.status == established && (c.isClient() || c.paused && !c.peerEnded) {
		want |= unix.EPOLLRDHUP
	}
	if !c.paused && c.status != connecting {
		want |= unix.EPOLLIN
	}
	if c.status == connecting || c.Out.Len() > 0 {
		want |= unix.EPOLLOUT
	}
	return want
}

// epollEvent returns the registration of the connection.
func (c *Conn) epollEvent() *unix.EpollEvent {
	return &unix.EpollEvent{Events: c.events, Fd: int32(c.fd), Pad: c.generation}
}

// updateEvents registers the wanted events with epoll.
func (c *Conn) updateEvents() {
	if want := c.wantedEvents(); want != c.events {
		c.events = want
		unix.EpollCtl(c.loop.epoll, unix.EPOLL_CTL_MOD, c.fd, c.epollEvent())
	}
}

// handleEvents handles the epoll events of the connection.
func (c *Conn) handleEvents(events uint32) {
	if c.status == connecting {
		if err := socketError(c.fd); err != nil || events&unix.EPOLLHUP != 0 {
			c.recordEnd(ConnectFailed)
			return
		}
		c.setStatus(established)
		c.updateEvents()
		c.Flush()
	}
	if events&unix.EPOLLRDHUP != 0 && c.isClient() && c.status == established {
		c.recordEnd(PeerClosed)
		return
	}
	if events&unix.EPOLLRDHUP != 0 && c.paused {
		c.peerEnded = true
		c.updateEvents()
	}
	if events&unix.EPOLLOUT != 0 {
		c.queueWrite()
	}
	if events&(unix.EPOLLIN|unix.EPOLLHUP|unix.EPOLLERR) != 0 {
		c.read()
	}
}

// queueWrite adds the connection to the loop's list of those to write.
func (c *Conn) queueWrite() {
	if !c.inWriteQueue && c.status != closed {
		c.inWriteQueue = true
		c.loop.writeQueue = append(c.loop.writeQueue, c)
	}
}

// write writes Out as far as the socket accepts it.
func (c *Conn) write() {
	if c.BeforeWrite != nil {
		c.BeforeWrite()
	}
	if c.status == closed { // BeforeWrite closed it
		return
	}
	before := c.Out.Len()
	for c.Out.Len() > 0 {
		b := c.Out.bufs[0]
		n, err := unix.Write(c.fd, b.data[b.r:b.w])
		if err == unix.EINTR {
			continue
		}
		if err != nil && err != unix.EAGAIN {
			c.recordEnd(Reset)
			return
		}
		if n <= 0 {
			break
		}
		c.bytesWritten += uint64(n)
		c.Out.Drop(n)
		c.LastUsed = c.loop.now
	}
	switch {
	case c.Out.Len() < before || before == 0:
		c.blockedSince = 0
	case c.blockedSince == 0:
		c.blockedSince = c.loop.now
	}
	if c.AfterWrite != nil && c.Out.Len() < before {
		c.AfterWrite()
	}
	if c.paused && c.Out.Len() == 0 { // reading was paused because of the unsent output
		c.loop.ScheduleReceive(c)
	}
	switch {
	case c.status != halfClosing:
	case c.Out.Len() == 0:
		unix.Shutdown(c.fd, unix.SHUT_WR)
		c.linger = linger{unsent: c.kernelUnsent(), progressAt: c.loop.now}
		c.loop.SetTimer(&c.halfCloseTimer, halfClosePeerTimeout)
	case c.Out.Len() < before && !c.loop.Pool.IsFull(): // the peer is reading, slowly
		c.loop.SetTimer(&c.halfCloseTimer, halfCloseWriteTimeout)
	}
	c.updateEvents()
}

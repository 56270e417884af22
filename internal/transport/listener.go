package transport

import (
	"net/netip"
	"slices"

	"golang.org/x/sys/unix"
)

// Listener is a listening TCP socket.
type Listener struct {
	loop       *Loop
	kind       string // of the peers, for the log
	fd         int
	accept     func(c *Conn)
	reserve    int     // connections that may use reserved descriptors; 0: connections share the loop's limit
	reserved   []*Conn // open connections of the reserve, oldest first
	backlogged bool    // connections may have been queued since before this round
	suspended  bool    // another process accepts from the queue
	paused     bool    // not polled, for want of descriptors
	resume     Timer   // ends a pause
}

// Listen listens at an address and calls accept for each new connection. With a reserve, up to that many
// connections use reserved descriptors and are delivered before others; beyond that, the oldest one past its
// grace period is closed.
func (l *Loop) Listen(kind string, address netip.AddrPort, reserve int, accept func(c *Conn)) (*Listener, error) {
	return l.ListenAt(kind, address, false, reserve, accept)
}

// ListenAt is Listen where a shared address may have listeners of several processes.
func (l *Loop) ListenAt(kind string, address netip.AddrPort, shared bool, reserve int,
	accept func(c *Conn)) (*Listener, error) {
	fd, err := listen(address, l.kernelBufferBytes, shared)
	if err != nil {
		return nil, err
	}
	return l.AdoptListener(kind, fd, reserve, accept)
}

// AdoptListener creates a listener from a socket that is already listening.
func (l *Loop) AdoptListener(kind string, fd, reserve int, accept func(c *Conn)) (*Listener, error) {
	ln := &Listener{loop: l, kind: kind, fd: fd, accept: accept, reserve: reserve}
	ln.resume.Fire = func() { ln.setAccepting(true) }
	l.listeners = append(l.listeners, ln)
	return ln, l.watchFD(fd, unix.EPOLLIN)
}

// setAccepting starts or pauses polling the listening socket. A paused one is resumed when a socket is closed,
// or after acceptRetryDelay.
func (ln *Listener) setAccepting(on bool) {
	if ln.suspended || ln.paused == !on {
		return
	}
	ln.paused = !on
	if !on {
		ln.loop.SetTimer(&ln.resume, acceptRetryDelay)
	}
	events := uint32(0)
	if on {
		events = unix.EPOLLIN
	}
	unix.EpollCtl(ln.loop.epoll, unix.EPOLL_CTL_MOD, ln.fd, &unix.EpollEvent{Events: events, Fd: int32(ln.fd)})
}

// hasRoom reports whether another connection may be accepted. It evicts one if necessary.
func (ln *Listener) hasRoom() bool {
	l := ln.loop
	if ln.reserve == 0 {
		return l.openSockets < l.maxSockets-l.maxSockets/dialReserveDivisor || l.makeRoom(false)
	}
	if len(ln.reserved) < ln.reserve {
		return true
	}
	for _, conn := range ln.reserved { // oldest first
		if l.now-conn.CreatedAt >= conn.evictionGrace() {
			l.evict(conn)
			return true
		}
	}
	return false // the new connection waits in the kernel's queue
}

// evictionGrace returns for how many ms a connection of a reserve is protected from eviction.
func (c *Conn) evictionGrace() float64 {
	if c.bytesRead == 0 {
		return silentGrace
	}
	return unprovenGrace
}

// acceptQueued accepts the queued connections as far as there is room, at most maxAccepts.
func (ln *Listener) acceptQueued() {
	l := ln.loop
	wasBacklogged := ln.backlogged
	ln.backlogged = true
	for range maxAccepts {
		if !ln.hasRoom() {
			ln.setAccepting(false)
			return
		}
		fd, from, err := unix.Accept4(ln.fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		switch err {
		case nil:
		case unix.EINTR, unix.ECONNABORTED:
			continue
		case unix.EMFILE, unix.ENFILE, unix.ENOMEM, unix.ENOBUFS:
			ln.setAccepting(false)
			return
		default: // the queue is empty
			ln.backlogged = false
			return
		}
		unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
		c := ln.addConn(fd, from)
		if wasBacklogged {
			c.unreadFrom = l.now - sinceLastReceived(fd)
		}
		c.readOnAccept()
	}
}

// addConn creates a connection for an accepted socket.
func (ln *Listener) addConn(fd int, from unix.Sockaddr) *Conn {
	l := ln.loop
	c := &Conn{loop: l, listener: ln, kind: ln.kind, fd: fd, status: established, CreatedAt: l.now, LastUsed: l.now,
		In: l.Pool.NewChain(), Out: l.Pool.NewChain()}
	if p, ok := from.(*unix.SockaddrInet4); ok {
		c.peer = netip.AddrPortFrom(netip.AddrFrom4(p.Addr), uint16(p.Port))
	}
	if ln.reserve > 0 {
		ln.reserved = append(ln.reserved, c)
	}
	ln.accept(c)
	l.register(c)
	return c
}

// remove removes an ended connection from the reserve.
func (ln *Listener) remove(c *Conn) {
	ln.reserved = slices.DeleteFunc(ln.reserved, func(g *Conn) bool { return g == c })
}

// AdoptConn takes over a connection from another process, with the input that it had read but not consumed. That input,
// and what is in the socket, may have waited there for the given ms.
func (ln *Listener) AdoptConn(fd int, unread []byte, waited float64) *Conn {
	unix.SetNonblock(fd, true)
	from, _ := unix.Getpeername(fd)
	c := ln.addConn(fd, from)
	c.ArrivedAt = ln.loop.conservativeArrival() - waited
	if !c.socketEmpty() {
		c.unreadFrom = c.ArrivedAt
	}
	if len(unread) > 0 {
		c.In.Write(unread)
		ln.loop.ScheduleReceive(c)
		c.readOnAccept()
	}
	return c
}

// DupDescriptor returns a duplicate of the listening socket's descriptor, for another process.
func (ln *Listener) DupDescriptor() (int, error) {
	return unix.FcntlInt(uintptr(ln.fd), unix.F_DUPFD_CLOEXEC, 0)
}

// SetSuspended leaves the queue to another process that has the same socket, or resumes accepting.
func (ln *Listener) SetSuspended(on bool) {
	switch {
	case ln.suspended == on:
	case on:
		unix.EpollCtl(ln.loop.epoll, unix.EPOLL_CTL_DEL, ln.fd, nil)
	default:
		ln.paused = false
		ln.loop.watchFD(ln.fd, unix.EPOLLIN)
	}
	ln.suspended = on
}

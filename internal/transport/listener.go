package transport

import (
	"net/netip"
	"slices"

	"golang.org/x/sys/unix"
)

// Listener is a listening socket.
type Listener struct {
	loop      *Loop
	kind      string // who comes in, for the log
	fd        int
	accept    func(c *Conn)
	reserve   int     // connections that it may have open out of the spare descriptors; 0: out of the loop's, as any other
	reserved  []*Conn // those, oldest first
	behind    bool    // connections may have stood in the queue since before this round
	suspended bool    // another process has its queue
	paused    bool    // it is not looked at, for want of sockets
	resume    Timer
}

// Listen opens a listener at an address: accept is called for each connection that comes in. Connections of a listener with a
// reserve are served ahead of others; where more come, the oldest that has had time to ask makes room.
func (l *Loop) Listen(kind string, a netip.AddrPort, reserve int, accept func(c *Conn)) (*Listener, error) {
	return l.ListenAt(kind, a, false, reserve, accept)
}

// ListenAt is Listen; a shared address may have listeners of several processes.
func (l *Loop) ListenAt(kind string, a netip.AddrPort, shared bool, reserve int, accept func(c *Conn)) (*Listener, error) {
	fd, err := listen(a, l.kernel, shared)
	if err != nil {
		return nil, err
	}
	return l.AdoptListener(kind, fd, reserve, accept)
}

// AdoptListener makes a listener of a socket that is listening already.
func (l *Loop) AdoptListener(kind string, fd, reserve int, accept func(c *Conn)) (*Listener, error) {
	ln := &Listener{loop: l, kind: kind, fd: fd, accept: accept, reserve: reserve}
	ln.resume.Fire = func() { ln.watch(true) }
	l.listeners = append(l.listeners, ln)
	return ln, l.look(fd, unix.EPOLLIN)
}

// watch looks at the listening socket, or lets it be until a socket is free.
func (ln *Listener) watch(on bool) {
	if ln.suspended || ln.paused == !on {
		return
	}
	ln.paused = !on
	if !on {
		ln.loop.SetTimer(&ln.resume, acceptPause)
	}
	events := uint32(0)
	if on {
		events = unix.EPOLLIN
	}
	unix.EpollCtl(ln.loop.epoll, unix.EPOLL_CTL_MOD, ln.fd, &unix.EpollEvent{Events: events, Fd: int32(ln.fd)})
}

// room tells whether one more connection may come in.
func (ln *Listener) room() bool {
	l := ln.loop
	if ln.reserve == 0 {
		return l.open < l.most-l.most/dialShare || l.makeRoom()
	}
	if len(ln.reserved) < ln.reserve {
		return true
	}
	for _, conn := range ln.reserved { // the oldest first
		if l.now-conn.CreatedAt >= conn.grace() {
			l.shed(conn)
			return true
		}
	}
	return false // the new one waits in the kernel's queue
}

// grace is for how many ms a connection of a listener's reserve is not closed to make room for another.
func (c *Conn) grace() float64 {
	if c.took == 0 {
		return silentGrace
	}
	return unprovenFor
}

// acceptQueued accepts the connections that are queued, as far as there are sockets.
func (ln *Listener) acceptQueued() {
	l := ln.loop
	behind := ln.behind
	ln.behind = true
	for range acceptMost {
		if !ln.room() {
			ln.watch(false)
			return
		}
		fd, from, err := unix.Accept4(ln.fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		switch err {
		case nil:
		case unix.EINTR, unix.ECONNABORTED:
			continue
		case unix.EMFILE, unix.ENFILE, unix.ENOMEM, unix.ENOBUFS:
			ln.watch(false)
			return
		default: // the queue is empty
			ln.behind = false
			return
		}
		unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
		c := ln.add(fd, from)
		if behind {
			c.unread = l.now - lastReceived(fd)
		}
		c.arrived()
	}
}

// add makes a connection of a socket that came in.
func (ln *Listener) add(fd int, from unix.Sockaddr) *Conn {
	l := ln.loop
	c := &Conn{loop: l, listener: ln, kind: ln.kind, fd: fd, status: up, CreatedAt: l.now, LastUsed: l.now,
		In: l.Pool.NewChain(), Out: l.Pool.NewChain()}
	if p, ok := from.(*unix.SockaddrInet4); ok {
		c.peer = netip.AddrPortFrom(netip.AddrFrom4(p.Addr), uint16(p.Port))
	}
	if ln.reserve > 0 {
		ln.reserved = append(ln.reserved, c)
	}
	ln.accept(c)
	l.adopt(c)
	return c
}

// remove takes a connection that is over off the listener's list.
func (ln *Listener) remove(c *Conn) {
	ln.reserved = slices.DeleteFunc(ln.reserved, func(g *Conn) bool { return g == c })
}

// AdoptConn takes a connection that another process has passed on, with what that had read of it.
func (ln *Listener) AdoptConn(fd int, unread []byte) *Conn {
	unix.SetNonblock(fd, true)
	from, _ := unix.Getpeername(fd)
	c := ln.add(fd, from)
	c.ArrivedAt = ln.loop.least()
	if !c.nothingUnread() {
		c.unread = c.ArrivedAt
	}
	if len(unread) > 0 {
		c.In.Write(unread)
		ln.loop.ScheduleReceive(c)
		c.arrived()
	}
	return c
}

// DupDescriptor is a descriptor of the socket for another process.
func (ln *Listener) DupDescriptor() (int, error) {
	return unix.FcntlInt(uintptr(ln.fd), unix.F_DUPFD_CLOEXEC, 0)
}

// SetSuspended leaves the queue to another process that has the socket too, or takes it up again.
func (ln *Listener) SetSuspended(on bool) {
	switch {
	case ln.suspended == on:
	case on:
		unix.EpollCtl(ln.loop.epoll, unix.EPOLL_CTL_DEL, ln.fd, nil)
	default:
		ln.paused = false
		ln.loop.look(ln.fd, unix.EPOLLIN)
	}
	ln.suspended = on
}

package transport

import (
	"net/netip"
	"slices"

	"golang.org/x/sys/unix"
)

// Door is a listening socket.
type Door struct {
	loop    *Loop
	kind    string // who comes in, for the log
	fd      int
	accept  func(c *Conn)
	reserve int     // connections that it may have open out of the spare descriptors; 0: out of the loop's, as any other
	guests  []*Conn // those, oldest first
	behind  bool    // connections may have stood in the queue since before this round
	resting bool    // another process has its queue
	shut    bool    // it is not looked at, for want of sockets
	reopen  Timer
}

// Listen opens a door at an address: accept is called for each connection that comes in. Connections of a door with a
// reserve are served ahead of others; where more come, the oldest makes room.
func (l *Loop) Listen(kind string, a netip.AddrPort, reserve int, accept func(c *Conn)) (*Door, error) {
	return l.ListenAt(kind, a, false, reserve, accept)
}

// ListenAt is Listen; a shared address may have doors of several processes.
func (l *Loop) ListenAt(kind string, a netip.AddrPort, shared bool, reserve int, accept func(c *Conn)) (*Door, error) {
	fd, err := listen(a, l.kernel, shared)
	if err != nil {
		return nil, err
	}
	return l.Door(kind, fd, reserve, accept)
}

// Door makes a door of a listening socket.
func (l *Loop) Door(kind string, fd, reserve int, accept func(c *Conn)) (*Door, error) {
	d := &Door{loop: l, kind: kind, fd: fd, accept: accept, reserve: reserve}
	d.reopen.Fire = func() { d.watch(true) }
	l.doors = append(l.doors, d)
	return d, l.look(fd, unix.EPOLLIN)
}

// watch looks at the listening socket, or lets it be until a socket is free.
func (d *Door) watch(on bool) {
	if d.resting || d.shut == !on {
		return
	}
	d.shut = !on
	if !on {
		d.loop.Set(&d.reopen, doorPause)
	}
	events := uint32(0)
	if on {
		events = unix.EPOLLIN
	}
	unix.EpollCtl(d.loop.epoll, unix.EPOLL_CTL_MOD, d.fd, &unix.EpollEvent{Events: events, Fd: int32(d.fd)})
}

// room tells whether one more connection may come in.
func (d *Door) room() bool {
	l := d.loop
	if d.reserve == 0 {
		return l.open < l.most-l.most/dialShare || l.makeRoom()
	}
	if len(d.guests) >= d.reserve {
		l.shed(d.guests[0])
	}
	return true
}

// welcome accepts what stands at the door, as far as there are sockets.
func (d *Door) welcome() {
	l := d.loop
	behind := d.behind
	d.behind = true
	for range acceptMost {
		if !d.room() {
			d.watch(false)
			return
		}
		fd, from, err := unix.Accept4(d.fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		switch err {
		case nil:
		case unix.EINTR, unix.ECONNABORTED:
			continue
		case unix.EMFILE, unix.ENFILE, unix.ENOMEM, unix.ENOBUFS:
			d.watch(false)
			return
		default: // the queue is empty
			d.behind = false
			return
		}
		unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
		c := d.enter(fd, from)
		if behind {
			c.unread = l.now - lastReceived(fd)
		}
		c.arrived()
	}
}

// enter makes a connection of a socket that came in.
func (d *Door) enter(fd int, from unix.Sockaddr) *Conn {
	l := d.loop
	c := &Conn{loop: l, door: d, kind: d.kind, fd: fd, status: up, Began: l.now, Used: l.now,
		In: l.Pool.Chain(), Out: l.Pool.Chain()}
	if p, ok := from.(*unix.SockaddrInet4); ok {
		c.peer = netip.AddrPortFrom(netip.AddrFrom4(p.Addr), uint16(p.Port))
	}
	if d.reserve > 0 {
		d.guests = append(d.guests, c)
	}
	d.accept(c)
	l.adopt(c)
	return c
}

// left takes a connection that is over off the door's list.
func (d *Door) left(c *Conn) {
	d.guests = slices.DeleteFunc(d.guests, func(g *Conn) bool { return g == c })
}

// Passed takes a connection that another process has passed on, with what that had read of it.
func (d *Door) Passed(fd int, unread []byte) *Conn {
	unix.SetNonblock(fd, true)
	from, _ := unix.Getpeername(fd)
	c := d.enter(fd, from)
	c.Arrived = d.loop.least()
	if !c.nothingUnread() {
		c.unread = c.Arrived
	}
	if len(unread) > 0 {
		c.In.Write(unread)
		d.loop.Later(c)
		c.arrived()
	}
	return c
}

// Copy is a descriptor of the door's socket for another process.
func (d *Door) Copy() (int, error) { return unix.FcntlInt(uintptr(d.fd), unix.F_DUPFD_CLOEXEC, 0) }

// Rest leaves the door's queue to another process that has its socket too, or takes it up again.
func (d *Door) Rest(on bool) {
	switch {
	case d.resting == on:
	case on:
		unix.EpollCtl(d.loop.epoll, unix.EPOLL_CTL_DEL, d.fd, nil)
	default:
		d.shut = false
		d.loop.look(d.fd, unix.EPOLLIN)
	}
	d.resting = on
}

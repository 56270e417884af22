package transport

import (
	"net/netip"
	"slices"

	"golang.org/x/sys/unix"
)

// ConnHandler is told what becomes of a connection.
type ConnHandler interface {
	Received(c *Conn)          // more bytes stand in c.In
	Ended(c *Conn, why Reason) // the other side or the network ended it; not called after Close
}

// EvictionClass is what a connection is good for, where room has to be made.
type EvictionClass uint8

const (
	Needed   EvictionClass = iota // something is owed on it
	Idle                          // nothing is, now
	Unproven                      // nothing of use has ever come on it
)

// status of a connection.
type status uint8

const (
	connecting  status = iota // on its way up
	up                        // open
	halfClosing               // our side has said its last; what still comes is thrown away until the other ends
	closed                    // over; its socket is closed when the round is carried out
)

// Conn is one connection.
type Conn struct {
	In, Out       Chain
	Handler       ConnHandler
	BeforeWrite   func()               // called right before Out is written: it appends what depends on the time of writing; may be nil
	AfterWrite    func()               // hears that some of Out has been written, or that a dial has begun; nil where nobody wants to
	EvictionClass func() EvictionClass // tells whether the connection may be closed to make room
	LastUsed      float64              // ms, when it last carried anything
	CreatedAt     float64              // ms
	ArrivedAt     float64              // ms, the earliest time at which the last byte of a command in In can have come

	loop     *Loop
	listener *Listener // through which it came, or nil
	kind     string    // who is at the other side, for the log
	peer     netip.AddrPort
	fd       int
	status   status
	events   uint32  // what epoll looks for now
	why      Reason  // of an end that the owner has not been told yet
	news     bool    // in the loop's list of connections with news
	fresh    bool    // bytes have come that the owner has not seen
	marked   bool    // in the loop's list of connections to write to
	paused   bool    // nothing is read for now
	unread   float64 // ms, the earliest time at which what stands unread at the socket can have come; 0 where not known
	first    float64 // ms, since when it can be this process that has it wait; 0 where not known
	heard    float64 // the same of what stands in In
	last     Timer   // until a half-closed connection is closed
	took     uint64  // bytes read
	gave     uint64  // bytes written
}

// Peer is the address of the other side.
func (c *Conn) Peer() netip.AddrPort { return c.peer }

// reserved tells whether the connection has its descriptor out of its listener's reserve.
func (c *Conn) reserved() bool { return c.listener != nil && c.listener.reserve > 0 }

// IsOpen tells whether the connection is open.
func (c *Conn) IsOpen() bool { return c.status == up }

// move is the one place where a connection changes its status.
func (c *Conn) move(to status) {
	if c.status != closed {
		c.status = to
	}
}

// Flush has what stands in Out written when the round is carried out.
func (c *Conn) Flush() {
	c.LastUsed = c.loop.now
	c.mark()
}

// Close ends the connection when the round is carried out, before anything is written.
func (c *Conn) Close(why Reason) {
	if c.status == closed {
		return
	}
	c.move(closed)
	c.In.Free()
	c.Out.Free()
	c.loop.StopTimer(&c.last)
	c.loop.shut = append(c.loop.shut, c)
	if c.fd >= 0 && !c.reserved() {
		c.loop.open--
	}
	if c.listener != nil {
		c.listener.remove(c)
	}
	c.log(why)
}

// Detach takes an open connection out of the loop and returns its descriptor and what has been read of it and not been
// taken. Nothing more comes to its owner.
func (c *Conn) Detach() (fd int, unread []byte) {
	fd, unread = c.fd, c.In.Bytes()
	unix.EpollCtl(c.loop.epoll, unix.EPOLL_CTL_DEL, fd, nil) // the socket lives on: closing it here would not do
	c.loop.conns[fd] = nil
	c.Close(HandedOver)
	c.fd = -1
	return fd, unread
}

// HalfClose closes the connection once what stands in Out is written, and the other side has ended or let its
// time pass: closing a socket with unread input would throw away the answers that are on their way. The
// owner hears no more of it.
func (c *Conn) HalfClose(why Reason) {
	if c.status != up {
		c.Close(why)
		return
	}
	c.move(halfClosing)
	c.In.Free()
	c.EvictionClass = func() EvictionClass {
		if c.Out.Len() > 0 {
			return Needed
		}
		return Unproven
	}
	c.AfterWrite = nil
	c.last.Fire = func() { c.Close(why) }
	c.Handler = ender{why}
	c.loop.SetTimer(&c.last, halfCloseMost)
	c.paused = false
	c.Flush()
}

// ender owns connections that have been finished.
type ender struct{ why Reason }

func (ender) Received(c *Conn)            { c.In.Free() }
func (e ender) Ended(c *Conn, why Reason) { c.Close(e.why) }

func (c *Conn) log(why Reason) {
	c.loop.Log.Info("connection ended", "reason", string(why), "kind", c.kind, "peer", c.peer.String(),
		"ms", int(c.loop.now-c.CreatedAt), "in", c.took, "out", c.gave)
}

// noted puts the connection on the list of those with news.
func (c *Conn) noted() {
	switch {
	case c.news:
		return
	case c.reserved():
		c.loop.ready = slices.Insert(c.loop.ready, 0, c)
	default:
		c.loop.ready = append(c.loop.ready, c)
	}
	c.news = true
}

// fromClient tells whether the other side puts work to this one: what it asks may wait, what answers may not.
func (c *Conn) fromClient() bool { return c.listener != nil && !c.reserved() }

// tell hands what has come to the owner. What a client has asked before it left is nobody's any more.
func (c *Conn) tell() {
	c.news = false
	if c.fresh && c.status != closed && !(c.fromClient() && c.why != "") {
		c.fresh = false
		c.Handler.Received(c)
	}
	if c.why != "" && c.status != closed {
		c.Handler.Ended(c, c.why)
		c.Close(c.why)
	}
}

// broke remembers an end that the owner has still to be told.
func (c *Conn) broke(why Reason) {
	if c.why == "" {
		c.why = why
	}
	c.noted()
}

// wants is what epoll is to look for. A client's end is looked for whether anything is read or not: what it has asked is not
// to be sent on for nobody.
func (c *Conn) wants() (want uint32) {
	if c.fromClient() && c.status == up {
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

// interest tells epoll what to look for.
func (c *Conn) interest() {
	if want := c.wants(); want != c.events {
		c.events = want
		unix.EpollCtl(c.loop.epoll, unix.EPOLL_CTL_MOD, c.fd, &unix.EpollEvent{Events: want, Fd: int32(c.fd)})
	}
}

// gather takes what epoll found.
func (c *Conn) gather(events uint32) {
	if c.status == connecting {
		if err := pending(c.fd); err != nil || events&unix.EPOLLHUP != 0 {
			c.broke(ConnectFailed)
			return
		}
		c.move(up)
		c.interest()
		c.Flush()
	}
	if events&unix.EPOLLRDHUP != 0 && c.fromClient() && c.status == up {
		c.broke(PeerClosed)
		return
	}
	if events&unix.EPOLLOUT != 0 {
		c.mark()
	}
	if events&(unix.EPOLLIN|unix.EPOLLHUP|unix.EPOLLERR) != 0 {
		c.read()
	}
}

// mark puts the connection on the list of those to write to.
func (c *Conn) mark() {
	if !c.marked && c.status != closed {
		c.marked = true
		c.loop.dirty = append(c.loop.dirty, c)
	}
}

// write passes on what stands in Out, as far as the socket takes it.
func (c *Conn) write() {
	if c.BeforeWrite != nil {
		c.BeforeWrite()
	}
	if c.status == closed { // what was to be written has no time left
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
			c.broke(Reset)
			return
		}
		if n <= 0 {
			break
		}
		c.gave += uint64(n)
		c.Out.Drop(n)
		c.LastUsed = c.loop.now
	}
	if c.AfterWrite != nil && c.Out.Len() < before {
		c.AfterWrite()
	}
	if c.paused && c.Out.Len() == 0 { // what was left unread for the answers not taken would wait for ever
		c.loop.ScheduleReceive(c)
	}
	if c.status == halfClosing && c.Out.Len() == 0 {
		unix.Shutdown(c.fd, unix.SHUT_WR)
		c.loop.SetTimer(&c.last, halfCloseFor)
	}
	c.interest()
}

// Package transport serves the sockets: one loop over epoll, connections with their bytes in pooled
// buffers, and timers. It knows nothing of what the bytes mean.
//
// A round of the loop has three parts. It gathers what is ready: connections accepted, bytes read. It hands
// that to the owners in one go. Then it carries out what they asked for: connections closed, then opened,
// then written to.
package transport

import (
	"fmt"
	"log/slog"
	"math"
	"net/netip"
	"slices"
	"time"

	"golang.org/x/sys/unix"

	"larchthread/internal/machine"
	"larchthread/internal/timerqueue"
)

const (
	BufferSize = 16 << 10       // bytes, the one size: most messages fit, and a thousand take little of a balancer's memory
	poolKept   = 512            // free buffers that the pool holds on to: 8 MB; more go back to the garbage collector
	readMost   = 5 * BufferSize // bytes read from one connection in a round: the largest value and its line

	oversleepMost = 50.0   // ms that a wait may take too long on a busy machine
	quietFor      = 0.25   // ms of a round in which what it has gathered counts as all that has come
	sliceFor      = 0.5    // ms of a round for what clients ask: a hundred ops
	eventsMost    = 512    // events taken in one round at the least
	acceptMost    = 256    // connections accepted in one round, so that those that are open are heard in between
	backlog       = 4096   // connections that the kernel may accept for us between two rounds: its own upper end
	halfCloseMost = 5000.0 // ms that a slow reader may take over the answers before our last word: over any TTL
	halfCloseFor  = 200.0  // ms that the other side may take to end after our last word: many round trips
	resendAfter   = 2.0    // ms until messages that the other process has no room for are tried again: it reads in each round
	acceptPause   = 5.0    // ms until it is tried again to accept, where no connection was idle: a busy one takes as long

	ReservedDescriptors = 32    // descriptors of the runtime, the log, operators' calls and an upgrade: about 25, and room
	silentGrace         = 10.0  // ms that a caller of a listener's reserve has to begin its call: a few rounds, or a thousand silent ones would keep others out
	unprovenFor         = 100.0 // ms that a new client has for its first command before it makes room: many round trips
	unprovenShare       = 4     // one in so many sockets may be a new client's without one: usual ones hold a third in all

	dialShare   = 8        // one in so many sockets is kept for connections that this side opens: some a host
	kernelShare = 0.2      // part of the memory that the kernel's buffers of all sockets may take
	kernelLeast = 16 << 10 // bytes of one: below that each value takes many rounds
)

// Loop is one loop over the sockets of the program. All its methods but Ring are the loop's own thread's.
type Loop struct {
	Log          *slog.Logger
	Pool         *Pool
	OnRoundStart func(now float64) // called first in each round, before anything is handed over

	epoll, bell  int
	most         int // sockets that may be open
	kernel       int // bytes of the kernel's buffer for one direction of a connection
	open         int
	conns        []*Conn // by descriptor
	listeners    []*Listener
	controls     []*ControlListener
	channels     []*ControlChannel
	resend       Timer // after messages had to wait
	timers       timerqueue.Queue[*Timer]
	began        time.Time
	wall         float64 // ms, Unix time then, as far as the machine knows it
	now          float64 // ms, Unix time
	before       float64 // ms, when the last round had read what there was
	slice        float64 // ms, when clients have had their time in this round
	waited       bool    // what was read in this round came while the loop had nothing to do
	broken, idle bool    // a signal has broken off the last wait; there was nothing to do before this round
	ready        []*Conn // with news
	dirty        []*Conn // to write to
	shut         []*Conn // to close
	dialed       []*Conn // to open
	again        bool    // the next round must not wait
	ended        bool
}

// NewLoop makes a loop for so many descriptors at the most, in so many bytes of memory.
func NewLoop(descriptors, memory int, log *slog.Logger) (*Loop, error) {
	if descriptors < 2*ReservedDescriptors {
		return nil, fmt.Errorf("sockets: %d, want %d or more", descriptors, 2*ReservedDescriptors)
	}
	epoll, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return nil, fmt.Errorf("epoll: %w", err)
	}
	bell, err := unix.Eventfd(0, unix.EFD_NONBLOCK|unix.EFD_CLOEXEC)
	if err != nil {
		return nil, fmt.Errorf("eventfd: %w", err)
	}
	l := &Loop{Log: log, Pool: &Pool{}, epoll: epoll, bell: bell, most: descriptors - ReservedDescriptors}
	// The kernel takes twice what it is asked for, and each connection has two directions.
	l.kernel = max(kernelLeast, int(kernelShare*float64(memory))/descriptors/4)
	l.began, l.wall = time.Now(), float64(machine.WallTime().UnixMicro())/1000
	l.tick()
	l.before = l.now
	l.resend.Fire = func() {} // the round that it makes sends
	return l, l.look(bell, unix.EPOLLIN)
}

// tick reads the clock: the wall's time at the start, and steady from there.
func (l *Loop) tick() { l.now = l.ReadClock() }

// Now is the time of this round, in Unix ms.
func (l *Loop) Now() float64 { return l.now }

// ReadClock reads the clock within a round: how long what came first in it has taken.
func (l *Loop) ReadClock() float64 {
	return l.wall + float64(time.Since(l.began).Nanoseconds())/1e6
}

// EarliestArrival is the earliest time at which what was read in this round can have come: where there was something to read as the
// round began, it may have waited for the one before to end.
//
// A wait that a signal broke off says nothing of this process being late: the runtime sends itself such signals.
func (l *Loop) EarliestArrival() float64 {
	if l.idle {
		return l.now
	}
	return l.before
}

// least is the same for the time that a client has left: that must not be taken for more than it is, where a stop of the
// process may have broken the wait.
func (l *Loop) least() float64 {
	if l.waited {
		return l.now
	}
	return l.before
}

func (l *Loop) look(fd int, events uint32) error {
	return unix.EpollCtl(l.epoll, unix.EPOLL_CTL_ADD, fd, &unix.EpollEvent{Events: events, Fd: int32(fd)})
}

// Dial begins a connection when the round is carried out. A failure reaches the owner in the next round.
func (l *Loop) Dial(kind string, a netip.AddrPort, owner ConnHandler) *Conn {
	c := &Conn{loop: l, kind: kind, peer: a, fd: -1, Handler: owner, CreatedAt: l.now, LastUsed: l.now,
		In: l.Pool.NewChain(), Out: l.Pool.NewChain()}
	l.dialed = append(l.dialed, c)
	return c
}

// SkipWait lets the next round begin at once.
func (l *Loop) SkipWait() { l.again = true }

// Wake wakes the loop from another goroutine.
func (l *Loop) Wake() {
	unix.Write(l.bell, []byte{1, 0, 0, 0, 0, 0, 0, 0})
}

// Quit lets Run return after this round.
func (l *Loop) Quit() { l.ended = true }

// Run serves until End.
func (l *Loop) Run() error {
	events := make([]unix.EpollEvent, max(eventsMost, l.most+ReservedDescriptors)) // all that is ready belongs to one round
	for !l.ended {
		looked, patience := l.ReadClock(), 0
		n, err := unix.EpollWait(l.epoll, events, 0)
		if l.waited = n == 0 && err == nil; l.waited {
			patience = l.patience()
			n, err = unix.EpollWait(l.epoll, events, patience)
		}
		if err == unix.EINTR { // as after a stop of the process: what came meanwhile belongs to the next round
			l.broken = l.waited
			continue
		}
		if err != nil {
			return fmt.Errorf("epoll: %w", err)
		}
		l.tick()
		l.again = false
		l.idle, l.broken = l.waited || l.broken, false
		stoodStill := overslept(l.now-looked, patience)
		l.waited = l.waited && !stoodStill
		for _, e := range events[:n] {
			l.gather(int(e.Fd), e.Events)
		}
		l.hand()
		switch {
		case n == len(events): // more stands ready that came before
		case stoodStill: // perhaps behind the look at what is ready
			l.before = looked
		default:
			l.before = l.now
		}
		l.carryOut()
	}
	return nil
}

// Close closes all that is open, once Run has returned.
func (l *Loop) Close() {
	for _, c := range l.conns {
		if c != nil {
			l.drop(c)
		}
	}
	unix.Close(l.bell)
	unix.Close(l.epoll)
}

// overslept tells whether a wait took so many ms longer than it should have at the most that the process must have stood
// still: what came meanwhile waited for it, nobody knows for how long.
func overslept(took float64, patience int) bool {
	return patience >= 0 && took > float64(patience)+oversleepMost
}

// patience is how long the next round may wait, in ms; -1 for as long as nothing happens.
func (l *Loop) patience() int {
	if l.again || len(l.ready) > 0 {
		return 0
	}
	next := l.timers.NextDue()
	if math.IsInf(next, 1) {
		return -1
	}
	l.tick()
	return int(math.Ceil(max(0, next-l.now)))
}

// gather takes what is ready at one descriptor.
func (l *Loop) gather(fd int, events uint32) {
	for _, listener := range l.listeners {
		if listener.fd == fd {
			listener.acceptQueued()
			return
		}
	}
	for _, c := range l.controls {
		if c.fd == fd {
			c.acceptOne()
			return
		}
	}
	for _, c := range l.channels {
		if c.fd == fd {
			c.read()
			return
		}
	}
	switch {
	case fd == l.bell:
		var sink [8]byte
		unix.Read(fd, sink[:])
	case fd < len(l.conns) && l.conns[fd] != nil:
		l.conns[fd].gather(events)
	}
}

// adopt takes a connection with its descriptor into the loop's books.
func (l *Loop) adopt(c *Conn) {
	for len(l.conns) <= c.fd {
		l.conns = append(l.conns, nil)
	}
	l.conns[c.fd] = c
	if !c.reserved() {
		l.open++
	}
	c.events = c.wants()
	if err := l.look(c.fd, c.events); err != nil {
		c.broke(OutOfSockets)
	}
}

// hand gives the owners what was gathered.
func (l *Loop) hand() {
	if l.OnRoundStart != nil {
		l.OnRoundStart(l.now)
	}
	for _, c := range slices.Clone(l.channels) {
		c.deliver()
	}
	ready := l.ready
	l.ready = nil
	asking := ready[:0]
	for _, c := range ready {
		if c.fromClient() && c.why == "" {
			asking = append(asking, c)
		} else {
			c.tell()
		}
	}
	l.slice = l.ReadClock() + sliceFor
	for len(asking) > 0 && !l.ClientTimeExhausted() {
		asking[0].tell()
		asking = asking[1:]
	}
	l.ready = append(asking, l.ready...)
	l.fire()
}

// ClientTimeExhausted tells whether what clients ask has had its time in this round. The rest waits for the next, first come first: short
// rounds cost less, as what they touch is still at hand, and no answer waits long to be read.
func (l *Loop) ClientTimeExhausted() bool { return l.ReadClock() >= l.slice }

// InputDelay is for how long what has not been handed over may have waited, at the most.
func (l *Loop) InputDelay() float64 {
	for _, c := range l.ready {
		if c.fromClient() && c.fresh {
			return l.now - c.heard
		}
	}
	return l.now - l.EarliestArrival()
}

// carryOut closes, opens and writes.
func (l *Loop) carryOut() {
	for _, c := range l.shut {
		l.drop(c)
	}
	l.shut = l.shut[:0]
	for _, c := range l.dialed {
		l.connect(c)
	}
	l.dialed = l.dialed[:0]
	for _, c := range l.dirty {
		c.marked = false
		if c.status == up || c.status == halfClosing {
			c.write()
		}
	}
	l.dirty = l.dirty[:0]
	for _, c := range l.channels {
		c.write()
	}
}

// drop closes the socket of a connection that is over.
func (l *Loop) drop(c *Conn) {
	if c.fd >= 0 {
		l.conns[c.fd] = nil
		unix.Close(c.fd)
		c.fd = -1
		for _, listener := range l.listeners {
			listener.watch(true)
		}
	}
}

func (l *Loop) connect(c *Conn) {
	if c.status == closed {
		return
	}
	if l.open >= l.most && !l.makeRoom() {
		c.broke(OutOfSockets)
		return
	}
	fd, err := dial(c.peer)
	switch err {
	case nil:
		c.fd = fd
		l.adopt(c)
		if c.AfterWrite != nil {
			c.AfterWrite()
		}
	case unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM:
		c.broke(OutOfSockets)
	default:
		c.broke(ConnectFailed)
	}
}

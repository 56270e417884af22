// Package transport serves sockets: a single-threaded event loop on epoll, connections with pooled buffers,
// control channels between processes, and timers. It knows nothing about the protocols above it.
//
// A round of the loop has three parts. It collects events: connections are accepted and input is read. It then
// delivers them to the handlers. Last it carries out what the handlers asked for: it closes connections, opens
// new ones and writes.
//
// Times and durations are float64 milliseconds; times are Unix time.
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
	BufferSize     = 16 << 10       // bytes of a buffer: most messages fit into one
	MaxReadBytes   = 5 * BufferSize // bytes read from a connection in one round: the largest buffered value and its command line
	maxFreeBuffers = 512            // 8 MB; further free buffers are left to the garbage collector

	shortPoolDivisor = 4 // with 1 in 4 of the pool's bytes in use, a round reads one buffer from each connection

	maxOversleep          = 50.0   // ms that a poll may exceed its timeout on a busy machine
	pollValidity          = 0.25   // ms after a poll for which its result counts as current
	clientTimeSlice       = 0.5    // ms of a round for requests of clients: about a hundred
	minEventCapacity      = 512    // lowest capacity for events of one poll
	maxAccepts            = 256    // connections accepted per listener in one round, so that open ones are served in between
	backlog               = 4096   // connections that the kernel queues between two rounds
	halfCloseWriteTimeout = 5000.0 // ms to write a part of the last answers to a slow reader; longer than any TTL
	halfClosePeerTimeout  = 200.0  // ms for the peer to close after this side's end has been sent: many round trips
	controlRetryDelay     = 2.0    // ms until messages that the other process had no room for are sent again; it reads in each round
	acceptRetryDelay      = 5.0    // ms until accepting is tried again when no connection could be evicted

	ReservedDescriptors = 32    // descriptors for the runtime, the log, operators' connections and upgrades: about 25, and some to spare
	silentGrace         = 10.0  // ms to send a first byte before a connection of a reserve may be evicted; longer, a thousand silent ones keep others out
	unprovenGrace       = 100.0 // ms that a new client has for its first command before it may be evicted
	unprovenDivisor     = 4     // above 1 in 4 sockets, unproven clients have no grace period; usual ones hold a third in all

	dialReserveDivisor = 8        // 1 in 8 sockets is kept for outgoing connections: some to each host
	kernelMemoryShare  = 0.2      // share of memory for the kernel's buffers of all sockets
	minKernelBuffer    = 16 << 10 // bytes: with less, each value takes many rounds
)

// Loop is an event loop over the program's sockets. Only Wake may be called from other goroutines.
type Loop struct {
	Log          *slog.Logger
	Pool         *Pool
	OnRoundStart func(now float64) // called at the start of each round, before events are delivered

	epoll, wakeFD        int
	maxSockets           int // limit of openSockets
	kernelBufferBytes    int // kernel buffer of a connection in one direction
	openSockets          int
	conns                []*Conn // by descriptor
	lastGeneration       int32   // of the connection registered last
	listeners            []*Listener
	controlListeners     []*ControlListener
	controlChannels      []*ControlChannel
	resendTimer          Timer // makes a round that sends delayed messages
	timers               timerqueue.Queue[*Timer]
	startedAt            time.Time
	startWall            float64 // Unix ms at startedAt
	now                  float64 // Unix ms of this round
	lastPollAt           float64 // Unix ms of the last poll that left nothing unread
	clientDeadline       float64 // Unix ms until which clients' requests are delivered in this round
	idleWait             bool    // this round's input arrived while the loop was waiting
	interrupted, wasIdle bool    // a signal interrupted the last wait; the loop had nothing to do before this round
	readyConns           []*Conn // to be delivered
	writeQueue           []*Conn // to be written
	closeQueue           []*Conn // to be closed
	dialQueue            []*Conn // to be opened
	skipWait             bool    // the next poll does not wait
	quit                 bool
}

// NewLoop creates a loop for at most the given number of descriptors, with kernel buffers that fit the given
// bytes of memory. It returns an error if descriptors is too small or the kernel refuses a descriptor.
func NewLoop(descriptors, memory int, log *slog.Logger) (*Loop, error) {
	if descriptors < 2*ReservedDescriptors {
		return nil, fmt.Errorf("sockets: %d, want %d or more", descriptors, 2*ReservedDescriptors)
	}
	epoll, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return nil, fmt.Errorf("epoll: %w", err)
	}
	wakeFD, err := unix.Eventfd(0, unix.EFD_NONBLOCK|unix.EFD_CLOEXEC)
	if err != nil {
		return nil, fmt.Errorf("eventfd: %w", err)
	}
	l := &Loop{Log: log, Pool: &Pool{}, epoll: epoll, wakeFD: wakeFD, maxSockets: descriptors - ReservedDescriptors}
	// The kernel doubles the requested size, and each connection has two directions.
	l.kernelBufferBytes = max(minKernelBuffer, int(kernelMemoryShare*float64(memory))/descriptors/4)
	l.startedAt, l.startWall = time.Now(), float64(machine.WallTime().UnixMicro())/1000
	l.updateNow()
	l.lastPollAt = l.now
	l.resendTimer.Fire = func() {} // the round that it starts sends
	return l, l.watchFD(wakeFD, unix.EPOLLIN)
}

// updateNow reads the clock: the wall clock at the start, advanced monotonically.
func (l *Loop) updateNow() { l.now = l.ReadClock() }

// Now returns the time of this round in Unix ms.
func (l *Loop) Now() float64 { return l.now }

// ReadClock returns the current time in Unix ms, which advances within a round.
func (l *Loop) ReadClock() float64 {
	return l.startWall + float64(time.Since(l.startedAt).Nanoseconds())/1e6
}

// EarliestArrival returns the earliest time in Unix ms at which this round's input can have arrived. If there
// was input as the round began, it may have waited for the previous round to end.
//
// A wait that a signal interrupted does not count as a delay: the Go runtime sends itself such signals.
func (l *Loop) EarliestArrival() float64 {
	if l.wasIdle {
		return l.now
	}
	return l.lastPollAt
}

// conservativeArrival is EarliestArrival for computing a client's remaining time, which must not be
// overestimated: a wait that was interrupted counts as a delay, as the process may have been stopped.
func (l *Loop) conservativeArrival() float64 {
	if l.idleWait {
		return l.now
	}
	return l.lastPollAt
}

// watchFD registers a descriptor with epoll that is not a connection's.
func (l *Loop) watchFD(fd int, events uint32) error {
	return unix.EpollCtl(l.epoll, unix.EPOLL_CTL_ADD, fd, &unix.EpollEvent{Events: events, Fd: int32(fd)})
}

// nextGeneration returns a number above 0 for a connection. Its events carry the number, since the descriptor may be
// another connection's by the time when an event is handled.
func (l *Loop) nextGeneration() int32 {
	l.lastGeneration = l.lastGeneration%math.MaxInt32 + 1
	return l.lastGeneration
}

// Dial opens a connection at the end of the round. A failure is delivered to the handler in the next round.
func (l *Loop) Dial(kind string, address netip.AddrPort, handler ConnHandler) *Conn {
	c := &Conn{loop: l, kind: kind, peer: address, fd: -1, Handler: handler, CreatedAt: l.now, LastUsed: l.now,
		In: l.Pool.NewChain(), Out: l.Pool.NewChain()}
	l.dialQueue = append(l.dialQueue, c)
	return c
}

// SkipWait starts the next round without waiting.
func (l *Loop) SkipWait() { l.skipWait = true }

// Wake starts a round. It may be called from any goroutine.
func (l *Loop) Wake() {
	unix.Write(l.wakeFD, []byte{1, 0, 0, 0, 0, 0, 0, 0})
}

// Quit makes Run return after this round.
func (l *Loop) Quit() { l.quit = true }

// Run serves until Quit is called. It returns an error if polling fails.
func (l *Loop) Run() error {
	// One round takes all events that are ready.
	events := make([]unix.EpollEvent, max(minEventCapacity, l.maxSockets+ReservedDescriptors))
	for !l.quit {
		pollStart, timeout := l.ReadClock(), 0
		n, err := unix.EpollWait(l.epoll, events, 0)
		if l.idleWait = n == 0 && err == nil; l.idleWait {
			timeout = l.pollTimeout()
			n, err = unix.EpollWait(l.epoll, events, timeout)
		}
		if err == unix.EINTR { // the process may have been stopped; input that arrived meanwhile belongs to the next round
			l.interrupted = l.idleWait
			continue
		}
		if err != nil {
			return fmt.Errorf("epoll: %w", err)
		}
		l.updateNow()
		l.skipWait = false
		l.wasIdle, l.interrupted = l.idleWait || l.interrupted, false
		stalled := overslept(l.now-pollStart, timeout)
		l.idleWait = l.idleWait && !stalled
		for _, e := range events[:n] {
			l.handleEvent(e)
		}
		l.deliver()
		switch {
		case n == len(events): // earlier events are still queued
		case stalled: // perhaps after the poll looked for events
			l.lastPollAt = pollStart
		default:
			l.lastPollAt = l.now
		}
		l.applyPending()
	}
	return nil
}

// Close closes all connections after Run has returned.
func (l *Loop) Close() {
	for _, c := range l.conns {
		if c != nil {
			l.closeSocket(c)
		}
	}
	unix.Close(l.wakeFD)
	unix.Close(l.epoll)
}

// overslept reports whether a poll exceeded its timeout by so much that the process must have been stopped;
// input may then have waited for an unknown time. took and timeout are in ms; a negative timeout has no limit.
func overslept(took float64, timeout int) bool {
	return timeout >= 0 && took > float64(timeout)+maxOversleep
}

// pollTimeout returns how long the next poll may wait in ms; -1 for no limit.
func (l *Loop) pollTimeout() int {
	if l.skipWait || len(l.readyConns) > 0 {
		return 0
	}
	next := l.timers.NextDue()
	if math.IsInf(next, 1) {
		return -1
	}
	l.updateNow()
	return int(math.Ceil(max(0, next-l.now)))
}

// handleEvent handles an epoll event. An event of a connection that has been closed meanwhile is ignored.
func (l *Loop) handleEvent(e unix.EpollEvent) {
	fd := int(e.Fd)
	if generation := e.Pad; generation != 0 {
		if c := l.conns[fd]; c != nil && c.generation == generation {
			c.handleEvents(e.Events)
		}
		return
	}
	for _, listener := range l.listeners {
		if listener.fd == fd {
			listener.acceptQueued()
			return
		}
	}
	for _, c := range l.controlListeners {
		if c.fd == fd {
			c.acceptOne()
			return
		}
	}
	for _, c := range l.controlChannels {
		if c.fd == fd {
			c.read()
			return
		}
	}
	if fd == l.wakeFD {
		var sink [8]byte
		unix.Read(fd, sink[:])
	}
}

// register adds a connection with a descriptor to the loop.
func (l *Loop) register(c *Conn) {
	for len(l.conns) <= c.fd {
		l.conns = append(l.conns, nil)
	}
	l.conns[c.fd] = c
	if !c.usesReserve() {
		l.openSockets++
	}
	c.generation = l.nextGeneration()
	c.events = c.wantedEvents()
	if err := unix.EpollCtl(l.epoll, unix.EPOLL_CTL_ADD, c.fd, c.epollEvent()); err != nil {
		c.recordEnd(OutOfSockets)
	}
}

// deliver passes the collected events to the handlers. Clients' requests come last, within clientTimeSlice.
func (l *Loop) deliver() {
	if l.OnRoundStart != nil {
		l.OnRoundStart(l.now)
	}
	for _, c := range slices.Clone(l.controlChannels) {
		c.deliver()
	}
	ready := l.readyConns
	l.readyConns = nil
	requests := ready[:0]
	for _, c := range ready {
		if c.isClient() && c.endReason == "" {
			requests = append(requests, c)
		} else {
			c.deliver()
		}
	}
	l.clientDeadline = l.ReadClock() + clientTimeSlice
	for len(requests) > 0 && !l.ClientTimeExhausted() {
		requests[0].deliver()
		requests = requests[1:]
	}
	l.readyConns = append(requests, l.readyConns...)
	l.fireDue()
}

// ClientTimeExhausted reports whether clients' requests have used up their time in this round. The rest is
// delivered in later rounds in order of arrival. Short rounds keep the delay of hosts' answers low.
func (l *Loop) ClientTimeExhausted() bool { return l.ReadClock() >= l.clientDeadline }

// InputDelay returns for how many ms undelivered input of clients may have waited at most.
func (l *Loop) InputDelay() float64 {
	for _, c := range l.readyConns {
		if c.isClient() && c.hasNewInput {
			return l.now - c.inputSince
		}
	}
	return l.now - l.EarliestArrival()
}

// applyPending carries out the requests to close, open and write.
func (l *Loop) applyPending() {
	for _, c := range l.closeQueue {
		l.closeSocket(c)
	}
	l.closeQueue = l.closeQueue[:0]
	for _, c := range l.dialQueue {
		l.connect(c)
	}
	l.dialQueue = l.dialQueue[:0]
	for i := 0; i < len(l.writeQueue); i++ { // writing to one may add others
		c := l.writeQueue[i]
		c.inWriteQueue = false
		if c.status == established || c.status == halfClosing {
			c.write()
		}
	}
	l.writeQueue = l.writeQueue[:0]
	for _, c := range l.controlChannels {
		c.write()
	}
}

// closeSocket closes a connection's descriptor, and lets paused listeners accept again.
func (l *Loop) closeSocket(c *Conn) {
	if c.fd >= 0 {
		l.conns[c.fd] = nil
		unix.Close(c.fd)
		c.fd = -1
		for _, listener := range l.listeners {
			listener.setAccepting(true)
		}
	}
}

// connect starts to connect. A failure is recorded for delivery in the next round.
func (l *Loop) connect(c *Conn) {
	if c.status == closed {
		return
	}
	if l.openSockets >= l.maxSockets && !l.makeRoom(true) {
		c.recordEnd(OutOfSockets)
		return
	}
	fd, err := dial(c.peer)
	switch err {
	case nil:
		c.fd = fd
		l.register(c)
		if c.AfterWrite != nil {
			c.AfterWrite()
		}
	case unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM:
		c.recordEnd(OutOfSockets)
	default:
		c.recordEnd(ConnectFailed)
	}
}

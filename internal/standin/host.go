package standin

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// FaultMode tells how a host or the origin misbehaves. The zero FaultMode injects no fault.
type FaultMode struct {
	Hang       bool    // accepts ops and connections, but does not answer
	SlowFactor float64 // multiplies the service time; no effect up to 1
	ErrorRate  float64 // fraction of the ops that are executed but answered with an error
	ResetRate  float64 // fraction of the ops that are executed, but whose connection is reset in place of the answer
	MaxConns   int     // limit of open connections; 0: no limit
}

// Host simulates a cache host that speaks the memcache meta commands.
type Host struct {
	ID       string
	Zone     string
	fleet    *Fleet
	capacity Capacity
	warming  Warming

	mu           sync.Mutex
	rng          *rand.Rand
	listener     net.Listener
	address      string
	conns        map[net.Conn]bool
	values       map[string]string
	faultMode    FaultMode
	stateChanged chan struct{}   // closed and replaced when the fault mode changes or the host is killed
	slots        chan struct{}   // holds an element for each op in execution; new at each start
	pending      int             // ops in execution or waiting for a slot
	startedAt    time.Duration   // 0: before the start of the fleet
	recentPushes []time.Duration // arrival times within the overload window while cold
	crashed      bool
}

// AddHost starts a warm host on the loopback address ip and lists it in discovery. The seed determines its random behavior. It
// fails if the capacity is invalid or the host cannot listen.
func (f *Fleet) AddHost(id, zone, ip string, seed uint64, capacity Capacity, warming Warming) (*Host, error) {
	if err := capacity.validate(); err != nil {
		return nil, fmt.Errorf("host %s: %w", id, err)
	}
	h := &Host{ID: id, Zone: zone, fleet: f, capacity: capacity, warming: warming, rng: rand.New(rand.NewPCG(seed, 1)),
		address: net.JoinHostPort(ip, "0"), conns: map[net.Conn]bool{}, stateChanged: make(chan struct{})}
	if err := h.listen(); err != nil {
		return nil, err
	}
	f.mu.Lock()
	f.hosts = append(f.hosts, h)
	f.mu.Unlock()
	f.Discovery.SetMember(Member{ID: id, Zone: zone, Address: h.Address(), Phase: InService})
	return h, nil
}

// Address returns the address on which the host listens.
func (h *Host) Address() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.address
}

// HasCrashed reports whether the host crashed from overload while it was cold, and has not been started again.
func (h *Host) HasCrashed() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.crashed
}

// listen starts accepting connections, with an empty cache.
func (h *Host) listen() error {
	l, err := net.Listen("tcp", h.address)
	if err != nil {
		return fmt.Errorf("host %s: %w", h.ID, err)
	}
	h.mu.Lock()
	h.listener, h.address = l, l.Addr().String()
	h.values, h.slots, h.pending, h.recentPushes = map[string]string{}, make(chan struct{}, h.capacity.Slots), 0, nil
	h.mu.Unlock()
	go h.accept(l)
	return nil
}

// Start restarts a killed or crashed host at its old address, empty and cold. It does nothing if the host is running.
func (h *Host) Start() error {
	h.mu.Lock()
	running := h.listener != nil
	h.mu.Unlock()
	if running {
		return nil
	}
	if err := h.listen(); err != nil {
		return err
	}
	h.mu.Lock()
	h.startedAt, h.crashed = max(h.fleet.Elapsed(), 1), false
	h.mu.Unlock()
	return nil
}

// Kill stops the host as if its process had been killed: connections are reset and new ones refused.
func (h *Host) Kill() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.killLocked()
}

// killLocked is Kill for callers that hold the lock.
func (h *Host) killLocked() {
	if h.listener == nil {
		return
	}
	h.listener.Close()
	h.listener = nil
	for c := range h.conns {
		ResetConn(c)
	}
	clear(h.conns)
	h.notifyLocked()
}

// notifyLocked wakes all ops that wait for a change of state. The caller holds the lock.
func (h *Host) notifyLocked() {
	close(h.stateChanged)
	h.stateChanged = make(chan struct{})
}

// SetFaultMode replaces the fault mode.
func (h *Host) SetFaultMode(m FaultMode) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.faultMode = m
	h.notifyLocked()
}

// Clear empties the cache.
func (h *Host) Clear() {
	h.mu.Lock()
	defer h.mu.Unlock()
	clear(h.values)
}

// putValue caches a value, if the host is running.
func (h *Host) putValue(key, value string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.listener != nil {
		h.values[key] = value
	}
}

// removeValue removes a key from the cache.
func (h *Host) removeValue(key string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.values, key)
}

// accept serves the connections of a listener, up to the limit of the fault mode.
func (h *Host) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		h.mu.Lock()
		full := h.faultMode.MaxConns > 0 && len(h.conns) >= h.faultMode.MaxConns
		alive := h.listener == l
		if alive && !full {
			h.conns[c] = true
		}
		h.mu.Unlock()
		switch {
		case !alive:
			ResetConn(c)
		case full:
			io.WriteString(c, "SERVER_ERROR busy\r\n")
			c.Close()
		default:
			go h.serve(c)
		}
	}
}

// serve executes the commands of a connection, one after another.
func (h *Host) serve(c net.Conn) {
	defer func() {
		c.Close()
		h.mu.Lock()
		delete(h.conns, c)
		h.mu.Unlock()
	}()
	for r := bufio.NewReader(c); ; {
		cmd, err := readCommand(r)
		if err != nil {
			if !errors.Is(err, io.EOF) {
				fmt.Fprintf(c, "CLIENT_ERROR %v\r\n", err)
			}
			return
		}
		answer, reset := h.execute(c, cmd)
		if reset {
			ResetConn(c)
			return
		}
		if _, err := io.WriteString(c, answer); err != nil {
			return
		}
	}
}

// ResetConn closes a TCP connection with a reset and discards unsent data.
func ResetConn(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}

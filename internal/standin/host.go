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

// FaultMode is how a host or the origin misbehaves. The zero Mode does not.
type FaultMode struct {
	Hang       bool    // takes ops and connections, and answers nothing
	SlowFactor float64 // factor of the work that an op takes; 0 and 1 are none
	ErrorRate  float64 // part of the ops that end in an error, once the work is done
	ResetRate  float64 // part of the answers in place of which the connection is reset, once the work is done
	MaxConns   int     // connections that are taken at the most; 0: as many as come
}

// Host is a cache host of the memcache meta commands.
type Host struct {
	ID      string
	Zone    string
	fleet   *Fleet
	work    Capacity
	warming Warming

	mu       sync.Mutex
	rng      *rand.Rand
	listener net.Listener
	address  string
	conns    map[net.Conn]bool
	kept     map[string]string
	mode     FaultMode
	change   chan struct{} // closed when the mode changes or the host dies
	slots    chan struct{}
	waiting  int
	started  time.Duration   // 0: long ago
	sent     []time.Duration // what came lately while it was cold
	fell     bool
}

// AddHost adds a host that is warm and listens on an IP address of loopback. Discovery lists it at once.
func (f *Fleet) AddHost(id, zone, ip string, seed uint64, work Capacity, warming Warming) (*Host, error) {
	if err := work.check(); err != nil {
		return nil, fmt.Errorf("host %s: %w", id, err)
	}
	h := &Host{ID: id, Zone: zone, fleet: f, work: work, warming: warming, rng: rand.New(rand.NewPCG(seed, 1)),
		address: net.JoinHostPort(ip, "0"), conns: map[net.Conn]bool{}, change: make(chan struct{})}
	if err := h.listen(); err != nil {
		return nil, err
	}
	f.mu.Lock()
	f.hosts = append(f.hosts, h)
	f.mu.Unlock()
	f.Discovery.SetMember(Member{ID: id, Zone: zone, Address: h.Address(), Phase: InService})
	return h, nil
}

// Address is where the host listens.
func (h *Host) Address() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.address
}

// HasCrashed tells whether the host was pushed over while it was cold.
func (h *Host) HasCrashed() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.fell
}

func (h *Host) listen() error {
	l, err := net.Listen("tcp", h.address)
	if err != nil {
		return fmt.Errorf("host %s: %w", h.ID, err)
	}
	h.mu.Lock()
	h.listener, h.address = l, l.Addr().String()
	h.kept, h.slots, h.waiting, h.sent = map[string]string{}, make(chan struct{}, h.work.Slots), 0, nil
	h.mu.Unlock()
	go h.accept(l)
	return nil
}

// Start brings a dead host back, empty and cold, at its old address.
func (h *Host) Start() error {
	h.mu.Lock()
	up := h.listener != nil
	h.mu.Unlock()
	if up {
		return nil
	}
	if err := h.listen(); err != nil {
		return err
	}
	h.mu.Lock()
	h.started, h.fell = max(h.fleet.Elapsed(), 1), false
	h.mu.Unlock()
	return nil
}

// Kill ends the host as the end of its process would: connections are reset, new ones refused.
func (h *Host) Kill() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.die()
}

func (h *Host) die() {
	if h.listener == nil {
		return
	}
	h.listener.Close()
	h.listener = nil
	for c := range h.conns {
		ResetConn(c)
	}
	clear(h.conns)
	h.changed()
}

func (h *Host) changed() {
	close(h.change)
	h.change = make(chan struct{})
}

// SetFaultMode changes how the host misbehaves, from now on.
func (h *Host) SetFaultMode(m FaultMode) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.mode = m
	h.changed()
}

// Clear drops all that the host keeps.
func (h *Host) Clear() {
	h.mu.Lock()
	defer h.mu.Unlock()
	clear(h.kept)
}

func (h *Host) keep(key, value string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.listener != nil {
		h.kept[key] = value
	}
}

func (h *Host) drop(key string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.kept, key)
}

func (h *Host) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		h.mu.Lock()
		full := h.mode.MaxConns > 0 && len(h.conns) >= h.mode.MaxConns
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

func (h *Host) serve(c net.Conn) {
	defer func() {
		c.Close()
		h.mu.Lock()
		delete(h.conns, c)
		h.mu.Unlock()
	}()
	for r := bufio.NewReader(c); ; {
		k, err := readCommand(r)
		if err != nil {
			if !errors.Is(err, io.EOF) {
				fmt.Fprintf(c, "CLIENT_ERROR %v\r\n", err)
			}
			return
		}
		answer, cut := h.answer(c, k)
		if cut {
			ResetConn(c)
			return
		}
		if _, err := io.WriteString(c, answer); err != nil {
			return
		}
	}
}

// ResetConn ends a connection with a reset, whatever stands unsent on it.
func ResetConn(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}

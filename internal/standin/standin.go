// Package standin stands in for what a balancer speaks to: cache hosts, their origin, and discovery. All are played in this
// process, on loopback, and misbehave on demand. They are simulated servers: what they hold lies in memory, and their work
// is waiting.
//
// A Fleet joins them, as the real ones are joined behind the balancers' backs: what the origin has answered is kept by the
// hosts that missed for that op, and a write voids all copies of its key. Every push that reaches a host or the origin is
// noted as a Run, and every list that goes out as a Told, for checkers that judge balancers from outside.
package standin

import (
	"fmt"
	"net"
	"slices"
	"sync"
	"time"
)

// ReceivedPush is a push as a host or the origin saw it. Times are since the fleet's start.
type ReceivedPush struct {
	Host        string
	ClientIP    string // address that its connection came from, without the port
	OpID        string // of the op
	Key         string
	Category    string
	DedupMark   string // against repeats, of a deduplicated op
	Write       bool
	ReceivedAt  time.Duration // when its last byte had come
	Deadline    time.Duration // when the balancer stops waiting, as it says
	Executed    bool          // it was carried out; else turned away, or missed
	Cold        bool          // the host was not warm yet
	CausedCrash bool          // it pushed a cold host over
}

// SentList is a list as discovery wrote it to a balancer.
type SentList struct {
	View     string // the view's name
	SentAt   time.Duration
	Revision uint64
	Phases   map[string]string // by host: what this list says; a host that it does not name keeps its phase unless Whole
	Complete bool
}

// Fleet is all of them together.
type Fleet struct {
	Origin    *Origin
	Discovery *Discovery
	began     time.Time

	mu     sync.Mutex
	hosts  []*Host
	missed map[string][]*Host // by op, for the origin's answer
	runs   []ReceivedPush
	told   []SentList
}

// NewFleet makes a fleet with an origin and discovery. What they do by chance follows from the seed.
func NewFleet(seed uint64, origin Capacity) (*Fleet, error) {
	f := &Fleet{began: time.Now(), missed: map[string][]*Host{}}
	f.Discovery = &Discovery{fleet: f, revision: 1, members: map[string][]Member{}, news: make(chan struct{})}
	var err error
	f.Origin, err = newOrigin(f, seed, origin)
	return f, err
}

// Elapsed is the time since the fleet's start.
func (f *Fleet) Elapsed() time.Duration { return time.Since(f.began) }

// StartTime is the fleet's start.
func (f *Fleet) StartTime() time.Time { return f.began }

// Hosts are the cache hosts, in the order of adding.
func (f *Fleet) Hosts() []*Host {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.hosts)
}

// ReceivedPushes are all pushes so far, in the order in which they came.
func (f *Fleet) ReceivedPushes() []ReceivedPush {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.runs)
}

// SentLists are all lists so far, in the order in which they were written.
func (f *Fleet) SentLists() []SentList {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.told)
}

// Close ends them all.
func (f *Fleet) Close() {
	for _, h := range f.Hosts() {
		h.Kill()
	}
	f.Origin.Stop()
	f.Discovery.close()
}

func (f *Fleet) note(r ReceivedPush) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runs = append(f.runs, r)
}

func (f *Fleet) miss(op string, h *Host) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.missed[op] = append(f.missed[op], h)
}

// store has the hosts that missed for an op keep the value, two at the most.
func (f *Fleet) store(op, key, value string) {
	f.mu.Lock()
	hosts := f.missed[op]
	delete(f.missed, op)
	f.mu.Unlock()
	for _, h := range hosts[:min(len(hosts), 2)] {
		h.keep(key, value)
	}
}

// void drops all copies of a key.
func (f *Fleet) void(key string) {
	for _, h := range f.Hosts() {
		h.drop(key)
	}
}

// from is a connection's other end without its port.
func from(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}

// Capacity is what a server can do.
type Capacity struct {
	ServiceTime time.Duration // of one op; spread evenly over half to one and a half of it
	Slots       int           // ops at work at once
	QueueLimit  int           // that wait for a slot; beyond it ops are turned away
}

func (w Capacity) check() error {
	if w.ServiceTime < 0 || w.Slots < 1 || w.QueueLimit < 0 {
		return fmt.Errorf("work: takes %v, slots %d, queue %d: want none below 0, and a slot", w.ServiceTime, w.Slots, w.QueueLimit)
	}
	return nil
}

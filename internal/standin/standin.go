// Package standin provides simulated servers for tests of balancers: cache hosts, their origin and discovery. They run in this
// process on loopback addresses, keep their data in memory, simulate work by waiting, and inject faults on demand.
//
// In a Fleet they work together as real servers do: the origin's answer is cached by the hosts that missed for the same op,
// and a write invalidates all copies of its key. A Fleet records each push that reaches a host or the origin (ReceivedPush)
// and each list that discovery sends (SentList), so that checkers can judge balancers from outside. A ScriptedFleet runs
// servers whose answers are scripted by a test.
package standin

import (
	"fmt"
	"net"
	"slices"
	"sync"
	"time"
)

// ReceivedPush is a push that a host or the origin received. Times are relative to the start of the fleet.
type ReceivedPush struct {
	Host        string // id of the host, or OriginID
	ClientIP    string // remote address of its connection, without the port
	OpID        string
	Key         string
	Category    string
	DedupMark   string // identifies repeats of a deduplicated op; empty for others
	Write       bool
	ReceivedAt  time.Duration // after its last byte
	Deadline    time.Duration // when the balancer stops waiting, according to the push
	Executed    bool          // not rejected; at a host: a read that hit the cache
	Cold        bool          // the host was still warming up
	CausedCrash bool          // its load made the cold host crash
}

// SentList is a host list that discovery sent to a balancer.
type SentList struct {
	View     string        // name of the balancer's view
	SentAt   time.Duration // since the start of the fleet
	Revision uint64
	Phases   map[string]string // phase by host id; hosts that a partial list does not name keep their phases
	Complete bool              // the list names all hosts
}

// Fleet is a set of simulated cache hosts with an origin and a discovery service.
type Fleet struct {
	Origin    *Origin
	Discovery *Discovery
	startTime time.Time

	mu        sync.Mutex
	hosts     []*Host
	missedBy  map[string][]*Host // hosts that missed, by op id; they cache the origin's answer
	pushes    []ReceivedPush
	sentLists []SentList
}

// NewFleet starts an origin of the given capacity and a discovery service; hosts are added by AddHost. The seed determines the
// origin's random behavior. It fails if the capacity is invalid or the origin cannot listen.
func NewFleet(seed uint64, originCapacity Capacity) (*Fleet, error) {
	f := &Fleet{startTime: time.Now(), missedBy: map[string][]*Host{}}
	f.Discovery = &Discovery{fleet: f, revision: 1, history: map[string][]Member{}, changed: make(chan struct{})}
	var err error
	f.Origin, err = newOrigin(f, seed, originCapacity)
	return f, err
}

// Elapsed returns the time since the start of the fleet.
func (f *Fleet) Elapsed() time.Duration { return time.Since(f.startTime) }

// StartTime returns when the fleet was started.
func (f *Fleet) StartTime() time.Time { return f.startTime }

// Hosts returns the cache hosts in the order in which they were added.
func (f *Fleet) Hosts() []*Host {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.hosts)
}

// ReceivedPushes returns all pushes so far, in the order of their arrival.
func (f *Fleet) ReceivedPushes() []ReceivedPush {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.pushes)
}

// SentLists returns all lists so far, in the order in which they were sent.
func (f *Fleet) SentLists() []SentList {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.sentLists)
}

// Close stops all servers.
func (f *Fleet) Close() {
	for _, h := range f.Hosts() {
		h.Kill()
	}
	f.Origin.Stop()
	f.Discovery.close()
}

// recordPush adds a received push.
func (f *Fleet) recordPush(push ReceivedPush) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pushes = append(f.pushes, push)
}

// recordMiss notes that a host missed for an op, so that it caches the origin's answer.
func (f *Fleet) recordMiss(opID string, h *Host) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.missedBy[opID] = append(f.missedBy[opID], h)
}

// fillMissed stores a value in the first two hosts that missed for an op.
func (f *Fleet) fillMissed(opID, key, value string) {
	f.mu.Lock()
	hosts := f.missedBy[opID]
	delete(f.missedBy, opID)
	f.mu.Unlock()
	for _, h := range hosts[:min(len(hosts), 2)] {
		h.putValue(key, value)
	}
}

// invalidate removes a key from the caches of all hosts.
func (f *Fleet) invalidate(key string) {
	for _, h := range f.Hosts() {
		h.removeValue(key)
	}
}

// clientIP returns an address without its port.
func clientIP(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}

// Capacity limits the work of a server.
type Capacity struct {
	ServiceTime time.Duration // mean service time of an op; uniformly distributed between half and one and a half of it
	Slots       int           // ops executed at the same time
	QueueLimit  int           // ops that may wait for a slot; further ones are rejected
}

// validate returns an error if a value is negative or there is no slot.
func (c Capacity) validate() error {
	if c.ServiceTime < 0 || c.Slots < 1 || c.QueueLimit < 0 {
		return fmt.Errorf("capacity: service time %v, slots %d, queue limit %d: want at least 0, 1 and 0",
			c.ServiceTime, c.Slots, c.QueueLimit)
	}
	return nil
}

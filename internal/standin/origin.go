package standin

import (
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// OriginID is the origin's id in lists, received pushes and attempts.
const OriginID = "origin"

// Origin simulates the slow server behind the cache hosts. A key's value consists of the key and the id of the op that last
// wrote it, or "unwritten".
type Origin struct {
	fleet    *Fleet
	capacity Capacity
	server   *http.Server
	address  string

	mu           sync.Mutex
	rng          *rand.Rand
	values       map[string]string // id of the last write by key
	faultMode    FaultMode
	stateChanged chan struct{} // closed and replaced when the fault mode changes
	pending      int           // ops in execution or waiting for a slot
	slots        chan struct{} // holds an element for each op in execution
}

// newOrigin starts an origin and lists it in discovery. It fails if the capacity is invalid or the origin cannot listen.
func newOrigin(f *Fleet, seed uint64, capacity Capacity) (*Origin, error) {
	if err := capacity.validate(); err != nil {
		return nil, fmt.Errorf("origin: %w", err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("origin: %w", err)
	}
	o := &Origin{fleet: f, capacity: capacity, address: l.Addr().String(), rng: rand.New(rand.NewPCG(seed, 2)),
		values: map[string]string{}, stateChanged: make(chan struct{}), slots: make(chan struct{}, capacity.Slots)}
	o.server = &http.Server{Handler: http.HandlerFunc(o.handle)}
	go o.server.Serve(l)
	f.Discovery.SetMember(Member{ID: OriginID, Address: o.address, Phase: InService, Origin: true})
	return o, nil
}

// Address returns the address on which the origin listens.
func (o *Origin) Address() string { return o.address }

// Stop closes the origin and its connections; it cannot be started again.
func (o *Origin) Stop() { o.server.Close() }

// SetFaultMode replaces the fault mode.
func (o *Origin) SetFaultMode(m FaultMode) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.faultMode = m
	close(o.stateChanged)
	o.stateChanged = make(chan struct{})
}

// Value returns the current value of a key.
func (o *Origin) Value(key string) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.value(key)
}

// value is Value for callers that hold the lock.
func (o *Origin) value(key string) string {
	writer := o.values[key]
	if writer == "" {
		writer = "unwritten"
	}
	return key + " " + writer
}

// handle serves an HTTP request: PUT writes the key in the path, all other methods read it.
func (o *Origin) handle(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	attributes, key := r.Header.Get("X-Attrs"), strings.TrimPrefix(r.URL.Path, "/")
	now := o.fleet.Elapsed()
	push := ReceivedPush{Host: OriginID, ClientIP: clientIP(r.RemoteAddr), OpID: r.Header.Get("X-Request-ID"), Key: key,
		Category: attr(attributes, "c"), DedupMark: attr(attributes, "k"), Write: r.Method == http.MethodPut, ReceivedAt: now,
		Deadline: now + timeLeft(attributes)}
	o.mu.Lock()
	full := o.pending >= o.capacity.Slots+o.capacity.QueueLimit
	if !full {
		o.pending++
	}
	serviceTime := time.Duration(float64(o.capacity.ServiceTime) * (0.5 + o.rng.Float64()) * math.Max(o.faultMode.SlowFactor, 1))
	fails, resets := o.rng.Float64() < o.faultMode.ErrorRate, o.rng.Float64() < o.faultMode.ResetRate
	o.mu.Unlock()
	if push.Executed = !full; full {
		o.fleet.recordPush(push)
		w.Header().Set("X-Not-Processed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	o.fleet.recordPush(push)
	defer func() {
		o.mu.Lock()
		o.pending--
		o.mu.Unlock()
	}()
	o.slots <- struct{}{}
	time.Sleep(serviceTime)
	value := o.execute(push)
	<-o.slots
	o.waitWhileHanging()
	switch {
	case resets:
		panic(http.ErrAbortHandler)
	case fails:
		w.WriteHeader(http.StatusInternalServerError)
		return
	case !push.Write && r.Context().Err() == nil:
		o.fillCaches(push, value)
	}
	io.WriteString(w, value)
}

// execute reads or writes the key and returns the answer. A write also removes the cached copies of its key, and takes effect
// before execute returns.
func (o *Origin) execute(push ReceivedPush) (value string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !push.Write {
		return o.value(push.Key)
	}
	o.values[push.Key] = push.OpID
	o.fleet.invalidate(push.Key)
	return "receipt-" + push.OpID
}

// fillCaches stores the value in the hosts that missed it, unless the key has been written since it was read.
func (o *Origin) fillCaches(push ReceivedPush, value string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.value(push.Key) == value {
		o.fleet.fillMissed(push.OpID, push.Key, value)
	}
}

// waitWhileHanging blocks while the fault mode is set to hang.
func (o *Origin) waitWhileHanging() {
	for {
		o.mu.Lock()
		hanging, stateChanged := o.faultMode.Hang, o.stateChanged
		o.mu.Unlock()
		if !hanging {
			return
		}
		<-stateChanged
	}
}

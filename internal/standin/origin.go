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

// OriginID is the origin's name in lists and runs.
const OriginID = "origin"

// Origin is the slow server behind all cache hosts. It holds the value that was last written to each key, which is the id of
// the op that wrote it; a key that was never written has a value of its own name.
type Origin struct {
	fleet   *Fleet
	work    Capacity
	server  *http.Server
	address string

	mu     sync.Mutex
	rng    *rand.Rand
	values map[string]string
	mode   FaultMode
	change chan struct{}
	busy   int // at work, and waiting
	slots  chan struct{}
}

func newOrigin(f *Fleet, seed uint64, work Capacity) (*Origin, error) {
	if err := work.check(); err != nil {
		return nil, fmt.Errorf("origin: %w", err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("origin: %w", err)
	}
	o := &Origin{fleet: f, work: work, address: l.Addr().String(), rng: rand.New(rand.NewPCG(seed, 2)),
		values: map[string]string{}, change: make(chan struct{}), slots: make(chan struct{}, work.Slots)}
	o.server = &http.Server{Handler: http.HandlerFunc(o.handle)}
	go o.server.Serve(l)
	f.Discovery.SetMember(Member{ID: OriginID, Address: o.address, Phase: InService, Origin: true})
	return o, nil
}

// Address is where the origin listens.
func (o *Origin) Address() string { return o.address }

// Stop ends the origin for good.
func (o *Origin) Stop() { o.server.Close() }

// SetFaultMode changes how the origin misbehaves, from now on.
func (o *Origin) SetFaultMode(m FaultMode) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.mode = m
	close(o.change)
	o.change = make(chan struct{})
}

// Value is what a key's readers have to be given now.
func (o *Origin) Value(key string) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.value(key)
}

func (o *Origin) value(key string) string {
	writer := o.values[key]
	if writer == "" {
		writer = "unwritten"
	}
	return key + " " + writer
}

func (o *Origin) handle(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	list, key := r.Header.Get("X-Attrs"), strings.TrimPrefix(r.URL.Path, "/")
	now := o.fleet.Elapsed()
	run := ReceivedPush{Host: OriginID, ClientIP: from(r.RemoteAddr), OpID: r.Header.Get("X-Request-ID"), Key: key, Category: attr(list, "c"),
		DedupMark: attr(list, "k"), Write: r.Method == http.MethodPut, ReceivedAt: now, Deadline: now + waits(list)}
	o.mu.Lock()
	full := o.busy >= o.work.Slots+o.work.QueueLimit
	if !full {
		o.busy++
	}
	takes := time.Duration(float64(o.work.ServiceTime) * (0.5 + o.rng.Float64()) * math.Max(o.mode.SlowFactor, 1))
	fails, resets := o.rng.Float64() < o.mode.ErrorRate, o.rng.Float64() < o.mode.ResetRate
	o.mu.Unlock()
	if run.Executed = !full; full {
		o.fleet.note(run)
		w.Header().Set("X-Not-Processed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	o.fleet.note(run)
	defer func() {
		o.mu.Lock()
		o.busy--
		o.mu.Unlock()
	}()
	o.slots <- struct{}{}
	time.Sleep(takes)
	value := o.carry(run)
	<-o.slots
	o.hang()
	switch {
	case resets:
		panic(http.ErrAbortHandler)
	case fails:
		w.WriteHeader(http.StatusInternalServerError)
		return
	case !run.Write && r.Context().Err() == nil:
		o.keep(run, value)
	}
	io.WriteString(w, value)
}

// carry does what an op asks for. A write has happened once it returns; so it can be told apart from a read's moment.
func (o *Origin) carry(run ReceivedPush) (value string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !run.Write {
		return o.value(run.Key)
	}
	o.values[run.Key] = run.OpID
	o.fleet.void(run.Key)
	return "receipt-" + run.OpID
}

// keep has the hosts that missed keep a value, unless a write has come between.
func (o *Origin) keep(run ReceivedPush, value string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.value(run.Key) == value {
		o.fleet.store(run.OpID, run.Key, value)
	}
}

func (o *Origin) hang() {
	for {
		o.mu.Lock()
		hangs, change := o.mode.Hang, o.change
		o.mu.Unlock()
		if !hangs {
			return
		}
		<-change
	}
}

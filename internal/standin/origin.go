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
	work    Work
	server  *http.Server
	address string

	mu     sync.Mutex
	rng    *rand.Rand
	values map[string]string
	mode   Mode
	change chan struct{}
	busy   int // at work, and waiting
	slots  chan struct{}
}

func newOrigin(f *Fleet, seed uint64, work Work) (*Origin, error) {
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
	f.Discovery.List(Member{ID: OriginID, Address: o.address, Phase: InService, Origin: true})
	return o, nil
}

// Address is where the origin listens.
func (o *Origin) Address() string { return o.address }

// Die ends the origin for good.
func (o *Origin) Die() { o.server.Close() }

// Set changes how the origin misbehaves, from now on.
func (o *Origin) Set(m Mode) {
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
	now := o.fleet.Now()
	run := Run{Host: OriginID, From: from(r.RemoteAddr), ID: r.Header.Get("X-Request-ID"), Key: key, Category: attr(list, "c"),
		Mark: attr(list, "k"), Write: r.Method == http.MethodPut, Came: now, Due: now + waits(list)}
	o.mu.Lock()
	full := o.busy >= o.work.Slots+o.work.Queue
	if !full {
		o.busy++
	}
	takes := time.Duration(float64(o.work.Takes) * (0.5 + o.rng.Float64()) * math.Max(o.mode.Slow, 1))
	fails, resets := o.rng.Float64() < o.mode.Errors, o.rng.Float64() < o.mode.Resets
	o.mu.Unlock()
	if run.Ran = !full; full {
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
func (o *Origin) carry(run Run) (value string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !run.Write {
		return o.value(run.Key)
	}
	o.values[run.Key] = run.ID
	o.fleet.void(run.Key)
	return "receipt-" + run.ID
}

// keep has the hosts that missed keep a value, unless a write has come between.
func (o *Origin) keep(run Run, value string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.value(run.Key) == value {
		o.fleet.store(run.ID, run.Key, value)
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

package scale

import (
	"context"
	"fmt"
	"log/slog"
	"net/netip"
	"sync/atomic"
	"time"

	"larchthread/internal/params"
	"larchthread/internal/routing"
	"larchthread/internal/transport"
)

const (
	hollowSockets  = 256
	hollowMemoryMB = 128
	loggedList     = "list" // message of the line that the router logs for each list with members
	loggedRevision = "revision"
)

// hollow is a balancer without clients: the real loop, router, module and watch on discovery, in a goroutine of this process.
// It does not listen.
type hollow struct {
	loop     *transport.Loop
	lists    *listLog
	stopping atomic.Bool
	ended    chan error
}

// startHollow starts a hollow balancer that knows no host yet.
func startHollow(name string, discovery netip.AddrPort, seed uint64, p params.Params) (*hollow, error) {
	h := &hollow{lists: &listLog{}, ended: make(chan error, 1)}
	log := slog.New(h.lists)
	var err error
	if h.loop, err = transport.NewLoop(hollowSockets, hollowMemoryMB<<20, log); err != nil {
		return nil, err
	}
	startFile := &params.StartFile{Name: name, Discovery: discovery, Seed: seed, MemoryMB: hollowMemoryMB, Sockets: hollowSockets, Params: p}
	if _, err = routing.New(h.loop, log, startFile, false); err != nil {
		h.loop.Close()
		return nil, err
	}
	round := h.loop.OnRoundStart
	h.loop.OnRoundStart = func(now float64) {
		round(now)
		if h.stopping.Load() {
			h.loop.Quit()
		}
	}
	go func() { h.ended <- h.loop.Run() }()
	return h, nil
}

// stop ends the balancer and closes its sockets.
func (h *hollow) stop() error {
	h.stopping.Store(true)
	h.loop.Wake()
	err := <-h.ended
	h.loop.Close()
	return err
}

// listLog is a log handler that notes which list a router has taken last, and when.
type listLog struct {
	revision atomic.Uint64
	taken    atomic.Int64 // Unix ns
}

// Enabled implements slog.Handler, as do the methods below.
func (l *listLog) Enabled(_ context.Context, level slog.Level) bool { return level >= slog.LevelInfo }

func (l *listLog) Handle(_ context.Context, r slog.Record) error {
	if r.Message != loggedList {
		return nil
	}
	r.Attrs(func(a slog.Attr) bool {
		if a.Key == loggedRevision {
			l.taken.Store(time.Now().UnixNano())
			l.revision.Store(a.Value.Uint64())
		}
		return true
	})
	return nil
}

func (l *listLog) WithAttrs([]slog.Attr) slog.Handler { return l }
func (l *listLog) WithGroup(string) slog.Handler      { return l }

// awaitRevision waits until all balancers have taken a list, and returns when the last of them had it.
func awaitRevision(all []*hollow, revision uint64, limit time.Duration) (time.Time, error) {
	var last int64
	for end := time.Now().Add(limit); ; time.Sleep(5 * time.Millisecond) {
		missing := 0
		last = 0
		for _, h := range all {
			last = max(last, h.lists.taken.Load())
			if h.lists.revision.Load() < revision {
				missing++
			}
		}
		switch {
		case missing == 0:
			return time.Unix(0, last), nil
		case time.Now().After(end):
			return time.Time{}, fmt.Errorf("%d of %d balancers have no list %d after %v", missing, len(all), revision, limit)
		}
	}
}

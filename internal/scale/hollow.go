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
	hollowSocketLimit = 256
	hollowMemoryMB    = 128
	listLogMessage    = "list" // message that the router logs for each list with members
	revisionLogKey    = "revision"
)

// hollowBalancer is a balancer that accepts no clients: it runs the real event loop, router, balancer module and host list
// watch in a goroutine of this process.
type hollowBalancer struct {
	loop       *transport.Loop
	logHandler *listLogHandler
	stopping   atomic.Bool
	done       chan error
}

// startHollowBalancer starts a hollow balancer with an empty host list. It returns an error if the event loop or the router
// cannot be created.
func startHollowBalancer(name string, discovery netip.AddrPort, seed uint64, p params.Params) (*hollowBalancer, error) {
	h := &hollowBalancer{logHandler: &listLogHandler{}, done: make(chan error, 1)}
	log := slog.New(h.logHandler)
	var err error
	if h.loop, err = transport.NewLoop(hollowSocketLimit, hollowMemoryMB<<20, log); err != nil {
		return nil, err
	}
	startFile := &params.StartFile{Name: name, Discovery: discovery, Seed: seed, MemoryMB: hollowMemoryMB,
		Sockets: hollowSocketLimit, Params: p}
	if _, err = routing.New(h.loop, log, startFile, false); err != nil {
		h.loop.Close()
		return nil, err
	}
	onRoundStart := h.loop.OnRoundStart
	h.loop.OnRoundStart = func(now float64) {
		onRoundStart(now)
		if h.stopping.Load() {
			h.loop.Quit()
		}
	}
	go func() { h.done <- h.loop.Run() }()
	return h, nil
}

// stop stops the balancer, closes its sockets and returns the error with which its event loop ended.
func (h *hollowBalancer) stop() error {
	h.stopping.Store(true)
	h.loop.Wake()
	err := <-h.done
	h.loop.Close()
	return err
}

// listLogHandler is a log handler that records the revision of the last list that a router has received, and the time.
type listLogHandler struct {
	revision   atomic.Uint64
	receivedAt atomic.Int64 // Unix time in nanoseconds
}

// Enabled implements slog.Handler, as do the methods below.
func (l *listLogHandler) Enabled(_ context.Context, level slog.Level) bool {
	return level >= slog.LevelInfo
}

// Handle records list messages and ignores all others.
func (l *listLogHandler) Handle(_ context.Context, r slog.Record) error {
	if r.Message != listLogMessage {
		return nil
	}
	r.Attrs(func(a slog.Attr) bool {
		if a.Key == revisionLogKey {
			l.receivedAt.Store(time.Now().UnixNano())
			l.revision.Store(a.Value.Uint64())
		}
		return true
	})
	return nil
}

func (l *listLogHandler) WithAttrs([]slog.Attr) slog.Handler { return l }
func (l *listLogHandler) WithGroup(string) slog.Handler      { return l }

// awaitRevision waits until all balancers have received the given list revision, and returns when the last of them received
// its list. It returns an error if that takes longer than timeout.
func awaitRevision(balancers []*hollowBalancer, revision uint64, timeout time.Duration) (time.Time, error) {
	var lastReceivedAt int64
	for deadline := time.Now().Add(timeout); ; time.Sleep(5 * time.Millisecond) {
		missing := 0
		lastReceivedAt = 0
		for _, h := range balancers {
			lastReceivedAt = max(lastReceivedAt, h.logHandler.receivedAt.Load())
			if h.logHandler.revision.Load() < revision {
				missing++
			}
		}
		switch {
		case missing == 0:
			return time.Unix(0, lastReceivedAt), nil
		case time.Now().After(deadline):
			return time.Time{}, fmt.Errorf("%d of %d balancers have not received list revision %d after %v",
				missing, len(balancers), revision, timeout)
		}
	}
}

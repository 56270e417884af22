package feednet

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"larchthread/internal/feed"
)

// waitLimit is for conditions that come true in a fraction of it, also on a busy machine.
const waitLimit = 60 * time.Second

const (
	testSettings feed.Kind = iota
	testPurges
)

// waitFor waits until a condition holds.
func waitFor(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(waitLimit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatalf("never came: %s", what)
}

// testConfig is a node's configuration.
func testConfig(role feed.Role, id string, parents ...string) feed.Config {
	config := feed.Config{
		Cluster: "test", ID: id, Role: role, Parents: parents, Seed: uint64(len(id)) + 1,
		Kinds: []feed.KindConfig{
			{Name: "settings", Stateful: true, Window: 100, MaxValue: 100},
			{Name: "purges", Window: 1000},
		},
		BatchEvery: 20 * time.Millisecond,
	}
	if role == feed.Publisher {
		config.Epoch = 1
	}
	return config
}

// follower notes what a server's events bring.
type follower struct {
	mu      sync.Mutex
	changes map[string]int // how often a change came, by its key and value
	fresh   bool
}

func newFollower() *follower {
	return &follower{changes: make(map[string]int)}
}

func (f *follower) onEvent(event feed.Event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch event := event.(type) {
	case feed.Applied:
		f.changes[describe(event.Change.Key, event.Change.Value)]++
	case feed.AppliedSnapshot:
		for _, change := range event.Changes {
			f.changes[describe(change.Key, change.Value)]++
		}
	case feed.Fresh:
		f.fresh = true
	case feed.Stale:
		f.fresh = false
	}
}

func describe(key, value []byte) string {
	return fmt.Sprintf("%s=%s", key, value)
}

// times is how often a change came.
func (f *follower) times(key, value string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changes[describe([]byte(key), []byte(value))]
}

// isFresh tells whether the last word was that knowledge is fresh.
func (f *follower) isFresh() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fresh
}

// startServer starts a server and closes it at the test's end.
func startServer(t *testing.T, options Options) *Server {
	t.Helper()
	if options.Feed.Role != feed.Subscriber && options.Listen == "" {
		options.Listen = "127.0.0.1:0"
	}
	server, err := Start(options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { server.Close() })
	return server
}

func startPublisher(t *testing.T) *Server {
	t.Helper()
	return startServer(t, Options{Feed: testConfig(feed.Publisher, "publisher"), Directory: t.TempDir()})
}

// startFollower starts a subscriber, and waits until it is up to date.
func startFollower(t *testing.T, id string, parents ...string) *follower {
	t.Helper()
	f := newFollower()
	startServer(t, Options{Feed: testConfig(feed.Subscriber, id, parents...), OnEvent: f.onEvent})
	waitFor(t, id+" is fresh", f.isFresh)
	return f
}

func publish(t *testing.T, server *Server, kind feed.Kind, key, value string) feed.Position {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	position, err := server.Publish(ctx, kind, []byte(key), []byte(value))
	if err != nil {
		t.Fatal(err)
	}
	return position
}

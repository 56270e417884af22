package feednet

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"larchthread/internal/feed"
)

// waitTimeout bounds the wait for a condition, with a wide margin for busy machines.
const waitTimeout = 60 * time.Second

const (
	testSettings feed.Kind = iota
	testPurges
)

// waitFor waits until holds returns true, and fails the test after waitTimeout.
func waitFor(t *testing.T, condition string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatalf("timed out waiting for: %s", condition)
}

// testConfig returns a node's configuration.
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

// testSubscriber records the events of a subscriber's server.
type testSubscriber struct {
	mu      sync.Mutex
	changes map[string]int // number of deliveries, by key and value
	fresh   bool
}

func newTestSubscriber() *testSubscriber {
	return &testSubscriber{changes: make(map[string]int)}
}

func (s *testSubscriber) onEvent(event feed.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch event := event.(type) {
	case feed.Applied:
		s.changes[changeText(event.Change.Key, event.Change.Value)]++
	case feed.AppliedSnapshot:
		for _, change := range event.Changes {
			s.changes[changeText(change.Key, change.Value)]++
		}
	case feed.Fresh:
		s.fresh = true
	case feed.Stale:
		s.fresh = false
	}
}

func changeText(key, value []byte) string {
	return fmt.Sprintf("%s=%s", key, value)
}

// deliveries returns how often a change was delivered.
func (s *testSubscriber) deliveries(key, value string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changes[changeText([]byte(key), []byte(value))]
}

// isFresh reports whether the latest freshness event was feed.Fresh.
func (s *testSubscriber) isFresh() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fresh
}

// startServer starts a server that is closed at the end of the test.
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

// startSubscriber starts a subscriber and waits until it is fresh.
func startSubscriber(t *testing.T, id string, parents ...string) *testSubscriber {
	t.Helper()
	s := newTestSubscriber()
	startServer(t, Options{Feed: testConfig(feed.Subscriber, id, parents...), OnEvent: s.onEvent})
	waitFor(t, id+" to be fresh", s.isFresh)
	return s
}

func publish(t *testing.T, server *Server, kind feed.Kind, key, value string) feed.Position {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	position, err := server.Publish(ctx, kind, []byte(key), []byte(value))
	if err != nil {
		t.Fatal(err)
	}
	return position
}

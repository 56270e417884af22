package feednet

import (
	"context"
	"errors"
	"fmt"
	"net"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"larchthread/internal/feed"
)

// Changes must reach a subscriber over a relay exactly once. A subscriber that joins later must receive the settings.
func TestPublishToSubscribers(t *testing.T) {
	publisher := startPublisher(t)
	relay := startServer(t, Options{Feed: testConfig(feed.Relay, "relay", publisher.Address())})
	early := startSubscriber(t, "early", relay.Address())
	const changes = 20
	for n := range changes {
		if got, want := publish(t, publisher, testSettings, fmt.Sprint("key", n), "v"), uint64(n+1); got.Sequence != want {
			t.Fatalf("position %v, want %d", got, want)
		}
		publish(t, publisher, testPurges, fmt.Sprintf("object%02d", n), "")
	}
	late := startSubscriber(t, "late", relay.Address())
	for n := range changes {
		key, object := fmt.Sprint("key", n), fmt.Sprintf("object%02d", n)
		waitFor(t, "a change", func() bool { return early.deliveries(key, "v") > 0 && early.deliveries(object, "") > 0 })
		waitFor(t, "a setting at the late subscriber", func() bool { return late.deliveries(key, "v") > 0 })
		if early.deliveries(key, "v") != 1 || early.deliveries(object, "") != 1 || late.deliveries(key, "v") != 1 {
			t.Errorf("change %d was delivered more than once", n)
		}
	}
	waitFor(t, "the relay's status", func() bool {
		status := relay.Status()
		return status.Connected && status.Children == 2 && status.Positions[testPurges].Sequence == changes
	})
}

// Concurrent publishes must get distinct positions, and all changes must be on disk.
func TestConcurrentPublish(t *testing.T) {
	options := Options{Feed: testConfig(feed.Publisher, "publisher"), Directory: t.TempDir(), Listen: "127.0.0.1:0"}
	publisher := startServer(t, options)
	const publishers, each = 8, 50
	var mu sync.Mutex
	positions := make(map[feed.Position]string)
	var all sync.WaitGroup
	for p := range publishers {
		all.Go(func() {
			for n := range each {
				key := fmt.Sprintf("object-%d-%d", p, n)
				position, err := publisher.Publish(context.Background(), testPurges, []byte(key), nil)
				if err != nil {
					t.Error(err)
					return
				}
				mu.Lock()
				positions[position] = key
				mu.Unlock()
			}
		})
	}
	all.Wait()
	if err := publisher.Close(); err != nil {
		t.Fatal(err)
	}
	log, changes, err := openChangeLog(publisher.options.files, options.Directory, newLogHeader(options.Feed), publisher.log)
	if err != nil {
		t.Fatal(err)
	}
	defer log.close()
	if len(positions) != publishers*each || len(changes) != publishers*each {
		t.Fatalf("%d positions, %d changes on disk, want %d", len(positions), len(changes), publishers*each)
	}
	for _, change := range changes {
		if positions[change.Position] != string(change.Key) {
			t.Errorf("%v on disk: %q, acknowledged: %q", change.Position, change.Key, positions[change.Position])
		}
	}
}

// The log must be compacted as it grows, and a restarted publisher must continue from it.
func TestCompactionAndRestart(t *testing.T) {
	options := Options{Feed: testConfig(feed.Publisher, "publisher"), Directory: t.TempDir(), Listen: "127.0.0.1:0"}
	publisher := startServer(t, options)
	value := strings.Repeat("v", 100)
	const rounds = 60000 / 200
	var last feed.Position
	for range rounds {
		var all sync.WaitGroup
		for n := range 200 {
			all.Go(func() { publish(t, publisher, testSettings, fmt.Sprint("key", n%10), value) })
		}
		all.Wait()
		last = publish(t, publisher, testPurges, "object-1", "")
	}
	if err := publisher.Close(); err != nil {
		t.Fatal(err)
	}
	log, changes, err := openChangeLog(publisher.options.files, options.Directory, newLogHeader(options.Feed), publisher.log)
	if err != nil {
		t.Fatal(err)
	}
	log.close()
	if len(changes) >= rounds*201 {
		t.Errorf("%d changes on disk: the log was not compacted", len(changes))
	}
	restarted := startServer(t, options)
	late := startSubscriber(t, "late", restarted.Address())
	waitFor(t, "the settings", func() bool { return late.deliveries("key0", value) == 1 && late.deliveries("key9", value) == 1 })
	if next := publish(t, restarted, testPurges, "object-2", ""); next.Sequence != last.Sequence+1 {
		t.Errorf("position after the restart: %v, want the successor of %v", next, last)
	}
}

func TestInvalidOptions(t *testing.T) {
	for _, c := range []struct {
		field   string
		options Options
	}{
		{"Directory", Options{Feed: testConfig(feed.Publisher, "x"), Listen: "127.0.0.1:0"}},
		{"Directory", Options{Feed: testConfig(feed.Relay, "x", "127.0.0.1:1"), Listen: "127.0.0.1:0", Directory: "x"}},
		{"Listen", Options{Feed: testConfig(feed.Relay, "x", "127.0.0.1:1")}},
		{"Listen", Options{Feed: testConfig(feed.Subscriber, "x", "127.0.0.1:1"), Listen: "127.0.0.1:0"}},
	} {
		_, err := Start(c.options)
		if optionErr := (*OptionError)(nil); !errors.As(err, &optionErr) || optionErr.Field != c.field {
			t.Errorf("want an error for %s, got %v", c.field, err)
		}
	}
	_, err := Start(Options{Feed: testConfig(feed.Subscriber, "x")})
	if configErr := (*feed.ConfigError)(nil); !errors.As(err, &configErr) {
		t.Errorf("without parents: %v", err)
	}
}

// Start must release the directory's lock if the listening address is in use.
func TestStartOnTakenAddress(t *testing.T) {
	first := startPublisher(t)
	options := Options{Feed: testConfig(feed.Publisher, "publisher"), Directory: t.TempDir(), Listen: first.Address()}
	if _, err := Start(options); err == nil {
		t.Fatal("two servers listen on one address")
	}
	options.Listen = "127.0.0.1:0"
	startServer(t, options)
}

// Calls on a closed server must return, and none of its goroutines may remain.
func TestClose(t *testing.T) {
	before := runtime.NumGoroutine()
	publisher, err := Start(Options{Feed: testConfig(feed.Publisher, "publisher"), Directory: t.TempDir(), Listen: "127.0.0.1:0"})
	if err != nil {
		t.Fatal(err)
	}
	events := newTestSubscriber()
	subscriber, err := Start(Options{Feed: testConfig(feed.Subscriber, "f", publisher.Address()), OnEvent: events.onEvent})
	if err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the subscriber to be fresh", events.isFresh)
	silent, err := net.Dial("tcp", publisher.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	if err := errors.Join(publisher.Close(), subscriber.Close(), publisher.Close()); err != nil {
		t.Fatal(err)
	}
	if _, err := publisher.Publish(context.Background(), testPurges, []byte("object-1"), nil); !errors.Is(err, ErrClosed) {
		t.Errorf("Publish after Close: %v", err)
	}
	if status := publisher.Status(); status.Role != 0 {
		t.Errorf("Status after Close: %v", status)
	}
	waitFor(t, "goroutines to end", func() bool { return runtime.NumGoroutine() <= before })
}

// memoryTestSubscribers is the number of subscribers in TestSubscriberIsSmall.
const memoryTestSubscribers = 300

// A subscriber, with its connection at the relay, must take at most 64 KiB of heap and stacks, and three goroutines besides
// the relay's reader.
func TestSubscriberIsSmall(t *testing.T) {
	publisher := startPublisher(t)
	relay := startServer(t, Options{Feed: testConfig(feed.Relay, "relay", publisher.Address())})
	publish(t, publisher, testSettings, "key", "value")
	memory, goroutines := memoryInUse(), runtime.NumGoroutine()
	var subscribers []*testSubscriber
	for n := range memoryTestSubscribers {
		subscriber := newTestSubscriber()
		subscribers = append(subscribers, subscriber)
		startServer(t, Options{Feed: testConfig(feed.Subscriber, fmt.Sprint("s", n), relay.Address()), OnEvent: subscriber.onEvent})
	}
	for _, subscriber := range subscribers {
		waitFor(t, "the setting", func() bool { return subscriber.deliveries("key", "value") == 1 })
	}
	const atRelay, atSubscriber = 1, 3
	waitFor(t, "the goroutine count to drop", func() bool {
		return runtime.NumGoroutine()-goroutines <= memoryTestSubscribers*(atSubscriber+atRelay)
	})
	each := (memoryInUse() - memory) / memoryTestSubscribers
	t.Logf("%d bytes per subscriber, %d goroutines in total", each, runtime.NumGoroutine()-goroutines)
	if each > 64<<10 {
		t.Errorf("a subscriber takes %d bytes", each)
	}
	runtime.KeepAlive(subscribers)
}

// memoryInUse returns the bytes of heap and stacks in use, after a garbage collection.
func memoryInUse() int {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int(stats.HeapAlloc + stats.StackInuse)
}

// A node of another cluster must be refused.
func TestOtherClusterIsRefused(t *testing.T) {
	publisher := startPublisher(t)
	config := testConfig(feed.Subscriber, "stranger", publisher.Address())
	config.Cluster = "other"
	refused := startServer(t, Options{Feed: config})
	waitFor(t, "a refusal", func() bool { return publisher.Status().Counters.Refused > 0 })
	if status := refused.Status(); status.Connected || status.Age != feed.AgeUnknown {
		t.Errorf("the refused subscriber: %+v", status)
	}
}

// A subscriber must retry until its parent is reachable, using Options.Dial.
func TestParentInitiallyUnavailable(t *testing.T) {
	publisher := startPublisher(t)
	var mu sync.Mutex
	up, dials := false, 0
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		mu.Lock()
		defer mu.Unlock()
		if dials++; !up {
			return nil, errors.New("not reachable yet")
		}
		return net.Dial("tcp", address)
	}
	subscriber := newTestSubscriber()
	startServer(t, Options{Feed: testConfig(feed.Subscriber, "f", publisher.Address()), OnEvent: subscriber.onEvent, Dial: dial})
	waitFor(t, "three attempts", func() bool {
		mu.Lock()
		defer mu.Unlock()
		up = dials >= 3
		return up
	})
	waitFor(t, "the subscriber to be fresh", subscriber.isFresh)
}

// A connection attempt that exceeds the dial timeout must be abandoned and retried.
func TestDialTimeout(t *testing.T) {
	publisher := startPublisher(t)
	var mu sync.Mutex
	dials := 0
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		mu.Lock()
		dials++
		first := dials == 1
		mu.Unlock()
		if first {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return net.Dial("tcp", address)
	}
	config := testConfig(feed.Subscriber, "f", publisher.Address())
	config.DialTimeout = 50 * time.Millisecond
	subscriber := newTestSubscriber()
	startServer(t, Options{Feed: config, OnEvent: subscriber.onEvent, Dial: dial})
	waitFor(t, "the subscriber to be fresh", subscriber.isFresh)
}

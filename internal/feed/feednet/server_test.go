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

// Changes go from the publisher over a relay to a subscriber, each once. One that comes later gets the settings.
func TestPublishToSubscribers(t *testing.T) {
	publisher := startPublisher(t)
	relay := startServer(t, Options{Feed: testConfig(feed.Relay, "relay", publisher.Address())})
	early := startFollower(t, "early", relay.Address())
	const changes = 20
	for n := range changes {
		if got, want := publish(t, publisher, testSettings, fmt.Sprint("key", n), "v"), uint64(n+1); got.Sequence != want {
			t.Fatalf("position %v, want %d", got, want)
		}
		publish(t, publisher, testPurges, fmt.Sprintf("object%02d", n), "")
	}
	late := startFollower(t, "late", relay.Address())
	for n := range changes {
		key, object := fmt.Sprint("key", n), fmt.Sprintf("object%02d", n)
		waitFor(t, "a change", func() bool { return early.times(key, "v") > 0 && early.times(object, "") > 0 })
		waitFor(t, "a setting at the late one", func() bool { return late.times(key, "v") > 0 })
		if early.times(key, "v") != 1 || early.times(object, "") != 1 || late.times(key, "v") != 1 {
			t.Errorf("change %d came more than once", n)
		}
	}
	waitFor(t, "the relay's status", func() bool {
		status := relay.Status()
		return status.Connected && status.Children == 2 && status.Positions[testPurges].Sequence == changes
	})
}

// Many publish at once: each gets a position of its own, and all are on disk.
func TestPublishAtOnce(t *testing.T) {
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

// The log is compacted as it grows, and a publisher that is started again goes on from it.
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
		t.Errorf("%d changes on disk: it was not compacted", len(changes))
	}
	again := startServer(t, options)
	late := startFollower(t, "late", again.Address())
	waitFor(t, "the settings", func() bool { return late.times("key0", value) == 1 && late.times("key9", value) == 1 })
	if next := publish(t, again, testPurges, "object-2", ""); next.Sequence != last.Sequence+1 {
		t.Errorf("after the restart: %v, want the one after %v", next, last)
	}
}

func TestOptionsThatDoNotFit(t *testing.T) {
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
		if wrong := (*OptionError)(nil); !errors.As(err, &wrong) || wrong.Field != c.field {
			t.Errorf("want a fault of %s, have %v", c.field, err)
		}
	}
	_, err := Start(Options{Feed: testConfig(feed.Subscriber, "x")})
	if wrong := (*feed.ConfigError)(nil); !errors.As(err, &wrong) {
		t.Errorf("without parents: %v", err)
	}
}

// Start leaves a directory free for the next one where the address is taken.
func TestStartOnTakenAddress(t *testing.T) {
	first := startPublisher(t)
	options := Options{Feed: testConfig(feed.Publisher, "publisher"), Directory: t.TempDir(), Listen: first.Address()}
	if _, err := Start(options); err == nil {
		t.Fatal("two servers at one address")
	}
	options.Listen = "127.0.0.1:0"
	startServer(t, options)
}

// A closed server's calls return, and nothing of it goes on.
func TestClose(t *testing.T) {
	before := runtime.NumGoroutine()
	publisher, err := Start(Options{Feed: testConfig(feed.Publisher, "publisher"), Directory: t.TempDir(), Listen: "127.0.0.1:0"})
	if err != nil {
		t.Fatal(err)
	}
	f := newFollower()
	subscriber, err := Start(Options{Feed: testConfig(feed.Subscriber, "f", publisher.Address()), OnEvent: f.onEvent})
	if err != nil {
		t.Fatal(err)
	}
	waitFor(t, "it is fresh", f.isFresh)
	silent, err := net.Dial("tcp", publisher.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	if err := errors.Join(publisher.Close(), subscriber.Close(), publisher.Close()); err != nil {
		t.Fatal(err)
	}
	if _, err := publisher.Publish(context.Background(), testPurges, []byte("object-1"), nil); !errors.Is(err, ErrClosed) {
		t.Errorf("publish after the end: %v", err)
	}
	if status := publisher.Status(); status.Role != 0 {
		t.Errorf("status after the end: %v", status)
	}
	waitFor(t, "no goroutine is left", func() bool { return runtime.NumGoroutine() <= before })
}

// subscribers is how many a memory test has in one process.
const subscribers = 300

// A subscriber, with its connection at the relay, takes less than 64 KB of heap and stacks, and at most three goroutines
// besides the relay's reader.
func TestSubscriberIsSmall(t *testing.T) {
	publisher := startPublisher(t)
	relay := startServer(t, Options{Feed: testConfig(feed.Relay, "relay", publisher.Address())})
	publish(t, publisher, testSettings, "key", "value")
	memory, goroutines := memoryInUse(), runtime.NumGoroutine()
	var followers []*follower
	for n := range subscribers {
		f := newFollower()
		followers = append(followers, f)
		startServer(t, Options{Feed: testConfig(feed.Subscriber, fmt.Sprint("s", n), relay.Address()), OnEvent: f.onEvent})
	}
	for _, f := range followers {
		waitFor(t, "the setting", func() bool { return f.times("key", "value") == 1 })
	}
	const atRelay, atSubscriber = 1, 3
	waitFor(t, "few goroutines", func() bool {
		return runtime.NumGoroutine()-goroutines <= subscribers*(atSubscriber+atRelay)
	})
	each := (memoryInUse() - memory) / subscribers
	t.Logf("%d bytes a subscriber, %d goroutines over all", each, runtime.NumGoroutine()-goroutines)
	if each > 64<<10 {
		t.Errorf("a subscriber takes %d bytes", each)
	}
	runtime.KeepAlive(followers)
}

// memoryInUse is the bytes of heap and stacks.
func memoryInUse() int {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int(stats.HeapAlloc + stats.StackInuse)
}

// A node of another cluster is refused.
func TestOtherClusterIsRefused(t *testing.T) {
	publisher := startPublisher(t)
	config := testConfig(feed.Subscriber, "stranger", publisher.Address())
	config.Cluster = "other"
	stranger := startServer(t, Options{Feed: config})
	waitFor(t, "a refusal", func() bool { return publisher.Status().Counters.Refused > 0 })
	if status := stranger.Status(); status.Connected || status.Age != feed.AgeUnknown {
		t.Errorf("the stranger: %+v", status)
	}
}

// A subscriber comes to its parent once that is there, over whatever way it is told to dial.
func TestParentComesLater(t *testing.T) {
	publisher := startPublisher(t)
	var mu sync.Mutex
	up, dials := false, 0
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		mu.Lock()
		defer mu.Unlock()
		if dials++; !up {
			return nil, errors.New("not there yet")
		}
		return net.Dial("tcp", address)
	}
	f := newFollower()
	startServer(t, Options{Feed: testConfig(feed.Subscriber, "f", publisher.Address()), OnEvent: f.onEvent, Dial: dial})
	waitFor(t, "three attempts", func() bool {
		mu.Lock()
		defer mu.Unlock()
		up = dials >= 3
		return up
	})
	waitFor(t, "it is fresh", f.isFresh)
}

// An attempt to connect that takes too long is given up.
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
	f := newFollower()
	startServer(t, Options{Feed: config, OnEvent: f.onEvent, Dial: dial})
	waitFor(t, "it is fresh", f.isFresh)
}

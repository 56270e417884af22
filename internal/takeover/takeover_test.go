package takeover

import (
	"bytes"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"larchthread/balance"
	"larchthread/internal/params"
	"larchthread/internal/protocol"
	"larchthread/internal/routing"
	"larchthread/internal/standin"
	"larchthread/internal/transport"
)

const (
	testTimeout = 8 * time.Second // far more than a hand-over takes
	longAgo     = 1.7e12          // ms, Unix time
	farFuture   = 4e12            // ms, Unix time
)

// lockedBuffer is a buffer for log output that several goroutines use.
type lockedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// process is a balancer that can be replaced, on a loop of its own within the test.
type process struct {
	loop   *transport.Loop
	router *routing.Router
	log    *lockedBuffer
	done   chan error

	takeover *Takeover // once it has started
}

// newProcess makes a balancer that does not serve yet.
func newProcess(t *testing.T, startFile *params.StartFile) *process {
	p := &process{log: &lockedBuffer{}, done: make(chan error, 1)}
	log := slog.New(slog.NewTextHandler(p.log, nil))
	var err error
	if p.loop, err = transport.NewLoop(startFile.Sockets, int(startFile.MemoryMB)<<20, log); err != nil {
		t.Fatal(err)
	}
	if p.router, err = routing.New(p.loop, log, startFile, true); err != nil {
		t.Fatal(err)
	}
	return p
}

// start listens, or takes over, and runs the loop in a goroutine.
func (p *process) start(t *testing.T, startFile *params.StartFile, dir string) {
	var err error
	if p.takeover, err = Start(p.loop, p.loop.Log, p.router, startFile.Listen, dir, func(int) {}); err != nil {
		t.Fatal(err)
	}
	go func() { p.done <- p.loop.Run() }()
}

// await waits until the log contains a text.
func (p *process) await(t *testing.T, text string) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !strings.Contains(p.log.String(), text); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not in the log: %s\n%.4000s", text, p.log)
		}
	}
}

// stop shuts the process down.
func (p *process) stop(t *testing.T) {
	t.Helper()
	p.router.Shutdown()
	select {
	case err := <-p.done:
		if err != nil {
			t.Fatal(err)
		}
	case <-time.After(testTimeout):
		t.Fatal("the process does not end")
	}
}

// newStartFile makes a start file with a free address and that many categories.
func newStartFile(t *testing.T, categories int) *params.StartFile {
	listen, err := standin.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	var rows []map[string]any
	for i := range categories {
		rows = append(rows, map[string]any{"name": fmt.Sprint("category", i), "targetLatencyUs": 1e5 + i, "repeat": "retryable"})
	}
	text, err := json.Marshal(map[string]any{"categories": rows, "groupSize": 1, "discovery": "on_request",
		"limits": map[string]any{"mostPushes": 3}})
	if err != nil {
		t.Fatal(err)
	}
	startFile := &params.StartFile{Listen: listen, MemoryMB: 192, Sockets: 1024}
	if startFile.Params, err = params.Parse(text); err != nil {
		t.Fatal(err)
	}
	return startFile
}

// fleetState is what a process knows of a fleet.
type fleetState struct {
	list    *protocol.HostList
	banned  []string
	learned balance.Learned
}

// newFleetState makes a fleet in which every second host is banned and something was learned of every host and
// category. Names end in suffix.
func newFleetState(startFile *params.StartFile, hosts int, suffix string) fleetState {
	s := fleetState{list: &protocol.HostList{Revision: 7, Complete: true}}
	s.learned = balance.Learned{Rate: 0.123456789, Usual: 1.23456789,
		Fleet: balance.LimiterState{Limit: 1234.56789, Pain: 0.123456789, Lat: 12.3456789, Dev: 1.23456789},
		Hosts: map[string]balance.HostState{}}
	for i, c := range startFile.Params.Categories {
		s.learned.Rows = append(s.learned.Rows, balance.CategoryState{Target: c.Target / 1000, Lat: 10 + float64(i)/7,
			Dev: 1 + float64(i)/7})
	}
	for i := range hosts {
		id := fmt.Sprintf("cache-%05d%s", i, suffix)
		upSince := longAgo + float64(i)/7
		s.list.Members = append(s.list.Members, protocol.Member{ID: id, Size: 1, Phase: protocol.InService, UpSince: upSince,
			Address:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(i >> 8), byte(i)}), 11211),
			Locality: "zone" + suffix, Flavor: "box" + suffix})
		s.learned.Hosts[id] = balance.HostState{UpSince: upSince, Slow: 1.23456789, Fail: 0.123456789, Rest: 1234.56789,
			RestUntil: farFuture + float64(i)/7, Budget: 3, Budgeted: longAgo + float64(i)/7}
		if i%2 == 1 {
			s.banned = append(s.banned, id)
		}
	}
	return s
}

// Guards against messages that are too long for a socket: a successor has to know all hosts, bans and categories of the
// running process, whatever their number and the length of their names.
func TestHandOverOfManyHosts(t *testing.T) {
	for _, c := range []struct {
		name              string
		hosts, categories int
		suffix            string
	}{
		{"2,048 hosts, 1,024 bans, 1,024 categories", 2048, 1024, ""},
		{"2,048 hosts with names of 128 bytes", 2048, 1, strings.Repeat("-long", 23) + "-"},
		{"4,096 categories", 4, 4096, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			dir, startFile := t.TempDir(), newStartFile(t, c.categories)
			state := newFleetState(startFile, c.hosts, c.suffix)
			running, next := newProcess(t, startFile), newProcess(t, startFile)
			running.router.AdoptHostState(state.list, nil, state.banned, []balance.Learned{state.learned})
			running.start(t, startFile, dir)
			running.await(t, "listening")
			began := time.Now()
			next.start(t, startFile, dir)
			running.await(t, "handed over")
			t.Logf("handed over in %v", time.Since(began).Round(time.Millisecond))
			running.stop(t)
			next.stop(t)
			if text := running.log.String() + next.log.String(); strings.Contains(text, "level=WARN") {
				t.Errorf("warnings:\n%.4000s", text)
			}
			list, _, banned := next.router.KnownHosts()
			if len(list.Members) != c.hosts || len(banned) != len(state.banned) {
				t.Errorf("%d hosts and %d bans, want %d and %d", len(list.Members), len(banned), c.hosts, len(state.banned))
			}
			checkLearned(t, state, next.router.Learned())
		})
	}
}

// checkLearned compares what was learned of categories and of hosts without a ban; a ban discards it.
func checkLearned(t *testing.T, want fleetState, got balance.Learned) {
	t.Helper()
	wrong := 0
	for i, r := range want.learned.Rows {
		if i >= len(got.Rows) || got.Rows[i] != r {
			wrong++
		}
	}
	if wrong > 0 {
		t.Errorf("%d of %d categories lack what was learned of them", wrong, len(want.learned.Rows))
	}
	wrong = 0
	for i, m := range want.list.Members {
		if i%2 == 0 && got.Hosts[m.ID].RestUntil != want.learned.Hosts[m.ID].RestUntil {
			wrong++
		}
	}
	if wrong > 0 {
		t.Errorf("%d of %d hosts lack what was learned of them", wrong, len(want.list.Members)/2)
	}
}

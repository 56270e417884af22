package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

const (
	orderKeys       = 4
	orderClients    = 5                      // for each key
	orderWork       = 80                     // ms
	orderEvery      = 450 * time.Millisecond // in the mean
	orderFor        = 24 * time.Second
	orderUpgrade    = 5 * time.Second // between two upgrades
	orderTimes      = 3
	orderKillBehind = 3700 * time.Millisecond // SIGKILL behind SIGTERM
)

// turns notes the ops with order that cache hosts have in work.
type turns struct {
	rig *rig

	mu      sync.Mutex
	working map[string]map[string]float64 // by key: the ops in work, with the ms of their arrival
	broken  int
}

// begin notes that an op has come.
func (t *turns) begin(h *host, c command) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rig.note("%s: %s begins %s", h.id, c.key, c.id)
	if t.working[c.key] == nil {
		t.working[c.key] = map[string]float64{}
	}
	for id, since := range t.working[c.key] {
		if id != c.id {
			t.broken++
			t.rig.note("%s: %s has come while %s is in work for the same key since %.1f", h.id, c.id, id, since)
		}
	}
	t.working[c.key][c.id] = c.arrived
}

// end notes that an op is answered.
func (t *turns) end(h *host, c command) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rig.note("%s: %s ends %s", h.id, c.key, c.id)
	delete(t.working[c.key], c.id)
}

// order upgrades a balancer while clients scan passengers of a few flights, and counts the ops that a cache host had to
// begin while another of the same key was in work.
func order(r *rig) (int, error) {
	t := &turns{rig: r, working: map[string]map[string]float64{}}
	var members []member
	for i := range 3 {
		h, err := newHost(r, fmt.Sprint("gate-", i), func(h *host, c command) verdict {
			t.begin(h, c)
			time.Sleep(orderWork * time.Millisecond)
			t.end(h, c)
			return verdict{answer: value(c, "seat")}
		})
		if err != nil {
			return 0, err
		}
		members = append(members, h.member("full"))
	}
	d, err := newDiscovery(members)
	if err != nil {
		return 0, err
	}
	listen, err := freeAddress()
	if err != nil {
		return 0, err
	}
	scan := category("board-scan", "retryable", 1500, 3000, 5, 0)
	scan["keepOrder"] = true
	told := settings(2, 5, category("pax-lookup", "retryable", 300, 1000, 1, 0), scan)
	told["guarantees"].(map[string]any)["keyQuietUs"] = 50000
	shared := filepath.Join(r.dir, "tmp")
	if err := os.Mkdir(shared, 0o700); err != nil {
		return 0, err
	}
	startOne := func(name string) (*process, error) {
		admin, err := freeAddress()
		if err != nil {
			return nil, err
		}
		return r.start(name, startFile("n0", listen, admin, d, 192, 1024, told), shared)
	}
	old, err := startOne("old")
	if err != nil {
		return 0, err
	}
	if err := r.awaitReady(old); err != nil {
		return 0, err
	}
	began := time.Now()
	var all sync.WaitGroup
	for k := range orderKeys {
		for i := range orderClients {
			all.Go(func() {
				random := rand.New(rand.NewSource(int64(k*orderClients + i)))
				for n := 0; time.Since(began) < orderFor; n++ {
					next := time.Now().Add(time.Duration(random.Float64() * 2 * float64(orderEvery)))
					id := fmt.Sprintf("f%dc%dn%d", k, i, n)
					line, err := scanOnce(listen, fmt.Sprint("u:flight", k), id)
					if err != nil || !strings.HasPrefix(line, "VA ") {
						r.note("client %d: %s: %q %v", i, id, line, err)
					}
					time.Sleep(time.Until(next))
				}
			})
		}
	}
	var failed error
	if r.trouble {
		for n := 1; n <= orderTimes && failed == nil; n++ {
			time.Sleep(time.Until(began.Add(time.Duration(n) * orderUpgrade)))
			old, failed = upgrade(r, old, fmt.Sprint("upgrade-", n), startOne)
		}
	}
	all.Wait()
	t.mu.Lock()
	defer t.mu.Unlock()
	r.note("ops that came while another of their key was in work: %d", t.broken)
	return t.broken, failed
}

// upgrade starts a new process beside the old one, and ends the old one at the new one's yes, as operators do.
func upgrade(r *rig, old *process, name string, startOne func(string) (*process, error)) (*process, error) {
	next, err := startOne(name)
	if err != nil {
		return nil, err
	}
	if err := r.awaitStatus(next); err != nil {
		return nil, err
	}
	r.retire(old, orderKillBehind)
	return next, nil
}

// scanOnce sends an op with order on a new connection.
func scanOnce(listen, key, id string) (string, error) {
	conn, err := net.DialTimeout("tcp", listen, time.Second)
	if err != nil {
		return "", err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(4 * time.Second))
	if _, err := io.WriteString(conn, "mg "+key+" v O"+id+" Pc=board-scan,d=3000\r\n"); err != nil {
		return "", err
	}
	return readAnswer(bufio.NewReader(conn))
}

package rig2

import (
	"bufio"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	repeatWindow  = 400.0 // ms for which a repeat is dropped
	repeatSlack   = 50.0  // ms by which each time limit is longer on sockets
	repeatFor     = 43 * time.Second
	resetsFrom    = 5000.0  // ms since the run began
	resetsTo      = 40000.0 // ms
	originPlaces  = 4
	originWork    = 60 * time.Millisecond
	resetShare    = 0.35
	writeShare    = 0.25 // of the reads that boxes lack
	burstEvery    = 11 * time.Second
	burstFor      = 8 * time.Second
	readsEvery    = 39 * time.Millisecond
	repeatClients = 60
)

// burstTimes are by how much traffic grows in one burst after another.
var burstTimes = []float64{1.9, 2, 2.1, 2, 1.95, 2.05}

// attempt is a write as the origin received it.
type attempt struct {
	at  float64 // ms since the run began, of its last byte
	ran bool
}

// slowOrigin is an origin that works on a few requests at once and loses some answers to writes.
type slowOrigin struct {
	rig    *rig
	places chan struct{}

	mu       sync.Mutex
	random   *rand.Rand
	attempts map[string][]attempt // of writes, by id
	late     int                  // repeats that came behind the window
}

// ServeHTTP works on a request once there is a place.
func (o *slowOrigin) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	io.Copy(io.Discard, q.Body)
	id, loses := q.Header.Get("X-Request-ID"), false
	if q.Method == http.MethodPut {
		loses = o.take(id)
	}
	o.places <- struct{}{}
	time.Sleep(originWork)
	<-o.places
	if loses {
		resetConn(w)
		return
	}
	w.Header().Set("X-Request-ID", id)
	io.WriteString(w, "r"+id)
}

// take notes a write, and tells whether its answer is lost.
func (o *slowOrigin) take(id string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	at, before := o.rig.ms(), o.attempts[id]
	loses := o.rig.trouble && at > resetsFrom && at < resetsTo && len(before) == 0 && o.random.Float64() < resetShare
	o.attempts[id] = append(before, attempt{at, true})
	if len(before) > 0 {
		behind := at - before[0].at
		o.rig.note("origin: %s: repeat, %.0f ms behind the first, which ran", id, behind)
		if behind > repeatWindow+repeatSlack {
			o.late++
			o.rig.note("origin: %s: the mark is forgotten, so it runs again", id)
		}
	}
	return loses
}

// RepeatQueue loses answers of the origin to deduplicated writes, under load, and counts the repeats that come when
// their mark is forgotten.
func RepeatQueue(r *rig) (int, error) {
	o := &slowOrigin{rig: r, places: make(chan struct{}, originPlaces), random: rand.New(rand.NewSource(1)),
		attempts: map[string][]attempt{}}
	origin, err := newOrigin(o.ServeHTTP)
	if err != nil {
		return 0, err
	}
	members := []member{origin}
	for i := range 4 {
		h, err := newHost(r, fmt.Sprint("box-", i), func(_ *host, c command) verdict {
			return verdict{after: 2 * time.Millisecond, answer: hitOrMiss(c)}
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
	told := settings(3, 3, category("route-lookup", "retryable", 600, 1200, 3, 0),
		category("redirect", "dedup", 1500, 3000, 10, repeatWindow))
	told["benefitBy"] = "request"
	p, err := r.start("n0", startFile("n0", listen, d, 192, 1024, told), r.dir)
	if err != nil {
		return 0, err
	}
	if err := r.awaitReady(p); err != nil {
		return 0, err
	}
	work := make(chan string, 1000)
	var all sync.WaitGroup
	for range repeatClients {
		all.Go(func() {
			var conn net.Conn
			var in *bufio.Reader
			var err error
			for text := range work {
				if conn == nil {
					if conn, err = net.Dial("tcp", listen); err != nil {
						r.note("client: %v", err)
						conn = nil
						continue
					}
					in = bufio.NewReader(conn)
				}
				conn.SetDeadline(time.Now().Add(4 * time.Second))
				began := time.Now()
				io.WriteString(conn, text)
				line, err := readAnswer(in)
				r.note("client: %.40q after %d ms: %.50q %v", text, time.Since(began).Milliseconds(), line, err)
				if err != nil {
					conn.Close()
					conn = nil
				}
			}
			if conn != nil {
				conn.Close()
			}
		})
	}
	began := time.Now()
	writes, due, next := 0, 0.0, began
	for n := 0; time.Since(began) < repeatFor && !p.hasEnded(); n++ {
		work <- fmt.Sprintf("mg u:r%d v Oa%08x Pc=route-lookup,d=1200\r\n", n, n)
		for k := range 4 { // of five reads, four are kept
			work <- fmt.Sprintf("mg u:kept%d v Oc%08x%d Pc=route-lookup,d=1200\r\n", n, n, k)
		}
		if due += writeShare; due >= 1 {
			due--
			writes++
			work <- fmt.Sprintf("ms u:w%d 5 Ob%08x Pc=redirect,d=3000,k=m%08x\r\nhello\r\n", writes, writes, writes)
		}
		pause, since := float64(readsEvery), time.Since(began)
		if since%burstEvery > burstEvery-burstFor {
			pause /= burstTimes[int(since/burstEvery)%len(burstTimes)]
		}
		next = next.Add(time.Duration(pause))
		time.Sleep(time.Until(next))
	}
	close(work)
	all.Wait()
	if p.hasEnded() {
		return 0, fmt.Errorf("the balancer ended: %v", p.result)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	r.note("writes %d, repeats that ran behind the window %d", len(o.attempts), o.late)
	return o.late, nil
}

// hitOrMiss answers a read: boxes keep some keys.
func hitOrMiss(c command) string {
	if strings.HasPrefix(c.key, "u:kept") {
		return value(c, "hello")
	}
	return miss(c)
}

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

const (
	drainBalancers = 3
	drainGrace     = 500.0 // ms for which pushes may go on
	drainSlack     = 50.0  // ms by which each time limit is longer on sockets
	drainRounds    = 4     // hosts that begin to drain, one after another
	drainFirst     = 4 * time.Second
	drainEvery     = 16 * time.Second
	drainDown      = 8 * time.Second // of discovery
	drainBehind    = 100 * time.Millisecond
	drainWatched   = 5 * time.Second // for which a draining host is looked at
	drainClients   = 4               // of each balancer
	drainPause     = 10 * time.Millisecond
)

// drainLog notes what comes to hosts behind their drain.
type drainLog struct {
	rig *rig

	mu     sync.Mutex
	told   map[string]float64 // ms at which a host's drain counts as told, by host
	late   int
	inTime int
}

// take notes a push.
func (l *drainLog) take(h *host, c command) {
	l.mu.Lock()
	defer l.mu.Unlock()
	told, drains := l.told[h.id]
	switch behind := c.arrived - told; {
	case !drains:
	case behind <= drainGrace+drainSlack:
		l.inTime++
	default:
		l.late++
		l.rig.note("%s: %s for %s comes %.0f ms behind the drain", h.id, c.id, c.key, behind)
	}
}

// drain has hosts begin to drain just as discovery is back, where lists are pushed, and counts the pushes that come
// behind the grace.
func drain(r *rig) (int, error) {
	l := &drainLog{rig: r, told: map[string]float64{}}
	var members []member
	for i := range 8 {
		h, err := newHost(r, fmt.Sprint("box-", i), func(h *host, c command) verdict {
			l.take(h, c)
			return verdict{after: 2 * time.Millisecond, answer: value(c, "hello")}
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
	told := settings(drainBalancers, 3, category("log-read", "retryable", 150, 600, 2, 0))
	told["discovery"] = "pushed"
	var all sync.WaitGroup
	var balancers []*process
	for b := range drainBalancers {
		listen, err := freeAddress()
		if err != nil {
			return 0, err
		}
		file := startFile(fmt.Sprint("n", b), listen, "", d, 192, 1024, told)
		file["seed"] = fmt.Sprintf("8c1f30d27a5be96%d", b)
		p, err := r.start(fmt.Sprint("n", b), file, r.dir)
		if err != nil {
			return 0, err
		}
		balancers = append(balancers, p)
	}
	for _, p := range balancers {
		if err := r.awaitReady(p); err != nil {
			return 0, err
		}
	}
	began := time.Now()
	end := began.Add(drainFirst + drainRounds*drainEvery)
	for b, p := range balancers {
		for i := range drainClients {
			all.Go(func() { readOn(r, p.listen, fmt.Sprintf("%d%d", b, i), end) })
		}
	}
	var failed error
	for n := range drainRounds {
		time.Sleep(time.Until(began.Add(drainFirst + time.Duration(n)*drainEvery)))
		if r.trouble {
			if failed = d.outage(r, drainDown); failed != nil {
				break
			}
		}
		time.Sleep(drainBehind)
		id := fmt.Sprint("box-", n)
		at := r.ms()
		d.setPhase(id, "terminating")
		l.mu.Lock()
		l.told[id] = at
		l.mu.Unlock()
		r.note("discovery: lists %s as terminating", id)
	}
	all.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	r.note("pushes to draining hosts: %d within the grace, %d behind it", l.inTime, l.late)
	return l.late, failed
}

// readOn reads one key after another on a connection.
func readOn(r *rig, listen, name string, end time.Time) {
	var conn net.Conn
	var in *bufio.Reader
	for n := 0; time.Now().Before(end); n++ {
		if conn == nil {
			var err error
			if conn, err = net.Dial("tcp", listen); err != nil {
				r.note("client %s: %v", name, err)
				conn = nil
				time.Sleep(time.Second)
				continue
			}
			in = bufio.NewReader(conn)
		}
		conn.SetDeadline(time.Now().Add(2 * time.Second))
		fmt.Fprintf(conn, "mg u:k%d v Od%sn%d Pc=log-read,d=600\r\n", n%97, name, n)
		line, err := readAnswer(in)
		if err != nil && err != io.EOF || err == nil && !strings.HasPrefix(line, "VA ") {
			r.note("client %s: op %d: %q %v", name, n, line, err)
		}
		if err != nil {
			conn.Close()
			conn = nil
		}
		time.Sleep(drainPause)
	}
	if conn != nil {
		conn.Close()
	}
}

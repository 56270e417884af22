package main

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	longBytes      = 512 << 10 // of a value
	longMemory     = 128       // MB
	longSockets    = 1024
	longClients    = longSockets / 3
	longRounds     = 5 // values that each client asks for
	longPiece      = 32 << 10
	longPause      = 100 * time.Millisecond // between two pieces that a client reads
	longBefore     = 6 * time.Second        // until the upgrade
	longBusyPause  = 500 * time.Millisecond
	longKillBehind = 3700 * time.Millisecond // SIGKILL behind SIGTERM
)

// slowReaders upgrades a balancer while clients read long values slowly, and counts the values that it cuts off though
// the cache host still gives them.
func slowReaders(r *rig) (int, error) {
	text := strings.Repeat("x", longBytes)
	var members []member
	for i := range 8 {
		h, err := newHost(r, fmt.Sprint("box-", i), func(_ *host, c command) verdict {
			return verdict{after: 2 * time.Millisecond, answer: value(c, text)}
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
	startOne := func(name string) (*process, error) {
		admin, err := freeAddress()
		if err != nil {
			return nil, err
		}
		return r.start(name, startFile("n0", listen, admin, d, longMemory, longSockets,
			settings(3, 3, category("log-read", "retryable", 150, 600, 2, 0))), r.dir)
	}
	old, err := startOne("old")
	if err != nil {
		return 0, err
	}
	if err := r.awaitReady(old); err != nil {
		return 0, err
	}
	var all sync.WaitGroup
	var whole, cut, cutLate, refused, unread atomic.Int64
	var killed atomic.Bool // the old process, so what it still passed on is no loss
	for i := range longClients {
		all.Go(func() {
			time.Sleep(time.Duration(i) * 10 * time.Millisecond)
			for n := range longRounds {
				got, line, err := readSlowly(listen, fmt.Sprintf("s%dn%d", i, n))
				switch {
				case err == nil && strings.HasPrefix(line, "VA "):
					whole.Add(1)
				case err == nil:
					refused.Add(1)
					time.Sleep(longBusyPause)
				case got == 0:
					unread.Add(1)
					r.note("client %d: no byte: %v", i, err)
				case killed.Load():
					cutLate.Add(1)
				default:
					cut.Add(1)
					r.note("client %d: value %d: cut off behind %d bytes of %d: %v", i, n, got, longBytes, err)
				}
			}
		})
	}
	if r.trouble {
		time.Sleep(longBefore)
		next, err := startOne("new")
		if err != nil {
			return 0, err
		}
		if err := r.awaitStatus(next); err != nil {
			return 0, err
		}
		if !r.retire(old, longKillBehind) {
			killed.Store(true)
		}
	}
	all.Wait()
	r.note("whole %d, cut off by the balancer %d, by SIGKILL %d, refused or failed with an answer %d, no byte %d", whole.Load(), cut.Load(),
		cutLate.Load(), refused.Load(), unread.Load())
	return int(cut.Load()), nil
}

// readSlowly asks for a long value and reads it in pieces with pauses between. It returns the bytes that came and the
// answer's first line.
func readSlowly(listen, id string) (got int, line string, err error) {
	conn, err := net.Dial("tcp", listen)
	if err != nil {
		return 0, "", err
	}
	defer conn.Close()
	conn.(*net.TCPConn).SetReadBuffer(16 << 10)
	fmt.Fprintf(conn, "mg u:%s v O%s Pc=log-read,d=600\r\n", id, id)
	piece := make([]byte, longPiece)
	for {
		conn.SetReadDeadline(time.Now().Add(10 * time.Second))
		n, err := conn.Read(piece)
		if got == 0 && n > 0 {
			line, _, _ = strings.Cut(string(piece[:min(n, 80)]), "\r\n")
		}
		got += n
		switch {
		case err != nil:
			return got, line, err
		case !strings.HasPrefix(line, "VA "), got >= longBytes+len(line)+4:
			return got, line, nil
		}
		time.Sleep(longPause)
	}
}

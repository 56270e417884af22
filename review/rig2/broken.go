package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	brokenClients = 8
	brokenRounds  = 10
	brokenShort   = 4         // values in front of the long one
	brokenBytes   = 60 * 1000 // of each of these, under 64 KiB
	brokenLong    = 256 << 10
	brokenGiven   = 4 << 10 // bytes of the long value that its host gives before its connection is reset
	brokenPiece   = 16 << 10
	brokenPause   = 20 * time.Millisecond // between two pieces that a client reads
	brokenRest    = time.Second           // between two rounds of a client
)

// brokenValue has clients send some reads at once, for short values and a long one behind them, whose host breaks off.
// It counts the short values that were answered whole by their hosts and did not come whole.
func brokenValue(r *rig) (int, error) {
	short, long := strings.Repeat("x", brokenBytes), strings.Repeat("y", brokenLong)
	var given sync.Map // ids of the short values that a host has answered
	var members []member
	for i := range 4 {
		h, err := newHost(r, fmt.Sprint("box-", i), func(_ *host, c command) verdict {
			if !strings.HasPrefix(c.key, "u:long") {
				given.Store(c.id, r.ms())
				return verdict{after: 2 * time.Millisecond, answer: value(c, short)}
			}
			if !r.trouble {
				return verdict{after: 10 * time.Millisecond, answer: value(c, long)}
			}
			return verdict{after: 10 * time.Millisecond, answer: value(c, long)[:brokenGiven], breaks: 10 * time.Millisecond}
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
	p, err := r.start("n0", startFile("n0", listen, "", d, 192, 1024,
		settings(3, 3, category("log-read", "retryable", 150, 600, 2, 0))), r.dir)
	if err != nil {
		return 0, err
	}
	if err := r.awaitReady(p); err != nil {
		return 0, err
	}
	var all sync.WaitGroup
	var whole, lost, others atomic.Int64
	for i := range brokenClients {
		all.Go(func() {
			for n := range brokenRounds {
				conn, err := net.Dial("tcp", listen)
				if err != nil {
					r.note("client %d: %v", i, err)
					continue
				}
				conn.(*net.TCPConn).SetReadBuffer(brokenPiece)
				var commands strings.Builder
				name := fmt.Sprintf("c%dn%d", i, n)
				for j := range brokenShort {
					fmt.Fprintf(&commands, "mg u:short%d v O%sj%d Pc=log-read,d=600\r\n", (i*brokenShort+j)%40, name, j)
				}
				fmt.Fprintf(&commands, "mg u:long%d v O%slong Pc=log-read,d=600\r\n", i, name)
				io.WriteString(conn, commands.String())
				in := bufio.NewReader(&slowReader{conn})
				for j := range brokenShort {
					line, err := readAnswer(in)
					switch {
					case err == nil && strings.HasPrefix(line, "VA "):
						whole.Add(1)
						continue
					case err == nil:
						others.Add(1)
						continue
					}
					for k := j; k < brokenShort; k++ {
						id := fmt.Sprintf("%sj%d", name, k)
						if at, ok := given.Load(id); ok {
							lost.Add(1)
							r.note("client %d: %s: answered whole by its host at %.1f, not come whole: %q %v", i, id, at, line, err)
						}
					}
					break
				}
				conn.Close()
				time.Sleep(brokenRest)
			}
		})
	}
	all.Wait()
	r.note("short values: %d whole, %d refused or failed, %d lost", whole.Load(), others.Load(), lost.Load())
	if p.hasEnded() {
		return 0, fmt.Errorf("the balancer ended: %v", p.result)
	}
	return int(lost.Load()), nil
}

// slowReader reads from a connection in pieces with pauses between.
type slowReader struct{ conn net.Conn }

// Read implements io.Reader.
func (s *slowReader) Read(p []byte) (int, error) {
	time.Sleep(brokenPause)
	s.conn.SetReadDeadline(time.Now().Add(8 * time.Second))
	return s.conn.Read(p[:min(len(p), brokenPiece)])
}

package rig2

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	pipeMemory  = 192 // MB
	pipeSockets = 1024
	pipeClients = 60
	pipeAtOnce  = 100       // commands
	pipeBytes   = 60 * 1000 // of a value, under 64 KiB
	pipeKeys    = 500
	pipeRounds  = 6
	pipePause   = 5 * time.Second      // between two rounds of a client
	pipeApart   = 8 * time.Millisecond // between the rounds of two clients
)

// Pipeline has clients send many commands at once and read the answers at full speed, and counts the commands whose
// connection ends before their answer has come.
func Pipeline(r *rig) (int, error) {
	text := strings.Repeat("x", pipeBytes)
	var members []member
	for i := range 12 {
		h, err := newHost(r, fmt.Sprint("box-", i), func(_ *host, c command) verdict {
			return verdict{after: time.Millisecond, answer: value(c, text)}
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
	p, err := r.start("n0", startFile("n0", listen, d, pipeMemory, pipeSockets,
		settings(3, 3, category("log-read", "retryable", 150, 600, 2, 0))), r.dir)
	if err != nil {
		return 0, err
	}
	if err := r.awaitReady(p); err != nil {
		return 0, err
	}
	atOnce := 1
	if r.trouble {
		atOnce = pipeAtOnce
	}
	var all sync.WaitGroup
	var served, refused, failed, lost atomic.Int64
	for i := range pipeClients {
		all.Go(func() {
			time.Sleep(time.Duration(i) * pipeApart)
			for n := range pipeRounds {
				next := time.Now().Add(pipePause)
				conn, err := net.Dial("tcp", listen)
				if err != nil {
					r.note("client %d: %v", i, err)
					time.Sleep(time.Until(next))
					continue
				}
				in, answers := bufio.NewReader(conn), 0
				for first := 0; first < pipeAtOnce && err == nil; first += atOnce {
					var commands strings.Builder
					for j := first; j < first+atOnce; j++ {
						fmt.Fprintf(&commands, "mg u:k%d v Op%dn%dj%d Pc=log-read,d=600\r\n", (i*31+j)%pipeKeys, i, n, j)
					}
					conn.SetDeadline(time.Now().Add(5 * time.Second))
					conn.Write([]byte(commands.String()))
					for j := range atOnce {
						var line string
						if line, err = readAnswer(in); err != nil {
							r.note("client %d: round %d: command %d and those behind it, %d in all, have no whole answer: %q %v",
								i, n, first+j, atOnce-j, line, err)
							lost.Add(int64(atOnce - j))
							break
						}
						answers++
						switch {
						case strings.HasPrefix(line, "VA "):
							served.Add(1)
						case strings.HasPrefix(line, "SERVER_ERROR busy"):
							refused.Add(1)
						default:
							failed.Add(1)
						}
					}
				}
				conn.Close()
				r.note("client %d: round %d: %d reads sent, %d at once; %d answers", i, n, pipeAtOnce, atOnce, answers)
				time.Sleep(time.Until(next))
			}
		})
	}
	all.Wait()
	r.note("served %d, refused %d, failed %d, lost %d", served.Load(), refused.Load(), failed.Load(), lost.Load())
	if p.hasEnded() {
		return 0, fmt.Errorf("the balancer ended: %v", p.result)
	}
	return int(lost.Load()), nil
}

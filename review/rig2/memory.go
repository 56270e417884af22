package rig2

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	heavyMemory  = 64 // MB
	heavySockets = 1024
	heavyClients = 40
	heavyAtOnce  = 250       // commands: a write, and reads behind it
	heavyBytes   = 60 * 1000 // of a value, under 64 KiB
	heavyKeys    = 500
	heavyRounds  = 3
	heavyPause   = 8 * time.Second // between two rounds of a client
	heavyWork    = 2 * time.Millisecond
	heavyOrigin  = 250 * time.Millisecond // for a write
	heavyLook    = 5 * time.Millisecond   // between two looks of the platform at the memory
)

// Memory has clients send a write and many reads at once, and kills the balancer, as the platform does, once it holds
// more memory than it may. It counts these kills. Without the disruption the same commands are sent one after another.
func Memory(r *rig) (int, error) {
	text := strings.Repeat("x", heavyBytes)
	origin, err := newOrigin(func(w http.ResponseWriter, q *http.Request) {
		io.Copy(io.Discard, q.Body)
		time.Sleep(heavyOrigin)
		io.WriteString(w, "r1")
	})
	if err != nil {
		return 0, err
	}
	members := []member{origin}
	for i := range 16 {
		h, err := newHost(r, fmt.Sprint("box-", i), func(_ *host, c command) verdict {
			return verdict{after: heavyWork, answer: value(c, text)}
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
	p, err := r.start("n0", startFile("n0", listen, d, heavyMemory, heavySockets,
		settings(3, 3, category("route-lookup", "retryable", 600, 1200, 3, 0), category("redirect", "dedup", 1500, 3000, 10, 2000))), r.dir)
	if err != nil {
		return 0, err
	}
	if err := r.awaitReady(p); err != nil {
		return 0, err
	}
	stop, killed := make(chan struct{}), make(chan bool, 1)
	go func() { killed <- r.boundMemory(p, heavyMemory, stop) }()
	atOnce := 1
	if r.trouble {
		atOnce = heavyAtOnce
	}
	var all sync.WaitGroup
	var served, refused, failed, lost atomic.Int64
	for i := range heavyClients {
		all.Go(func() {
			time.Sleep(time.Duration(i) * time.Millisecond)
			for n := 0; n < heavyRounds && !p.hasEnded(); n++ {
				next := time.Now().Add(heavyPause)
				conn, err := net.Dial("tcp", listen)
				if err != nil {
					return
				}
				in, answers := bufio.NewReader(conn), 0
				for first := 0; first < heavyAtOnce && err == nil; first += atOnce {
					var commands strings.Builder
					for j := first; j < first+atOnce; j++ {
						commands.WriteString(heavyCommand(i, n, j))
					}
					conn.SetDeadline(time.Now().Add(5 * time.Second))
					conn.Write([]byte(commands.String()))
					for j := range atOnce {
						var line string
						if line, err = readAnswer(in); err != nil {
							lost.Add(int64(heavyAtOnce - first - j))
							break
						}
						answers++
						switch {
						case strings.HasPrefix(line, "VA "), strings.HasPrefix(line, "HD "):
							served.Add(1)
						case strings.HasPrefix(line, "SERVER_ERROR busy"):
							refused.Add(1)
						default:
							failed.Add(1)
						}
					}
				}
				conn.Close()
				r.note("client %d: round %d: a write and %d reads sent, %d at once; %d answers, %v", i, n, heavyAtOnce-1, atOnce, answers, err)
				select {
				case <-p.ended:
				case <-time.After(time.Until(next)):
				}
			}
		})
	}
	all.Wait()
	r.note("served %d, refused %d, failed %d, not answered %d", served.Load(), refused.Load(), failed.Load(), lost.Load())
	close(stop)
	switch {
	case <-killed:
		return 1, nil
	case p.hasEnded():
		return 0, fmt.Errorf("the balancer ended: %v", p.result)
	}
	return 0, nil
}

// heavyCommand returns a command of a client in one of its rounds: first a write, then reads.
func heavyCommand(client, round, n int) string {
	if n == 0 {
		return fmt.Sprintf("ms u:w%d 5 Ow%dn%d Pc=redirect,d=3000,k=m%dn%d\r\nhello\r\n", client, client, round, client, round)
	}
	return fmt.Sprintf("mg u:k%d v Op%dn%dj%d Pc=route-lookup,d=1200\r\n", (client*31+n)%heavyKeys, client, round, n)
}

// boundMemory kills a balancer once it holds more memory than it may, the pages of files left out, and tells whether
// it did.
func (r *rig) boundMemory(p *process, limit int, stop chan struct{}) bool {
	most := 0
	for {
		select {
		case <-stop:
			r.note("%s: held %d kB at the most, %d are allowed", p.name, most, limit<<10)
			return false
		case <-time.After(heavyLook):
		}
		status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
		if err != nil {
			continue
		}
		_, rest, _ := strings.Cut(string(status), "RssAnon:")
		words := strings.Fields(rest)
		if len(words) == 0 {
			continue
		}
		now, _ := strconv.Atoi(words[0])
		if most = max(most, now); most > limit<<10 {
			r.note("platform: %s holds %d kB, %d are allowed", p.name, now, limit<<10)
			r.signal(p, syscall.SIGKILL)
			return true
		}
	}
}

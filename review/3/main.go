// Command 3 plays an upgrade while clients send one request after another on their connections, without waiting for the
// answers before.
package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"

	"larchthread/review/lab"
)

const (
	ttl       = 600 // ms, TTL
	clients   = 4
	every     = 20 * time.Millisecond // between two requests of a client
	work      = 50 * time.Millisecond // of a request at its cache host
	playFor   = 9 * time.Second
	upgradeAt = 2 * time.Second         // when the second process is started
	killWait  = 3700 * time.Millisecond // from SIGTERM to SIGKILL
)

func main() { lab.Run(60*time.Second, play) }

// ledger records what became of the requests.
type ledger struct {
	mu       sync.Mutex
	begun    map[string]bool // at a cache host
	answered map[string]bool
}

// add notes a request in one of the ledger's sets.
func (b *ledger) add(set map[string]bool, id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	set[id] = true
}

func play(l *lab.Lab) int {
	book := &ledger{begun: map[string]bool{}, answered: map[string]bool{}}
	d := lab.StartDiscovery()
	for i := range 3 {
		d.StartHost(fmt.Sprint("s-", i), "nashua", func(c lab.Command) string {
			book.add(book.begun, c.ID)
			time.Sleep(work)
			return lab.Hit(c, "value")
		})
	}
	d.StartOrigin("nashua", func(lab.Command) string { return "value" })
	listen := lab.FreeAddress()
	start := lab.Start{Name: "n1", Listen: listen, Admin: lab.FreeAddress(), Discovery: d.Address, MemoryMB: 192,
		Sockets: 1024, Known: d.List(), Settings: lab.GraniteLoop()}
	old := l.StartBalancer(start)
	l.AwaitServing(old, listen)
	until := time.Now().Add(playFor)
	var all sync.WaitGroup
	for i := range clients {
		all.Go(func() { ask(l, book, listen, i, until) })
	}
	time.Sleep(upgradeAt)
	if l.Trouble {
		start.Name, start.Admin = "n1b", lab.FreeAddress()
		next := l.StartBalancer(start)
		l.AwaitServing(next, listen)
		old.Signal(syscall.SIGTERM)
		l.Notef("SIGTERM to the old process")
		time.Sleep(killWait)
		if !old.Ended() {
			l.Notef("SIGKILL to the old process")
			old.Kill()
		}
	}
	all.Wait()
	book.mu.Lock()
	defer book.mu.Unlock()
	lost := 0
	for id := range book.begun {
		if !book.answered[id] {
			lost++
			l.Notef("%s began at a cache host and was never answered", id)
		}
	}
	l.Notef("%d requests began at cache hosts, %d of them were never answered", len(book.begun), lost)
	if lost > 0 {
		return lab.Broken
	}
	return lab.Held
}

// ask sends a request at every turn until the time is over, on a connection that it keeps for as long as that stays open.
func ask(l *lab.Lab, book *ledger, listen string, client int, until time.Time) {
	for n, connection := 0, 0; time.Now().Before(until); connection++ {
		conn, err := net.Dial("tcp", listen)
		lab.Must(err)
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			for r := bufio.NewReader(conn); ; {
				conn.SetReadDeadline(time.Now().Add(3 * time.Second))
				line, err := r.ReadString('\n')
				if err != nil {
					l.Notef("client %d: connection %d ended: %v", client, connection, err)
					return
				}
				words := strings.Fields(line)
				if len(words) == 3 && words[0] == "VA" {
					r.ReadString('\n')
					book.add(book.answered, words[2][1:])
				}
			}
		}()
		for open := true; open && time.Now().Before(until); n++ {
			if _, err := fmt.Fprintf(conn, "mg k%d v Oc%d-%d Pc=log-read,d=%d\r\n", n%40, client, n, ttl); err != nil {
				break
			}
			select {
			case <-ended:
				open = false
			case <-time.After(every):
			}
		}
		if time.Now().After(until) {
			time.Sleep(time.Second) // the last answers
			conn.Close()
		}
		<-ended
		conn.Close()
	}
}

package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

const repeatedIDClients = 100

// upgradeMoment tells when the next process starts to serve.
type upgradeMoment int

const (
	noUpgrade     upgradeMoment = iota
	upgradeBefore               // before the ops are sent, on connections of the old process
	upgradeAfter                // after their clients have left
)

// connectClients connects clients that have had an answer each.
func (f *fleet) connectClients() (all []*client) {
	for range repeatedIDClients {
		c := f.newClient()
		c.sendAndPrint(0, "mn\r\n")
		c.reader.ReadString('\n')
		all = append(all, c)
	}
	return all
}

// sendThenLeave has clients send a command each and leave once hosts or the origin have got all of them.
func sendThenLeave(all []*client, command func(client int) string, received func() int) {
	for i, c := range all {
		c.sendAndPrint(0, command(i))
	}
	for end := time.Now().Add(time.Second); received() < repeatedIDClients && time.Now().Before(end); {
		time.Sleep(5 * time.Millisecond)
	}
	for _, c := range all {
		c.Close()
	}
}

// sendAgain has new clients send the same commands and waits for the answers.
func (f *fleet) sendAgain(command func(client int) string) {
	var all sync.WaitGroup
	for i := range repeatedIDClients {
		c := f.newClient()
		all.Go(func() {
			defer c.Close()
			c.sendAndPrint(0, command(i))
			c.reader.ReadString('\n')
		})
	}
	all.Wait()
}

// Guards against an op that runs twice as its id comes again: after its client has left, or at the other process of an
// upgrade. An id whose op was turned away may come again.
func TestIDThatComesAgain(t *testing.T) {
	for _, c := range []struct {
		name, category string
		isWrite        bool
		upgrade        upgradeMoment
		wait           time.Duration // until it comes again
	}{
		{"at most once, at once", "once", false, noUpgrade, 0},
		{"at most once, when it has run", "once", false, noUpgrade, 400 * time.Millisecond},
		{"write behind its window", "put", true, noUpgrade, 600 * time.Millisecond},
		{"at most once, at the next process", "once", false, upgradeAfter, 0},
		{"at most once, sent to the old process as the next one serves", "once", false, upgradeBefore, 0},
		{"write behind its window, at the next process", "put", true, upgradeAfter, 600 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := &fleet{settings: patientSettings, adminAddress: freeAddress()}
			f.addHosts(8, func([]string) string {
				time.Sleep(300 * time.Millisecond)
				return "VA 5 O{id}\r\nvalue\r\n"
			})
			f.AddOrigin(func(w http.ResponseWriter, _ *http.Request) {
				time.Sleep(300 * time.Millisecond)
				io.WriteString(w, "receipt")
			})
			f.start()
			defer f.stop()
			command := func(i int) string {
				if c.isWrite {
					return fmt.Sprintf("ms k%d 2 Oid%d. Pc=%s,d=%d\r\nab\r\n", i, i, c.category, longTTL)
				}
				return fmt.Sprintf("mg k%d v Oid%d. Pc=%s,d=%d\r\n", i, i, c.category, longTTL)
			}
			runs := func() (received int, twice []string) {
				notes := strings.Join(f.Notes(), "\n")
				for i := range repeatedIDClients {
					id := fmt.Sprintf("id%d.", i)
					switch n := strings.Count(notes, id); {
					case n > 1:
						twice = append(twice, id)
						received++
					case n == 1:
						received++
					}
				}
				return received, twice
			}
			clients := f.connectClients()
			upgrade := func() {
				old := f.process
				f.process = f.startSuccessor()
				t.Cleanup(func() {
					old.Process.Kill()
					old.Wait()
				})
			}
			if c.upgrade == upgradeBefore {
				upgrade()
			}
			sendThenLeave(clients, command, func() int { n, _ := runs(); return n })
			first, twice := runs()
			if c.upgrade == upgradeAfter {
				upgrade()
			}
			time.Sleep(c.wait)
			f.sendAgain(command)
			received, twiceAfter := runs()
			t.Logf("received at first %d, in all %d; twice before %d, after %d", first, received, len(twice), len(twiceAfter))
			if len(twiceAfter) > len(twice) {
				t.Errorf("%d ops ran again, as %v", len(twiceAfter)-len(twice), twiceAfter[0])
			}
			if first < repeatedIDClients/10 {
				t.Errorf("only %d ops ran", first)
			}
		})
	}
}

package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"
)

// These tests upgrade while clients send on without waiting for answers.

// killDelay is how long after SIGTERM operators kill the old process at the earliest: the TTL of the tests and 0.7 s.
const killDelay = 1600 * time.Millisecond

// replaceProcessInTime replaces the running process by a successor, and kills the old one if it has not exited killDelay after
// SIGTERM. It returns the exit error of the old one.
func (f *fleet) replaceProcessInTime() error {
	old := f.process
	f.process = f.startSuccessor()
	old.Process.Signal(syscall.SIGTERM)
	kill := time.AfterFunc(killDelay, func() { old.Process.Kill() })
	defer kill.Stop()
	return old.Wait()
}

// sendSteadily sends a command every interval until end, and returns how many were not answered. command makes the n-th one.
func (c *client) sendSteadily(interval time.Duration, end time.Time, command func(n int) string) (unanswered int) {
	answered := make(chan int)
	go func() {
		n := 0
		for line, err := c.reader.ReadString('\n'); err == nil; line, err = c.reader.ReadString('\n') {
			if line != "value\r\n" { // the line behind a VA
				n++
			}
			if line == "MN\r\n" {
				break
			}
		}
		answered <- n
	}()
	sent := 0
	for ; time.Now().Before(end); time.Sleep(interval) {
		if _, err := io.WriteString(c, command(sent)); err != nil {
			break
		}
		sent++
	}
	io.WriteString(c, "mn\r\n") // its answer is the last
	return sent + 1 - <-answered
}

// Guards against an upgrade that loses the ops of clients that always have one open: the old process takes commands until it
// is killed, and hands such clients over at no time.
func Example_upgradeAmidOpenOps() {
	f := &fleet{adminAddress: freeAddress()}
	f.AddHost("a", func(words []string) string {
		time.Sleep(30 * time.Millisecond)
		return hit(words)
	})
	f.AddOrigin(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(30 * time.Millisecond)
		handleOrigin(w, r)
	})
	f.start()
	defer f.stop()
	end := time.Now().Add(3 * time.Second)
	var all sync.WaitGroup
	unanswered := make([]int, 6)
	for i := range unanswered {
		command := func(n int) string { return fmt.Sprintf("mg k%d v O%d-%d Pc=read,d=900\r\n", i, i, n) }
		if i >= 4 { // values that are too long to be handed over within a command
			command = func(n int) string {
				return fmt.Sprintf("ms k%d 100000 O%d-%d Pc=put,d=900\r\n%s\r\n", i, i, n, longValue[:100000])
			}
		}
		c := f.newClient()
		all.Go(func() { unanswered[i] = c.sendSteadily(10*time.Millisecond, end, command) })
	}
	time.Sleep(500 * time.Millisecond)
	fmt.Println("old process exited:", f.replaceProcessInTime())
	all.Wait()
	fmt.Println("unanswered:", unanswered)
	// Output:
	// old process exited: <nil>
	// unanswered: [0 0 0 0 0 0]
}

// Guards against a request whose time starts anew with the hand-over: it has waited behind an open op of the old process.
func TestTimeLeftBehindOpenOpOfUpgrade(t *testing.T) {
	f, remove := newHandoverFleet("behind")
	t.Cleanup(remove)
	f.settings = longTTLSettings()
	c := startWithHosts(t, f, func(words []string) string {
		if words[1] == "slow" {
			time.Sleep(700 * time.Millisecond)
		}
		return hit(words)
	})
	old := f.process
	f.process = f.startSuccessor()
	c.sendRequest(t, "mg slow v O1 Pc=once,d=2500\r\n")
	f.awaitNote("a: mg slow v O1 Pc=once,d=..", 1)
	old.Process.Signal(syscall.SIGTERM)
	time.Sleep(100 * time.Millisecond)
	r := c.sendRequest(t, "mg k v O2 Pc=once,d=2000\r\n")
	c.checkAnswer(t, "VA 5 O1")
	c.checkAnswer(t, "VA 5 O2")
	if err := old.Wait(); err != nil {
		t.Errorf("old process: %v", err)
	}
	f.checkServers(t, r, "a")
	f.checkTimeLeft(t, r)
}

// Guards against clients that nobody reads any more: the successor dies while they wait to be handed over, and the old
// process has to serve what they have sent.
func Example_upgradeAmidOpenOpsThatFails() {
	f := &fleet{adminAddress: freeAddress()}
	f.AddHost("a", hitWithSlowKey(400*time.Millisecond))
	f.AddOrigin(handleOrigin)
	f.start()
	defer f.stop()
	c := f.newClient()
	c.sendAndPrint(1, "mn\r\n")
	successor := f.startSuccessor()
	c.sendAndPrint(0, "mg slow v O1 Pc=once,d=900\r\n")
	f.awaitNote("a: mg slow v O1 Pc=once,d=..", 1)
	f.process.Process.Signal(syscall.SIGTERM)
	time.Sleep(50 * time.Millisecond)
	c.sendAndPrint(0, "mg k v O2 Pc=read,d=900\r\n")
	time.Sleep(50 * time.Millisecond)
	successor.Process.Kill()
	successor.Wait()
	c.sendAndPrint(4, "")
	fmt.Println("old process exited:", f.process.Wait())
	// Output:
	// MN
	// VA 5 O1
	// value
	// VA 5 O2
	// value
	// old process exited: <nil>
}

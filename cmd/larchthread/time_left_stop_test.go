package main

import (
	"strings"
	"syscall"
	"testing"
	"time"

	"larchthread/internal/standin"
)

// These tests check the remaining time that servers are told when a process is suspended or hands its connections over.

// A command that arrives on a handed-over connection while the new process is suspended loses the time of the suspension.
func TestTimeLeftAcrossFrozenUpgrade(t *testing.T) {
	f, remove := newHandoverFleet("frozen")
	t.Cleanup(remove)
	f.settings = longTTLSettings()
	c := startWithHosts(t, f, delayed(300*time.Millisecond, miss))
	c.sendAndPrint(0, "mn\r\n")
	c.checkAnswer(t, "MN")
	old := f.process
	f.process = f.startSuccessor()
	time.Sleep(idleDelay)
	f.process.Process.Signal(syscall.SIGSTOP)
	time.Sleep(30 * time.Millisecond) // the signal takes effect asynchronously
	old.Process.Signal(syscall.SIGTERM)
	for end := time.Now().Add(time.Second); !strings.Contains(f.log.String(), "reason=passed-on"); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the connection was not handed over")
		}
	}
	r := c.sendRequest(t, "mg k v O1 Pc=once,d=2000\r\n")
	time.Sleep(500 * time.Millisecond)
	f.process.Process.Signal(syscall.SIGCONT)
	c.checkAnswer(t, "VA 7 O1")
	old.Wait()
	f.checkServers(t, r, "a", standin.OriginID)
	f.checkTimeLeft(t, r)
}

// A command that arrives while the program is suspended loses the time of the suspension.
func TestTimeLeftAcrossStop(t *testing.T) {
	f := &fleet{settings: longTTLSettings()}
	c := startWithHosts(t, f, miss)
	c.sendAndPrint(0, "mn\r\n")
	c.checkAnswer(t, "MN")
	time.Sleep(idleDelay)
	var r request
	f.whileStopped(func() {
		r = c.sendRequest(t, "mg k v O1 Pc=once,d=1500\r\n")
		time.Sleep(400 * time.Millisecond)
	})
	c.checkAnswer(t, "VA 7 O1")
	f.checkServers(t, r, "a", standin.OriginID)
	f.checkTimeLeft(t, r)
}

// When a host misses while the program is suspended, the origin is told the time left after the suspension.
func TestTimeLeftAcrossStopDuringOp(t *testing.T) {
	f := &fleet{settings: longTTLSettings()}
	c := startWithHosts(t, f, delayed(300*time.Millisecond, miss))
	r := c.sendRequest(t, "mg k v O1 Pc=once,d=1500\r\n")
	f.awaitNote("a: mg k v O1 Pc=once,d=..", 1)
	time.Sleep(idleDelay)
	f.whileStopped(func() { time.Sleep(400 * time.Millisecond) })
	c.checkAnswer(t, "VA 7 O1")
	f.checkServers(t, r, "a", standin.OriginID)
	f.checkTimeLeft(t, r)
}

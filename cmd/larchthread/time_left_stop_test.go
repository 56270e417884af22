package main

import (
	"strings"
	"syscall"
	"testing"
	"time"

	"larchthread/internal/standin"
)

// Time that passes while a process stands still, or hands its connections over.

// A connection that is handed over while the new process stands still takes a command meanwhile: what the new one tells
// counts that time.
func TestTimeLeftAcrossFrozenUpgrade(t *testing.T) {
	f, remove := newHandoverFleet("frozen")
	t.Cleanup(remove)
	f.settings = longTTLSettings()
	c := startWithHosts(t, f, delayed(300*time.Millisecond, miss))
	c.sendAndPrint(0, "mn\r\n")
	c.wantAnswer(t, "MN")
	old := f.process
	f.process = f.startSuccessor()
	time.Sleep(idleDelay)
	f.process.Process.Signal(syscall.SIGSTOP)
	time.Sleep(30 * time.Millisecond) // until it has stopped
	old.Process.Signal(syscall.SIGTERM)
	for end := time.Now().Add(time.Second); !strings.Contains(f.log.String(), "reason=passed-on"); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the connection was not passed on")
		}
	}
	r := c.sendRequest(t, "mg k v O1 Pc=once,d=2000\r\n")
	time.Sleep(500 * time.Millisecond)
	f.process.Process.Signal(syscall.SIGCONT)
	c.wantAnswer(t, "VA 7 O1")
	old.Wait()
	f.checkServers(t, r, "a", standin.OriginID)
	f.checkTimeLeft(t, r)
}

// A command that comes while the program is stopped loses the time of the stop.
func TestTimeLeftAcrossStop(t *testing.T) {
	f := &fleet{settings: longTTLSettings()}
	c := startWithHosts(t, f, miss)
	c.sendAndPrint(0, "mn\r\n")
	c.wantAnswer(t, "MN")
	time.Sleep(idleDelay)
	var r request
	f.whileStopped(func() {
		r = c.sendRequest(t, "mg k v O1 Pc=once,d=1500\r\n")
		time.Sleep(400 * time.Millisecond)
	})
	c.wantAnswer(t, "VA 7 O1")
	f.checkServers(t, r, "a", standin.OriginID)
	f.checkTimeLeft(t, r)
}

// An op whose host answers while the program is stopped goes on with what the stop has left.
func TestTimeLeftAcrossStopAmidOp(t *testing.T) {
	f := &fleet{settings: longTTLSettings()}
	c := startWithHosts(t, f, delayed(300*time.Millisecond, miss))
	r := c.sendRequest(t, "mg k v O1 Pc=once,d=1500\r\n")
	f.awaitNote("a: mg k v O1 Pc=once,d=..", 1)
	time.Sleep(idleDelay)
	f.whileStopped(func() { time.Sleep(400 * time.Millisecond) })
	c.wantAnswer(t, "VA 7 O1")
	f.checkServers(t, r, "a", standin.OriginID)
	f.checkTimeLeft(t, r)
}

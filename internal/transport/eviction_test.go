package transport

import (
	"log/slog"
	"net"
	"net/netip"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// Guards against a request that is dropped for the end of another connection: the event of an evicted connection that its
// client has just left was taken for one of the new connection, which had got its descriptor in the same round.
func TestEventOfEvictedConnection(t *testing.T) {
	loop, err := NewLoop(2*ReservedDescriptors, 64<<20, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	defer loop.Close()
	at := unusedAddress()
	received, ended := 0, 0
	handler := countingHandler{&received, &ended}
	if _, err := loop.Listen("client", at, 0, func(c *Conn) {
		c.Handler, c.EvictionClass = handler, func() EvictionClass { return Idle }
	}); err != nil {
		t.Fatal(err)
	}
	dial := func(address netip.AddrPort) net.Conn {
		c, err := net.Dial("tcp", address.String())
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	idle := dial(at)
	runRound(t, loop)
	loop.SetMaxSockets(1)
	requester := dial(at) // its event comes before the end of the idle connection
	defer requester.Close()
	requester.Write([]byte("request\n"))
	idle.Close()
	time.Sleep(20 * time.Millisecond)
	for range 64 { // the evicted descriptor is the lowest that is free then
		fd, err := unix.Dup(0)
		if err != nil {
			t.Fatal(err)
		}
		defer unix.Close(fd)
	}
	runRound(t, loop)
	runRound(t, loop)
	if received != 1 || ended != 1 {
		t.Errorf("%d requests received, %d connections ended, want 1 and 1", received, ended)
	}
}

// countingHandler counts deliveries.
type countingHandler struct{ received, ended *int }

// Received implements ConnHandler.
func (h countingHandler) Received(c *Conn) {
	*h.received++
	c.In.Free()
}

// Ended implements ConnHandler.
func (h countingHandler) Ended(*Conn, Reason) { *h.ended++ }

// runRound runs one round of a loop.
func runRound(t *testing.T, loop *Loop) {
	t.Helper()
	loop.SkipWait()
	loop.quit = false
	loop.OnRoundStart = func(float64) { loop.Quit() }
	if err := loop.Run(); err != nil {
		t.Fatal(err)
	}
}

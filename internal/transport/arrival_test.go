package transport

import (
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"os"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

const (
	waitFor   = 300 * time.Millisecond // that bytes wait unread
	clockSlip = 30.0                   // ms between a test's clock and the system's: some of its ticks
)

// arrival is what an owner was told of bytes: when it was, and when they can have come at the earliest.
type arrival struct{ told, earliest float64 }

// recorder notes when bytes came on connections from clients.
type recorder struct {
	came   chan arrival
	during func(c *Conn) // called with each, on the loop's thread
}

func (r *recorder) Received(c *Conn) {
	c.In.Free()
	r.came <- arrival{c.loop.Now(), c.ArrivedAt}
	if r.during != nil {
		r.during(c)
	}
}

func (r *recorder) Ended(*Conn, Reason) {}

// record runs a loop whose clients' connections belong to r, and are not closed to make room, until the test is over.
func record(t *testing.T, r *recorder, descriptors int) (*Loop, netip.AddrPort) {
	t.Helper()
	address := unusedAddress()
	loop, err := NewLoop(descriptors, 64<<20, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	accept := func(c *Conn) { c.Handler, c.EvictionClass = r, func() EvictionClass { return Needed } }
	if _, err := loop.Listen("client", address, 0, accept); err != nil {
		t.Fatal(err)
	}
	stop, done := make(chan bool), make(chan error)
	loop.OnRoundStart = func(float64) {
		select {
		case <-stop:
			loop.Quit()
		default:
		}
	}
	go func() { done <- loop.Run() }()
	t.Cleanup(func() {
		close(stop)
		loop.Wake()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return loop, address
}

// unusedAddress is an address that nobody has, in this process's own part of loopback: on the usual one a connection that is
// just being made may take the port before the loop does.
func unusedAddress() netip.AddrPort {
	pid := os.Getpid()
	listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.3:0", pid>>8&255, pid&255))
	if err != nil {
		panic(err)
	}
	defer listener.Close()
	return listener.Addr().(*net.TCPAddr).AddrPort()
}

func dialTest(t *testing.T, address netip.AddrPort) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

// send writes a byte and returns when, by the loop's clock.
func send(t *testing.T, loop *Loop, conn net.Conn) float64 {
	t.Helper()
	at := loop.ReadClock()
	if _, err := conn.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	return at
}

// What waits while nothing is read counts from the pause on. What comes after it counts from when it comes.
func TestArrivedWhilePaused(t *testing.T) {
	r := &recorder{came: make(chan arrival, 3)}
	var resume Timer
	pauses := 0
	r.during = func(c *Conn) {
		if pauses++; pauses > 1 {
			return
		}
		c.SetPaused(true)
		resume.Fire = func() { c.SetPaused(false) }
		c.loop.SetTimer(&resume, float64(waitFor.Milliseconds()))
	}
	loop, address := record(t, r, 256)
	client := dialTest(t, address)
	send(t, loop, client)
	paused := (<-r.came).told
	sent := send(t, loop, client)
	held := <-r.came
	if held.earliest > sent+clockSlip || held.earliest < paused-clockSlip {
		t.Errorf("sent %.0f ms after the pause began, counts from %.0f ms after", sent-paused, held.earliest-paused)
	}
	if waited := held.told - sent; waited < float64(waitFor.Milliseconds())/2 {
		t.Fatalf("the bytes were told after %.0f ms: they did not wait", waited)
	}
	time.Sleep(waitFor)
	sent = send(t, loop, client)
	if prompt := <-r.came; prompt.earliest < sent-clockSlip {
		t.Errorf("sent after the pause was over, counts from %.0f ms before", sent-prompt.earliest)
	}
}

// A pause in which nothing came leaves no trace.
func TestArrivedAfterEmptyPause(t *testing.T) {
	r := &recorder{came: make(chan arrival, 2)}
	var resume Timer
	r.during = func(c *Conn) {
		c.SetPaused(true)
		resume.Fire = func() { c.SetPaused(false) }
		c.loop.SetTimer(&resume, 1)
	}
	loop, address := record(t, r, 256)
	client := dialTest(t, address)
	send(t, loop, client)
	<-r.came
	time.Sleep(waitFor)
	sent := send(t, loop, client)
	if second := <-r.came; second.earliest < sent-clockSlip {
		t.Errorf("sent long after the pause, counts from %.0f ms before", sent-second.earliest)
	}
}

// What a client sent while it stood in the queue of a listener that had no socket for it counts from then.
func TestArrivedInQueue(t *testing.T) {
	r := &recorder{came: make(chan arrival, 64)}
	loop, address := record(t, r, 2*ReservedDescriptors)
	var clients []net.Conn
	for range ReservedDescriptors - ReservedDescriptors/dialShare {
		client := dialTest(t, address)
		send(t, loop, client)
		<-r.came
		clients = append(clients, client)
	}
	queued := dialTest(t, address)
	sent := send(t, loop, queued)
	time.Sleep(waitFor)
	select {
	case <-r.came:
		t.Fatal("the listener had a socket for one more")
	default:
	}
	clients[0].Close()
	got := <-r.came
	if got.earliest > sent+clockSlip || got.earliest < sent-clockSlip {
		t.Errorf("sent %.0f ms before it was told, counts from %.0f ms before", got.told-sent, got.told-got.earliest)
	}
}

// What comes on a connection that another process has passed on amid a command counts from when it comes, not from the hand-over.
func TestArrivedBehindAdoptedPart(t *testing.T) {
	r := &recorder{came: make(chan arrival, 3)}
	client, descriptor := connectionElsewhere(t)
	adopted := false
	r.during = func(c *Conn) {
		if !adopted {
			adopted = true
			c.listener.AdoptConn(descriptor, []byte("part of a command"))
		}
	}
	loop, address := record(t, r, 256)
	send(t, loop, dialTest(t, address))
	<-r.came
	<-r.came // the part that was passed on
	time.Sleep(waitFor)
	sent := send(t, loop, client)
	if rest := <-r.came; rest.earliest < sent-clockSlip {
		t.Errorf("sent long after the hand-over, counts from %.0f ms before", sent-rest.earliest)
	}
}

// connectionElsewhere is a connection of a client that no loop has accepted, and the descriptor of the accepted side.
func connectionElsewhere(t *testing.T) (client net.Conn, descriptor int) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	client = dialTest(t, netip.MustParseAddrPort(listener.Addr().String()))
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer accepted.Close()
	file, err := accepted.(*net.TCPConn).File()
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	descriptor, err = unix.Dup(int(file.Fd()))
	if err != nil {
		t.Fatal(err)
	}
	return client, descriptor
}

// What comes on a connection that was accepted while there was no memory to read from it counts from when it comes.
func TestArrivedBehindFullMemory(t *testing.T) {
	r := &recorder{came: make(chan arrival, 2)}
	var room Timer
	r.during = func(c *Conn) {
		c.loop.Pool.MaxBytes = 1
		held := c.loop.Pool.get()
		room.Fire = func() {
			c.loop.Pool.put(held)
			c.loop.Pool.MaxBytes = 0
		}
		c.loop.SetTimer(&room, float64(waitFor.Milliseconds()))
		r.during = nil
	}
	loop, address := record(t, r, 256)
	send(t, loop, dialTest(t, address))
	<-r.came
	late := dialTest(t, address)
	time.Sleep(2 * waitFor)
	sent := send(t, loop, late)
	if got := <-r.came; got.earliest < sent-clockSlip {
		t.Errorf("sent long after there was memory again, counts from %.0f ms before", sent-got.earliest)
	}
}

// A wait that takes far longer than it may tells that the process stood still, as where its share of the cores is used up. A
// wait without an end tells nothing.
func TestOverslept(t *testing.T) {
	for _, c := range []struct {
		took     float64
		patience int
		want     bool
	}{{100, 100, false}, {100 + oversleepMost, 100, false}, {101 + oversleepMost, 100, true}, {1, 0, false}, {1e6, -1, false}} {
		if got := overslept(c.took, c.patience); got != c.want {
			t.Errorf("a wait of %v ms that took %v ms: overslept %v, want %v", c.patience, c.took, got, c.want)
		}
	}
}

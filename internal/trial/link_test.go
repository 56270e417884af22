package trial

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"
)

// newTestLink returns a link to a server that answers each byte with the given number of bytes, and a function that dials it.
func newTestLink(t *testing.T, answer int) (*Link, func() net.Conn) {
	server, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		for {
			c, err := server.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				for b := make([]byte, 1); ; {
					if _, err := io.ReadFull(c, b); err != nil {
						return
					}
					c.Write(make([]byte, answer))
				}
			}()
		}
	}()
	l, err := newLink("b1", "h1", "127.0.0.1", net.ParseIP("127.0.0.9"), 1, func() string { return server.Addr().String() })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.close(); server.Close() })
	return l, func() net.Conn {
		c, err := net.Dial("tcp", l.Address())
		if err != nil {
			t.Fatal(err)
		}
		c.SetDeadline(time.Now().Add(5 * time.Second))
		t.Cleanup(func() { c.Close() })
		return c
	}
}

// roundTrip sends a byte and reads an answer of want bytes. It returns the number of bytes read and the time taken.
func roundTrip(c net.Conn, want int) (int, time.Duration, error) {
	start := time.Now()
	if _, err := c.Write([]byte{1}); err != nil {
		return 0, 0, err
	}
	n, err := io.ReadFull(c, make([]byte, want))
	return n, time.Since(start), err
}

// refusesConns reports whether a link resets a new connection before any data is answered.
func refusesConns(l *Link) bool {
	c, err := net.Dial("tcp", l.Address())
	if err != nil {
		return true
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(5 * time.Second))
	n, _, err := roundTrip(c, 1)
	return n == 0 && err != nil
}

func isReset(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

func TestLinkWithoutImpairment(t *testing.T) {
	_, dial := newTestLink(t, 100000)
	if n, _, err := roundTrip(dial(), 100000); err != nil {
		t.Fatal(n, err)
	}
}

// A cut resets connections, also while an answer is delayed in the link, and refuses new ones until it is lifted.
func TestCutDuringAnswer(t *testing.T) {
	l, dial := newTestLink(t, 1000)
	l.SetImpairment(Back, Impairment{Delay: time.Hour})
	c := dial()
	go func() {
		time.Sleep(50 * time.Millisecond)
		l.SetCut(true)
	}()
	if n, _, err := roundTrip(c, 1000); n > 0 || !isReset(err) {
		t.Fatalf("a cut: %d bytes, %v", n, err)
	}
	if !refusesConns(l) {
		t.Fatal("accepted while the link is cut")
	}
	l.SetImpairment(Back, Impairment{})
	l.SetCut(false)
	if n, _, err := roundTrip(dial(), 1000); err != nil {
		t.Fatal("after the cut:", n, err)
	}
}

// In a blackhole of one direction nothing arrives. At its end affected connections are reset and new ones work.
func TestBlackhole(t *testing.T) {
	for _, direction := range []Direction{Out, Back} {
		l, dial := newTestLink(t, 10)
		c := dial()
		roundTrip(c, 10)
		l.SetImpairment(direction, Impairment{Blackhole: true})
		began := time.Now() // before the goroutine, which may get ahead of the round trip
		go func() {
			time.Sleep(100 * time.Millisecond)
			l.SetImpairment(direction, Impairment{})
		}()
		n, _, err := roundTrip(c, 10)
		if took := time.Since(began); n > 0 || !isReset(err) || took < 100*time.Millisecond {
			t.Fatalf("direction %d: %d bytes after %v, %v", direction, n, took, err)
		}
		if n, _, err := roundTrip(dial(), 10); err != nil {
			t.Fatalf("direction %d, after the blackhole: %d bytes, %v", direction, n, err)
		}
		l.SetImpairment(direction, Impairment{Blackhole: true})
		asked := dial()
		go func() {
			time.Sleep(50 * time.Millisecond)
			l.SetImpairment(direction, Impairment{})
		}()
		if n, _, err := roundTrip(asked, 10); n > 0 || !isReset(err) {
			t.Fatalf("direction %d, connected during the blackhole: %d bytes, %v", direction, n, err)
		}
	}
}

func TestDelayRateAndSever(t *testing.T) {
	l, dial := newTestLink(t, 1000)
	l.SetImpairment(Out, Impairment{Delay: 60 * time.Millisecond, Jitter: 10 * time.Millisecond})
	if n, took, err := roundTrip(dial(), 1000); err != nil || took < 60*time.Millisecond {
		t.Fatal("delay:", n, took, err)
	}
	l.SetImpairment(Out, Impairment{})
	l.SetImpairment(Back, Impairment{Rate: 10000})
	if n, took, err := roundTrip(dial(), 1000); err != nil || took < 100*time.Millisecond {
		t.Fatal("rate:", n, took, err)
	}
	l.SetImpairment(Back, Impairment{ResetAfter: 700})
	if n, _, err := roundTrip(dial(), 1000); n != 700 || !isReset(err) {
		t.Fatal("sever:", n, err)
	}
}

// A link limited to one connection refuses a second one.
func TestSingleConnection(t *testing.T) {
	l, dial := newTestLink(t, 10)
	l.SetSingle(true)
	roundTrip(dial(), 10)
	if !refusesConns(l) {
		t.Fatal("a second connection is accepted")
	}
}

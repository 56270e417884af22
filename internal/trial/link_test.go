package trial

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"
)

// behind is a link to a server that answers each byte with so many.
func behind(t *testing.T, answer int) (*Link, func() net.Conn) {
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

// ask sends a byte and takes the answer of so many; it returns what was read and for how long it was waited.
func ask(c net.Conn, want int) (int, time.Duration, error) {
	began := time.Now()
	if _, err := c.Write([]byte{1}); err != nil {
		return 0, 0, err
	}
	n, err := io.ReadFull(c, make([]byte, want))
	return n, time.Since(began), err
}

// refuses tells whether a link takes no connection: it is reset as it comes up, or with the first byte.
func refuses(l *Link) bool {
	c, err := net.Dial("tcp", l.Address())
	if err != nil {
		return true
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(5 * time.Second))
	n, _, err := ask(c, 1)
	return n == 0 && err != nil
}

func isReset(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

func TestLinkIsWell(t *testing.T) {
	_, dial := behind(t, 100000)
	if n, _, err := ask(dial(), 100000); err != nil {
		t.Fatal(n, err)
	}
}

// A cut resets what there is, also while bytes of an answer are held, and refuses what is new until it is over.
func TestCutAmidAnAnswer(t *testing.T) {
	l, dial := behind(t, 1000)
	l.SetImpairment(Back, Impairment{Delay: time.Hour})
	c := dial()
	go func() {
		time.Sleep(50 * time.Millisecond)
		l.SetCut(true)
	}()
	if n, _, err := ask(c, 1000); n > 0 || !isReset(err) {
		t.Fatalf("a cut: %d bytes, %v", n, err)
	}
	if !refuses(l) {
		t.Fatal("taken while it is cut")
	}
	l.SetImpairment(Back, Impairment{})
	l.SetCut(false)
	if n, _, err := ask(dial(), 1000); err != nil {
		t.Fatal("after it:", n, err)
	}
}

// In a hole of one direction nothing arrives; at its end what lost bytes is reset, and new connections are made.
func TestHole(t *testing.T) {
	for _, w := range []Direction{Out, Back} {
		l, dial := behind(t, 10)
		c := dial()
		ask(c, 10)
		l.SetImpairment(w, Impairment{Blackhole: true})
		go func() {
			time.Sleep(100 * time.Millisecond)
			l.SetImpairment(w, Impairment{})
		}()
		if n, took, err := ask(c, 10); n > 0 || !isReset(err) || took < 100*time.Millisecond {
			t.Fatalf("way %d: %d bytes after %v, %v", w, n, took, err)
		}
		if n, _, err := ask(dial(), 10); err != nil {
			t.Fatalf("way %d after it: %d %v", w, n, err)
		}
		l.SetImpairment(w, Impairment{Blackhole: true})
		asked := dial()
		go func() {
			time.Sleep(50 * time.Millisecond)
			l.SetImpairment(w, Impairment{})
		}()
		if n, _, err := ask(asked, 10); n > 0 || !isReset(err) {
			t.Fatalf("way %d, asked for in the hole: %d bytes, %v", w, n, err)
		}
	}
}

func TestDelayRateAndSever(t *testing.T) {
	l, dial := behind(t, 1000)
	l.SetImpairment(Out, Impairment{Delay: 60 * time.Millisecond, Jitter: 10 * time.Millisecond})
	if n, took, err := ask(dial(), 1000); err != nil || took < 60*time.Millisecond {
		t.Fatal("delay:", n, took, err)
	}
	l.SetImpairment(Out, Impairment{})
	l.SetImpairment(Back, Impairment{Rate: 10000})
	if n, took, err := ask(dial(), 1000); err != nil || took < 100*time.Millisecond {
		t.Fatal("rate:", n, took, err)
	}
	l.SetImpairment(Back, Impairment{ResetAfter: 700})
	if n, _, err := ask(dial(), 1000); n != 700 || !isReset(err) {
		t.Fatal("sever:", n, err)
	}
}

func TestSingle(t *testing.T) {
	l, dial := behind(t, 10)
	l.SetSingle(true)
	ask(dial(), 10)
	if !refuses(l) {
		t.Fatal("a second one is taken")
	}
}

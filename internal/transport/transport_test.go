package transport

import (
	"bytes"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"regexp"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// echoHandler echoes lines and records events.
type echoHandler struct {
	loop *Loop
	note func(form string, args ...any)
}

// Received implements ConnHandler.
func (e *echoHandler) Received(c *Conn) {
	line, complete := c.In.ReadLine()
	if !complete {
		return
	}
	e.note("received %q", line)
	c.Out.WriteString(line + "\n")
	if line == "bye" {
		c.HalfClose(ShuttingDown)
		return
	}
	c.Flush()
}

// Ended implements ConnHandler.
func (e *echoHandler) Ended(c *Conn, reason Reason) { e.note("ended %s", reason) }

// serveEcho runs a loop with an echo server and calls first in its first round. The returned function stops the
// loop and returns the recorded events and the logged reasons.
func serveEcho(first func(l *Loop, at netip.AddrPort)) (netip.AddrPort, func() string) {
	var log bytes.Buffer
	l, err := NewLoop(256, 64<<20, slog.New(slog.NewTextHandler(&log, nil)))
	if err != nil {
		panic(err)
	}
	at := unusedAddress()
	var notes []string
	e := &echoHandler{loop: l, note: func(form string, args ...any) { notes = append(notes, fmt.Sprintf(form, args...)) }}
	if _, err := l.Listen("client", at, 0, func(c *Conn) {
		c.Handler, c.EvictionClass = e, func() EvictionClass { return Idle }
	}); err != nil {
		panic(err)
	}
	stop, done := make(chan bool, 1), make(chan bool)
	l.SkipWait()
	l.OnRoundStart = func(float64) {
		if first != nil {
			first(l, at)
			first = nil
		}
		select {
		case <-stop:
			l.Quit()
		default:
		}
	}
	go func() {
		if err := l.Run(); err != nil {
			panic(err)
		}
		close(done)
	}()
	return at, func() string {
		stop <- true
		l.Wake()
		<-done
		for _, m := range regexp.MustCompile(`reason=(\S+) kind=(\w+)`).FindAllStringSubmatch(log.String(), -1) {
			notes = append(notes, "log "+m[1]+" "+m[2])
		}
		return strings.Join(notes, "\n")
	}
}

// A connection's end is delivered once and logged once with its reason. HalfClose still delivers the answer
// when more input arrives that nobody reads.
func ExampleLoop() {
	at, stop := serveEcho(nil)
	first, _ := net.Dial("tcp", at.String())
	first.Write([]byte("one\n"))
	var b [64]byte
	n, _ := first.Read(b[:])
	fmt.Printf("%q\n", b[:n])
	first.Close()
	time.Sleep(20 * time.Millisecond)
	second, _ := net.Dial("tcp", at.String())
	second.Write([]byte("bye\nunread"))
	time.Sleep(20 * time.Millisecond)
	second.Write([]byte("unread too"))
	n, _ = second.Read(b[:])
	fmt.Printf("%q\n", b[:n])
	n, err := second.Read(b[:])
	fmt.Println(n, err)
	second.Close()
	time.Sleep(20 * time.Millisecond)
	fmt.Println(stop())
	// Output:
	// "one\n"
	// "bye\n"
	// 0 EOF
	// received "one"
	// ended peer-closed
	// received "bye"
	// log peer-closed client
	// log stopping client
}

// dialHandler records the ends of the connections that it has opened.
type dialHandler struct{ ends chan Reason }

// Received implements ConnHandler.
func (d *dialHandler) Received(*Conn) {}

// Ended implements ConnHandler.
func (d *dialHandler) Ended(c *Conn, reason Reason) { d.ends <- reason }

// A connection that is refused or has no address ends without having been established.
func ExampleLoop_Dial() {
	d := &dialHandler{make(chan Reason, 2)}
	_, stop := serveEcho(func(l *Loop, at netip.AddrPort) {
		l.Dial("host", netip.AddrPortFrom(at.Addr(), 1), d)
		l.Dial("host", netip.AddrPort{}, d)
	})
	fmt.Println(<-d.ends, <-d.ends)
	fmt.Println(stop())
	// Output:
	// connect-failed connect-failed
	// log connect-failed host
	// log connect-failed host
}

// Guards against a late connect timer: it ends a connection that does not come up, but not one that was
// established and whose end, or whose later work, falls behind the timeout.
func ExampleConn_LimitConnecting() {
	full, _ := net.Listen("tcp", "127.0.0.1:0")
	defer full.Close()
	raw, _ := full.(*net.TCPListener).SyscallConn()
	raw.Control(func(fd uintptr) { unix.Listen(int(fd), 0) })
	filler, _ := net.Dial("tcp", full.Addr().String()) // the backlog is full now, so no other connection comes up
	defer filler.Close()
	open, _ := net.Listen("tcp", "127.0.0.1:0")
	defer open.Close()
	late, prompt := &dialHandler{make(chan Reason, 2)}, &dialHandler{make(chan Reason, 2)}
	_, stop := serveEcho(func(l *Loop, _ netip.AddrPort) {
		l.Dial("host", full.Addr().(*net.TCPAddr).AddrPort(), late).LimitConnecting(50)
		l.Dial("host", open.Addr().(*net.TCPAddr).AddrPort(), prompt).LimitConnecting(50)
	})
	fmt.Println(<-late.ends)
	peer, _ := open.Accept()
	time.Sleep(100 * time.Millisecond)
	peer.Close()
	fmt.Println(<-prompt.ends)
	fmt.Println(stop())
	// Output:
	// connect-timeout
	// peer-closed
	// log connect-timeout host
	// log peer-closed host
}

// quietChecker calls IsQuiet before and after more input arrives that the loop has not collected.
type quietChecker struct {
	other chan net.Conn
	quiet chan bool
}

// Received implements ConnHandler.
func (r *quietChecker) Received(c *Conn) {
	c.In.Free()
	r.quiet <- c.IsQuiet()
	(<-r.other).Write([]byte("more"))
	time.Sleep(20 * time.Millisecond)
	r.quiet <- c.IsQuiet()
	c.Close(UnexpectedInput)
}

// Ended implements ConnHandler.
func (r *quietChecker) Ended(*Conn, Reason) {}

// Unexpected input after an answer is noticed before the connection is reused, even if the loop has not
// collected it.
func ExampleConn_IsQuiet() {
	listener, _ := net.Listen("tcp", "127.0.0.1:0")
	defer listener.Close()
	r := &quietChecker{make(chan net.Conn, 1), make(chan bool, 2)}
	_, stop := serveEcho(func(l *Loop, _ netip.AddrPort) {
		l.Dial("host", listener.Addr().(*net.TCPAddr).AddrPort(), r)
	})
	other, _ := listener.Accept()
	r.other <- other
	other.Write([]byte("answer"))
	fmt.Println(<-r.quiet, <-r.quiet)
	fmt.Println(stop())
	// Output:
	// true false
	// log not-quiet host
}

// Timers fire in the order of their times, and in the order of setting for equal times. A timer that is set
// again or stopped does not fire at its earlier time.
func ExampleLoop_SetTimer() {
	l, _ := NewLoop(256, 64<<20, slog.New(slog.DiscardHandler))
	var all [5]Timer
	for i := range all {
		all[i].Fire = func() { fmt.Println("timer", i) }
	}
	for i, after := range []float64{30, 10, 10, 20, 5} {
		l.SetTimer(&all[i], after)
	}
	l.StopTimer(&all[4])
	l.SetTimer(&all[3], 40)
	for range 4 {
		l.now += 10
		fmt.Println("round")
		l.fireDue()
	}
	// Output:
	// round
	// timer 1
	// timer 2
	// round
	// round
	// timer 0
	// round
	// timer 3
}

// A limit that is used up by the reserved descriptors is an error.
func ExampleNewLoop() {
	_, err := NewLoop(20, 64<<20, slog.New(slog.DiscardHandler))
	fmt.Println(err)
	// Output:
	// sockets: 20, want 64 or more
}

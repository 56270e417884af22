package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"larchthread/internal/standin"
)

// A host that refuses a connection because its table is full is not asked again for a while, so that such
// refusals do not cost a push per op.
func Example_tableFull() {
	f := &fleet{}
	f.AddHost("x", func([]string) string { return "SERVER_ERROR busy\r\ndrop" })
	f.AddHost("b", hit)
	f.AddOrigin(handleOrigin)
	f.start()
	defer f.stop()
	c := f.newClient()
	for i := range 8 {
		c.sendAndPrint(2, fmt.Sprintf("mg key%d v O%d Pc=read,d=500\r\n", i, i))
	}
	fmt.Println("asked for a connection:", strings.Count(strings.Join(f.Notes(), "\n"), "x: mg"))
	f.stopAndPrintReasons("table-full")
	// Output:
	// VA 5 O0
	// value
	// VA 5 O1
	// value
	// VA 5 O2
	// value
	// VA 5 O3
	// value
	// VA 5 O4
	// value
	// VA 5 O5
	// value
	// VA 5 O6
	// value
	// VA 5 O7
	// value
	// asked for a connection: 1
	// table-full 1
}

// Commands in one write or in pieces are answered in order, even if a later one completes first.
func Example_pipeline() {
	f := &fleet{}
	f.AddHost("a", func(words []string) string {
		if words[1] == "slow" {
			time.Sleep(30 * time.Millisecond)
		}
		return "VA 4 O{id}\r\n" + (words[1] + "....")[:4] + "\r\n"
	})
	f.AddOrigin(handleOrigin)
	f.start()
	defer f.stop()
	c := f.newClient()
	c.sendAndPrint(5, "mg slow v O1 Pc=read,d=500\r\nmg fast v O2 Pc=read,d=500\r\nmn\r\n")
	for _, piece := range []string{"m", "g fast v O3 Pc=re", "ad,d=500\r", "\nms k 4 O4 Pc=put,d=500\r\nab"} {
		c.sendAndPrint(0, piece)
		time.Sleep(5 * time.Millisecond)
	}
	c.sendAndPrint(3, "cd\r\n")
	io.WriteString(c, "mg slow v O5 Pc=read,d=500\r\n"+strings.Repeat("mn\r\n", 1000)) // more than are queued for a connection
	pongs := 0
	for pongs < 1000 {
		if line, err := c.reader.ReadString('\n'); err != nil {
			break
		} else if line == "MN\r\n" {
			pongs++
		}
	}
	fmt.Println(pongs, "pongs")
	// Output:
	// VA 4 O1
	// slow
	// VA 4 O2
	// fast
	// MN
	// VA 4 O3
	// fast
	// HD O4 creceipt
	// 1000 pongs
}

// An answer with another ID ends its connection, and the op goes on to the next server.
func Example_wrongAnswer() {
	f := &fleet{}
	first := true
	bad := func(answer string) func([]string) string {
		return func(words []string) string {
			if first {
				first = false
				return answer
			}
			return hit(words)
		}
	}
	f.AddHost("a", bad("VA 5 Oother\r\nwrong\r\n"))
	f.AddHost("b", bad("VA 5 Oother\r\nwrong\r\n"))
	f.AddOrigin(handleOrigin)
	f.start()
	defer f.stop()
	c := f.newClient()
	c.sendAndPrint(2, "mg k v O1 Pc=read,d=500\r\n")
	f.stopAndPrintReasons("wrong-answer")
	// Output:
	// VA 5 O1
	// value
	// wrong-answer 1
}

// An at-most-once op fails if it may have run, as when the host breaks the connection, and is nacked if it has
// not, as when the host refuses it or cannot be reached.
func Example_neverRan() {
	f := &fleet{}
	f.AddHost("a", func(words []string) string {
		switch words[1] {
		case "break":
			return "drop"
		case "busy":
			return "SERVER_ERROR busy\r\n"
		case "fail":
			return "SERVER_ERROR failed\r\n"
		}
		return hit(words)
	})
	f.start()
	defer f.stop()
	gone := f.newClient()
	gone.sendAndPrint(1, "mg busy v O1 Pc=once,d=500\r\n")
	time.Sleep(50 * time.Millisecond) // its only connection is idle and reused
	gone.sendAndPrint(1, "mg fail v O2 Pc=once,d=500\r\n")
	time.Sleep(600 * time.Millisecond) // the host is avoided after a failure
	gone.sendAndPrint(1, "mg break v O3 Pc=once,d=500\r\n")
	time.Sleep(1200 * time.Millisecond)
	f.Closers[0].Close() // the host's connection has ended, and no new one can be opened
	gone.sendAndPrint(1, "mg k v O4 Pc=once,d=500\r\n")
	f.printNotes()
	// Output:
	// SERVER_ERROR busy ..
	// SERVER_ERROR failed
	// SERVER_ERROR failed
	// SERVER_ERROR busy ..
	//   a: mg busy v O1 Pc=once,d=..
	//   a: mg fail v O2 Pc=once,d=..
	//   a: mg break v O3 Pc=once,d=..
}

// A push to a silent host is cancelled by closing its connection before the next push is sent.
func Example_callOff() {
	f := &fleet{}
	var first atomic.Pointer[net.TCPConn]
	ended := make(chan bool)
	serve := func(c net.Conn) {
		line, err := bufio.NewReader(c).ReadString('\n')
		if err != nil {
			return
		}
		f.Notef("x: %s", strings.TrimSpace(line))
		if first.CompareAndSwap(nil, c.(*net.TCPConn)) { // stays silent, and leaves the end of the connection unread
			<-ended
			return
		}
		f.Notef("the first connection is closed: %t", hasUnreadEOF(first.Load()))
		io.WriteString(c, "VA 5 O1\r\nvalue\r\n")
		<-ended
	}
	for _, name := range []string{"x", "x2"} {
		l := standin.ListenLoopback()
		f.Members = append(f.Members, standin.MemberJSON(name, l.Addr().String(), standin.KindHost, standin.InService))
		f.Serve(l, serve)
	}
	f.start()
	defer f.stop()
	defer close(ended)
	c := f.newClient()
	c.sendAndPrint(2, "mg k v O1 Pc=read,d=590\r\n")
	f.printNotes()
	// Output:
	// VA 5 O1
	// value
	//   x: mg k v O1 Pc=read,d=..
	//   x: mg k v O1 Pc=read,d=..
	//   the first connection is closed: true
}

// hasUnreadEOF reports whether the peer has closed the connection and the end has not been read.
func hasUnreadEOF(c *net.TCPConn) (ended bool) {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		ended = n == 0 && err == nil
	})
	return ended
}

// awaitClosed waits up to 5 s until a host has recorded the end of a connection.
func (f *fleet) awaitClosed() {
	for range 500 {
		if slices.ContainsFunc(f.Notes(), func(note string) bool { return strings.HasSuffix(note, ": connection closed") }) {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	fmt.Println("no connection was closed")
}

// startWithCopies starts a fleet of two cache hosts that allow copies. The first push of each key is answered by
// first, later ones with a hit after 50 ms.
func startWithCopies(first func(words []string) string) *fleet {
	f := &fleet{settings: settingsWithCopies}
	var seen sync.Map
	answer := func(words []string) string {
		if _, again := seen.LoadOrStore(words[1], true); !again {
			return first(words)
		}
		time.Sleep(50 * time.Millisecond)
		return hit(words)
	}
	f.AddHost("x", answer)
	f.AddHost("x2", answer)
	f.start()
	return f
}

// If copies are allowed, a slow push stays open while a copy goes to another host. The first valid answer is
// passed on; the other is discarded and its connection reused. An at-most-once op is not copied.
func Example_copies() {
	for _, op := range []string{"both v O1 Pc=read", "hang v O2 Pc=read", "fails v O3 Pc=read", "once v O4 Pc=once"} {
		f := startWithCopies(func(words []string) string {
			switch words[1] {
			case "fails":
				time.Sleep(130 * time.Millisecond)
				return "SERVER_ERROR failed\r\n"
			case "both":
				time.Sleep(250 * time.Millisecond)
				return hit(words)
			}
			return ""
		})
		c := f.newClient()
		c.sendAndPrint(1, "mg "+op+",d=350\r\n")
		time.Sleep(200 * time.Millisecond)
		if strings.HasPrefix(op, "hang") || strings.HasPrefix(op, "once") { // in the other cases no connection is closed
			f.awaitClosed()
		}
		f.printNotesSorted()
		if !strings.HasPrefix(op, "once") {
			c.sendAndPrint(1, "") // the value, with no second answer behind it
		}
		c.sendAndPrint(2, "mg other v O9 Pc=read,d=590\r\n")
		f.stop()
	}
	// Output:
	// VA 5 O1
	//   x: mg both v O1 Pc=read,d=..
	//   x: mg both v O1 Pc=read,d=..
	// value
	// VA 5 O9
	// value
	// VA 5 O2
	//   x: connection closed
	//   x: mg hang v O2 Pc=read,d=..
	//   x: mg hang v O2 Pc=read,d=..
	// value
	// VA 5 O9
	// value
	// VA 5 O3
	//   x: mg fails v O3 Pc=read,d=..
	//   x: mg fails v O3 Pc=read,d=..
	// value
	// VA 5 O9
	// value
	// SERVER_ERROR failed
	//   x: connection closed
	//   x: mg once v O4 Pc=once,d=..
	// VA 5 O9
	// value
}

// A client that disconnects has both copies cancelled; on shutdown an op with two copies is answered.
func Example_copiesEnd() {
	var seen atomic.Int32
	f := startWithCopies(func([]string) string { seen.Add(1); return "" })
	defer f.stop()
	gone := f.newClient()
	io.WriteString(gone, "mg slow v O1 Pc=read,d=590\r\n")
	for seen.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(115 * time.Millisecond) // the copy has been sent and takes 50 ms
	gone.Close()
	time.Sleep(100 * time.Millisecond)
	f.printNotesSorted()
	c := f.newClient()
	io.WriteString(c, "mg end v O2 Pc=read,d=590\r\n")
	time.Sleep(120 * time.Millisecond)
	f.process.Process.Signal(syscall.SIGTERM)
	c.sendAndPrint(2, "")
	f.process.Wait()
	fmt.Println("ended in good order:", f.process.ProcessState.Success())
	// Output:
	//   x: connection closed
	//   x: connection closed
	//   x: mg slow v O1 Pc=read,d=..
	//   x: mg slow v O1 Pc=read,d=..
	// VA 5 O2
	// value
	// ended in good order: true
}

// A malformed load report does not affect its answer.
func Example_garbledReport() {
	f := &fleet{settings: settingsWithCopies}
	f.AddHost("a", miss)
	reports := []string{"busy=0.5,q=2", "busy=,q", "=,=,,busy=NaN,q=-3", "busy=1e999,\u00ff=4", strings.Repeat("q=1,", 99)}
	f.AddOrigin(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Server-Load", reports[0])
		reports = reports[1:]
		handleOrigin(w, r)
	})
	f.start()
	defer f.stop()
	c := f.newClient()
	for i := range len(reports) {
		c.sendAndPrint(2, fmt.Sprintf("mg k%d v O%d Pc=read,d=590\r\n", i, i))
	}
	// Output:
	// VA 7 O0
	// fetched
	// VA 7 O1
	// fetched
	// VA 7 O2
	// fetched
	// VA 7 O3
	// fetched
	// VA 7 O4
	// fetched
}

// Bytes behind an answer are not read as the next op's answer: the connection ends, and the next op uses a new
// one.
func Example_leftover() {
	f := &fleet{}
	f.AddHost("a", func(words []string) string {
		if words[1] == "twice" {
			return "VA 5 O{id}\r\nfirst\r\nVA 5 O2\r\nwrong\r\n"
		}
		return hit(words)
	})
	f.start()
	defer f.stop()
	c := f.newClient()
	c.sendAndPrint(2, "mg twice v O1 Pc=read,d=500\r\n")
	c.sendAndPrint(2, "mg k v O2 Pc=read,d=500\r\n")
	c.Close()
	f.stopAndPrintReasons("bad-input", "wrong-answer")
	// Output:
	// VA 5 O1
	// first
	// VA 5 O2
	// value
	// bad-input 1
	// wrong-answer 0
}

// An op whose reused connection breaks is sent to the same host again on a new connection, because a stale
// connection does not mean that the host failed.
func Example_stale() {
	f := &fleet{}
	n := 0
	f.AddHost("a", func(words []string) string {
		if n++; n == 2 {
			return "drop"
		}
		return hit(words)
	})
	f.start()
	defer f.stop()
	c := f.newClient()
	c.sendAndPrint(2, "mg k v O1 Pc=read,d=500\r\n")
	c.sendAndPrint(2, "mg k v O2 Pc=read,d=500\r\n")
	f.printNotes()
	// Output:
	// VA 5 O1
	// value
	// VA 5 O2
	// value
	//   a: mg k v O1 Pc=read,d=..
	//   a: mg k v O2 Pc=read,d=..
	//   a: mg k v O2 Pc=read,d=..
}

// After a host has fallen silent a new connection is opened, because its idle ones may be dead.
func Example_vanished() {
	f := &fleet{}
	f.AddHost("a", func(words []string) string {
		switch words[1] {
		case "slow":
			time.Sleep(30 * time.Millisecond)
		case "lost":
			return ""
		}
		return hit(words)
	})
	f.start()
	defer f.stop()
	c := f.newClient()
	c.sendAndPrint(4, "mg slow v O1 Pc=read,d=500\r\nmg slow2 v O2 Pc=read,d=500\r\n")
	c.sendAndPrint(1, "mg lost v O3 Pc=once,d=150\r\n")
	time.Sleep(600 * time.Millisecond) // the host is avoided for a while
	c.sendAndPrint(2, "mg k v O4 Pc=read,d=500\r\n")
	c.Close()
	f.stopAndPrintReasons("called-off", "host-silent")
	// Output:
	// VA 5 O1
	// value
	// VA 5 O2
	// value
	// SERVER_ERROR failed
	// VA 5 O4
	// value
	// called-off 1
	// host-silent 1
}

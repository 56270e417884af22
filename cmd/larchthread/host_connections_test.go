package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"larchthread/internal/standin"
)

// A push whose connection is established after its client disconnected, or too late for an answer, is not
// written, even if pushes may not be cancelled. The op never ran, so it is nacked and not dead-lettered.
func Example_lateConnection() {
	for _, leave := range []bool{true, false} {
		// Without tardyBenefit an op is settled at its target latency.
		f, h := startSlowConnectFleet(strings.ReplaceAll(defaultSettings, `"tardyBenefit":0.5`, `"tardyBenefit":0`))
		h.fillBacklog()
		c := f.newClient()
		c.sendAndPrint(0, "mg k v O1 Pc=once,d=2500\r\n")
		if leave {
			time.Sleep(50 * time.Millisecond)
			c.Close()
		} else {
			c.sendAndPrint(1, "")
		}
		h.acceptAndPrint()
		f.stop()
	}
	// Output:
	// heard: []
	// SERVER_ERROR busy ..
	// heard: []
}

// A repeat of a deduplicated op is not written if its connection is established after the deduplication window
// may have ended.
func Example_repeatBehindItsWindow() {
	f, h := startSlowConnectFleet(defaultSettings)
	defer f.stop()
	c := f.newClient()
	c.sendAndPrint(0, "mg k v O1 Pc=put,d=2500\r\n")
	first, err := h.Accept()
	if err != nil {
		panic(err)
	}
	r := bufio.NewReader(first)
	line, _ := r.ReadString('\n')
	fmt.Println(strings.Contains(line, " O1 "))
	io.WriteString(first, "VA 5 O1\r\nvalue\r\n")
	c.sendAndPrint(2, "")
	time.Sleep(100 * time.Millisecond) // the connection becomes idle and is reused
	c.sendAndPrint(0, "mg k v O2 Pc=put,d=2500\r\n")
	line, _ = r.ReadString('\n')
	fmt.Println(strings.Contains(line, " O2 "))
	h.fillBacklog()
	first.Close()                      // the op may have run
	time.Sleep(600 * time.Millisecond) // the window has ended, and the repeat's connection is not yet accepted
	h.acceptAndPrint()
	// Output:
	// true
	// VA 5 O1
	// value
	// true
	// heard: []
}

// A second answer to one push is not taken for the answer to the next. Without an ID it would repeat or nack an
// at-most-once op that still runs. A read that may be affected ends the connection first.
func Example_secondAnswer() {
	f := &fleet{}
	l := standin.ListenLoopback()
	f.Members = append(f.Members, standin.MemberJSON("a", l.Addr().String(), standin.KindHost, standin.InService))
	var conns atomic.Int32
	f.Serve(l, func(c net.Conn) {
		n := conns.Add(1)
		r := bufio.NewReader(c)
		for answered := 0; ; answered++ {
			line, err := r.ReadString('\n')
			if err != nil {
				f.Notef("connection %d closed", n)
				return
			}
			words := strings.Fields(line)
			f.Notef("connection %d: %s", n, words[3])
			if answered > 0 && strings.HasSuffix(words[3], "1") { // repeats the previous answer, then takes some time for this one
				io.WriteString(c, "SERVER_ERROR busy\r\n")
				time.Sleep(100 * time.Millisecond)
			}
			io.WriteString(c, "VA 5 "+words[3]+"\r\nvalue\r\n")
		}
	})
	f.start()
	defer f.stop()
	for _, category := range []string{"once", "read"} {
		c := f.newClient()
		commands := ""
		for i := range 2 {
			commands += fmt.Sprintf("mg k v O%s%d Pc=%s,d=500\r\n", category, i, category)
		}
		first, second, _ := strings.Cut(commands, "\n")
		c.sendAndPrint(0, first+"\n")
		c.reader.ReadString('\n')
		c.reader.ReadString('\n')
		c.sendAndPrint(0, second) // without a pause
		line, _ := c.reader.ReadString('\n')
		fmt.Println(retryDelayPattern.ReplaceAllString(strings.TrimSpace(line), "busy .."))
		time.Sleep(150 * time.Millisecond)
	}
	for _, n := range f.Notes() {
		if strings.HasPrefix(n, "connection") {
			fmt.Println(n)
		}
	}
	f.stopAndPrintReasons("wrong-answer", "bad-input")
	// Output:
	// VA 5 Oonce1
	// SERVER_ERROR busy ..
	// connection 1: Oonce0
	// connection 2: Oonce1
	// connection 2: Oread0
	// connection 2: Oread1
	// connection 2 closed
	// wrong-answer 1
	// bad-input 0
}

// A push whose host starts draining while the connection is established is not written, because the host may
// exit at any time.
func Example_drainWhileConnecting() {
	f, h := startSlowConnectFleet(defaultSettings)
	defer f.stop()
	h.fillBacklog()
	c := f.newClient()
	c.sendAndPrint(0, "mg k v O1 Pc=once,d=2500\r\n")
	time.Sleep(50 * time.Millisecond)
	f.drainFirstHost()
	f.awaitNote("discovery: 2", 1)
	h.acceptAndPrint()
	c.sendAndPrint(1, "")
	// Output:
	// heard: []
	// SERVER_ERROR busy ..
}

// An answer that arrives before its push is fully written ends the connection, because the next push would be
// read as the rest of this one.
func Example_answerBeforeTheEnd() {
	f := &fleet{}
	f.AddHost("a", miss)
	l := standin.ListenLoopback()
	f.Members = append(f.Members, standin.MemberJSON("log", l.Addr().String(), standin.KindOrigin, standin.InService))
	var conns atomic.Int32
	f.Serve(l, func(c net.Conn) {
		n := conns.Add(1)
		for r := bufio.NewReader(c); ; {
			line, err := r.ReadString('\n')
			if err != nil {
				return
			}
			if verb, rest, _ := strings.Cut(line, " "); verb == "PUT" || verb == "GET" {
				f.Notef("origin %d: %s %s", n, verb, strings.Fields(rest)[0])
				if verb == "GET" {
					io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nfetched")
					continue
				}
				io.WriteString(c, "HTTP/1.1 503 busy\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n")
				time.Sleep(time.Second) // leaves the rest unread
			}
		}
	})
	f.start()
	defer f.stop()
	c := f.newClient()
	c.sendAndPrint(1, fmt.Sprintf("ms w %d O1 Pc=put,d=500\r\n%s\r\n", len(longValue), longValue))
	time.Sleep(300 * time.Millisecond) // the origin is avoided for a while
	c.sendAndPrint(2, "mg k v O2 Pc=read,d=500\r\n")
	for _, n := range f.Notes() {
		if strings.HasPrefix(n, "origin") {
			fmt.Println(n)
		}
	}
	// Output:
	// SERVER_ERROR busy ..
	// VA 7 O2
	// fetched
	// origin 1: PUT /w
	// origin 2: GET /k
}

// A push whose connection breaks before its last byte is written never ran, so even an at-most-once op is
// nacked.
func Example_brokenWhileWritten() {
	f := &fleet{}
	f.AddHost("a", miss)
	l := standin.ListenLoopback()
	f.Members = append(f.Members, standin.MemberJSON("log", l.Addr().String(), standin.KindOrigin, standin.InService))
	f.Serve(l, func(c net.Conn) {
		bufio.NewReader(c).ReadString('\n')
		f.Notef("origin: begun")
		standin.ResetConn(c)
	})
	f.start()
	defer f.stop()
	f.newClient().sendAndPrint(1, fmt.Sprintf("ms w %d O1 Pc=once,d=500\r\n%s\r\n", len(longValue), longValue))
	f.awaitNote("origin: begun", 1)
	// Output:
	// SERVER_ERROR busy ..
}

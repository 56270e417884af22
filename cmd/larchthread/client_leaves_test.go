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

// A client that disconnects with more open commands than are read at once is noticed, and nothing more is sent
// for it.
func Example_leftWhilePaused() {
	f := &fleet{}
	var gone atomic.Int64
	var late atomic.Int32
	for _, name := range []string{"a", "b", "c", "d", "e", "f"} { // a silent host is given up for the next one
		f.AddHost(name, func([]string) string {
			if at := gone.Load(); at > 0 && time.Since(time.UnixMilli(at)) > 100*time.Millisecond {
				late.Add(1)
			}
			return ""
		})
	}
	f.start()
	defer f.stop()
	c := f.newClient()
	var all strings.Builder
	all.WriteString("mg k v Ofirst Pc=once,d=5000\r\n") // unanswered, so it blocks the answers behind it
	for i := range 300 {                                // only 256 are read at once
		fmt.Fprintf(&all, "mg k%d v O%d Pc=read,d=5000\r\n", i, i)
	}
	c.sendAndPrint(0, all.String())
	for f.countPushes("0") == 0 {
		time.Sleep(time.Millisecond)
	}
	gone.Store(time.Now().UnixMilli())
	c.Close()
	time.Sleep(1500 * time.Millisecond)
	fmt.Println("sent on late:", late.Load())
	// Output:
	// sent on late: 0
}

// The op of a client that disconnected before its connection was accepted is not sent.
func Example_leftBeforeAccept() {
	f := &fleet{}
	f.AddHost("a", hit)
	f.start()
	defer f.stop()
	other := f.newClient()
	other.sendAndPrint(2, "mg k v O1 Pc=read,d=500\r\n") // opens a host connection
	f.whileStopped(func() {
		c := f.newClient()
		c.sendAndPrint(0, "mg k v O2 Pc=read,d=5000\r\n")
		c.Close()
	})
	retry := "mg k v O3 Pc=read,d=500\r\n"
	other.sendAndPrint(0, retry)
	fmt.Println("served on:", other.readValue("value", retry)) // some ops are nacked after a stall
	fmt.Println("sent on:", f.countPushes("2"))
	f.stopAndPrintReasons("called-off")
	// Output:
	// VA 5 O1
	// value
	// served on: true
	// sent on: 0
	// called-off 0
}

// A client that disconnects during a long answer has the rest cancelled at its host.
func Example_leftWhileAnswered() {
	f := &fleet{}
	l := standin.ListenLoopback()
	f.Members = append(f.Members, standin.MemberJSON("a", l.Addr().String(), standin.KindHost, standin.InService))
	f.Serve(l, func(c net.Conn) {
		r := bufio.NewReader(c)
		r.ReadString('\n')
		io.WriteString(c, "VA 100000 O1\r\n"+longValue[:70000])
		r.ReadString('\n')
		f.Notef("closed")
	})
	f.start()
	defer f.stop()
	c := f.newClient()
	c.sendAndPrint(1, "mg k v O1 Pc=read,d=5000\r\n")
	began := time.Now()
	c.Close()
	f.awaitNote("closed", 1)
	fmt.Println("soon:", time.Since(began) < 100*time.Millisecond)
	// Output:
	// VA 100000 O1
	// soon: true
}

// An op that arrives after the process has half-closed the connection is not sent, and earlier answers are
// complete.
func Example_opBehindTheHalfClose() {
	f := &fleet{}
	f.AddHost("a", hit)
	f.start()
	defer f.stop()
	c := f.newClient()
	c.sendAndPrint(3, "mg k v O1 Pc=read,d=500\r\n") // closed for idleness
	c.sendAndPrint(0, "mg k v O2 Pc=read,d=500\r\n")
	time.Sleep(300 * time.Millisecond)
	fmt.Println("sent on:", f.countPushes("2"))
	// Output:
	// VA 5 O1
	// value
	// client:  false true
	// sent on: 0
}

// A long write whose client disconnects is broken off, so that no partial write takes effect.
func Example_leftWhileWritten() {
	f := &fleet{}
	f.AddHost("a", miss)
	l := standin.ListenLoopback()
	f.Members = append(f.Members, standin.MemberJSON("log", l.Addr().String(), standin.KindOrigin, standin.InService))
	begun, read := make(chan bool), make(chan bool)
	whole := make(chan bool)
	f.Serve(l, func(c net.Conn) {
		r := bufio.NewReader(c)
		r.ReadString('\n')
		close(begun)
		<-read
		n, _ := io.Copy(io.Discard, r)
		whole <- n >= int64(len(longValue))
	})
	f.start()
	defer f.stop()
	c := f.newClient()
	c.sendAndPrint(0, fmt.Sprintf("ms w %d O1 Pc=put,d=5000\r\n%s\r\n", len(longValue), longValue))
	<-begun
	c.Close()
	time.Sleep(100 * time.Millisecond)
	close(read)
	began := time.Now()
	fmt.Println("whole:", <-whole, "ended soon:", time.Since(began) < time.Second)
	// Output:
	// whole: false ended soon: true
}

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
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

// Guards against requests that are sent on for clients that left before their connections were accepted, where more than is
// read at once stands in the sockets.
func TestLeftBeforeAcceptWithMuchUnread(t *testing.T) {
	const clients, commands = 30, 3500
	f := &fleet{settings: patientSettings, limits: `{"cores":1,"memory_mb":192,"sockets":128}`}
	f.AddHost("a", hit)
	f.start()
	defer f.stop()
	f.newClient().sendAndPrint(0, "mg k v Oknown Pc=read,d=500\r\n") // opens a host connection
	f.awaitNote("a: mg k v Oknown Pc=read,d=..", 1)
	f.whileStopped(func() {
		for i := range clients {
			c := f.newClient()
			var text strings.Builder
			for n := range commands {
				fmt.Fprintf(&text, "mg k%d v Oleft%d-%d Pc=read,d=3000\r\n", n, i, n)
			}
			c.SetWriteDeadline(time.Now().Add(50 * time.Millisecond)) // as much as the kernel accepts
			io.WriteString(c, text.String())
			c.Close()
		}
	})
	time.Sleep(500 * time.Millisecond)
	if n := strings.Count(strings.Join(f.Notes(), "\n"), "Oleft"); n > 0 {
		t.Errorf("%d requests were sent on", n)
	}
}

// Guards against requests that are sent on after their clients have left, with much of what they sent still unread.
func TestLeftWithMuchUnread(t *testing.T) {
	const clients = 100
	for _, c := range []struct {
		name    string
		command func(client, n int) string
		sends   int
	}{
		{"reads", func(client, n int) string { return fmt.Sprintf("mg k%d v O%d-%d Pc=read,d=3000\r\n", n, client, n) }, 10_000},
		{"writes", func(client, n int) string {
			return fmt.Sprintf("ms w%d 1000 O%d-%d Pc=put,d=3000\r\n%s\r\n", n, client, n, longValue[:1000])
		}, 500},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := &fleet{settings: patientSettings}
			var left atomic.Int64 // Unix ms
			var late atomic.Int32
			note := func() {
				if at := left.Load(); at > 0 && time.Since(time.UnixMilli(at)) > 500*time.Millisecond {
					late.Add(1)
				}
			}
			f.addHosts(8, func(words []string) string {
				note()
				if words[1] == "slow" {
					time.Sleep(time.Second)
				}
				return hit(words)
			})
			f.AddOrigin(func(w http.ResponseWriter, r *http.Request) {
				note()
				handleOrigin(w, r)
			})
			f.start()
			defer f.stop()
			var all sync.WaitGroup
			for i := range clients {
				client := f.newClient()
				all.Go(func() {
					var text strings.Builder
					fmt.Fprintf(&text, "mg slow v Oslow%d Pc=once,d=3000\r\n", i)
					for n := range c.sends {
						text.WriteString(c.command(i, n))
					}
					client.SetWriteDeadline(time.Now().Add(300 * time.Millisecond)) // as much as the kernel accepts
					io.WriteString(client, text.String())
					time.Sleep(100 * time.Millisecond)
					client.Close()
				})
			}
			all.Wait()
			left.Store(time.Now().UnixMilli())
			time.Sleep(2500 * time.Millisecond)
			t.Log("sent on late:", late.Load(), "ended:", f.endReasons())
			if late.Load() > 0 {
				t.Errorf("%d requests were sent on late", late.Load())
			}
		})
	}
}

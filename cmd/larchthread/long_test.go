package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"larchthread/internal/standin"
)

// Long values go through whole, from host and origin, to clients that read slowly, with far more of them open than memory
// would hold; small ops are served meanwhile. One that breaks off in the middle ends the client's connection there.
func Example_longReads() {
	f := &fleet{limits: `{"cores":1,"memory_mb":64,"sockets":512}`}
	f.AddHost("a", func(words []string) string {
		switch {
		case strings.HasPrefix(words[1], "far"):
			return miss(words)
		case words[1] == "cut":
			return "VA 100000 O{id}\r\n" + longValue[:50000] + "drop"
		case strings.HasPrefix(words[1], "big"):
			time.Sleep(time.Duration(5+20*(len(words[1])%2)) * time.Millisecond)
			return fmt.Sprintf("VA %d O{id}\r\n%s\r\n", len(longValue), longValue)
		case words[1] == "odd": // just over what is read whole
			return fmt.Sprintf("VA %d O{id}\r\n%s\r\n", 65537, longValue[:65537])
		}
		return hit(words)
	})
	f.AddOrigin(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", fmt.Sprint(len(longValue)))
		io.WriteString(w, longValue)
	})
	f.start()
	defer f.stop()
	c := f.newClient()
	c.sendAndPrint(0, "mg big v O1 Pc=read,d=500\r\nmg odd v O2 Pc=read,d=500\r\n")
	fmt.Println("in one write:", c.readValue(longValue, ""), c.readValue(longValue[:65537], ""))
	far := "mg far v O3 Pc=read,d=500\r\n"
	c.sendAndPrint(0, far)
	fmt.Println("from the origin:", c.readValue(longValue, far))
	var slow []*client
	ask := func(i int) string { return fmt.Sprintf("mg big%d v Oslow%d Pc=read,d=500\r\n", i, i) }
	for i := range 60 {
		s := f.newClient()
		s.sendAndPrint(0, ask(i))
		slow = append(slow, s)
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(200 * time.Millisecond)
	c.sendAndPrint(2, "mg hot v O4 Pc=read,d=500\r\n")
	var whole atomic.Int32
	var all sync.WaitGroup
	for i, s := range slow { // side by side: one that has to wait for the others for over 2 s is idle, and for over 5 s takes nothing
		all.Go(func() {
			if s.readValue(longValue, ask(i)) {
				whole.Add(1)
			}
		})
	}
	all.Wait()
	fmt.Println("slow ones whole:", whole.Load(), "within memory:", f.peakMemoryMB() < 64)
	c = f.newClient() // the other may have been idle for too long
	c.sendAndPrint(0, "mg cut v O5 Pc=read,d=500\r\n")
	head, _ := c.reader.ReadString('\n')
	rest, err := io.ReadAll(c.reader)
	fmt.Println(strings.TrimSpace(head), len(rest) <= 50000, strings.HasPrefix(longValue, string(rest)), err)
	// Output:
	// in one write: true true
	// from the origin: true
	// VA 5 O4
	// value
	// slow ones whole: 60 within memory: true
	// VA 100000 O5 true true <nil>
}

// Long values are written whole, though together they are more than may be in memory at once; a client that stops in the
// middle of one doesn't hold up the others for good, and one that is too long is refused at once.
func Example_longWrites() {
	f := &fleet{limits: `{"cores":1,"memory_mb":64,"sockets":512}`}
	f.AddHost("a", hit)
	f.AddOrigin(handleOrigin)
	f.start()
	defer f.stop()
	var all sync.WaitGroup
	halves := make([]*client, 3)
	for i := range halves { // each has its room reserved
		halves[i] = f.newClient()
		halves[i].sendAndPrint(0, fmt.Sprintf("ms k 4194304 Ohalf%d Pc=put,d=900\r\n%s", i, longValue[:100000]))
	}
	answers := make([]string, 12)
	for i := range answers {
		all.Go(func() {
			c := f.newClient()
			defer c.Close()
			text := fmt.Sprintf("ms k %d O%d Pc=put,d=900\r\n%s\r\n", len(longValue), i, longValue)
			for len(text) > 0 { // cut anywhere
				n := min(len(text), 60007+1009*i)
				c.sendAndPrint(0, text[:n])
				text = text[n:]
			}
			answers[i], _ = c.reader.ReadString('\n')
		})
	}
	all.Wait()
	good := 0
	for i, a := range answers {
		if a == fmt.Sprintf("HD O%d creceipt\r\n", i) {
			good++
		}
	}
	whole := 0
	for _, n := range f.Notes() {
		if strings.HasPrefix(n, `origin: PUT /k "4194304 bytes"`) {
			whole++
		}
	}
	fmt.Println(good, "written,", whole, "whole, within memory:", f.peakMemoryMB() < 64)
	halves[0].sendAndPrint(1, "")
	f.newClient().sendAndPrint(1, "ms k 4194305 O1 Pc=put,d=900\r\n")
	// Output:
	// 12 written, 12 whole, within memory: true
	// CLIENT_ERROR the rest of the command did not come
	// CLIENT_ERROR ms: length "4194305", want 0 to 4194304
}

// A long value that its host gives by and by is passed on whole, also far past its op's TTL: the host is still giving it.
func Example_longTrickle() {
	f := &fleet{}
	l := standin.ListenLoopback()
	f.Members = append(f.Members, standin.MemberJSON("a", l.Addr().String(), standin.KindHost, standin.InService))
	f.Serve(l, func(c net.Conn) {
		bufio.NewReader(c).ReadString('\n')
		io.WriteString(c, "VA 100000 O1\r\n")
		for i := range 5 {
			time.Sleep(300 * time.Millisecond)
			io.WriteString(c, longValue[i*20000:i*20000+20000])
		}
		io.WriteString(c, "\r\n")
		io.Copy(io.Discard, c)
	})
	f.start()
	defer f.stop()
	c := f.newClient()
	c.sendAndPrint(0, "mg k v O1 Pc=read,d=500\r\n")
	fmt.Println("whole:", c.readValue(longValue[:100000], ""))
	// Output:
	// whole: true
}

// A long value of which nothing comes any more, and one of which its client takes nothing, are ended after some seconds; both ops
// are over then, and neither keeps the host from others.
func Example_longStuck() {
	f := &fleet{adminAddress: freeAddress()}
	f.AddHost("a", func(words []string) string {
		switch words[1] {
		case "half":
			return "VA 100000 O{id}\r\n" + longValue[:50000]
		case "big":
			return fmt.Sprintf("VA %d O{id}\r\n%s\r\n", len(longValue), longValue)
		}
		return hit(words)
	})
	f.AddOrigin(handleOrigin)
	f.start()
	defer f.stop()
	half, slow := f.newClient(), f.newClient()
	half.sendAndPrint(1, "mg half v O1 Pc=read,d=500\r\n")
	slow.sendAndPrint(1, "mg big v O2 Pc=read,d=500\r\n")
	time.Sleep(100 * time.Millisecond)
	figures := func() {
		fmt.Println(regexp.MustCompile("(in_progress|bad_gateway.read):[0-9]+").FindAllString(f.callAdmin("GET", "/status/metrics", ""), -1))
	}
	figures()
	f.newClient().sendAndPrint(2, "mg k v O3 Pc=read,d=500\r\n")
	began := time.Now()
	got, _ := io.ReadAll(half.reader)
	fmt.Println("half:", len(got), time.Since(began) > 4*time.Second, time.Since(began) < 8*time.Second)
	time.Sleep(300 * time.Millisecond)
	figures()
	got, _ = io.ReadAll(slow.reader)
	fmt.Println("slow one whole:", len(got) >= len(longValue))
	f.stopAndPrintReasons("half-answer", "slow-reader", "push-timeout")
	// Output:
	// VA 100000 O1
	// VA 4194304 O2
	// [bad_gateway.read:0 in_progress:2]
	// VA 5 O3
	// value
	// half: 50000 true true
	// [bad_gateway.read:1 in_progress:0]
	// slow one whole: false
	// half-answer 1
	// slow-reader 1
	// push-timeout 1
}

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"larchthread/internal/standin"
)

// sent counts the pushes of an op that hosts have heard.
func (f *fleet) sent(id string) int {
	return strings.Count(strings.Join(f.Notes(), "\n"), " O"+id+" ")
}

// setting is the usual settings with a part of them in place of another.
func setting(old, now string) string {
	if !strings.Contains(settings, old) {
		panic(old)
	}
	return strings.Replace(settings, old, now, 1)
}

// stopped runs do while the program stands still, so that all that do brings about reaches it in one round.
func (f *fleet) stopped(do func()) {
	f.process.Process.Signal(syscall.SIGSTOP)
	time.Sleep(30 * time.Millisecond) // until it has stopped
	do()
	time.Sleep(30 * time.Millisecond) // until the kernel has all of it
	f.process.Process.Signal(syscall.SIGCONT)
}

// lateHost is a cache host to which a connection comes up late: while it is held, its queue of connections is full, and the
// kernel asks again after a second.
type lateHost struct {
	net.Listener
	filler net.Conn
}

func newLateHost() *lateHost {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err == nil {
		err = syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})
	}
	if err == nil {
		err = syscall.Listen(fd, 0) // room for one
	}
	if err != nil {
		panic(err)
	}
	file := os.NewFile(uintptr(fd), "host")
	defer file.Close()
	l, err := net.FileListener(file)
	if err != nil {
		panic(err)
	}
	return &lateHost{Listener: l}
}

// slowToConnect starts a fleet of one such host, by settings with which connections may take long to come up, and pushes are not
// called off.
func slowToConnect(sets string) (*fleet, *lateHost) {
	h := newLateHost()
	f := &fleet{sets: strings.NewReplacer(`"connectTimeoutUs":50000`, `"connectTimeoutUs":2000000`, `"cancelling":true`,
		`"cancelling":false`, `"ttlUs":600000`, `"ttlUs":3000000`).Replace(sets)}
	f.Members = append(f.Members, standin.Line("a", h.Addr().String(), standin.KindHost, standin.InService))
	f.start()
	return f, h
}

// hold fills the queue.
func (h *lateHost) hold() {
	c, err := net.Dial("tcp", h.Addr().String())
	if err != nil {
		panic(err)
	}
	h.filler = c
}

// letIn ends the hold, and prints what the next connection hears, if one comes.
func (h *lateHost) letIn() {
	h.Accept() // the one that fills the queue
	h.Listener.(*net.TCPListener).SetDeadline(time.Now().Add(3 * time.Second))
	var heard []string
	if late, err := h.Accept(); err == nil {
		late.SetReadDeadline(time.Now().Add(time.Second))
		all, _ := io.ReadAll(late)
		for line := range strings.Lines(string(all)) {
			heard = append(heard, strings.TrimSpace(line))
		}
	}
	fmt.Println("heard:", heard)
}

// A signal that comes before the program has read its start file is heeded once it serves. It once ended the program.
func Example_signalWhileStarting() {
	f := &fleet{}
	f.Host("a", hit)
	f.start()
	defer f.stop()
	f.process.Process.Kill()
	f.process.Wait()
	for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM} {
		text, _ := os.ReadFile(f.path)
		os.Remove(f.path)
		if err := syscall.Mkfifo(f.path, 0o600); err != nil {
			panic(err)
		}
		f.process = f.run()
		start, err := os.OpenFile(f.path, os.O_WRONLY, 0) // returns once the program has it open to read
		if err != nil {
			panic(err)
		}
		f.process.Process.Signal(s)
		time.Sleep(50 * time.Millisecond)
		os.Remove(f.path)
		os.WriteFile(f.path, text, 0o600)
		start.Write(text)
		start.Close()
		if s == syscall.SIGHUP {
			reach(f.listen)
			f.client().say(2, "mg k v O1 Pc=read,d=500\r\n")
			fmt.Println("read anew:", strings.Contains(f.log.String(), "configuration read anew"))
			f.process.Process.Kill()
		}
		fmt.Println(f.process.Wait())
	}
	// Output:
	// VA 5 O1
	// value
	// read anew: true
	// signal: killed
	// <nil>
}

// A client that leaves with more commands open than are read at once is seen to leave, and nothing of it goes out any more.
// Its end was once not looked for while nothing was read.
func Example_leftWhilePaused() {
	f := &fleet{}
	var gone atomic.Int64
	var late atomic.Int32
	for _, name := range []string{"a", "b", "c", "d", "e", "f"} { // one that is silent is left for the next
		f.Host(name, func([]string) string {
			if at := gone.Load(); at > 0 && time.Since(time.UnixMilli(at)) > 100*time.Millisecond {
				late.Add(1)
			}
			return ""
		})
	}
	f.start()
	defer f.stop()
	c := f.client()
	var all strings.Builder
	all.WriteString("mg k v Ofirst Pc=once,d=5000\r\n") // no answer comes before that to this one
	for i := range 300 {                                // 256 are read
		fmt.Fprintf(&all, "mg k%d v O%d Pc=read,d=5000\r\n", i, i)
	}
	c.say(0, all.String())
	for f.sent("0") == 0 {
		time.Sleep(time.Millisecond)
	}
	gone.Store(time.Now().UnixMilli())
	c.Close()
	time.Sleep(1500 * time.Millisecond)
	fmt.Println("sent on late:", late.Load())
	// Output:
	// sent on late: 0
}

// A client that has left before its connection is accepted is not served: its op was once sent on, and called off behind it.
func Example_leftBeforeAccept() {
	f := &fleet{}
	f.Host("a", hit)
	f.start()
	defer f.stop()
	other := f.client()
	other.say(2, "mg k v O1 Pc=read,d=500\r\n") // a connection to the host is open
	f.stopped(func() {
		c := f.client()
		c.say(0, "mg k v O2 Pc=read,d=5000\r\n")
		c.Close()
	})
	other.say(2, "mg k v O3 Pc=read,d=500\r\n")
	fmt.Println("sent on:", f.sent("2"))
	f.ended("called-off")
	// Output:
	// VA 5 O1
	// value
	// VA 5 O3
	// value
	// sent on: 0
	// called-off 0
}

// A push whose connection comes up once its client has gone, or too late for an answer in time, is not written, also where
// pushes may not be called off: it has not been sent yet, so its op is nacked and not dead-lettered.
func Example_lateConnection() {
	for _, leave := range []bool{true, false} {
		f, h := slowToConnect(strings.ReplaceAll(settings, `"tardyBenefit":0.5`, `"tardyBenefit":0`)) // an op is settled with its target
		h.hold()
		c := f.client()
		c.say(0, "mg k v O1 Pc=once,d=2500\r\n")
		if leave {
			time.Sleep(50 * time.Millisecond)
			c.Close()
		} else {
			c.say(1, "")
		}
		h.letIn()
		f.stop()
	}
	// Output:
	// heard: []
	// SERVER_ERROR busy ..
	// heard: []
}

// A repeat of a deduplicated op is not written once the time in which repeats are dropped may be over: its connection may have
// come up late.
func Example_repeatBehindItsWindow() {
	f, h := slowToConnect(settings)
	defer f.stop()
	c := f.client()
	c.say(0, "mg k v O1 Pc=put,d=2500\r\n")
	first, err := h.Accept()
	if err != nil {
		panic(err)
	}
	r := bufio.NewReader(first)
	line, _ := r.ReadString('\n')
	fmt.Println(strings.Contains(line, " O1 "))
	io.WriteString(first, "VA 5 O1\r\nvalue\r\n")
	c.say(2, "")
	time.Sleep(100 * time.Millisecond) // it rests, and is used again
	c.say(0, "mg k v O2 Pc=put,d=2500\r\n")
	line, _ = r.ReadString('\n')
	fmt.Println(strings.Contains(line, " O2 "))
	h.hold()
	first.Close()                      // it may have run
	time.Sleep(600 * time.Millisecond) // the window is over, and the repeat's connection has been turned down
	h.letIn()
	// Output:
	// true
	// VA 5 O1
	// value
	// true
	// heard: []
}

// A second answer to one push is not taken for the answer to the next: one that tells no id would have an at-most-once op sent
// again, or nacked, while it runs. A read that may have been answered so is given up by its connection before anything else.
func Example_secondAnswer() {
	f := &fleet{}
	l := standin.Anywhere()
	f.Members = append(f.Members, standin.Line("a", l.Addr().String(), standin.KindHost, standin.InService))
	var conns atomic.Int32
	f.Serve(l, func(c net.Conn) {
		n := conns.Add(1)
		r := bufio.NewReader(c)
		for told := 0; ; told++ {
			line, err := r.ReadString('\n')
			if err != nil {
				f.Note("connection %d closed", n)
				return
			}
			words := strings.Fields(line)
			f.Note("connection %d: %s", n, words[3])
			if told > 0 && strings.HasSuffix(words[3], "1") { // the one before is told of once more, and this one is at work for a while
				io.WriteString(c, "SERVER_ERROR busy\r\n")
				time.Sleep(100 * time.Millisecond)
			}
			io.WriteString(c, "VA 5 "+words[3]+"\r\nvalue\r\n")
		}
	})
	f.start()
	defer f.stop()
	for _, category := range []string{"once", "read"} {
		c := f.client()
		commands := ""
		for i := range 2 {
			commands += fmt.Sprintf("mg k v O%s%d Pc=%s,d=500\r\n", category, i, category)
		}
		first, second, _ := strings.Cut(commands, "\n")
		c.say(0, first+"\n")
		c.r.ReadString('\n')
		c.r.ReadString('\n')
		c.say(0, second) // at once
		line, _ := c.r.ReadString('\n')
		fmt.Println(again.ReplaceAllString(strings.TrimSpace(line), "busy .."))
		time.Sleep(150 * time.Millisecond)
	}
	for _, n := range f.Notes() {
		if strings.HasPrefix(n, "connection") {
			fmt.Println(n)
		}
	}
	f.ended("wrong-answer", "bad-input")
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

// An op on a connection that would be ended in the same moment, for silence or to make room, is served.
func Example_opAtTheEnd() {
	f := &fleet{limits: `{"cores":1,"memory_mb":64,"sockets":512}`}
	f.Host("a", hit)
	f.start()
	defer f.stop()
	var all []*client
	for range 150 {
		all = append(all, f.client())
	}
	time.Sleep(2300 * time.Millisecond)
	f.stopped(func() {
		time.Sleep(400 * time.Millisecond) // their time is over
		for _, c := range all {
			c.say(0, strings.Repeat("mn\r\n", 200))
		}
	})
	answered := 0
	for _, c := range all {
		if line, _ := c.r.ReadString('\n'); line == "MN\r\n" {
			answered++
		}
		c.Close()
	}
	fmt.Println(answered, "of 150")
	// Output:
	// 150 of 150
}

// Where connections are ended to make room, none is that an op has just come on.
func Example_opAsRoomIsMade() {
	f := &fleet{limits: `{"cores":1,"memory_mb":64,"sockets":96}`}
	f.Host("a", hit)
	f.start()
	defer f.stop()
	var usual []*client
	for i := range 12 {
		c := f.client()
		c.say(0, fmt.Sprintf("mg k v O%d Pc=read,d=500\r\n", i))
		c.r.ReadString('\n')
		c.r.ReadString('\n')
		usual = append(usual, c)
	}
	f.stopped(func() {
		for range 60 {
			f.client().say(0, "mg k v")
		}
		for i, c := range usual {
			c.say(0, fmt.Sprintf("mg k v Olate%d Pc=read,d=3000\r\n", i))
		}
	})
	answered := 0
	for _, c := range usual {
		if line, _ := c.r.ReadString('\n'); strings.HasPrefix(line, "VA 5") || strings.HasPrefix(line, "SERVER_ERROR busy") {
			answered++
		}
	}
	fmt.Println(answered, "of 12")
	// Output:
	// 12 of 12
}

// An answer that is given while the program stops is whole, also for a client that reads it late.
func Example_stopBeforeLateReader() {
	f := &fleet{sets: strings.ReplaceAll(settings, `"ttlUs":600000`, `"ttlUs":3000000`)}
	value := strings.Repeat("x", 65000)
	f.Host("a", func([]string) string {
		time.Sleep(700 * time.Millisecond)
		return "VA 65000 O{id}\r\n" + value + "\r\n"
	})
	f.start()
	defer f.stop()
	var all []*client
	for i := range 4 {
		c := f.client()
		c.Conn.(*net.TCPConn).SetReadBuffer(1 << 15)
		for j := range 4 { // more than the kernel holds
			c.say(0, fmt.Sprintf("mg k%d v O%d-%d Pc=once,d=2500\r\n", i, i, j))
		}
		all = append(all, c)
	}
	time.Sleep(50 * time.Millisecond)
	f.process.Process.Signal(syscall.SIGTERM)
	time.Sleep(1500 * time.Millisecond)
	var whole atomic.Int32
	var reading sync.WaitGroup
	for _, c := range all {
		reading.Go(func() {
			for range 4 {
				if c.take(value, "") {
					whole.Add(1)
				}
			}
			c.Close()
		})
	}
	reading.Wait()
	fmt.Println(whole.Load(), "whole,", f.process.Wait())
	// Output:
	// 16 whole, <nil>
}

// An op that comes so late behind the word to stop that the end may be forced before it is settled is nacked at once, and not
// sent on; what came before is answered first.
func Example_opBehindTheStop() {
	f := &fleet{sets: strings.ReplaceAll(settings, `"ttlUs":600000`, `"ttlUs":3000000`)}
	f.Host("a", func(words []string) string {
		if words[1] == "slow" {
			time.Sleep(1200 * time.Millisecond)
		}
		return hit(words)
	})
	f.start()
	defer f.stop()
	c := f.client()
	c.say(0, "mg slow v O1 Pc=once,d=2500\r\n")
	f.await("a: mg slow v O1 Pc=once,d=..", 1)
	f.process.Process.Signal(syscall.SIGTERM)
	time.Sleep(800 * time.Millisecond)
	c.say(3, "mg k v O2 Pc=read,d=2500\r\n")
	c.say(1, "")
	fmt.Println(f.process.Wait(), "sent on:", f.sent("2"))
	// Output:
	// VA 5 O1
	// value
	// SERVER_ERROR busy ..
	// client:  false true
	// <nil> sent on: 0
}

// Lists are asked for also where the settings say that they are pushed: what discovery has is told to those who watch.
func Example_pushedLists() {
	f := &fleet{sets: setting(`"discovery":"on_request"`, `"discovery":"pushed"`)}
	f.Host("a", hit)
	f.start() // the watch stands
	defer f.stop()
	f.drain()
	f.await("discovery: 2", 1)
	f.client().say(1, "mg k v O1 Pc=read,d=100\r\n")
	// Output:
	// SERVER_ERROR busy ..
}

// A list that has moved on, or back, without a word on what has changed is asked for whole. Such a watch once went on for ever
// by the old list.
func Example_watchWithoutEntries() {
	for _, revision := range []int{7, 0} {
		f := &fleet{}
		f.Host("a", hit)
		f.start()
		f.Changed <- standin.List(revision, false)
		f.Changed <- standin.List(9, true, strings.Replace(f.Members[0], "in_service", "terminating", 1))
		f.await("discovery: ", 1)
		f.await("discovery: 9", 1)
		f.client().say(1, "mg k v O1 Pc=read,d=100\r\n")
		f.stop()
	}
	// Output:
	// SERVER_ERROR busy ..
	// SERVER_ERROR busy ..
}

// Idle clients that fill the descriptors while discovery is down, and come again when they are ended, keep neither the watch
// from coming back nor known clients from being served.
func Example_descriptorsFull() {
	f := &fleet{limits: `{"cores":1,"memory_mb":64,"sockets":96}`}
	f.Host("a", hit)
	f.start()
	defer f.stop()
	known := f.client()
	var stop atomic.Bool
	var all sync.WaitGroup
	for range 150 {
		all.Go(func() {
			for !stop.Load() {
				c, err := net.Dial("tcp", f.listen)
				if err != nil {
					return
				}
				c.SetDeadline(time.Now().Add(time.Second))
				io.ReadAll(c) // says nothing, and comes again once it is ended
				c.Close()
			}
		})
	}
	served := 0
	for i := range 100 {
		if i%10 == 0 {
			select {
			case f.Changed <- "down":
			default:
			}
		}
		ask := fmt.Sprintf("mg k v O%d Pc=read,d=500\r\n", i)
		known.say(0, ask)
		if known.take("value", ask) {
			served++
		}
		time.Sleep(30 * time.Millisecond)
	}
	fmt.Println(served, "served")
	for len(f.Changed) > 0 {
		<-f.Changed
	}
	f.Forget()
	f.await("discovery: 1", 2)
	stop.Store(true)
	all.Wait()
	// Output:
	// 100 served
}

// A host that begins to drain while a connection to it comes up is not written to by it: that may be past any grace.
func Example_drainWhileConnecting() {
	f, h := slowToConnect(settings)
	defer f.stop()
	h.hold()
	c := f.client()
	c.say(0, "mg k v O1 Pc=once,d=2500\r\n")
	time.Sleep(50 * time.Millisecond)
	f.drain()
	f.await("discovery: 2", 1)
	h.letIn()
	c.say(1, "")
	// Output:
	// heard: []
	// SERVER_ERROR busy ..
}

// An answer that comes before its push is written whole ends the connection: the next push would be taken for the rest.
func Example_answerBeforeTheEnd() {
	f := &fleet{}
	f.Host("a", miss)
	l := standin.Anywhere()
	f.Members = append(f.Members, standin.Line("log", l.Addr().String(), standin.KindOrigin, standin.InService))
	var conns atomic.Int32
	f.Serve(l, func(c net.Conn) {
		n := conns.Add(1)
		for r := bufio.NewReader(c); ; {
			line, err := r.ReadString('\n')
			if err != nil {
				return
			}
			if verb, rest, _ := strings.Cut(line, " "); verb == "PUT" || verb == "GET" {
				f.Note("origin %d: %s %s", n, verb, strings.Fields(rest)[0])
				if verb == "GET" {
					io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nfetched")
					continue
				}
				io.WriteString(c, "HTTP/1.1 503 busy\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n")
				time.Sleep(time.Second) // the rest stays unread
			}
		}
	})
	f.start()
	defer f.stop()
	c := f.client()
	c.say(1, fmt.Sprintf("ms w %d O1 Pc=put,d=500\r\n%s\r\n", len(big), big))
	time.Sleep(300 * time.Millisecond) // the origin rests
	c.say(2, "mg k v O2 Pc=read,d=500\r\n")
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

// Thirty balancers that start at once are ready, and told what has changed, though discovery takes their calls in turn and fails
// those that have waited for too long.
func Example_thirtyStartAtOnce() {
	f := &fleet{}
	f.Host("a", hit)
	l := standin.Anywhere()
	f.Closers = append(f.Closers, l)
	turn := make(chan bool, 1)
	here := make(chan bool) // closed once all have called
	var calls atomic.Int32
	drained := standin.List(2, false, strings.Replace(f.Members[0], "in_service", "terminating", 1))
	go http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("index") == "2" {
			<-r.Context().Done()
			return
		}
		if calls.Add(1) == 30 {
			close(here)
		}
		<-here
		select {
		case turn <- true:
			time.Sleep(60 * time.Millisecond)
			<-turn
			io.WriteString(w, drained)
			f.Note("told")
		case <-time.After(time.Second):
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	f.limits, f.sets, f.logTo = `{"cores":1,"memory_mb":64,"sockets":128}`, settings, io.Discard
	usual := filepath.Join(os.TempDir(), fmt.Sprintf("larchthread-thirty-%d", os.Getpid()))
	var all [30]*exec.Cmd
	began := time.Now()
	var listens [30]string
	for i := range all {
		f.path, f.listen = fmt.Sprint(usual, "-", i), freeAddress()
		listens[i] = f.listen
		f.write(l.Addr().String())
		defer os.Remove(f.path)
		all[i] = f.run()
		defer all[i].Wait()
		defer all[i].Process.Kill()
	}
	ready := 0
	for _, f.listen = range listens {
		reach(f.listen)
		c := f.client()
		io.WriteString(c, "mn\r\n")
		if line, _ := c.r.ReadString('\n'); line == "MN\r\n" && time.Since(began) < 10*time.Second {
			ready++
		}
		c.Close()
	}
	f.await("told", 30)
	fmt.Println(ready, "ready, all told in time:", time.Since(began) < 7*time.Second) // a second for their starts
	f.Close()
	// Output:
	// 30 ready, all told in time: true
}

// A push whose connection breaks before its last byte is written never ran: its op is nacked, also where it must not run twice.
func Example_brokenWhileWritten() {
	f := &fleet{}
	f.Host("a", miss)
	l := standin.Anywhere()
	f.Members = append(f.Members, standin.Line("log", l.Addr().String(), standin.KindOrigin, standin.InService))
	f.Serve(l, func(c net.Conn) {
		bufio.NewReader(c).ReadString('\n')
		f.Note("origin: begun")
		standin.Reset(c)
	})
	f.start()
	defer f.stop()
	f.client().say(1, fmt.Sprintf("ms w %d O1 Pc=once,d=500\r\n%s\r\n", len(big), big))
	f.await("origin: begun", 1)
	// Output:
	// SERVER_ERROR busy ..
}

// A client that leaves amid a long answer has the rest called off at its host.
func Example_leftWhileAnswered() {
	f := &fleet{}
	l := standin.Anywhere()
	f.Members = append(f.Members, standin.Line("a", l.Addr().String(), standin.KindHost, standin.InService))
	f.Serve(l, func(c net.Conn) {
		r := bufio.NewReader(c)
		r.ReadString('\n')
		io.WriteString(c, "VA 100000 O1\r\n"+big[:70000])
		r.ReadString('\n')
		f.Note("closed")
	})
	f.start()
	defer f.stop()
	c := f.client()
	c.say(1, "mg k v O1 Pc=read,d=5000\r\n")
	began := time.Now()
	c.Close()
	f.await("closed", 1)
	fmt.Println("soon:", time.Since(began) < 100*time.Millisecond)
	// Output:
	// VA 100000 O1
	// soon: true
}

// Half a command that stood there as the program was told to stop is taken once it is whole, and answered: with a nack where it
// comes too late to be sent on.
func Example_halfAtTheStop() {
	f := &fleet{sets: strings.ReplaceAll(settings, `"ttlUs":600000`, `"ttlUs":3000000`)}
	f.Host("a", hit)
	f.start()
	defer f.stop()
	soon, late := f.client(), f.client()
	for _, c := range []*client{soon, late} {
		c.say(2, "mg k v O0 Pc=read,d=500\r\nmg k v O")
	}
	f.process.Process.Signal(syscall.SIGTERM)
	time.Sleep(500 * time.Millisecond)
	soon.say(3, "1 Pc=read,d=2500\r\n")
	time.Sleep(300 * time.Millisecond)
	late.say(2, "2 Pc=read,d=2500\r\n")
	fmt.Println(f.process.Wait(), "sent on:", f.sent("1"), f.sent("2"))
	// Output:
	// VA 5 O0
	// value
	// VA 5 O0
	// value
	// VA 5 O1
	// value
	// client:  false true
	// SERVER_ERROR busy ..
	// client:  false true
	// <nil> sent on: 1 0
}

// What comes behind the program's half of a connection has ended is not sent on, and the answers before are whole.
func Example_opBehindTheHalfClose() {
	f := &fleet{}
	f.Host("a", hit)
	f.start()
	defer f.stop()
	c := f.client()
	c.say(3, "mg k v O1 Pc=read,d=500\r\n") // the end comes for idleness
	c.say(0, "mg k v O2 Pc=read,d=500\r\n")
	time.Sleep(300 * time.Millisecond)
	fmt.Println("sent on:", f.sent("2"))
	// Output:
	// VA 5 O1
	// value
	// client:  false true
	// sent on: 0
}

// SIGHUP while a call to the old discovery goes unanswered has the new one asked at once.
func Example_reloadWhileCalled() {
	f := &fleet{}
	f.Host("a", hit)
	f.start()
	defer f.stop()
	hangs := standin.Anywhere()
	f.Serve(hangs, func(c net.Conn) {
		bufio.NewReader(c).ReadString('\n')
		f.Note("called in vain")
		io.Copy(io.Discard, c)
	})
	f.write(hangs.Addr().String())
	f.process.Process.Signal(syscall.SIGHUP)
	f.await("called in vain", 1)
	began := time.Now()
	f.write(f.watched)
	f.process.Process.Signal(syscall.SIGHUP)
	f.drain()
	f.await("discovery: 2", 1)
	fmt.Println("at once:", time.Since(began) < time.Second)
	// Output:
	// at once: true
}

// A process that is told to stop while it hands over, or while it is handed over to, ends in good order, and serves until then.
func Example_stopAmidHandOver() {
	f := &fleet{admin: freeAddress(), tmp: filepath.Join(os.TempDir(), fmt.Sprint("amid", os.Getpid()))}
	os.MkdirAll(f.tmp, 0o700)
	defer os.RemoveAll(f.tmp)
	f.Host("a", slowly(100*time.Millisecond))
	f.Origin(fetch)
	f.start()
	defer f.stop()
	box := f.box()
	heir, err := net.Dial("unixpacket", box)
	if err != nil {
		fmt.Println(err)
		return
	}
	io.WriteString(heir, `{"word":"hello","version":1}`)
	letter := make([]byte, 1<<16)
	heir.Read(letter) // it has begun
	c := f.client()
	c.say(0, "mg slow v O1 Pc=read,d=590\r\n")
	f.await("a: mg slow v O1 Pc=read,d=..", 1)
	f.process.Process.Signal(syscall.SIGTERM)
	c.say(2, "")
	fmt.Println("the old one:", f.process.Wait())
	heir.Close()

	os.Remove(box)
	l, err := net.Listen("unixpacket", box)
	if err != nil {
		fmt.Println(err)
		return
	}
	defer l.Close()
	f.admin = freeAddress()
	f.write(f.watched)
	f.process = f.run()
	old, _ := l.Accept()
	old.Read(letter)
	f.process.Process.Signal(syscall.SIGTERM)
	began := time.Now()
	fmt.Println("the new one:", f.process.Wait(), "soon:", time.Since(began) < 2*time.Second)
	// Output:
	// VA 5 O1
	// value
	// the old one: <nil>
	// the new one: <nil> soon: true
}

// A flood that is there to be read in one round stays within the memory: what it would fill is let go of first.
func Example_floodInOneRound() {
	f := &fleet{limits: `{"cores":1,"memory_mb":24,"sockets":1024}`}
	f.Host("a", hit)
	f.start()
	defer f.stop()
	before := f.resident()
	var all []*client
	for range 700 {
		all = append(all, f.client())
	}
	f.client().say(1, "mn\r\n") // they are accepted
	f.stopped(func() {
		for _, c := range all {
			c.SetWriteDeadline(time.Now().Add(5 * time.Millisecond)) // as much as the kernel takes
			c.say(0, "ms k 65000 O1 Pc=put,d=500\r\n"+big[:64000])
		}
	})
	c, ask := f.client(), "mg k v O2 Pc=read,d=500\r\n"
	c.say(0, ask)
	fmt.Println("served:", c.take("value", ask), "within memory:", f.resident()-before < 10)
	// Output:
	// MN
	// served: true within memory: true
}

// Room is made for new connections also while memory is full, and those that could make it have something unread.
func Example_roomWhileMemoryIsFull() {
	f := &fleet{limits: `{"cores":1,"memory_mb":24,"sockets":1024}`}
	f.Host("a", hit)
	f.start()
	defer f.stop()
	var all []*client
	for range 800 {
		all = append(all, f.client())
	}
	f.client().say(1, "mn\r\n") // they are accepted
	f.stopped(func() {
		for _, c := range all {
			c.SetWriteDeadline(time.Now().Add(5 * time.Millisecond)) // as much as the kernel takes
			c.say(0, "ms k 65000 O1 Pc=put,d=500\r\n"+big[:64000])
		}
		for range 200 {
			defer f.client().Close()
		}
	})
	c, ask := f.client(), "mg k v O2 Pc=read,d=500\r\n"
	c.say(0, ask)
	fmt.Println("served:", c.take("value", ask))
	// Output:
	// MN
	// served: true
}

// A client that leaves while its long write goes out has that broken off: half a command does nothing.
func Example_leftWhileWritten() {
	f := &fleet{}
	f.Host("a", miss)
	l := standin.Anywhere()
	f.Members = append(f.Members, standin.Line("log", l.Addr().String(), standin.KindOrigin, standin.InService))
	begun, read := make(chan bool), make(chan bool)
	whole := make(chan bool)
	f.Serve(l, func(c net.Conn) {
		r := bufio.NewReader(c)
		r.ReadString('\n')
		close(begun)
		<-read
		n, _ := io.Copy(io.Discard, r)
		whole <- n >= int64(len(big))
	})
	f.start()
	defer f.stop()
	c := f.client()
	c.say(0, fmt.Sprintf("ms w %d O1 Pc=put,d=5000\r\n%s\r\n", len(big), big))
	<-begun
	c.Close()
	time.Sleep(100 * time.Millisecond)
	close(read)
	began := time.Now()
	fmt.Println("whole:", <-whole, "ended soon:", time.Since(began) < time.Second)
	// Output:
	// whole: false ended soon: true
}

// Of many connections with nothing open none is ended that an op has just come on.
func Example_opAsOneOfMany() {
	f := &fleet{limits: `{"cores":1,"memory_mb":64,"sockets":96}`} // sixteen may rest
	f.Host("a", slowly(100*time.Millisecond))
	f.start()
	defer f.stop()
	var all []*client
	for i := range 16 {
		c := f.client()
		c.say(0, fmt.Sprintf("mg k v O%d Pc=read,d=500\r\n", i))
		c.take("value", "")
		all = append(all, c)
	}
	last := f.client()
	last.say(0, "mg slow v Olast Pc=once,d=590\r\n")
	f.await("a: mg slow v Olast Pc=once,d=..", 1)
	f.stopped(func() {
		time.Sleep(120 * time.Millisecond) // it is answered, and one too many will rest
		all[0].say(0, "mg k v Ofirst Pc=read,d=500\r\n")
	})
	last.say(2, "")
	all[0].say(2, "")
	// Output:
	// VA 5 Olast
	// value
	// VA 5 Ofirst
	// value
}

// A second word to stop, and one to read the configuration anew, change nothing of how the program ends.
func Example_signalsWhileStopping() {
	f := &fleet{}
	f.Host("a", slowly(100*time.Millisecond))
	f.start()
	defer f.stop()
	c := f.client()
	c.say(0, "mg slow v O1 Pc=read,d=590\r\n")
	f.await("a: mg slow v O1 Pc=read,d=..", 1)
	f.process.Process.Signal(syscall.SIGTERM)
	for !strings.Contains(f.log.String(), "msg=stopping") {
		time.Sleep(time.Millisecond)
	}
	f.process.Process.Signal(syscall.SIGHUP)
	f.process.Process.Signal(syscall.SIGTERM)
	c.say(2, "")
	fmt.Println(f.process.Wait())
	// Output:
	// VA 5 O1
	// value
	// <nil>
}

// A process that is to take over and dies behind any of the letters, before its yes or after it, leaves the running one serving.
func Example_successorDiesAnywhere() {
	f := &fleet{admin: freeAddress(), tmp: filepath.Join(os.TempDir(), fmt.Sprint("anywhere", os.Getpid()))}
	os.MkdirAll(f.tmp, 0o700)
	defer os.RemoveAll(f.tmp)
	f.Host("a", hit)
	f.Origin(fetch)
	f.start()
	defer f.stop()
	box := f.box()
	kept := f.client()
	for last := 0; ; last++ {
		heir, err := net.Dial("unixpacket", box)
		if err != nil {
			fmt.Println(err)
			return
		}
		heir.SetDeadline(time.Now().Add(time.Second))
		io.WriteString(heir, `{"word":"hello","version":1}`)
		said, letter := "", make([]byte, 1<<16)
		for range last {
			n, _ := heir.Read(letter)
			said = string(letter[:n])
		}
		ready := strings.Contains(said, `"door"`)
		if ready {
			io.WriteString(heir, `{"word":"ready"}`)
			for !strings.Contains(f.log.String(), "handed over") {
				time.Sleep(time.Millisecond)
			}
		}
		heir.Close()
		for strings.Count(f.log.String(), "is gone") <= last {
			time.Sleep(time.Millisecond)
		}
		kept.say(0, fmt.Sprintf("mg k v Okept%d Pc=read,d=500\r\n", last))
		fmt.Println(kept.take("value", ""), f.call("GET", "/status", ""))
		c := f.client()
		c.say(0, fmt.Sprintf("mg k v Onew%d Pc=read,d=500\r\n", last))
		if !c.take("value", "") {
			fmt.Println("not served behind letter", last)
		}
		c.Close()
		if ready {
			break
		}
	}
	f.upgrade()
	f.client().say(2, "mg k v O1 Pc=read,d=500\r\n")
	// Output:
	// true 200 serving
	// true 200 serving
	// true 200 serving
	// true 200 serving
	// true 200 serving
	// true 200 serving
	// the old one ends: <nil>
	// VA 5 O1
	// value
}

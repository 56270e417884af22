package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// An op on a connection that is about to be closed as silent or surplus is served.
func Example_opAtTheEnd() {
	f := &fleet{limits: `{"cores":1,"memory_mb":64,"sockets":512}`}
	f.AddHost("a", hit)
	f.start()
	defer f.stop()
	var all []*client
	for range 150 {
		all = append(all, f.newClient())
	}
	time.Sleep(2300 * time.Millisecond)
	f.whileStopped(func() {
		time.Sleep(400 * time.Millisecond) // the connections are due to be closed
		for _, c := range all {
			c.sendAndPrint(0, strings.Repeat("mn\r\n", 200))
		}
	})
	answered := 0
	for _, c := range all {
		if line, _ := c.reader.ReadString('\n'); line == "MN\r\n" {
			answered++
		}
		c.Close()
	}
	fmt.Println(answered, "of 150")
	// Output:
	// 150 of 150
}

// A connection on which an op has just arrived is not closed to make room.
func Example_opAsRoomIsMade() {
	f := &fleet{limits: `{"cores":1,"memory_mb":64,"sockets":96}`}
	f.AddHost("a", hit)
	f.start()
	defer f.stop()
	var usual []*client
	for i := range 12 {
		c := f.newClient()
		c.sendAndPrint(0, fmt.Sprintf("mg k v O%d Pc=read,d=500\r\n", i))
		c.reader.ReadString('\n')
		c.reader.ReadString('\n')
		usual = append(usual, c)
	}
	f.whileStopped(func() {
		for range 60 {
			f.newClient().sendAndPrint(0, "mg k v")
		}
		for i, c := range usual {
			c.sendAndPrint(0, fmt.Sprintf("mg k v Olate%d Pc=read,d=3000\r\n", i))
		}
	})
	answered := 0
	for _, c := range usual {
		if line, _ := c.reader.ReadString('\n'); strings.HasPrefix(line, "VA 5") || strings.HasPrefix(line, "SERVER_ERROR busy") {
			answered++
		}
	}
	fmt.Println(answered, "of 12")
	// Output:
	// 12 of 12
}

// Idle clients that use up the descriptors and reconnect while discovery is down do not keep the watch from
// recovering or known clients from being served.
func Example_descriptorsFull() {
	f := &fleet{limits: `{"cores":1,"memory_mb":64,"sockets":96}`}
	f.AddHost("a", hit)
	f.start()
	defer f.stop()
	known := f.newClient()
	first := "mg k v Ofirst Pc=read,d=500\r\n"
	known.sendAndPrint(0, first) // until its first op it is no better known than those below, and may be closed for them
	fmt.Println("known:", known.readValue("value", first))
	var stop atomic.Bool
	var all sync.WaitGroup
	for range 150 {
		all.Go(func() {
			for !stop.Load() {
				c, err := net.Dial("tcp", f.listenAddress)
				if err != nil {
					return
				}
				c.SetDeadline(time.Now().Add(time.Second))
				io.ReadAll(c) // sends nothing, and reconnects once it is closed
				c.Close()
			}
		})
	}
	served := 0
	for i := range 100 {
		if i%10 == 0 {
			select {
			case f.WatchAnswers <- "down":
			default:
			}
		}
		command := fmt.Sprintf("mg k v O%d Pc=read,d=500\r\n", i)
		known.sendAndPrint(0, command)
		if known.readValue("value", command) {
			served++
		}
		time.Sleep(30 * time.Millisecond)
	}
	fmt.Println(served, "served")
	for len(f.WatchAnswers) > 0 {
		<-f.WatchAnswers
	}
	f.TakeNotes()
	f.awaitNote("discovery: 1", 2)
	stop.Store(true)
	all.Wait()
	// Output:
	// known: true
	// 100 served
}

// A flood that is readable in one round stays within the memory limit.
func Example_floodInOneRound() {
	f := &fleet{limits: `{"cores":1,"memory_mb":24,"sockets":1024}`}
	f.AddHost("a", hit)
	f.start()
	defer f.stop()
	before := f.peakMemoryMB()
	var all []*client
	for range 700 {
		all = append(all, f.newClient())
	}
	f.newClient().sendAndPrint(1, "mn\r\n") // the connections have been accepted
	f.whileStopped(func() {
		for _, c := range all {
			c.SetWriteDeadline(time.Now().Add(5 * time.Millisecond)) // as much as the kernel accepts
			c.sendAndPrint(0, "ms k 65000 O1 Pc=put,d=500\r\n"+longValue[:64000])
		}
	})
	c, command := f.newClient(), "mg k v O2 Pc=read,d=500\r\n"
	c.sendAndPrint(0, command)
	fmt.Println("served:", c.readValue("value", command), "within memory:", f.peakMemoryMB()-before < 10)
	// Output:
	// MN
	// served: true within memory: true
}

// New connections are accepted while memory is full and all open connections have unread data.
func Example_roomWhileMemoryIsFull() {
	f := &fleet{limits: `{"cores":1,"memory_mb":24,"sockets":1024}`}
	f.AddHost("a", hit)
	f.start()
	defer f.stop()
	var all []*client
	for range 800 {
		all = append(all, f.newClient())
	}
	f.newClient().sendAndPrint(1, "mn\r\n") // the connections have been accepted
	f.whileStopped(func() {
		for _, c := range all {
			c.SetWriteDeadline(time.Now().Add(5 * time.Millisecond)) // as much as the kernel accepts
			c.sendAndPrint(0, "ms k 65000 O1 Pc=put,d=500\r\n"+longValue[:64000])
		}
		for range 200 {
			defer f.newClient().Close()
		}
	})
	c, command := f.newClient(), "mg k v O2 Pc=read,d=500\r\n"
	c.sendAndPrint(0, command)
	fmt.Println("served:", c.readValue("value", command))
	// Output:
	// MN
	// served: true
}

// Of many idle connections none is closed on which an op has just arrived.
func Example_opAsOneOfMany() {
	f := &fleet{limits: `{"cores":1,"memory_mb":64,"sockets":96}`} // permits 16 idle connections
	f.AddHost("a", hitWithSlowKey(100*time.Millisecond))
	f.start()
	defer f.stop()
	var all []*client
	for i := range 16 {
		c := f.newClient()
		c.sendAndPrint(0, fmt.Sprintf("mg k v O%d Pc=read,d=500\r\n", i))
		c.readValue("value", "")
		all = append(all, c)
	}
	last := f.newClient()
	last.sendAndPrint(0, "mg slow v Olast Pc=once,d=590\r\n")
	f.awaitNote("a: mg slow v Olast Pc=once,d=..", 1)
	f.whileStopped(func() {
		time.Sleep(120 * time.Millisecond) // the slow op is answered, and one idle connection too many remains
		all[0].sendAndPrint(0, "mg k v Ofirst Pc=read,d=500\r\n")
	})
	last.sendAndPrint(2, "")
	all[0].sendAndPrint(2, "")
	// Output:
	// VA 5 Olast
	// value
	// VA 5 Ofirst
	// value
}

// Guards against ops that are lost where buffers run out: clients were closed of whose commands not all had been read,
// though all had been sent.
func Example_floodOfWholeCommands() {
	f := &fleet{limits: `{"cores":1,"memory_mb":64,"sockets":1024}`}
	f.AddHost("a", hit)
	f.AddOrigin(handleOrigin)
	f.start()
	defer f.stop()
	long := f.newClient()
	long.sendAndPrint(0, "ms k 4194304 Olong Pc=put,d=900\r\n"+longValue[:4000000])
	time.Sleep(300 * time.Millisecond)
	const writers, readers, readsEach = 450, 50, 900
	var clients []*client
	f.whileStopped(func() { // together more than the buffers hold
		for i := range writers {
			c := f.newClient()
			clients = append(clients, c)
			go io.WriteString(c, fmt.Sprintf("ms k 65000 Ow%d Pc=put,d=900\r\n%s\r\n", i, longValue[:65000]))
		}
		for i := range readers {
			c := f.newClient()
			clients = append(clients, c)
			var commands strings.Builder
			for n := range readsEach {
				fmt.Fprintf(&commands, "mg %060d v Or%d-%d Pc=read,d=900\r\n", n, i, n)
			}
			go io.WriteString(c, commands.String())
		}
		go io.WriteString(long, longValue[4000000:]+"\r\n")
	})
	var all sync.WaitGroup
	var answers atomic.Int32
	readAnswers := func(c *client, want int) {
		for n := 0; n < want; {
			line, err := c.reader.ReadString('\n')
			if err != nil {
				return
			}
			if line != "value\r\n" && line != "fetched\r\n" { // the line behind a VA
				answers.Add(1)
				n++
			}
		}
	}
	for i, c := range clients {
		all.Go(func() {
			if i < writers {
				readAnswers(c, 1)
			} else {
				readAnswers(c, readsEach)
			}
		})
	}
	answer, _ := long.reader.ReadString('\n')
	fmt.Println("long write answered:", answer != "")
	all.Wait()
	fmt.Println("unanswered:", writers+readers*readsEach-int(answers.Load()))
	fmt.Println("within memory:", f.peakMemoryMB() < 64)
	// Output:
	// long write answered: true
	// unanswered: 0
	// within memory: true
}

package main

import (
	"fmt"
	"os"
	"syscall"
	"time"

	"larchthread/internal/standin"
)

// A watch goes on after each answer; a draining host gets nothing more; after a failure a new watch begins.
func Example_watch() {
	f := &fleet{}
	f.AddHost("a", hit)
	f.start()
	defer f.stop()
	c := f.newClient()
	c.sendAndPrint(2, "mg k v O1 Pc=read,d=500\r\n")
	f.drainFirstHost()
	f.awaitNote("a: connection closed", 1)
	c.sendAndPrint(1, "mg k v O2 Pc=read,d=100\r\n")
	f.WatchAnswers <- standin.HostListJSON(3, true, f.Members[0])
	f.awaitNote("discovery: 3", 1)
	c.sendAndPrint(2, "mg k v O3 Pc=read,d=500\r\n")
	f.WatchAnswers <- "down"
	f.awaitNote("discovery: 3", 3) // the new watch, and its second call
	f.printNotes()
	// Output:
	// VA 5 O1
	// value
	// SERVER_ERROR busy ..
	// VA 5 O3
	// value
	//   a: mg k v O1 Pc=read,d=..
	//   a: connection closed
	//   a: mg k v O3 Pc=read,d=..
}

// Clients that say nothing, or not all, are ended in time, with an error where something has come; so is one that keeps
// its connection for nothing. They once stayed for as long as there were sockets.
func Example_silent() {
	f := &fleet{}
	f.AddHost("a", hit)
	f.start()
	defer f.stop()
	silent, half, value, kept := f.newClient(), f.newClient(), f.newClient(), f.newClient()
	half.sendAndPrint(0, "mg k v O1 Pc=re")
	value.sendAndPrint(2, "mg k v O2 Pc=read,d=500\r\nms k 5 O3 Pc=put,d=500\r\nhe")
	kept.sendAndPrint(2, "mg k v O4 Pc=read,d=500\r\n")
	began := time.Now()
	silent.sendAndPrint(1, "")
	half.sendAndPrint(2, "")
	value.sendAndPrint(2, "")
	fmt.Println("in time:", time.Since(began) < 2900*time.Millisecond)
	kept.sendAndPrint(1, "")
	f.stopAndPrintReasons("silent", "half-sent", "idle")
	// Output:
	// VA 5 O2
	// value
	// VA 5 O4
	// value
	// client:  false true
	// CLIENT_ERROR the rest of the command did not come
	// client:  false true
	// CLIENT_ERROR the rest of the command did not come
	// client:  false true
	// in time: true
	// client:  false true
	// silent 1
	// half-sent 2
	// idle 1
}

// SIGHUP has the configuration read anew: the watch moves, while hosts, ops and connections stay. One that can't be
// read changes nothing. The program once ended on SIGHUP.
func Example_reload() {
	f := &fleet{}
	f.AddHost("a", func(words []string) string {
		time.Sleep(100 * time.Millisecond)
		return hit(words)
	})
	f.start()
	defer f.stop()
	c := f.newClient()
	os.WriteFile(f.configPath, []byte("{"), 0o600)
	f.process.Process.Signal(syscall.SIGHUP)
	c.sendAndPrint(2, "mg k v O1 Pc=read,d=500\r\n")
	f.writeConfig(f.ServeDiscovery("discovery, moved"))
	c.sendAndPrint(0, "mg k v O2 Pc=read,d=500\r\n")
	f.awaitNote("a: mg k v O2 Pc=read,d=..", 1)
	f.process.Process.Signal(syscall.SIGHUP)
	f.awaitNote("discovery, moved: 1", 2) // a first call and the one that waits
	c.sendAndPrint(2, "")
	f.drainFirstHost()
	f.awaitNote("a: connection closed", 1)
	f.printNotes()
	c.Close()
	f.stopAndPrintReasons("watch-moved", "peer-closed")
	// Output:
	// VA 5 O1
	// value
	// VA 5 O2
	// value
	//   a: mg k v O1 Pc=read,d=..
	//   a: mg k v O2 Pc=read,d=..
	//   a: connection closed
	// watch-moved 1
	// peer-closed 2
}

// A watch whose call is never answered is begun again on a new connection.
func Example_deadWatch() {
	f := &fleet{}
	f.AddHost("a", hit)
	f.start()
	defer f.stop()
	f.awaitNote("discovery: 1", 2) // no answer comes to the calls that wait: the first of a new watch, and its second
	c := f.newClient()
	c.sendAndPrint(2, "mg k v O1 Pc=read,d=500\r\n")
	c.Close()
	f.stopAndPrintReasons("watch-timeout")
	// Output:
	// VA 5 O1
	// value
	// watch-timeout 1
}

package main

import (
	"fmt"
	"os"
	"syscall"
	"time"

	"larchthread/internal/standin"
)

// The watch continues after each answer and is restarted after a failure; a draining host gets no new op.
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
	f.awaitNote("discovery: 3", 3) // the restarted watch and its second call
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

// Silent clients, clients with half a command and idle clients are disconnected in time, with an error if a
// command has begun.
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

// SIGHUP reloads the start file: the watch moves to the new address while hosts, ops and connections stay. An
// unreadable file changes nothing.
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
	f.awaitNote("discovery, moved: 1", 2) // the first call and the pending one
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

// A watch whose call is never answered is restarted on a new connection.
func Example_deadWatch() {
	f := &fleet{}
	f.AddHost("a", hit)
	f.start()
	defer f.stop()
	f.awaitNote("discovery: 1", 2) // both calls of the restarted watch
	c := f.newClient()
	c.sendAndPrint(2, "mg k v O1 Pc=read,d=500\r\n")
	c.Close()
	f.stopAndPrintReasons("watch-timeout")
	// Output:
	// VA 5 O1
	// value
	// watch-timeout 1
}

package main

import (
	"fmt"
	"strings"
	"syscall"
	"time"
)

// A process that is told to stop during a hand-over exits cleanly, whether it is the old or the new one, and
// serves until then.
func Example_stopAmidHandOver() {
	f, remove := newHandoverFleet("amid")
	defer remove()
	f.AddHost("a", hitWithSlowKey(100*time.Millisecond))
	f.AddOrigin(handleOrigin)
	f.start()
	defer f.stop()
	successor := f.dialHandover(1)
	successor.receive() // the hand-over has begun
	c := f.newClient()
	c.sendAndPrint(0, "mg slow v O1 Pc=read,d=590\r\n")
	f.awaitNote("a: mg slow v O1 Pc=read,d=..", 1)
	f.process.Process.Signal(syscall.SIGTERM)
	c.sendAndPrint(2, "")
	fmt.Println("the old process:", f.process.Wait())
	successor.Close()

	l := f.listenHandover()
	defer l.Close()
	f.adminAddress = freeAddress()
	f.writeConfig(f.discoveryAddress)
	f.process = f.startProcess()
	old, _ := l.Accept()
	handoverChannel{old}.receive()
	f.process.Process.Signal(syscall.SIGTERM)
	began := time.Now()
	fmt.Println("the new process:", f.process.Wait(), "soon:", time.Since(began) < 2*time.Second)
	// Output:
	// VA 5 O1
	// value
	// the old process: <nil>
	// the new process: <nil> soon: true
}

// A successor that dies after any message of the hand-over leaves the old process serving.
func Example_successorDiesAnywhere() {
	f, remove := newHandoverFleet("anywhere")
	defer remove()
	f.AddHost("a", hit)
	f.AddOrigin(handleOrigin)
	f.start()
	defer f.stop()
	kept := f.newClient()
	for last := 0; ; last++ {
		successor := f.dialHandover(1)
		successor.SetDeadline(time.Now().Add(time.Second))
		message := ""
		for range last {
			message = successor.receive()
		}
		ready := strings.Contains(message, `"door"`)
		if ready {
			successor.send(`{"word":"ready"}`)
			for !strings.Contains(f.log.String(), "handed over") {
				time.Sleep(time.Millisecond)
			}
		}
		successor.Close()
		for strings.Count(f.log.String(), "is gone") <= last {
			time.Sleep(time.Millisecond)
		}
		kept.sendAndPrint(0, fmt.Sprintf("mg k v Okept%d Pc=read,d=500\r\n", last))
		fmt.Println(kept.readValue("value", ""), f.callAdmin("GET", "/status", ""))
		c := f.newClient()
		c.sendAndPrint(0, fmt.Sprintf("mg k v Onew%d Pc=read,d=500\r\n", last))
		if !c.readValue("value", "") {
			fmt.Println("not served behind message", last)
		}
		c.Close()
		if ready {
			break
		}
	}
	f.upgradeAndPrint()
	f.newClient().sendAndPrint(2, "mg k v O1 Pc=read,d=500\r\n")
	// Output:
	// true 200 serving
	// true 200 serving
	// true 200 serving
	// true 200 serving
	// true 200 serving
	// true 200 serving
	// old process exited: <nil>
	// VA 5 O1
	// value
}

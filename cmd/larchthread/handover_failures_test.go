package main

import (
	"fmt"
	"strings"
	"syscall"
	"time"
)

// A process that is told to stop while it hands over, or while it is handed over to, ends in good order, and serves until then.
func Example_stopAmidHandOver() {
	f, remove := newHandOverFleet("amid")
	defer remove()
	f.Host("a", slowly(100*time.Millisecond))
	f.Origin(fetch)
	f.start()
	defer f.stop()
	successor := f.dialControl(1)
	successor.receive() // it has begun
	c := f.client()
	c.say(0, "mg slow v O1 Pc=read,d=590\r\n")
	f.await("a: mg slow v O1 Pc=read,d=..", 1)
	f.process.Process.Signal(syscall.SIGTERM)
	c.say(2, "")
	fmt.Println("the old one:", f.process.Wait())
	successor.Close()

	l := f.listenControl()
	defer l.Close()
	f.admin = freeAddress()
	f.write(f.watched)
	f.process = f.run()
	old, _ := l.Accept()
	controlChannel{old}.receive()
	f.process.Process.Signal(syscall.SIGTERM)
	began := time.Now()
	fmt.Println("the new one:", f.process.Wait(), "soon:", time.Since(began) < 2*time.Second)
	// Output:
	// VA 5 O1
	// value
	// the old one: <nil>
	// the new one: <nil> soon: true
}

// A process that is to take over and dies behind any of the messages, before its yes or after it, leaves the running one serving.
func Example_successorDiesAnywhere() {
	f, remove := newHandOverFleet("anywhere")
	defer remove()
	f.Host("a", hit)
	f.Origin(fetch)
	f.start()
	defer f.stop()
	kept := f.client()
	for last := 0; ; last++ {
		successor := f.dialControl(1)
		successor.SetDeadline(time.Now().Add(time.Second))
		said := ""
		for range last {
			said = successor.receive()
		}
		ready := strings.Contains(said, `"door"`)
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
		kept.say(0, fmt.Sprintf("mg k v Okept%d Pc=read,d=500\r\n", last))
		fmt.Println(kept.take("value", ""), f.call("GET", "/status", ""))
		c := f.client()
		c.say(0, fmt.Sprintf("mg k v Onew%d Pc=read,d=500\r\n", last))
		if !c.take("value", "") {
			fmt.Println("not served behind message", last)
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

package main

import (
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// A signal that arrives before the start file is read is handled once the process serves.
func Example_signalWhileStarting() {
	f := &fleet{}
	f.AddHost("a", hit)
	f.start()
	defer f.stop()
	f.process.Process.Kill()
	f.process.Wait()
	for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM} {
		text, _ := os.ReadFile(f.configPath)
		os.Remove(f.configPath)
		if err := syscall.Mkfifo(f.configPath, 0o600); err != nil {
			panic(err)
		}
		f.process = f.startProcess()
		start, err := os.OpenFile(f.configPath, os.O_WRONLY, 0) // blocks until the process has opened it for reading
		if err != nil {
			panic(err)
		}
		f.process.Process.Signal(s)
		time.Sleep(50 * time.Millisecond)
		os.Remove(f.configPath)
		os.WriteFile(f.configPath, text, 0o600)
		start.Write(text)
		start.Close()
		if s == syscall.SIGHUP {
			waitForListener(f.listenAddress)
			f.newClient().sendAndPrint(2, "mg k v O1 Pc=read,d=500\r\n")
			fmt.Println("reloaded the file:", strings.Contains(f.log.String(), "configuration read anew"))
			f.process.Process.Kill()
		}
		fmt.Println(f.process.Wait())
	}
	// Output:
	// VA 5 O1
	// value
	// reloaded the file: true
	// signal: killed
	// <nil>
}

// Answers given while the process stops are complete, even for a client that reads late.
func Example_stopBeforeLateReader() {
	f := &fleet{settings: strings.ReplaceAll(defaultSettings, `"ttlUs":600000`, `"ttlUs":3000000`)}
	value := strings.Repeat("x", 65000)
	f.AddHost("a", func([]string) string {
		time.Sleep(700 * time.Millisecond)
		return "VA 65000 O{id}\r\n" + value + "\r\n"
	})
	f.start()
	defer f.stop()
	var all []*client
	for i := range 4 {
		c := f.newClient()
		c.Conn.(*net.TCPConn).SetReadBuffer(1 << 15)
		for j := range 4 { // more than the kernel buffers
			c.sendAndPrint(0, fmt.Sprintf("mg k%d v O%d-%d Pc=once,d=2500\r\n", i, i, j))
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
				if c.readValue(value, "") {
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

// An op that arrives too late in the shutdown to be settled is nacked and not sent, after earlier ops are
// answered.
func Example_opBehindTheStop() {
	f := &fleet{settings: strings.ReplaceAll(defaultSettings, `"ttlUs":600000`, `"ttlUs":3000000`)}
	f.AddHost("a", func(words []string) string {
		if words[1] == "slow" {
			time.Sleep(1200 * time.Millisecond)
		}
		return hit(words)
	})
	f.start()
	defer f.stop()
	c := f.newClient()
	c.sendAndPrint(0, "mg slow v O1 Pc=once,d=2500\r\n")
	f.awaitNote("a: mg slow v O1 Pc=once,d=..", 1)
	f.process.Process.Signal(syscall.SIGTERM)
	time.Sleep(800 * time.Millisecond)
	c.sendAndPrint(3, "mg k v O2 Pc=read,d=2500\r\n")
	c.sendAndPrint(1, "")
	fmt.Println(f.process.Wait(), "sent on:", f.countPushes("2"))
	// Output:
	// VA 5 O1
	// value
	// SERVER_ERROR busy ..
	// client:  false true
	// <nil> sent on: 0
}

// A partial command at the time of SIGTERM is accepted once it is complete, and nacked if it is too late to be
// sent.
func Example_halfAtTheStop() {
	f := &fleet{settings: strings.ReplaceAll(defaultSettings, `"ttlUs":600000`, `"ttlUs":3000000`)}
	f.AddHost("a", hit)
	f.start()
	defer f.stop()
	soon, late := f.newClient(), f.newClient()
	for _, c := range []*client{soon, late} {
		c.sendAndPrint(2, "mg k v O0 Pc=read,d=500\r\nmg k v O")
	}
	f.process.Process.Signal(syscall.SIGTERM)
	time.Sleep(500 * time.Millisecond)
	soon.sendAndPrint(3, "1 Pc=read,d=2500\r\n")
	time.Sleep(300 * time.Millisecond)
	late.sendAndPrint(2, "2 Pc=read,d=2500\r\n")
	fmt.Println(f.process.Wait(), "sent on:", f.countPushes("1"), f.countPushes("2"))
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

// Further signals during a shutdown do not change how the process exits.
func Example_signalsWhileStopping() {
	f := &fleet{}
	f.AddHost("a", hitWithSlowKey(100*time.Millisecond))
	f.start()
	defer f.stop()
	c := f.newClient()
	c.sendAndPrint(0, "mg slow v O1 Pc=read,d=590\r\n")
	f.awaitNote("a: mg slow v O1 Pc=read,d=..", 1)
	f.process.Process.Signal(syscall.SIGTERM)
	for !strings.Contains(f.log.String(), "msg=stopping") {
		time.Sleep(time.Millisecond)
	}
	f.process.Process.Signal(syscall.SIGHUP)
	f.process.Process.Signal(syscall.SIGTERM)
	c.sendAndPrint(2, "")
	fmt.Println(f.process.Wait())
	// Output:
	// VA 5 O1
	// value
	// <nil>
}

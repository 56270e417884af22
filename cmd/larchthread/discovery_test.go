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
	"sync/atomic"
	"syscall"
	"time"

	"larchthread/internal/standin"
)

// Discovery is also polled if the settings say that lists are pushed.
func Example_pushedLists() {
	f := &fleet{settings: replaceSetting(`"discovery":"on_request"`, `"discovery":"pushed"`)}
	f.AddHost("a", hit)
	f.start() // the watch is established
	defer f.stop()
	f.drainFirstHost()
	f.awaitNote("discovery: 2", 1)
	f.newClient().sendAndPrint(1, "mg k v O1 Pc=read,d=100\r\n")
	// Output:
	// SERVER_ERROR busy ..
}

// If the revision changes without the changed entries, the full list is requested.
func Example_watchWithoutEntries() {
	for _, revision := range []int{7, 0} {
		f := &fleet{}
		f.AddHost("a", hit)
		f.start()
		f.WatchAnswers <- standin.HostListJSON(revision, false)
		f.WatchAnswers <- standin.HostListJSON(9, true, strings.Replace(f.Members[0], "in_service", "terminating", 1))
		f.awaitNote("discovery: ", 1)
		f.awaitNote("discovery: 9", 1)
		f.newClient().sendAndPrint(1, "mg k v O1 Pc=read,d=100\r\n")
		f.stop()
	}
	// Output:
	// SERVER_ERROR busy ..
	// SERVER_ERROR busy ..
}

// Thirty balancers that start together become ready and learn of a change, although discovery answers one call
// at a time and fails those that wait too long.
func Example_thirtyStartAtOnce() {
	f := &fleet{}
	f.AddHost("a", hit)
	l := standin.ListenLoopback()
	f.Closers = append(f.Closers, l)
	turn := make(chan bool, 1)
	here := make(chan bool) // closed once all have called
	var calls atomic.Int32
	drained := standin.HostListJSON(2, false, strings.Replace(f.Members[0], "in_service", "terminating", 1))
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
			f.Notef("told")
		case <-time.After(time.Second):
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	f.limits, f.settings, f.logOutput = `{"cores":1,"memory_mb":64,"sockets":128}`, defaultSettings, io.Discard
	usual := filepath.Join(os.TempDir(), fmt.Sprintf("larchthread-thirty-%d", os.Getpid()))
	var all [30]*exec.Cmd
	began := time.Now()
	var listens [30]string
	for i := range all {
		f.configPath, f.listenAddress = fmt.Sprint(usual, "-", i), freeAddress()
		listens[i] = f.listenAddress
		f.writeConfig(l.Addr().String())
		defer os.Remove(f.configPath)
		all[i] = f.startProcess()
		defer all[i].Wait()
		defer all[i].Process.Kill()
	}
	ready := 0
	for _, f.listenAddress = range listens {
		waitForListener(f.listenAddress)
		c := f.newClient()
		io.WriteString(c, "mn\r\n")
		if line, _ := c.reader.ReadString('\n'); line == "MN\r\n" && time.Since(began) < 10*time.Second {
			ready++
		}
		c.Close()
	}
	f.awaitNote("told", 30)
	fmt.Println(ready, "ready, all told in time:", time.Since(began) < 7*time.Second) // includes a second for starting the processes
	f.Close()
	// Output:
	// 30 ready, all told in time: true
}

// SIGHUP while a call to the old discovery address is pending polls the new address at once.
func Example_reloadWhileCalled() {
	f := &fleet{}
	f.AddHost("a", hit)
	f.start()
	defer f.stop()
	hangs := standin.ListenLoopback()
	f.Serve(hangs, func(c net.Conn) {
		bufio.NewReader(c).ReadString('\n')
		f.Notef("called in vain")
		io.Copy(io.Discard, c)
	})
	f.writeConfig(hangs.Addr().String())
	f.process.Process.Signal(syscall.SIGHUP)
	f.awaitNote("called in vain", 1)
	began := time.Now()
	f.writeConfig(f.discoveryAddress)
	f.process.Process.Signal(syscall.SIGHUP)
	f.drainFirstHost()
	f.awaitNote("discovery: 2", 1)
	fmt.Println("at once:", time.Since(began) < time.Second)
	// Output:
	// at once: true
}

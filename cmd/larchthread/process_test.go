package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// After SIGTERM accepted ops are answered, new connections are served for a grace period, and the process exits.
func Example_stop() {
	f := &fleet{}
	f.AddHost("a", hitWithSlowKey(100*time.Millisecond))
	f.start()
	defer f.stop()
	c, idle := f.newClient(), f.newClient()
	c.sendAndPrint(0, "mg slow v O1 Pc=read,d=590\r\n")
	time.Sleep(20 * time.Millisecond)
	f.process.Process.Signal(syscall.SIGTERM)
	c.sendAndPrint(2, "")
	time.Sleep(150 * time.Millisecond)
	late := f.newClient()
	late.sendAndPrint(2, "mg k v O2 Pc=read,d=500\r\n")
	idle.sendAndPrint(1, "")
	c.sendAndPrint(1, "")
	fmt.Println(f.process.Wait())
	fmt.Println("stopping", strings.Count(f.log.String(), "reason=stopping"))
	// Output:
	// VA 5 O1
	// value
	// VA 5 O2
	// value
	// client:  false true
	// client:  false true
	// <nil>
	// stopping 3
}

// No op is lost when the process stops under load: new connections are accepted for another 400 ms, and open
// ones are closed only between two commands.
func Example_stopUnderLoad() {
	f := &fleet{}
	f.AddHost("a", func(words []string) string {
		time.Sleep(3 * time.Millisecond)
		return hit(words)
	})
	f.start()
	defer f.stop()
	var all sync.WaitGroup
	var lost atomic.Int64
	began := time.Now()
	for range 6 {
		all.Go(func() {
			var c *client
			for n, fresh := 0, false; ; {
				if c == nil {
					if time.Since(began) > 500*time.Millisecond {
						return
					}
					conn, err := net.Dial("tcp", f.listenAddress)
					if err != nil {
						lost.Add(1)
						return
					}
					conn.SetDeadline(time.Now().Add(5 * time.Second))
					c, fresh = &client{conn, bufio.NewReader(conn)}, true
				}
				io.WriteString(c, "mg k v O1 Pc=read,d=500\r\n")
				line, err := c.reader.ReadString('\n')
				switch {
				case err == nil && strings.HasPrefix(line, "VA"):
					c.reader.ReadString('\n')
				case err == nil:
				case fresh || line != "":
					lost.Add(1)
					return
				default:
					c.Close()
					c = nil
					continue
				}
				if fresh, n = false, n+1; n%3 == 0 && time.Since(began) < 400*time.Millisecond { // clients open new connections now and then
					c.Close()
					c = nil
				}
			}
		})
	}
	time.Sleep(100 * time.Millisecond)
	f.process.Process.Signal(syscall.SIGTERM)
	all.Wait()
	fmt.Println(f.process.Wait(), lost.Load(), "lost, soon:", time.Since(began) < 3*time.Second)
	// Output:
	// <nil> 0 lost, soon: true
}

// A command that may have waited past its time while the process was stalled is nacked.
func Example_stall() {
	f := &fleet{}
	f.AddHost("a", hit)
	f.start()
	defer f.stop()
	c := f.newClient()
	c.sendAndPrint(2, "mg k v O1 Pc=read,d=250\r\n")
	f.process.Process.Signal(syscall.SIGSTOP)
	time.Sleep(30 * time.Millisecond) // until the process has stopped
	c.sendAndPrint(0, "mg k v O2 Pc=read,d=250\r\n")
	time.Sleep(300 * time.Millisecond)
	f.process.Process.Signal(syscall.SIGCONT)
	c.sendAndPrint(1, "")
	f.printNotes()
	// Output:
	// VA 5 O1
	// value
	// SERVER_ERROR busy ..
	//   a: mg k v O1 Pc=read,d=..
}

// A log that nobody reads does not block the process.
func Example_fullLog() {
	r, w, err := os.Pipe()
	if err != nil {
		panic(err)
	}
	defer r.Close()
	f := &fleet{logOutput: w}
	f.AddHost("a", hit)
	f.start()
	defer f.stop()
	for range 1500 { // more log lines than a pipe holds
		f.newClient().Close()
	}
	f.newClient().sendAndPrint(2, "mg k v O1 Pc=read,d=500\r\n")
	// Output:
	// VA 5 O1
	// value
}

// Errors in a start file are reported with their keys.
func Example_badStart() {
	for _, text := range []string{`{`, `{"listen":"nowhere"}`, `{"listen":"127.0.0.1:1"}`,
		`{"listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"xyz"}`,
		`{"listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"7"}`,
		`{"listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"7","limits":{"memory_mb":1,"sockets":9}}`} {
		path := filepath.Join(os.TempDir(), fmt.Sprintf("larchthread-bad-%d.json", os.Getpid()))
		os.WriteFile(path, []byte(text), 0o600)
		fmt.Println(strings.ReplaceAll(serve(path, "").Error(), path, "FILE"))
		os.Remove(path)
	}
	fmt.Println(serve("/nowhere", ""))
	// Output:
	// start file FILE: line 1: unexpected end of JSON input
	// start file FILE: listen: "nowhere", want an address with a port
	// start file FILE: discovery: "", want an address with a port
	// start file FILE: seed: "", want hex digits of 64 bits
	// start file FILE: limits.memory_mb: 0, want above 0
	// start file FILE: limits.sockets: 0, want 1 or more
	// start file FILE: settings: params: missing
	// start file FILE: discovery: "", want an address with a port
	// start file FILE: seed: "", want hex digits of 64 bits
	// start file FILE: limits.memory_mb: 0, want above 0
	// start file FILE: limits.sockets: 0, want 1 or more
	// start file FILE: settings: params: missing
	// start file FILE: seed: "xyz", want hex digits of 64 bits
	// start file FILE: limits.memory_mb: 0, want above 0
	// start file FILE: limits.sockets: 0, want 1 or more
	// start file FILE: settings: params: missing
	// start file FILE: limits.memory_mb: 0, want above 0
	// start file FILE: limits.sockets: 0, want 1 or more
	// start file FILE: settings: params: missing
	// start file FILE: settings: params: missing
	// start file: open /nowhere: no such file or directory
}

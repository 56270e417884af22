package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Three upgrades in a row under load: no op fails and no connection breaks, including one in the middle of a
// command, and a host in maintenance stays excluded although discovery lists it as in service.
func Example_upgrade() {
	f := &fleet{adminAddress: freeAddress()}
	varied := func(words []string) string { // varied, so that a stall of the test is not taken for a hanging host
		time.Sleep(time.Duration(5+3*len(words[1])) * time.Millisecond)
		return hit(words)
	}
	f.AddHost("a", varied)
	f.AddHost("x", varied)
	f.AddOrigin(handleOrigin)
	f.start()
	defer f.stop()
	fmt.Println(f.callAdmin("POST", "/maintenance/enter", "x"))
	f.printNotes()
	stopLoad := f.startLoad(12)
	half := f.newClient()
	half.sendAndPrint(0, "ms k 4 Ohalf Pc=put,d=900\r\nab")
	for range 3 {
		f.upgradeAndPrint()
	}
	half.sendAndPrint(1, "cd\r\n")
	time.Sleep(50 * time.Millisecond)
	stopLoad()
	fmt.Println("x received ops:", strings.Contains(strings.Join(f.Notes(), " "), "x: mg"))
	f.TakeNotes()
	fmt.Println(f.callAdmin("POST", "/maintenance/exit", "x"))
	c := f.newClient()
	for i := range 20 {
		c.sendAndPrint(0, fmt.Sprintf("mg k%d v O%d Pc=read,d=500\r\n", i, i))
		c.reader.ReadString('\n')
		c.reader.ReadString('\n')
	}
	fmt.Println("x receives ops:", strings.Contains(strings.Join(f.Notes(), " "), "x: mg"))
	// Output:
	// 200 done
	// old process exited: <nil>
	// old process exited: <nil>
	// old process exited: <nil>
	// HD Ohalf creceipt
	// served over 200 ops: true
	// x received ops: false
	// 200 done
	// x receives ops: true
}

// While two processes run, maintenance requests to either apply to both. A successor that dies leaves the old
// process serving, and if the old process does not respond, both share the address.
func Example_upgradeThatFails() {
	f := &fleet{adminAddress: freeAddress()}
	f.AddHost("x", hit)
	f.AddOrigin(handleOrigin)
	f.start()
	defer f.stop()
	first, old := f.adminAddress, f.process
	second := f.startSuccessor()
	fmt.Println(f.callAdmin("POST", "/maintenance/enter", "x"))
	f.adminAddress, first = first, f.adminAddress
	fmt.Println(strings.Contains(f.callAdmin("GET", "/status/metrics", ""), "skipped_cache_hosts:1"))
	fmt.Println(f.callAdmin("POST", "/maintenance/exit", "x"))
	f.adminAddress, first = first, f.adminAddress
	fmt.Println(strings.Contains(f.callAdmin("GET", "/status/metrics", ""), "skipped_cache_hosts:0"))
	second.Process.Kill()
	second.Wait()
	f.process = old
	c := f.newClient()
	c.sendAndPrint(2, "mg k v O1 Pc=read,d=900\r\n")
	f.upgradeAndPrint() // still finds the running process
	c.sendAndPrint(2, "mg k v O2 Pc=read,d=900\r\n")
	f.process.Process.Signal(syscall.SIGSTOP) // does not answer the successor
	third := f.startSuccessor()
	c = f.newClient()
	f.process.Process.Kill()
	f.process.Wait()
	f.process = third
	f.newClient().sendAndPrint(2, "mg k v O3 Pc=read,d=900\r\n")
	// Output:
	// 200 done
	// true
	// 200 done
	// true
	// VA 5 O1
	// value
	// old process exited: <nil>
	// VA 5 O2
	// value
	// VA 5 O3
	// value
}

// Upgrades under difficult conditions: a socket path that is too long, a stale socket, an old process killed
// before the hand-over completes, a configuration reload during the hand-over, and two successors at once. Each
// leaves one process that serves.
func Example_upgradeAmidTroubles() {
	f := &fleet{adminAddress: freeAddress(),
		tempDir: filepath.Join(os.TempDir(), strings.Repeat("long", 30), fmt.Sprint(os.Getpid()))}
	os.MkdirAll(f.tempDir, 0o700)
	defer os.RemoveAll(filepath.Dir(f.tempDir))
	f.AddHost("a", hit)
	f.AddOrigin(handleOrigin)
	f.start()
	defer f.stop()
	n := 0
	checkServing := func(situation string) {
		n++
		fmt.Println(situation)
		f.newClient().sendAndPrint(2, fmt.Sprintf("mg k v O%d Pc=read,d=900\r\n", n))
	}
	f.upgradeAndPrint()
	checkServing("a long path")
	f.process.Process.Kill()
	f.process.Wait()
	f.process = f.startSuccessor()
	checkServing("a stale socket")
	second := f.startSuccessor()
	for _, p := range []*exec.Cmd{f.process, second} {
		p.Process.Signal(syscall.SIGHUP)
	}
	f.process.Process.Kill()
	f.process.Wait()
	f.process = second
	checkServing("old process killed, configuration reloaded by both")
	var both [2]*exec.Cmd
	var adminAddresses [2]string
	usual := f.configPath
	for i := range both {
		f.configPath, f.adminAddress = fmt.Sprint(usual, i), freeAddress()
		defer os.Remove(f.configPath)
		f.writeConfig(f.discoveryAddress)
		both[i], adminAddresses[i] = f.startProcess(), f.adminAddress
	}
	f.configPath = usual
	for i := range both {
		f.adminAddress = adminAddresses[i]
		for range 500 {
			if f.callAdmin("GET", "/status", "") == "200 serving" {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		fmt.Println(f.callAdmin("GET", "/status", ""))
	}
	last := both[0]
	f.process.Process.Signal(syscall.SIGTERM)
	fmt.Println("old process exited:", f.process.Wait())
	both[1].Process.Signal(syscall.SIGTERM) // if this one was last, the other has taken over or takes over again
	fmt.Println("one successor exited:", both[1].Wait())
	f.process, f.adminAddress = last, adminAddresses[0]
	checkServing("two successors at once")
	fmt.Println(f.callAdmin("GET", "/status", ""))
	// Output:
	// old process exited: <nil>
	// a long path
	// VA 5 O1
	// value
	// a stale socket
	// VA 5 O2
	// value
	// old process killed, configuration reloaded by both
	// VA 5 O3
	// value
	// 200 serving
	// 200 serving
	// old process exited: <nil>
	// one successor exited: <nil>
	// two successors at once
	// VA 5 O4
	// value
	// 200 serving
}

// Processes of different versions refuse each other and share the address, as they do if one closes the channel
// during the hand-over or sends invalid messages.
func Example_upgradeAcrossVersions() {
	f, remove := newHandoverFleet("across")
	defer remove()
	f.AddHost("a", hit)
	f.AddOrigin(handleOrigin)
	f.start()
	defer f.stop()
	newer := f.dialHandover(2)
	fmt.Println(newer.receive())
	newer.Close()
	for _, last := range []string{`{"word":"refused","version":2,"why":"another version"}`,
		`{"word":"list","list":{"revision":9,"members":[]}}`,
		`{"word":"door"}`, `nonsense`} {
		l := f.listenHandover()
		go func() {
			c, _ := l.Accept()
			old := handoverChannel{c}
			old.receive()
			old.send(last)
			old.Close()
		}()
		old := f.process
		f.process = f.startSuccessor()
		l.Close()
		old.Process.Kill()
		old.Wait()
		f.newClient().sendAndPrint(2, "mg k v O1 Pc=read,d=900\r\n")
	}
	// Output:
	// {"word":"refused","version":1,"why":"another version"}
	// VA 5 O1
	// value
	// VA 5 O1
	// value
	// VA 5 O1
	// value
	// VA 5 O1
	// value
}

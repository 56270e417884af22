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

// Three upgrades in a row under load: no op fails, no connection breaks, also one that stands in the middle of a command; and
// a host taken out by hand before the first stays out, though the list names it as ready.
func Example_upgrade() {
	f := &fleet{adminAddress: freeAddress()}
	varied := func(words []string) string { // so that a stall of the test's is not taken for a host that hangs
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
	done := f.startLoad(12)
	half := f.newClient()
	half.sendAndPrint(0, "ms k 4 O1 Pc=put,d=900\r\nab")
	for range 3 {
		f.upgradeAndPrint()
	}
	half.sendAndPrint(1, "cd\r\n")
	time.Sleep(50 * time.Millisecond)
	done()
	fmt.Println("x heard of it:", strings.Contains(strings.Join(f.Notes(), " "), "x: mg"))
	f.TakeNotes()
	fmt.Println(f.callAdmin("POST", "/maintenance/exit", "x"))
	c := f.newClient()
	for i := range 20 {
		c.sendAndPrint(0, fmt.Sprintf("mg k%d v O%d Pc=read,d=500\r\n", i, i))
		c.reader.ReadString('\n')
		c.reader.ReadString('\n')
	}
	fmt.Println("x hears of it:", strings.Contains(strings.Join(f.Notes(), " "), "x: mg"))
	// Output:
	// 200 done
	// the old one ends: <nil>
	// the old one ends: <nil>
	// the old one ends: <nil>
	// HD O1 creceipt
	// served some hundreds: true
	// x heard of it: false
	// 200 done
	// x hears of it: true
}

// While two processes live, a word on maintenance to either binds both; a successor that dies leaves the old one as it was,
// before its yes and after it; and where it can't be asked, the two share the address.
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
	f.upgradeAndPrint() // the next finds it all the same
	c.sendAndPrint(2, "mg k v O2 Pc=read,d=900\r\n")
	f.process.Process.Signal(syscall.SIGSTOP) // it answers nobody
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
	// the old one ends: <nil>
	// VA 5 O2
	// value
	// VA 5 O3
	// value
}

// Upgrades amid other troubles: a directory whose path is longer than a socket's may be, a socket left behind by a process that
// was killed, an old process killed before it was told to go, a new configuration for both, and two successors at once.
// Each ends in one balancer that serves.
func Example_upgradeAmidTroubles() {
	f := &fleet{adminAddress: freeAddress(), tempDir: filepath.Join(os.TempDir(), strings.Repeat("long", 30), fmt.Sprint(os.Getpid()))}
	os.MkdirAll(f.tempDir, 0o700)
	defer os.RemoveAll(filepath.Dir(f.tempDir))
	f.AddHost("a", hit)
	f.AddOrigin(handleOrigin)
	f.start()
	defer f.stop()
	n := 0
	serves := func(what string) {
		n++
		fmt.Println(what)
		f.newClient().sendAndPrint(2, fmt.Sprintf("mg k v O%d Pc=read,d=900\r\n", n))
	}
	f.upgradeAndPrint()
	serves("a long path")
	f.process.Process.Kill()
	f.process.Wait()
	f.process = f.startSuccessor()
	serves("a socket left behind")
	second := f.startSuccessor()
	for _, p := range []*exec.Cmd{f.process, second} {
		p.Process.Signal(syscall.SIGHUP)
	}
	f.process.Process.Kill()
	f.process.Wait()
	f.process = second
	serves("the old one killed, both told of a new configuration")
	var both [2]*exec.Cmd
	var at [2]string
	usual := f.configPath
	for i := range both {
		f.configPath, f.adminAddress = fmt.Sprint(usual, i), freeAddress()
		defer os.Remove(f.configPath)
		f.writeConfig(f.discoveryAddress)
		both[i], at[i] = f.startProcess(), f.adminAddress
	}
	f.configPath = usual
	for i := range both {
		f.adminAddress = at[i]
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
	fmt.Println("the old one ends:", f.process.Wait())
	both[1].Process.Signal(syscall.SIGTERM) // whichever was last: the other has its place, or takes it back
	fmt.Println("one of the two ends:", both[1].Wait())
	f.process, f.adminAddress = last, at[0]
	serves("two successors at once")
	fmt.Println(f.callAdmin("GET", "/status", ""))
	// Output:
	// the old one ends: <nil>
	// a long path
	// VA 5 O1
	// value
	// a socket left behind
	// VA 5 O2
	// value
	// the old one killed, both told of a new configuration
	// VA 5 O3
	// value
	// 200 serving
	// 200 serving
	// the old one ends: <nil>
	// one of the two ends: <nil>
	// two successors at once
	// VA 5 O4
	// value
	// 200 serving
}

// A process of another version refuses, or is refused, without harm: the two share the address. One that hangs up in the middle
// of handing over, or talks nonsense, is given up as well.
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
	for _, last := range []string{`{"word":"refused","version":2,"why":"another version"}`, `{"word":"list","list":{"revision":9,"members":[]}}`,
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

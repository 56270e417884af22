package main

import (
	"bufio"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"larchthread/internal/standin"
)

const (
	manyClients = 1024
	restsFor    = 500 * time.Millisecond
	keptFor     = 1900 * time.Millisecond // an idle connection may be closed after 2 s
	passes      = 5                       // on a machine so busy that a pass takes longer than that it tells nothing
)

// Where `limits.sockets` has room for them, 1,024 clients keep their connections while all rest at once, and each is served on it again.
func TestManyIdleClients(t *testing.T) {
	f := &fleet{limits: `{"cores":1,"memory_mb":192,"sockets":8192}`}
	f.AddHost("a", hit)
	f.start()
	defer f.stop()
	for range passes {
		began := time.Now()
		lost := f.restTogether(manyClients)
		took := time.Since(began)
		switch {
		case lost == 0:
			if n := strings.Count(f.log.String(), "reason=surplus "); n > 0 && took < keptFor {
				t.Errorf("%d connections closed as surplus", n)
			}
			return
		case took < keptFor:
			t.Fatalf("%d of %d clients were not served again on their connections, after %v", lost, manyClients, took)
		}
		t.Logf("a pass took %v: a connection may be closed by then", took)
	}
	t.Fatalf("no pass of %d took less than %v", passes, keptFor)
}

// restTogether has so many clients open a connection and be answered, rest, and be answered again. It returns how many were
// not.
func (f *fleet) restTogether(n int) (lost int) {
	var all []*client
	for range n {
		c := f.newClient()
		defer c.Close()
		all = append(all, c)
	}
	lost += unheard(all, "first")
	time.Sleep(restsFor)
	return lost + unheard(all, "again")
}

// unheard sends an op on each connection, and returns how many have no answer. A nack is one: this is about connections.
func unheard(all []*client, round string) (lost int) {
	for i, c := range all {
		fmt.Fprintf(c, "mg k%d v O%s-%d Pc=read,d=500\r\n", i, round, i)
	}
	for _, c := range all {
		if !served(c.reader) {
			lost++
		}
	}
	return lost
}

const (
	reachFor   = 30 * time.Second // until each host has been sent something; it takes a few seconds
	askers     = 8                // clients that ask at once
	keysAtOnce = 200              // each of a client's, between two looks at who was reached
)

// A balancer serves with 1,024 hosts in its start file, with 2,000 of a whole list that follows, and once one of them has
// gone. Each host is some key's, though there are fewer sockets than hosts, and nothing more goes to the one that has gone.
func TestManyHosts(t *testing.T) {
	const first, all = 1024, 2000
	f := &fleet{adminAddress: freeAddress()}
	reached := &hostSet{names: map[string]bool{}}
	for i := range all {
		name := fmt.Sprint("cache", i)
		f.AddHost(name, func(words []string) string {
			reached.add(name)
			return hit(words)
		})
	}
	members := slices.Clone(f.Members)
	f.Members = members[:first]
	f.start()
	defer f.stop()
	f.reachAll(t, reached, first)

	f.WatchAnswers <- standin.HostListJSON(2, true, members...)
	f.awaitHosts(t, all)
	f.reachAll(t, reached, all)

	f.WatchAnswers <- standin.HostListJSON(3, false, strings.Replace(members[7], standin.InService, standin.Terminated, 1))
	f.awaitHosts(t, all-1)
	f.reachAll(t, reached, all-1)
	if reached.has("cache7") {
		t.Error("the host that has gone was sent something")
	}
}

// hostSet is which hosts were sent something.
type hostSet struct {
	mu    sync.Mutex
	names map[string]bool
}

func (s *hostSet) add(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.names[name] = true
}

func (s *hostSet) has(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.names[name]
}

func (s *hostSet) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.names)
}

func (s *hostSet) clear() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.names)
}

// reachAll asks for ever new keys until so many hosts have been sent something.
func (f *fleet) reachAll(t *testing.T, reached *hostSet, hosts int) {
	t.Helper()
	reached.clear()
	began := time.Now()
	keys := 0
	for ; reached.count() < hosts; keys += askers * keysAtOnce {
		if time.Since(began) > reachFor {
			t.Fatalf("%d of %d hosts reached by %d keys", reached.count(), hosts, keys)
		}
		var all sync.WaitGroup
		for i := range askers {
			all.Go(func() { f.askKeys(t, keys+i*keysAtOnce) })
		}
		all.Wait()
	}
	if n := reached.count(); n != hosts {
		t.Errorf("%d hosts reached, want %d", n, hosts)
	}
	t.Logf("%d hosts reached by %d keys in %v", hosts, keys, time.Since(began).Round(time.Millisecond))
}

// askKeys asks for keys from a number on, one after the other. A nack is as good as a value: it is the host that counts.
func (f *fleet) askKeys(t *testing.T, from int) {
	c := f.newClient()
	defer c.Close()
	for i := range keysAtOnce {
		fmt.Fprintf(c, "mg key%d v O%d Pc=read,d=500\r\n", from+i, from+i)
		if !served(c.reader) {
			t.Errorf("key %d: no answer", from+i)
			return
		}
	}
}

// served reads an answer and tells whether it was a value or a nack.
func served(r *bufio.Reader) bool {
	line, err := r.ReadString('\n')
	if strings.HasPrefix(line, "VA 5 ") {
		line, err = r.ReadString('\n')
	}
	return err == nil && (line == "value\r\n" || strings.HasPrefix(line, "SERVER_ERROR busy "))
}

// awaitHosts waits until so many cache hosts are known.
func (f *fleet) awaitHosts(t *testing.T, hosts int) {
	t.Helper()
	want := fmt.Sprintf("known_cache_hosts:%d|", hosts)
	for range 500 {
		if strings.Contains(f.callAdmin("GET", "/status/metrics", ""), want) {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("never %d hosts", hosts)
}

package balance

import (
	"fmt"
	"testing"
)

// manyNames are the names of so many cache hosts.
func manyNames(n int) (names []string) {
	for i := range n {
		names = append(names, fmt.Sprint("cache", i))
	}
	return names
}

// manyStart is a start with 1,024 balancers, categories and tenants.
func manyStart() Config {
	s := start()
	s.GroupSize = 1024
	s.Categories = nil
	for range 1024 {
		s.Categories = append(s.Categories, &Category{Target: 100, Benefit: 1, LateBenefit: 0.5, Repeat: Redeliverable})
		s.Tenants = append(s.Tenants, &Tenant{Quota: 10})
	}
	return s
}

// homesOf sends an op for each of so many keys, by categories and tenants in turn, and tells which hosts got them.
func homesOf(t *testing.T, x *scene, keys int) map[string]*Host {
	homes := map[string]*Host{}
	for i := range keys {
		row := i % len(x.Categories)
		op := &Op{Key: fmt.Sprint("key", i), Category: x.Categories[row], Tenant: x.Tenants[row], Deadline: x.t + 1e6}
		if homes[op.Key] = x.home(op); homes[op.Key] == nil {
			t.Fatalf("key %d of category %d goes nowhere", i, row)
		}
	}
	return homes
}

// home is the host that a new op goes to, nil where it goes nowhere. It is answered at once.
func (x *scene) home(op *Op) *Host {
	x.OpArrived(op)
	p := at(op)
	if p == nil {
		return nil
	}
	x.PushEnded(p, Served, 10, true, nil)
	return p.Host
}

// used counts hosts.
func used(homes map[string]*Host) int {
	hosts := map[*Host]bool{}
	for _, h := range homes {
		hosts[h] = true
	}
	return len(hosts)
}

// With 1,024 balancers, categories and tenants, and as many hosts or more, each host is some key's. Of one that leaves, only
// its own keys move, and back with it they come back.
func TestManyHosts(t *testing.T) {
	for _, n := range []int{1024, 2000} {
		x := boot(manyStart())
		x.silent = true
		names := manyNames(n)
		entries := make([]HostEntry, n)
		for i, name := range names {
			x.hosts[name] = &Host{Name: name}
			entries[i] = HostEntry{x.hosts[name], Listing{Zone: i % 3, Size: 1}}
		}
		x.HostsListed(entries, true, false)
		before := homesOf(t, x, 32*n)
		if listed, avoided := x.HostCounts(); listed != n || avoided != 0 || used(before) != n {
			t.Fatalf("%d hosts: %d listed, %d avoided, %d used", n, listed, avoided, used(before))
		}
		x.tell("cache7", Gone, 0)
		moved := 0
		for key, h := range homesOf(t, x, 32*n) {
			if h == before[key] {
				continue
			}
			if moved++; before[key].Name != "cache7" {
				t.Fatalf("%d hosts: %s moved from %s to %s", n, key, before[key].Name, h.Name)
			}
		}
		if listed, _ := x.HostCounts(); listed != n-1 || moved == 0 {
			t.Fatalf("%d hosts: %d listed, and %d keys moved, once one has left", n, listed, moved)
		}
		x.tell("cache7", Ready, 0)
		for key, h := range homesOf(t, x, 32*n) {
			if h != before[key] {
				t.Fatalf("%d hosts: %s is at %s, not back at %s", n, key, h.Name, before[key].Name)
			}
		}
	}
}

// Hosts that are banned together are as if each had been banned by itself.
func TestManyBans(t *testing.T) {
	const n = 2048
	names := manyNames(n)
	one, all := open(start(), names...), open(start(), names...)
	one.silent, all.silent = true, true
	var banned []*Host
	for i := 0; i < n; i += 2 {
		for _, x := range []*scene{one, all} {
			x.hosts[names[i]].failRate, x.hosts[names[i]].coldBudget = 0.9, 3
		}
		one.SetBanned(one.hosts[names[i]], true)
		banned = append(banned, all.hosts[names[i]])
	}
	all.BanHosts(banned)
	listed, avoided := all.HostCounts()
	if listed != n || avoided != n/2 || len(one.cycle.points) != len(all.cycle.points) || one.fleetLimiter.limit != all.fleetLimiter.limit {
		t.Fatalf("%d listed, %d avoided, %d and %d points, gates at %v and %v", listed, avoided, len(one.cycle.points),
			len(all.cycle.points), one.fleetLimiter.limit, all.fleetLimiter.limit)
	}
	for i := range 4096 {
		opAt := func(x *scene) *Op {
			return &Op{Key: fmt.Sprint("key", i), Category: x.Categories[0], Deadline: x.t + 1e6}
		}
		if a, b := one.home(opAt(one)), all.home(opAt(all)); a.Name != b.Name || b.Banned {
			t.Fatalf("key %d is at %s, and at %s", i, a.Name, b.Name)
		}
	}
	for i, h := range banned {
		if h.failRate != 0 || h.coldBudget != 3 {
			t.Fatalf("banned host %d: failures %v, budget %v", i, h.failRate, h.coldBudget)
		}
	}
}

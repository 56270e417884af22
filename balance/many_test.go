package balance

import (
	"fmt"
	"testing"
)

// hostNames are the names of so many cache hosts.
func hostNames(n int) (names []string) {
	for i := range n {
		names = append(names, fmt.Sprint("cache", i))
	}
	return names
}

// largeConfig is a start with 1,024 balancers, categories and tenants.
func largeConfig() Config {
	s := testConfig()
	s.GroupSize = 1024
	s.Categories = nil
	for range 1024 {
		s.Categories = append(s.Categories, &Category{Target: 100, Benefit: 1, LateBenefit: 0.5, Repeat: Redeliverable})
		s.Tenants = append(s.Tenants, &Tenant{Quota: 10})
	}
	return s
}

// hostsByKey sends an op for each of so many keys, by categories and tenants in turn, and tells which hosts got them.
func hostsByKey(t *testing.T, x *harness, keys int) map[string]*Host {
	homes := map[string]*Host{}
	for i := range keys {
		row := i % len(x.Categories)
		op := &Op{Key: fmt.Sprint("key", i), Category: x.Categories[row], Tenant: x.Tenants[row], Deadline: x.t + 1e6}
		if homes[op.Key] = x.serve(op); homes[op.Key] == nil {
			t.Fatalf("key %d of category %d goes nowhere", i, row)
		}
	}
	return homes
}

// serve is the host that a new op goes to, nil where it goes nowhere. It is answered at once.
func (x *harness) serve(op *Op) *Host {
	x.OpArrived(op)
	p := pendingPush(op)
	if p == nil {
		return nil
	}
	x.PushEnded(p, Served, 10, true, nil)
	return p.Host
}

// distinctHosts counts hosts.
func distinctHosts(homes map[string]*Host) int {
	hosts := map[*Host]bool{}
	for _, h := range homes {
		hosts[h] = true
	}
	return len(hosts)
}

// With 1,024 balancers, categories and tenants, and as many hosts or more, each host is some key's. Of one that leaves, only
// its own keys move, and back with it they come back.
func TestMinimalRemappingAtScale(t *testing.T) {
	for _, n := range []int{1024, 2000} {
		x := newUnlistedHarness(largeConfig())
		x.silent = true
		names := hostNames(n)
		entries := make([]HostEntry, n)
		for i, name := range names {
			x.hosts[name] = &Host{Name: name}
			entries[i] = HostEntry{x.hosts[name], Listing{Zone: i % 3, Size: 1}}
		}
		x.HostsListed(entries, true, false)
		before := hostsByKey(t, x, 32*n)
		if listed, avoided := x.HostCounts(); listed != n || avoided != 0 || distinctHosts(before) != n {
			t.Fatalf("%d hosts: %d listed, %d avoided, %d used", n, listed, avoided, distinctHosts(before))
		}
		x.updateHost("cache7", Gone, 0)
		moved := 0
		for key, h := range hostsByKey(t, x, 32*n) {
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
		x.updateHost("cache7", Ready, 0)
		for key, h := range hostsByKey(t, x, 32*n) {
			if h != before[key] {
				t.Fatalf("%d hosts: %s is at %s, not back at %s", n, key, h.Name, before[key].Name)
			}
		}
	}
}

// Hosts that are banned together are as if each had been banned by itself.
func TestBanAllEqualsSingleBans(t *testing.T) {
	const n = 2048
	names := hostNames(n)
	one, all := newHarness(testConfig(), names...), newHarness(testConfig(), names...)
	one.silent, all.silent = true, true
	var banned []*Host
	for i := 0; i < n; i += 2 {
		for _, x := range []*harness{one, all} {
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
		opAt := func(x *harness) *Op {
			return &Op{Key: fmt.Sprint("key", i), Category: x.Categories[0], Deadline: x.t + 1e6}
		}
		if a, b := one.serve(opAt(one)), all.serve(opAt(all)); a.Name != b.Name || b.Banned {
			t.Fatalf("key %d is at %s, and at %s", i, a.Name, b.Name)
		}
	}
	for i, h := range banned {
		if h.failRate != 0 || h.coldBudget != 3 {
			t.Fatalf("banned host %d: failures %v, budget %v", i, h.failRate, h.coldBudget)
		}
	}
}

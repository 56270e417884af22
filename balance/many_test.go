package balance

import (
	"fmt"
	"testing"
)

// hostNames returns the names of n cache hosts.
func hostNames(n int) (names []string) {
	for i := range n {
		names = append(names, fmt.Sprint("cache", i))
	}
	return names
}

// largeConfig is a configuration with 1,024 balancers, categories and tenants.
func largeConfig() Config {
	cfg := testConfig()
	cfg.GroupSize = 1024
	cfg.Categories = nil
	for range 1024 {
		cfg.Categories = append(cfg.Categories, &Category{Target: 100, Benefit: 1, LateBenefit: 0.5,
			Repeat: Redeliverable})
		cfg.Tenants = append(cfg.Tenants, &Tenant{Quota: 10})
	}
	return cfg
}

// hostsByKey serves one op for each of that many keys, by categories and tenants in turn, and returns the
// hosts they went to.
func hostsByKey(t *testing.T, sim *harness, keys int) map[string]*Host {
	homes := map[string]*Host{}
	for i := range keys {
		row := i % len(sim.Categories)
		op := &Op{Key: fmt.Sprint("key", i), Category: sim.Categories[row], Tenant: sim.Tenants[row],
			Deadline: sim.clock + 1e6}
		if homes[op.Key] = sim.serve(op); homes[op.Key] == nil {
			t.Fatalf("key %d of category %d was not pushed", i, row)
		}
	}
	return homes
}

// serve pushes a new op and has it answered at once. It returns the host, or nil if the op was not pushed.
func (sim *harness) serve(op *Op) *Host {
	sim.OpArrived(op)
	p := pendingPush(op)
	if p == nil {
		return nil
	}
	sim.PushEnded(p, Served, 10, true, nil)
	return p.Host
}

// distinctHosts counts the different hosts.
func distinctHosts(homes map[string]*Host) int {
	hosts := map[*Host]bool{}
	for _, h := range homes {
		hosts[h] = true
	}
	return len(hosts)
}

// With 1,024 balancers, categories and tenants, and at least as many hosts, every host gets keys. When a host
// leaves, only its own keys move, and they move back when it returns.
func TestMinimalRemappingAtScale(t *testing.T) {
	for _, n := range []int{1024, 2000} {
		sim := newUnlistedHarness(largeConfig())
		sim.silent = true
		names := hostNames(n)
		entries := make([]HostEntry, n)
		for i, name := range names {
			sim.hosts[name] = &Host{Name: name}
			entries[i] = HostEntry{sim.hosts[name], Listing{Zone: i % 3, Size: 1}}
		}
		sim.HostsListed(entries, true, false)
		before := hostsByKey(t, sim, 32*n)
		if listed, avoided := sim.HostCounts(); listed != n || avoided != 0 || distinctHosts(before) != n {
			t.Fatalf("%d hosts: %d listed, %d avoided, %d used", n, listed, avoided, distinctHosts(before))
		}
		sim.updateHost("cache7", Gone, 0)
		moved := 0
		for key, h := range hostsByKey(t, sim, 32*n) {
			if h == before[key] {
				continue
			}
			if moved++; before[key].Name != "cache7" {
				t.Fatalf("%d hosts: %s moved from %s to %s", n, key, before[key].Name, h.Name)
			}
		}
		if listed, _ := sim.HostCounts(); listed != n-1 || moved == 0 {
			t.Fatalf("%d hosts: after one left, %d listed and %d keys moved", n, listed, moved)
		}
		sim.updateHost("cache7", Ready, 0)
		for key, h := range hostsByKey(t, sim, 32*n) {
			if h != before[key] {
				t.Fatalf("%d hosts: %s is at %s and did not return to %s", n, key, h.Name, before[key].Name)
			}
		}
	}
}

// Banning hosts together leads to the same state as banning them one by one.
func TestBanHostsEqualsSingleBans(t *testing.T) {
	const n = 2048
	names := hostNames(n)
	one, all := newHarness(testConfig(), names...), newHarness(testConfig(), names...)
	one.silent, all.silent = true, true
	var banned []*Host
	for i := 0; i < n; i += 2 {
		for _, sim := range []*harness{one, all} {
			sim.hosts[names[i]].failRate, sim.hosts[names[i]].coldBudget = 0.9, 3
		}
		one.SetBanned(one.hosts[names[i]], true)
		banned = append(banned, all.hosts[names[i]])
	}
	all.BanHosts(banned)
	listed, avoided := all.HostCounts()
	if listed != n || avoided != n/2 || len(one.cycle.points) != len(all.cycle.points) ||
		one.fleetLimiter.limit != all.fleetLimiter.limit {
		t.Fatalf("%d listed, %d avoided, %d and %d points, limits %v and %v", listed, avoided,
			len(one.cycle.points), len(all.cycle.points), one.fleetLimiter.limit, all.fleetLimiter.limit)
	}
	for i := range 4096 {
		opAt := func(sim *harness) *Op {
			return &Op{Key: fmt.Sprint("key", i), Category: sim.Categories[0], Deadline: sim.clock + 1e6}
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

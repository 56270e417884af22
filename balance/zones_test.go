package balance

import (
	"fmt"
	"slices"
)

// Unresponsive hosts do not close the limiter: with most of the fleet cut off, ops go to the hosts that
// answer.
func Example_unresponsiveHostsDoNotReduceLimit() {
	sim := newHarness(testConfig(), "a", "b", "c", "d", "e", "f")
	sim.silent = true
	served := 0
	var pending []*Op
	for i := range 3000 {
		sim.advance(2)
		name := fmt.Sprint("op", i)
		pending = append(pending, sim.sendOp(name, 0, name, 400, false))
		for _, op := range pending {
			if op.inFlight > 0 && pendingPush(op).Host.Name < "c" {
				sim.finish(op.Ref.(string), Served, 10)
				served++
			}
		}
		pending = slices.DeleteFunc(pending, (*Op).IsDone)
	}
	fmt.Println("served:", served > 2700, "limit above its minimum:",
		sim.fleetLimiter.limit > sim.fleetLimiter.minLimit)
	// Output:
	// served: true limit above its minimum: true
}

// newZoneHarness starts a balancer in the first of two zones. Hosts with upper-case names are in its zone.
func newZoneHarness(cfg Config, names ...string) *harness {
	cfg.Zone, cfg.ZoneCount, cfg.CrossZoneCost, cfg.CacheAside = 0, 2, 0.03, true
	sim := newUnlistedHarness(cfg)
	for _, n := range names {
		sim.hosts[n] = &Host{Name: n, IsOrigin: n[0] == 'o'}
		zone := 1
		if n < "a" {
			zone = 0
		}
		sim.HostsListed([]HostEntry{{sim.hosts[n], Listing{Zone: zone, Size: 1}}}, false, false)
	}
	return sim
}

// Where crossing zones costs more than a fetch, keys stay in the balancer's zone, and an op that fails there
// goes to the first host of the other zone. When fetches are late, keys spread over all zones.
func Example_keysStayInZone() {
	sim := newZoneHarness(testConfig(), "A", "B", "c", "d", "origin")
	sim.silent = true
	near := func(ops int) int {
		sim.pushes = map[string]int{}
		for i := range ops {
			name := fmt.Sprint("op", i)
			sim.sendOp(name, 0, name, 900, false)
			sim.finish(name, Served, 5)
		}
		return sim.pushes["A"] + sim.pushes["B"]
	}
	fmt.Println("in the zone:", near(400), "of 400")
	sim.sendOp("fails", 0, "page", 500, false)
	sim.finish("fails", Failed, 1)
	fmt.Println("then to", pendingPush(sim.ops["fails"]).Host.Name)
	for i := range 12 {
		name := fmt.Sprint("miss", i)
		sim.sendOp(name, 0, name, 900, false)
		sim.finish(name, CacheMiss, 1)
		sim.advance(90)
		sim.finish(name, Served, 90)
	}
	fmt.Println("with late fetches:", near(40), "of 40")
	// Output:
	// in the zone: 400 of 400
	// then to c
	// with late fetches: 26 of 40
}

// When the hosts of the own zone report to be busier than the others, its keys spread over all zones: a zone
// may have more traffic than its hosts can take.
func Example_overloadedZoneSharesKeys() {
	sim := newZoneHarness(testConfig(), "A", "B", "c", "d", "origin")
	sim.silent = true
	for i := range 60 {
		name := fmt.Sprint("op", i)
		op := sim.sendOp(name, 0, name, 900, false)
		sim.PushEnded(pendingPush(op), Overloaded, 1, false, &LoadReport{Busy: 0.9})
		sim.PushEnded(pendingPush(op), Served, 1, true, &LoadReport{Busy: 0.2})
		sim.advance(400)
	}
	fmt.Println("most keys spread over all zones:", sim.crossZoneShare > 0.8)
	// Output:
	// most keys spread over all zones: true
}

// An op deduplicated within a zone that may have run stays with the hosts of that zone, even when its last
// push would go to the origin.
func Example_zoneDedupNotSentToOrigin() {
	cfg := testConfig()
	cfg.MaxPushes, cfg.CacheAside = 2, true
	sim := newHarness(cfg, "a", "origin")
	sim.sendOp("op", 3, "page", 500, false)
	sim.finish("op", Failed, 5)
	// Output:
	// 0 push op to a
	//    0 dead-letter op
}

// Crossing zones is cheap here, so keys spread over all zones. But where balancers outnumber hosts, or hosts
// refuse connections, keys stay in the zone, so that fewer hosts need a connection.
func Example_largeGroupKeepsKeysInZone() {
	for _, group := range []int{3, 5} {
		cfg := testConfig()
		cfg.FetchCost, cfg.GroupSize = 0.03, group
		sim := newZoneHarness(cfg)
		var entries []HostEntry
		for i, n := range []string{"A", "B", "c", "d"} {
			sim.hosts[n] = &Host{Name: n}
			entries = append(entries, HostEntry{sim.hosts[n], Listing{Zone: i / 2, Size: 1}})
		}
		sim.HostsListed(entries, true, false)
		sim.silent = true
		near := func() int {
			sim.pushes = map[string]int{}
			for i := range 400 {
				name := fmt.Sprint("op", i)
				sim.sendOp(name, 0, name, 900, false)
				sim.finish(name, Served, 5)
			}
			return sim.pushes["A"] + sim.pushes["B"]
		}
		fmt.Println(group, "balancers:", near(), "of 400 in the zone")
		for i := range 12 {
			name := fmt.Sprint("turned away", i)
			sim.sendOp(name, 0, name, 900, false)
			sim.finish(name, ConnLimited, 1)
			sim.finish(name, Served, 5)
		}
		sim.advance(20000)
		fmt.Println("after refused connections:", near(), "of 400")
	}
	// Output:
	// 3 balancers: 225 of 400 in the zone
	// after refused connections: 400 of 400
	// 5 balancers: 395 of 400 in the zone
	// after refused connections: 400 of 400
}

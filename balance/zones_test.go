package balance

import (
	"fmt"
	"slices"
)

// Silent hosts close no gate: with most of the fleet cut off, ops go to those that answer.
func Example_unresponsiveZoneKeepsGateOpen() {
	x := newHarness(testConfig(), "a", "b", "c", "d", "e", "f")
	x.silent = true
	served := 0
	var outs []*Op
	for i := range 3000 {
		x.advance(2)
		name := fmt.Sprint("op", i)
		outs = append(outs, x.sendOp(name, 0, name, 400, false))
		for _, op := range outs {
			if op.inFlight > 0 && pendingPush(op).Host.Name < "c" {
				x.finish(op.Ref.(string), Served, 10)
				served++
			}
		}
		outs = slices.DeleteFunc(outs, (*Op).IsDone)
	}
	fmt.Println("served:", served > 2700, "gate above its floor:", x.fleetLimiter.limit > x.fleetLimiter.minLimit)
	// Output:
	// served: true gate above its floor: true
}

// newZoneHarness opens a balancer of the first of two zones; the hosts in upper case stand in its zone.
func newZoneHarness(s Config, names ...string) *harness {
	s.Zone, s.ZoneCount, s.CrossZoneCost, s.CacheAside = 0, 2, 0.03, true
	x := newUnlistedHarness(s)
	for _, n := range names {
		x.hosts[n] = &Host{Name: n, IsOrigin: n[0] == 'o'}
		zone := 1
		if n < "a" {
			zone = 0
		}
		x.HostsListed([]HostEntry{{x.hosts[n], Listing{Zone: zone, Size: 1}}}, false, false)
	}
	return x
}

// Where crossing zones costs more than a fetch, keys keep to their balancer's zone; an op that fails there goes to the
// other zone's first host. While fetches come late keys are pooled over all zones again.
func Example_keysStayInZone() {
	x := newZoneHarness(testConfig(), "A", "B", "c", "d", "origin")
	x.silent = true
	near := func(ops int) int {
		x.pushes = map[string]int{}
		for i := range ops {
			name := fmt.Sprint("op", i)
			x.sendOp(name, 0, name, 900, false)
			x.finish(name, Served, 5)
		}
		return x.pushes["A"] + x.pushes["B"]
	}
	fmt.Println("in the zone:", near(400), "of 400")
	x.sendOp("fails", 0, "page", 500, false)
	x.finish("fails", Failed, 1)
	fmt.Println("then to", pendingPush(x.ops["fails"]).Host.Name)
	for i := range 12 {
		name := fmt.Sprint("miss", i)
		x.sendOp(name, 0, name, 900, false)
		x.finish(name, CacheMiss, 1)
		x.advance(90)
		x.finish(name, Served, 90)
	}
	fmt.Println("with late fetches:", near(40), "of 40")
	// Output:
	// in the zone: 400 of 400
	// then to c
	// with late fetches: 26 of 40
}

// Hosts of the own zone that say they are busier than the others lose their claim on its keys: a zone may have more traffic
// than its hosts can carry.
func Example_overloadedZoneSharesKeys() {
	x := newZoneHarness(testConfig(), "A", "B", "c", "d", "origin")
	x.silent = true
	for i := range 60 {
		name := fmt.Sprint("op", i)
		op := x.sendOp(name, 0, name, 900, false)
		x.PushEnded(pendingPush(op), Overloaded, 1, false, &LoadReport{Busy: 0.9})
		x.PushEnded(pendingPush(op), Served, 1, true, &LoadReport{Busy: 0.2})
		x.advance(400)
	}
	fmt.Println("keys that keep to no zone:", x.crossZoneShare > 0.8)
	// Output:
	// keys that keep to no zone: true
}

// A deduplicated op that may have run stays with its zone's hosts, also when its last push would be the origin's.
func Example_zoneDedupNotSentToOrigin() {
	s := testConfig()
	s.MaxPushes, s.CacheAside = 2, true
	x := newHarness(s, "a", "origin")
	x.sendOp("op", 3, "page", 500, false)
	x.finish("op", Failed, 5)
	// Output:
	// 0 push op to a
	//    0 dead-letter op
}

// Crossing is cheap here, so keys keep to no zone; but where balancers outnumber the hosts, or tables of connections are
// found full, they do, for fewer hosts need a connection then.
func Example_largeGroupKeepsKeysInZone() {
	for _, group := range []int{3, 5} {
		s := testConfig()
		s.FetchCost, s.GroupSize = 0.03, group
		x := newZoneHarness(s)
		var entries []HostEntry
		for i, n := range []string{"A", "B", "c", "d"} {
			x.hosts[n] = &Host{Name: n}
			entries = append(entries, HostEntry{x.hosts[n], Listing{Zone: i / 2, Size: 1}})
		}
		x.HostsListed(entries, true, false)
		x.silent = true
		near := func() int {
			x.pushes = map[string]int{}
			for i := range 400 {
				name := fmt.Sprint("op", i)
				x.sendOp(name, 0, name, 900, false)
				x.finish(name, Served, 5)
			}
			return x.pushes["A"] + x.pushes["B"]
		}
		fmt.Println(group, "balancers:", near(), "of 400 in the zone")
		for i := range 12 {
			name := fmt.Sprint("turned away", i)
			x.sendOp(name, 0, name, 900, false)
			x.finish(name, ConnLimited, 1)
			x.finish(name, Served, 5)
		}
		x.advance(20000)
		fmt.Println("after full tables:", near(), "of 400")
	}
	// Output:
	// 3 balancers: 225 of 400 in the zone
	// after full tables: 400 of 400
	// 5 balancers: 395 of 400 in the zone
	// after full tables: 400 of 400
}

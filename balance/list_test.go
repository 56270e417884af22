package balance

import (
	"fmt"
	"math"
)

// Changes of the host list must be known 6 s after discovery has them, if it can be reached. After a failed
// call the next one is therefore made early enough, however the call failed and however many failed before.
func Example_listRetriedWithinDeadline() {
	for _, c := range []struct {
		what string
		fail float64 // ms until a call fails; +Inf: no answer
		most float64 // ms from one call to the next, at most
	}{{"refused at once", 0, 2000}, {"reset after a while", 900, 2900},
		{"503 just before the timeout", 2900, 4500}, {"never answered", math.Inf(1), 4500}} {
		longest := 0.0
		for seed := range 200 {
			cfg := testConfig()
			cfg.ListOnRequest, cfg.Seed = true, uint64(seed)
			sim := &harness{silent: true}
			sim.Balancer = New(cfg, sim, 0)
			called := 0.0
			for call := 0; call < 8; {
				sim.advance(10)
				switch {
				case sim.listPending && sim.listCallAt > called:
					longest, called, call = max(longest, sim.listCallAt-called), sim.listCallAt, call+1
				case sim.listPending && sim.clock-sim.listCallAt >= c.fail:
					sim.HostListFailed()
				}
			}
		}
		fmt.Println(c.what+": in time", longest <= c.most+100, "and spread", longest > c.most-200)
	}
	// Output:
	// refused at once: in time true and spread true
	// reset after a while: in time true and spread true
	// 503 just before the timeout: in time true and spread true
	// never answered: in time true and spread true
}

// A failed or unanswered list call is repeated after a random and growing delay.
func Example_listRetryBackoff() {
	cfg := testConfig()
	cfg.ListOnRequest = true
	sim := newUnlistedHarness(cfg)
	sim.HostListFailed()
	sim.advance(1000)
	sim.HostListFailed()
	sim.advance(2000)
	sim.advance(10000)
	sim.listHosts(true, "a")
	sim.advance(60000)
	// Output:
	// 0 watch
	//  900 watch
	// 2800 watch
	// 7000 watch
	// 11300 watch
}

// With no host listed, ops are held as long as they can still be answered in time.
func Example_opsHeldWhileNoHostListed() {
	sim := newHarness(testConfig())
	sim.sendOp("op0", 0, "page", 500, false)
	sim.sendOp("op1", 0, "page", 500, false)
	sim.advance(50)
	sim.updateHost("a", Ready, 0)
	sim.updateHost("a", Gone, 0)
	sim.sendOp("op2", 0, "page", 500, false)
	sim.advance(100)
	// Output:
	// 50 push op0 to a
	//   50 push op1 to a
	//  120 nack op2
	//  138 cancel op0
	//  138 cancel op1
	//  138 nack op0
	//  138 nack op1
}

// Unusual lists do not stop routing to hosts that are known to be ready: changes to hosts never listed, a
// host listed twice, a complete list that is empty or names only the origin, and a list of a thousand hosts.
func Example_unusualListsKeepRouting() {
	for _, group := range []int{1, 1000} {
		cfg := testConfig()
		cfg.GroupSize, cfg.CacheAside = group, true
		sim := newHarness(cfg, "a", "b")
		sim.updateHost("never", Gone, 0)
		sim.updateHost("other", Draining, 5)
		a := sim.hosts["a"]
		sim.HostsListed([]HostEntry{{a, Listing{Size: 2}}, {a, Listing{Size: 1}}}, false, false)
		sim.silent = true
		at := func(key string) string {
			op := sim.sendOp(key, 0, key, 500, false)
			if op.inFlight == 0 {
				sim.ClientLeft(op)
				return "none"
			}
			name := pendingPush(op).Host.Name
			sim.finish(key, Served, 1)
			return name
		}
		fmt.Print(group, " balancers: ", len(sim.Balancer.hosts), " hosts, ", at("page"), at("atlas"))
		sim.HostsListed(nil, true, false)
		fmt.Print(", empty ", at("k1"))
		sim.listHosts(true, "origin")
		fmt.Print(", origin ", at("k2"))
		var many []string
		for i := range 1000 {
			many = append(many, fmt.Sprint("h", i))
		}
		sim.listHosts(true, many...)
		fmt.Println(", thousand", at("page"), len(sim.readyHosts))
	}
	// Output:
	// 1 balancers: 3 hosts, ab, empty none, origin none, thousand h818 1000
	// 1000 balancers: 3 hosts, ab, empty none, origin none, thousand h818 1000
}

// A restarted balancer routes by its saved list as its peers do by theirs, whatever its seed, until a new
// list arrives.
func Example_restartRoutesBySavedList() {
	cfg := testConfig()
	cfg.ListOnRequest = true
	peer := newHarness(testConfig(), "a", "b", "c")
	cfg.Seed = 99
	sim := newUnlistedHarness(cfg)
	for _, n := range []string{"a", "b", "c"} {
		sim.hosts[n] = &Host{Name: n}
		sim.HostsListed([]HostEntry{{sim.hosts[n], Listing{Size: 1}}}, false, true)
	}
	sim.advance(8000)
	sim.sendOp("op", 0, "page", 500, false)
	peer.sendOp("peer's", 0, "page", 500, false)
	sim.finish("op", ConnectFailed, 1)
	sim.listHosts(true, "a", "b")
	// Output:
	// 0 watch
	// 3900 watch
	// 8000 push op to c
	//    0 push peer's to c
	// 8000 push op to a
}

// Delays between list calls grow with each failure. When another service provides the list, it is asked at
// once.
func Example_movedListRequestedAtOnce() {
	cfg := testConfig()
	cfg.ListOnRequest = true
	sim := newUnlistedHarness(cfg)
	for range 4 {
		sim.HostListFailed()
	}
	sim.advance(100)
	sim.HostListMoved()
	sim.HostListFailed()
	sim.advance(1000)
	// Output:
	// 0 watch
	//  100 watch
	//  700 watch
}

// After any sequence of updates, the cycle equals the one built from the last list alone. Hosts are swept ten
// times a second, not at each tick: sorting all points and visiting all hosts takes too much CPU.
func Example_incrementalListUpdates() {
	sim := newHarness(testConfig(), "a", "b", "c", "d", "e")
	sim.silent = true
	for i := range 200 {
		name := string(rune('a' + i*7%13))
		sim.updateHost(name, []Status{Ready, Draining, Ready, Gone}[i%4], 0)
	}
	var ready []string
	for _, h := range sim.readyHosts {
		ready = append(ready, h.Name)
	}
	rebuilt := newHarness(testConfig(), ready...)
	same := len(sim.cycle.points) == len(rebuilt.cycle.points)
	for i, p := range sim.cycle.points {
		q := rebuilt.cycle.points[i]
		same = same && p.hash == q.hash &&
			sim.cycle.hosts[p.hostIndex].Name == rebuilt.cycle.hosts[q.hostIndex].Name
	}
	sweeps, last := 0, sim.lastSweep
	for range 100 {
		sim.advance(10)
		if sim.lastSweep != last {
			sweeps, last = sweeps+1, sim.lastSweep
		}
	}
	fmt.Println(len(ready), "hosts, the same cycle:", same, "sweeps in a second:", sweeps)
	// Output:
	// 6 hosts, the same cycle: true sweeps in a second: 9
}

// A banned host gets no op, neither as a first push, nor after a failure, nor once it is listed again. Its
// pushes in flight still end normally. Lifting the ban also ends its ejection.
func Example_bannedHostGetsNoOps() {
	sim := newHarness(testConfig(), "a", "b", "c")
	sim.sendOp("out", 0, "page", 500, false)
	first := sim.ops["out"].pushes[0].Host
	for range 2 {
		sim.SetBanned(first, true) // the second call has no effect
	}
	sim.sendOp("next", 0, "page", 500, false)
	sim.listHosts(true, "a", "b", "c") // the banned host is listed as ready
	sim.sendOp("listed", 0, "page", 500, false)
	sim.finish("next", ConnBroken, 5)
	sim.finish("out", Served, 10)
	fmt.Println(sim.HostCounts())
	sim.SetBanned(first, false)
	first.ejectedUntil = math.Inf(1)
	sim.SetBanned(first, true)
	sim.SetBanned(first, false)
	fmt.Println(sim.HostCounts())
	sim.sendOp("again", 0, "page", 500, false)
	// Output:
	// 0 push out to c
	//    0 push next to a
	//    0 push listed to a
	//    0 push next to b
	//    0 out acked
	// 3 2
	// 3 1
	//    0 push again to c
}

// With all hosts banned, reads go to the origin. Before the first list they are held.
func Example_readsGoToOriginWhenAllBanned() {
	cfg := testConfig()
	cfg.CacheAside = true
	sim := newHarness(cfg, "a", "origin")
	sim.SetBanned(sim.hosts["a"], true)
	sim.sendOp("read", 0, "page", 500, false)
	sim.finish("read", Served, 10)
	sim = newUnlistedHarness(cfg)
	sim.sendOp("early", 0, "page", 500, false)
	// Output:
	// 0 push read to origin
	//    0 read acked
}

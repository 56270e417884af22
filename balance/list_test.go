package balance

import (
	"fmt"
	"math"
)

// What discovery has, and could be reached for, counts as told 6 s later. It may come back from just behind any call on, so
// the next is made soon enough for its answer, however many have failed before: at once, late, or by being given up. Where
// calls are refused at once, as where discovery is asked by hundreds, there is time for a second and a third.
func Example_listRetriedWithinDeadline() {
	for _, c := range []struct {
		what string
		fail float64 // ms until a call fails; +Inf: it is never answered
		most float64 // ms from one call to the next
	}{{"refused at once", 0, 2000}, {"reset after a while", 900, 2900},
		{"503 as it is to be given up", 2900, 4500}, {"never answered", math.Inf(1), 4500}} {
		longest := 0.0
		for seed := range 200 {
			s := testConfig()
			s.ListOnRequest, s.Seed = true, uint64(seed)
			x := &harness{silent: true}
			x.Balancer = New(s, x, 0)
			called := 0.0
			for call := 0; call < 8; {
				x.advance(10)
				switch {
				case x.listPending && x.listCallAt > called: // a further call
					longest, called, call = max(longest, x.listCallAt-called), x.listCallAt, call+1
				case x.listPending && x.t-x.listCallAt >= c.fail:
					x.HostListFailed()
				}
			}
		}
		fmt.Println(c.what+": in time", longest <= c.most+100, "and spread", longest > c.most-200)
	}
	// Output:
	// refused at once: in time true and spread true
	// reset after a while: in time true and spread true
	// 503 as it is to be given up: in time true and spread true
	// never answered: in time true and spread true
}

// A failed list call is made again after a spread and growing wait, as is one that nobody answers.
func Example_listRetryBackoff() {
	s := testConfig()
	s.ListOnRequest = true
	x := newUnlistedHarness(s)
	x.HostListFailed()
	x.advance(1000)
	x.HostListFailed()
	x.advance(2000)
	x.advance(10000)
	x.listHosts(true, "a")
	x.advance(60000)
	// Output:
	// 0 watch
	//  900 watch
	// 2800 watch
	// 7000 watch
	// 11300 watch
}

// With no host listed an op is held while there is hope.
func Example_opsHeldWhileNoHostListed() {
	x := newHarness(testConfig())
	x.sendOp("op0", 0, "page", 500, false)
	x.sendOp("op1", 0, "page", 500, false)
	x.advance(50)
	x.updateHost("a", Ready, 0)
	x.updateHost("a", Gone, 0)
	x.sendOp("op2", 0, "page", 500, false)
	x.advance(100)
	// Output:
	// 50 push op0 to a
	//   50 push op1 to a
	//  120 nack op2
	//  138 cancel op0
	//  138 cancel op1
	//  138 nack op0
	//  138 nack op1
}

// Odd lists stop no routing to hosts that are known to be ready: changes to hosts never listed, a host listed
// twice, a whole list of nothing or of the origin alone, and one of a thousand hosts.
func Example_unusualListsKeepRouting() {
	for _, group := range []int{1, 1000} {
		s := testConfig()
		s.GroupSize, s.CacheAside = group, true
		x := newHarness(s, "a", "b")
		x.updateHost("never", Gone, 0)
		x.updateHost("other", Draining, 5)
		a := x.hosts["a"]
		x.HostsListed([]HostEntry{{a, Listing{Size: 2}}, {a, Listing{Size: 1}}}, false, false)
		x.silent = true
		at := func(key string) string {
			op := x.sendOp(key, 0, key, 500, false)
			if op.inFlight == 0 {
				x.ClientLeft(op)
				return "none"
			}
			name := pendingPush(op).Host.Name
			x.finish(key, Served, 1)
			return name
		}
		fmt.Print(group, " balancers: ", len(x.Balancer.hosts), " hosts, ", at("page"), at("atlas"))
		x.HostsListed(nil, true, false)
		fmt.Print(", empty ", at("k1"))
		x.listHosts(true, "origin")
		fmt.Print(", origin ", at("k2"))
		var many []string
		for i := range 1000 {
			many = append(many, fmt.Sprint("h", i))
		}
		x.listHosts(true, many...)
		fmt.Println(", thousand", at("page"), len(x.readyHosts))
	}
	// Output:
	// 1 balancers: 3 hosts, ab, empty none, origin none, thousand h818 1000
	// 1000 balancers: 3 hosts, ab, empty none, origin none, thousand h818 1000
}

// A balancer back from a restart routes by its saved list as its peers do by theirs, whatever its seed,
// and takes the new list when one comes, if ever.
func Example_restartRoutesBySavedList() {
	s := testConfig()
	s.ListOnRequest = true
	peer := newHarness(testConfig(), "a", "b", "c")
	s.Seed = 99
	x := newUnlistedHarness(s)
	for _, n := range []string{"a", "b", "c"} {
		x.hosts[n] = &Host{Name: n}
		x.HostsListed([]HostEntry{{x.hosts[n], Listing{Size: 1}}}, false, true)
	}
	x.advance(8000)
	x.sendOp("op", 0, "page", 500, false)
	peer.sendOp("peer's", 0, "page", 500, false)
	x.finish("op", ConnectFailed, 1)
	x.listHosts(true, "a", "b")
	// Output:
	// 0 watch
	// 3900 watch
	// 8000 push op to c
	//    0 push peer's to c
	// 8000 push op to a
}

// Calls for the list fail ever longer apart; where another service tells it from now on, it is asked at once.
func Example_movedListRequestedAtOnce() {
	s := testConfig()
	s.ListOnRequest = true
	x := newUnlistedHarness(s)
	for range 4 {
		x.HostListFailed()
	}
	x.advance(100)
	x.HostListMoved()
	x.HostListFailed()
	x.advance(1000)
	// Output:
	// 0 watch
	//  100 watch
	//  700 watch
}

// However lists come, a changed cycle is the one that a balancer with the last list alone has; and hosts are looked at ten
// times a second, not at each tick. Sorting all points and visiting all hosts once cost a thousand balancers 75 s of CPU in 18.
func Example_incrementalListUpdates() {
	x := newHarness(testConfig(), "a", "b", "c", "d", "e")
	x.silent = true
	for i := range 200 {
		name := string(rune('a' + i*7%13))
		x.updateHost(name, []Status{Ready, Draining, Ready, Gone}[i%4], 0)
	}
	var left []string
	for _, h := range x.readyHosts {
		left = append(left, h.Name)
	}
	y := newHarness(testConfig(), left...)
	same := len(x.cycle.points) == len(y.cycle.points)
	for i, p := range x.cycle.points {
		q := y.cycle.points[i]
		same = same && p.hash == q.hash && x.cycle.hosts[p.hostIndex].Name == y.cycle.hosts[q.hostIndex].Name
	}
	looks, last := 0, x.lastSweep
	for range 100 {
		x.advance(10)
		if x.lastSweep != last {
			looks, last = looks+1, x.lastSweep
		}
	}
	fmt.Println(len(left), "hosts, the same cycle:", same, "looks in a second:", looks)
	// Output:
	// 6 hosts, the same cycle: true looks in a second: 9
}

// A host that operators take out gets nothing new, in whichever way an op would come to it: first push, next push after a
// failure, or once lists name it again. What it owes is waited for. When it is put back, its rest is forgotten.
func Example_bannedHostGetsNoOps() {
	x := newHarness(testConfig(), "a", "b", "c")
	x.sendOp("out", 0, "page", 500, false)
	first := x.ops["out"].pushes[0].Host
	for range 2 {
		x.SetBanned(first, true) // twice is as once
	}
	x.sendOp("next", 0, "page", 500, false)
	x.listHosts(true, "a", "b", "c") // and it is listed as ready
	x.sendOp("listed", 0, "page", 500, false)
	x.finish("next", ConnBroken, 5)
	x.finish("out", Served, 10)
	fmt.Println(x.HostCounts())
	x.SetBanned(first, false)
	first.ejectedUntil = math.Inf(1)
	x.SetBanned(first, true)
	x.SetBanned(first, false)
	fmt.Println(x.HostCounts())
	x.sendOp("again", 0, "page", 500, false)
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

// Where operators have taken out all hosts, reads go to the origin. Before there is a list they are held.
func Example_readsGoToOriginWhenAllBanned() {
	s := testConfig()
	s.CacheAside = true
	x := newHarness(s, "a", "origin")
	x.SetBanned(x.hosts["a"], true)
	x.sendOp("read", 0, "page", 500, false)
	x.finish("read", Served, 10)
	x = newUnlistedHarness(s)
	x.sendOp("early", 0, "page", 500, false)
	// Output:
	// 0 push read to origin
	//    0 read acked
}

package balance

import "fmt"

// A failed op counts against its host only if another host serves it. An op that two hosts fail is given up
// and neither host is blamed; while second hosts keep agreeing, most ops are given up at the first error. A
// host that starts to fail by itself is still detected.
func Example_hostsNotBlamedForBadOps() {
	sim := newHarness(testConfig(), "a", "b", "c", "d")
	before := sim.fleetLimiter.limit
	sim.sendOp("bad", 0, "page", 500, false)
	sim.finish("bad", Failed, 1)
	sim.finish("bad", Failed, 1)
	sim.silent = true
	pushes := 0
	for i := range 40 {
		name := fmt.Sprint("bad", i)
		for p := pendingPush(sim.sendOp(name, 0, name, 500, false)); p != nil; p = pendingPush(p.Op) {
			pushes++
			sim.finishPush(p, Failed, 1)
		}
		sim.advance(5)
	}
	_, avoided := sim.HostCounts()
	fmt.Println("avoided:", avoided, "limit reduced:", sim.fleetLimiter.limit < before,
		"pushes of 40 such ops:", pushes)
	lost := 0
	for i := 0; avoided == 0; i++ {
		op := sim.sendOp(fmt.Sprint("good", i), 0, "page", 500, false)
		for p := pendingPush(op); p != nil; p = pendingPush(op) {
			sim.finishPush(p, map[bool]Outcome{true: Failed, false: Served}[p.Host.Name == "c"], 1)
		}
		if !op.acked {
			lost++
		}
		sim.advance(5)
		_, avoided = sim.HostCounts()
	}
	fmt.Println("avoided:", avoided, "ops given up before:", lost)
	// Output:
	// 0 push bad to c
	//    0 push bad to d
	//    0 nack bad
	// avoided: 0 limit reduced: false pushes of 40 such ops: 48
	// avoided: 1 ops given up before: 1
}

// Where most hosts lose a third of their answers to resets, they stay in use; only the host that loses all is
// ejected.
func Example_commonResetsEjectOnlyWorstHost() {
	sim := newHarness(testConfig(), "a", "b", "c", "d", "e", "f")
	sim.silent = true
	n, all := 0, 0.0
	for range 2000 {
		n++
		name := fmt.Sprint("op", n)
		for p := pendingPush(sim.sendOp(name, 0, name, 500, false)); p != nil; p = pendingPush(p.Op) {
			if p.Host.Name == "f" || p.Host.Name != "a" && n%3 == 0 {
				sim.finishPush(p, ConnBroken, 5)
				continue
			}
			sim.finishPush(p, Served, 5)
		}
		sim.advance(5)
		_, avoided := sim.HostCounts()
		all += float64(avoided)
	}
	fmt.Printf("avoided of six: %.1f; pushes to the worst: %v\n", all/2000, sim.pushes["f"])
	// Output:
	// avoided of six: 0.7; pushes to the worst: 11
}

// When a host in use goes down, the load that all balancers had there may be the cause: for a minute the
// bound has no floor of two, so ops spread over more hosts.
func Example_boundWithoutFloorAfterHostDown() {
	sim := newHarness(testConfig(), "a", "b", "c", "d", "e", "f", "g", "h")
	spread := func() int {
		sim.pushes = map[string]int{}
		for i := range 3 {
			sim.sendOp(fmt.Sprint("op", i), 0, "page", 500, false)
		}
		hosts := len(sim.pushes)
		for i := range 3 {
			sim.finish(fmt.Sprint("op", i), Served, 10)
		}
		return hosts
	}
	sim.silent = true
	sim.advance(10)
	fmt.Println("hosts of three ops:", spread())
	h := sim.sendOp("fallen", 0, "page", 500, false).pushes[0].Host
	sim.finish("fallen", ConnectFailed, 1) // it answered a moment ago
	sim.finish("fallen", Served, 1)
	sim.advance(1000)
	fmt.Println("after a failure:", spread())
	sim.advance(62000)
	fmt.Println("a minute later:", spread())
	sim.updateHost(h.Name, Ready, sim.clock) // its process has restarted
	sim.advance(6000)
	fmt.Println("after a listed restart:", spread())
	// Output:
	// hosts of three ops: 2
	// after a failure: 3
	// a minute later: 2
	// after a listed restart: 3
}

// A key whose answers never arrive, while its hosts serve other keys, gets one push at a time; its other ops
// are nacked at once. Other keys are not affected, and the limit ends once the key's answers are in time
// again.
func Example_stuckKeyLimitedToOnePush() {
	cfg := testConfig()
	cfg.ReplySlots = 10
	sim := newHarness(cfg, "a", "b", "c", "d")
	n := 0
	round := func(stuck bool) {
		n++
		sim.sendOp("stuck", 0, "page", 500, false)
		for i := range 8 {
			sim.sendOp(fmt.Sprint("op", i), 0, fmt.Sprint("leaf", n, i), 500, false)
		}
		for i := range 8 {
			sim.advance(3)
			sim.finish(fmt.Sprint("op", i), Served, float64(3*i+3))
		}
		if !stuck {
			sim.finish("stuck", Served, 24)
		}
		sim.advance(100)
	}
	sim.silent = true
	for range 60 {
		round(true)
	}
	sim.silent = false
	sim.sendOp("one", 0, "page", 500, false)
	sim.sendOp("two", 0, "page", 500, false)
	sim.sendOp("other", 0, "leaf", 500, false)
	sim.silent = true
	sim.finish("one", Served, 10)
	for range 30 {
		round(false)
	}
	sim.silent = false
	sim.sendOp("three", 0, "page", 500, false)
	sim.sendOp("four", 0, "page", 500, false)
	// Output:
	// 7440 push one to d
	// 7440 nack two
	// 7440 push other to d
	// 11160 push three to c
	// 11160 push four to c
}

// A slow fetch is not cancelled: there is one origin, and it would only be asked again.
func Example_slowFetchNotCancelled() {
	cfg := testConfig()
	cfg.CacheAside = true
	sim := newHarness(cfg, "a", "b", "origin")
	sim.sendOp("op", 0, "page", 500, false)
	sim.finish("op", CacheMiss, 1)
	sim.advance(400)
	sim.finish("op", Served, 400)
	// Output:
	// 0 push op to a
	//    0 push op to origin
	//  400 op acked
}

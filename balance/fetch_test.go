package balance

import (
	"fmt"
	"slices"
)

// newOriginHarness starts a balancer that fetches misses from the origin, with three cache hosts.
func newOriginHarness() *harness {
	cfg := testConfig()
	cfg.CacheAside = true
	return newHarness(cfg, "a", "b", "c", "origin")
}

// Only one fetch per key is in flight. Other ops of the key wait for it and then go to the host that holds
// the key.
func Example_oneFetchPerKey() {
	sim := newOriginHarness()
	sim.sendOp("op0", 0, "page", 500, false)
	sim.finish("op0", CacheMiss, 1)
	sim.sendOp("op1", 0, "page", 500, false)
	sim.sendOp("op2", 0, "page", 500, false)
	sim.finish("op0", Served, 20)
	sim.finish("op1", Served, 5)
	// Output:
	// 0 push op0 to c
	//    0 push op0 to origin
	//    0 push op1 to c
	//    0 push op2 to c
	//    0 op0 acked
	//    0 op1 acked
}

// When the client of the op that leads a fetch leaves, a waiting op takes over the fetch with its full
// priority.
func Example_fetchHandedOverWhenLeaderLeaves() {
	sim := newOriginHarness()
	sim.sendOp("op0", 0, "page", 500, false)
	sim.finish("op0", CacheMiss, 1)
	sim.sendOp("op1", 0, "page", 500, false)
	sim.sendOp("op2", 0, "page", 500, false)
	sim.ClientLeft(sim.ops["op0"])
	sim.finish("op1", Served, 20)
	// Output:
	// 0 push op0 to c
	//    0 push op0 to origin
	//    0 cancel op0
	//    0 push op1 to origin
	//    0 push op2 to c
	//    0 op1 acked
}

// The last push is reserved for the origin; otherwise an op that found two hosts overloaded would miss at the
// third and end unserved.
func Example_lastPushReservedForOrigin() {
	sim := newOriginHarness()
	sim.sendOp("op0", 0, "page", 500, false)
	sim.finish("op0", Overloaded, 1)
	sim.finish("op0", Overloaded, 1)
	sim.finish("op0", Served, 20)
	// Output:
	// 0 push op0 to c
	//    0 push op0 to a
	//    0 push op0 to origin
	//    0 op0 acked
}

// A stalled origin delays no hits, and its queue stays short: fetches that cannot be answered in time are
// nacked.
func Example_stalledOriginDelaysNoHit() {
	sim := newOriginHarness()
	for i := range 60 {
		sim.silent = i < 58
		name := fmt.Sprint("miss", i)
		sim.sendOp(name, 0, name, 500, false)
		sim.finish(name, CacheMiss, 1)
	}
	sim.sendOp("hit", 0, "page", 500, false)
	sim.finish("hit", Served, 5)
	// Output:
	// 0 push miss58 to a
	//    0 nack miss58
	//    0 push miss59 to a
	//    0 nack miss59
	//    0 push hit to c
	//    0 hit acked
}

// An origin at capacity rejects fetches at once. 200 balancers with steady misses send it few fetches in all,
// where one each would keep it full of fetches that are answered too late.
func Example_manyBalancersBackOffFromFullOrigin() {
	cfg := testConfig()
	cfg.CacheAside = true
	all := newHarnesses(200, cfg, "a", "b", "c", "origin")
	pending := make([][]*Op, len(all))
	for sec := range 3 {
		fetches := 0
		for t := range 50 {
			for i, sim := range all {
				sim.advance(20)
				sim.pushes["origin"] = 0
				name := fmt.Sprint(sec, t, i)
				if op := sim.sendOp(name, 0, name, 500, false); op.inFlight > 0 && !pendingPush(op).Host.IsOrigin {
					sim.finish(name, CacheMiss, 1)
				}
				pending[i] = slices.DeleteFunc(append(pending[i], sim.ops[name]), (*Op).IsDone)
				for _, op := range pending[i] {
					if op.inFlight > 0 && pendingPush(op).Host.IsOrigin {
						sim.PushEnded(pendingPush(op), Overloaded, 1, false, nil)
					}
				}
				fetches += sim.pushes["origin"]
			}
		}
		fmt.Printf("second %d: %d fetches of 10000 misses\n", sec+1, fetches)
	}
	// Output:
	// second 1: 2050 fetches of 10000 misses
	// second 2: 372 fetches of 10000 misses
	// second 3: 358 fetches of 10000 misses
}

// Abandoned fetches stay in the origin's queue. If it has answered no fetch for a target latency, the limit
// is halved so that the backlog can drain; if it answers others, the slow op may just be heavy and the limit
// stays.
func Example_originLimitCutOnBacklog() {
	for _, answers := range []bool{false, true} {
		cfg := testConfig()
		cfg.CacheAside, cfg.GroupSize = true, 50
		sim := newHarness(cfg, "a", "b", "origin")
		sim.silent = true
		fetch := func(name string) {
			sim.sendOp(name, 0, name, 200, false)
			sim.finish(name, CacheMiss, 1)
		}
		fmt.Print("answers others ", answers, ", limit")
		for i := range 5 {
			fetch(fmt.Sprint("stuck", i))
			sim.advance(150)
			if fetch(fmt.Sprint("other", i)); answers {
				sim.finish(fmt.Sprint("other", i), Served, 10)
			}
			sim.advance(250)
			fmt.Printf(" %.2f", sim.originLimiter.limit)
		}
		fmt.Println()
	}
	// Output:
	// answers others false, limit 0.50 0.12 0.14 0.17 0.10
	// answers others true, limit 4.00 4.00 4.00 4.00 4.00
}

// A limit below one turns ops away at random, so few fetches go out. Each of their outcomes counts more then,
// and the limit doubles with timely ones: it recovers after a few fetches.
func Example_originLimitRecoversAfterOverload() {
	cfg := testConfig()
	cfg.CacheAside, cfg.GroupSize = true, 100
	sim := newHarness(cfg, "a", "b", "origin")
	sim.silent = true
	sim.originLimiter.limit, sim.originLimiter.congestion = 0.02, 2
	fetches := 0
	for i := 0; sim.originLimiter.limit < 1; i++ {
		sim.originLimiter.lastOutcome = sim.clock // keeps the limit from rising with time
		name := fmt.Sprint("op", i)
		sim.sendOp(name, 0, name, 200, false)
		sim.finish(name, CacheMiss, 1)
		if pendingPush(sim.ops[name]) != nil {
			sim.finish(name, Served, 10)
			fetches++
		}
		sim.advance(1)
	}
	fmt.Println("open after", fetches, "timely fetches")
	// Output:
	// open after 9 timely fetches
}

// Writes take longer at the origin than fetches. A write of usual latency does not reduce the origin's limit;
// one that takes most of its target does.
func Example_originLimitAllowsSlowerWrites() {
	for _, took := range []float64{45, 90} {
		cfg := testConfig()
		cfg.CacheAside = true
		sim := newHarness(cfg, "a", "origin")
		sim.silent = true
		before := sim.originLimiter.limit
		for i := range 30 {
			op := fmt.Sprint("op", i)
			sim.sendOp(op, 1, op, 500, true)
			sim.clock += 200
			sim.Advance(sim.clock)
			sim.PushEnded(sim.ops[op].pushes[0], Served, took, true, nil)
		}
		fmt.Println(took, "narrowed:", sim.originLimiter.limit < before)
	}
	// Output:
	// 45 narrowed: false
	// 90 narrowed: true
}

// Cache misses count as latency samples of their host as hits do. With hits alone, one slow host in ten would
// reduce the limit of the whole fleet.
func Example_missesCountAsHostLatency() {
	cfg := testConfig()
	cfg.CacheAside, cfg.GroupSize = true, 20
	names := []string{"origin"}
	for i := range 20 {
		names = append(names, fmt.Sprint("h", i))
	}
	sim := newHarness(cfg, names...)
	sim.silent = true
	for i := range 400 {
		sim.advance(40)
		name := fmt.Sprint("op", i)
		sim.sendOp(name, 0, name, 900, false)
		if i%10 == 0 {
			sim.finish(name, Served, 200)
			continue
		}
		sim.finish(name, CacheMiss, 5)
		sim.finish(name, Served, 10)
	}
	fmt.Println("narrowed:", sim.fleetLimiter.limit < 8)
	// Output:
	// narrowed: false
}

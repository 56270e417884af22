package balance

import (
	"fmt"
	"slices"
)

func newOriginHarness() *harness {
	s := testConfig()
	s.CacheAside = true
	return newHarness(s, "a", "b", "c", "origin")
}

// One fetch a key is out. Other ops of the key wait for it and then go to the host that holds it.
func Example_oneFetchPerKey() {
	x := newOriginHarness()
	x.sendOp("op0", 0, "page", 500, false)
	x.finish("op0", CacheMiss, 1)
	x.sendOp("op1", 0, "page", 500, false)
	x.sendOp("op2", 0, "page", 500, false)
	x.finish("op0", Served, 20)
	x.finish("op1", Served, 5)
	// Output:
	// 0 push op0 to c
	//    0 push op0 to origin
	//    0 push op1 to c
	//    0 push op2 to c
	//    0 op0 acked
	//    0 op1 acked
}

// When the op that leads a fetch goes away, the fetch passes to those that wait with all its benefit.
func Example_fetchHandedOverWhenLeaderLeaves() {
	x := newOriginHarness()
	x.sendOp("op0", 0, "page", 500, false)
	x.finish("op0", CacheMiss, 1)
	x.sendOp("op1", 0, "page", 500, false)
	x.sendOp("op2", 0, "page", 500, false)
	x.ClientLeft(x.ops["op0"])
	x.finish("op1", Served, 20)
	// Output:
	// 0 push op0 to c
	//    0 push op0 to origin
	//    0 cancel op0
	//    0 push op1 to origin
	//    0 push op2 to c
	//    0 op1 acked
}

// The last push is kept for the origin: an op that found two hosts full would otherwise miss and end.
func Example_lastPushReservedForOrigin() {
	x := newOriginHarness()
	x.sendOp("op0", 0, "page", 500, false)
	x.finish("op0", Overloaded, 1)
	x.finish("op0", Overloaded, 1)
	x.finish("op0", Served, 20)
	// Output:
	// 0 push op0 to c
	//    0 push op0 to a
	//    0 push op0 to origin
	//    0 op0 acked
}

// A stopped origin holds up no hit, and its line is short: what can't be fetched in time is nacked.
func Example_stalledOriginDelaysNoHit() {
	x := newOriginHarness()
	for i := range 60 {
		x.silent = i < 58
		name := fmt.Sprint("miss", i)
		x.sendOp(name, 0, name, 500, false)
		x.finish(name, CacheMiss, 1)
	}
	x.sendOp("hit", 0, "page", 500, false)
	x.finish("hit", Served, 5)
	// Output:
	// 0 push miss58 to a
	//    0 nack miss58
	//    0 push miss59 to a
	//    0 nack miss59
	//    0 push hit to c
	//    0 hit acked
}

// A full origin that turns fetches away at once: 200 balancers with a miss each all the time let out few in
// all, where one each would keep it full of fetches that come too late.
func Example_manyBalancersBackOffFromFullOrigin() {
	s := testConfig()
	s.CacheAside = true
	all := newHarnesses(200, s, "a", "b", "c", "origin")
	outs := make([][]*Op, len(all))
	for sec := range 3 {
		fetches := 0
		for t := range 50 {
			for i, x := range all {
				x.advance(20)
				x.pushes["origin"] = 0
				name := fmt.Sprint(sec, t, i)
				if op := x.sendOp(name, 0, name, 500, false); op.inFlight > 0 && !pendingPush(op).Host.IsOrigin {
					x.finish(name, CacheMiss, 1)
				}
				outs[i] = slices.DeleteFunc(append(outs[i], x.ops[name]), (*Op).IsDone)
				for _, op := range outs[i] {
					if op.inFlight > 0 && pendingPush(op).Host.IsOrigin {
						x.PushEnded(pendingPush(op), Overloaded, 1, false, nil)
					}
				}
				fetches += x.pushes["origin"]
			}
		}
		fmt.Printf("second %d: %d fetches of 10000 misses\n", sec+1, fetches)
	}
	// Output:
	// second 1: 2050 fetches of 10000 misses
	// second 2: 372 fetches of 10000 misses
	// second 3: 358 fetches of 10000 misses
}

// Fetches wait at a full origin until nobody waits for them, and it goes on with them for nothing. Where it has answered nobody
// for a target the gate narrows by half, so that the origin can work off what stands there; where it answers others the op
// may be a heavy one.
func Example_originGateCutOnBacklog() {
	for _, answers := range []bool{false, true} {
		s := testConfig()
		s.CacheAside, s.GroupSize = true, 50
		x := newHarness(s, "a", "b", "origin")
		x.silent = true
		fetch := func(name string) {
			x.sendOp(name, 0, name, 200, false)
			x.finish(name, CacheMiss, 1)
		}
		fmt.Print("answers others ", answers, ", limit")
		for i := range 5 {
			fetch(fmt.Sprint("stuck", i))
			x.advance(150)
			if fetch(fmt.Sprint("other", i)); answers {
				x.finish(fmt.Sprint("other", i), Served, 10)
			}
			x.advance(250)
			fmt.Printf(" %.2f", x.originLimiter.limit)
		}
		fmt.Println()
	}
	// Output:
	// answers others false, limit 0.50 0.12 0.14 0.17 0.10
	// answers others true, limit 4.00 4.00 4.00 4.00 4.00
}

// Past a gate that turns ops away by chance few fetches go out, and each tells more: once two came in time it opens by
// doubling, where some twenty had to before.
func Example_originGateReopensAfterOverload() {
	s := testConfig()
	s.CacheAside, s.GroupSize = true, 100
	x := newHarness(s, "a", "b", "origin")
	x.silent = true
	x.originLimiter.limit, x.originLimiter.congestion = 0.02, 2
	fetches := 0
	for i := 0; x.originLimiter.limit < 1; i++ {
		x.originLimiter.lastOutcome = x.t // it does not open by itself
		name := fmt.Sprint("op", i)
		x.sendOp(name, 0, name, 200, false)
		x.finish(name, CacheMiss, 1)
		if pendingPush(x.ops[name]) != nil {
			x.finish(name, Served, 10)
			fetches++
		}
		x.advance(1)
	}
	fmt.Println("open after", fetches, "timely fetches")
	// Output:
	// open after 9 timely fetches
}

// Writes take longer than reads at the origin, and come on top of no miss. Judged by the goal of fetches, a usual write would
// narrow the origin's gate with nothing wrong there; one that takes most of its target still does.
func Example_originGateJudgesWritesByTarget() {
	for _, took := range []float64{45, 90} {
		s := testConfig()
		s.CacheAside = true
		x := newHarness(s, "a", "origin")
		x.silent = true
		before := x.originLimiter.limit
		for i := range 30 {
			op := fmt.Sprint("op", i)
			x.sendOp(op, 1, op, 500, true)
			x.t += 200
			x.Advance(x.t)
			x.PushEnded(x.ops[op].pushes[0], Served, took, true, nil)
		}
		fmt.Println(took, "narrowed:", x.originLimiter.limit < before)
	}
	// Output:
	// 45 narrowed: false
	// 90 narrowed: true
}

// Most pushes miss where hosts are many and keys few; such an answer tells how quick a host is as a hit does. By hits alone
// one slow host in ten had narrowed the gate of all to a push or two, and ops waited while hosts had nothing to do.
func Example_missesCountAsHostLatency() {
	s := testConfig()
	s.CacheAside, s.GroupSize = true, 20
	names := []string{"origin"}
	for i := range 20 {
		names = append(names, fmt.Sprint("h", i))
	}
	x := newHarness(s, names...)
	x.silent = true
	for i := range 400 {
		x.advance(40)
		name := fmt.Sprint("op", i)
		x.sendOp(name, 0, name, 900, false)
		if i%10 == 0 {
			x.finish(name, Served, 200)
			continue
		}
		x.finish(name, CacheMiss, 5)
		x.finish(name, Served, 10)
	}
	fmt.Println("narrowed:", x.fleetLimiter.limit < 8)
	// Output:
	// narrowed: false
}

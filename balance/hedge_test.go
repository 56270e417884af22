package balance

import (
	"fmt"
	"slices"
)

// newHedgeHarness starts a balancer that may have two pushes of an op in flight.
func newHedgeHarness() *harness {
	cfg := testConfig()
	cfg.AllowHedging, cfg.MaxPushes = true, 4
	return newHarness(cfg, "a", "b", "c", "d")
}

// A slow push stays in flight while a hedge goes to another host. The first good answer settles the op, and
// the other one still updates its host's statistics. Ops that no other host may run as well are not hedged.
func Example_hedgeSlowPush() {
	sim := newHedgeHarness()
	for row, name := range []string{"read", "put", "once", "zoned"} {
		sim.sendOp(name, row, "page", 500, false)
	}
	sim.advance(101)
	first, second := sim.ops["read"].pushes[0], sim.ops["read"].pushes[1]
	sim.finishPush(second, Served, 1)
	sim.finishPush(first, Served, 101)
	fmt.Println("both ended:", sim.ops["read"].IsDone(),
		"learned:", second.Host.lastAnswer == sim.clock, first.Host.lastAnswer == sim.clock)
	// Output:
	// 0 push read to c
	//    0 push put to c
	//    0 push once to a
	//    0 push zoned to a
	//   50 push read to b
	//   50 push put to d
	//  101 read acked
	// both ended: true learned: true true
}

// When all hosts are slow, hedges stay a small share of the ops.
func Example_hedgesCappedOnSlowFleet() {
	sim := newHedgeHarness()
	sim.silent = true
	var pending []*Op
	for i := range 400 {
		sim.advance(5)
		pending = append(pending, sim.sendOp(fmt.Sprint("op", i), 0, fmt.Sprint("key", i), 900, false))
		for _, op := range pending {
			for _, p := range slices.Clone(op.pushes) {
				if !p.ended && sim.clock-p.sentAt > 300 {
					sim.finishPush(p, Served, sim.clock-p.sentAt)
				}
			}
		}
		pending = slices.DeleteFunc(pending, (*Op).IsDone)
	}
	hedges := 0
	for _, op := range sim.ops {
		hedges += max(0, len(op.pushes)-1)
	}
	fmt.Println("hedges for 400 ops:", hedges)
	// Output:
	// hedges for 400 ops: 9
}

// The repeat rules consider all pushes of an op. With one in flight, a deduplicated op may be nacked inside
// its window but not after it; the last allowed push is not hedged; a draining host gets no hedge; an op is
// settled before its deadline.
func Example_repeatRulesCoverAllPushes() {
	sim := newHedgeHarness()
	sim.sendOp("in its window", 1, "page", 200, false)
	sim.sendOp("past it", 1, "atlas", 450, false)
	sim.advance(450)
	fmt.Println()
	cfg := testConfig()
	cfg.AllowHedging, cfg.MaxPushes = true, 1
	sim = newHarness(cfg, "a", "b")
	sim.sendOp("last push", 0, "page", 200, false)
	sim.advance(200)
	fmt.Println()
	sim = newHarness(func() Config { cfg.MaxPushes = 4; return cfg }(), "a", "b")
	sim.sendOp("drained", 0, "page", 150, false)
	sim.updateHost("a", Draining, 0)
	sim.updateHost("b", Draining, 0)
	sim.advance(200)
	// Output:
	// 0 push in its window to c
	//    0 push past it to b
	//   50 push in its window to d
	//   50 push past it to a
	//  188 nack in its window
	//  188 cancel in its window
	//  188 cancel in its window
	//  438 dead-letter past it
	//  438 cancel past it
	//  438 cancel past it
	//
	//    0 push last push to a
	//  188 nack last push
	//  188 cancel last push
	//
	//    0 push drained to a
	//  138 nack drained
	//  138 cancel drained
}

// If the hedge misses, its key is fetched from the origin while the first push is in flight, and a miss of
// the first push starts no second fetch. If the fetch fails, the op waits for its first push.
func Example_hedgeMissFetchedOnce() {
	cfg := testConfig()
	cfg.AllowHedging, cfg.MaxPushes, cfg.CacheAside = true, 4, true
	for _, fetched := range []Outcome{Served, Failed} {
		sim := newHarness(cfg, "a", "b", "origin")
		op := sim.sendOp("op", 0, "page", 500, false)
		sim.advance(101)
		sim.finishPush(op.pushes[1], CacheMiss, 1)
		if fetched == Served {
			sim.finishPush(op.pushes[0], CacheMiss, 102)
		}
		sim.finishPush(op.pushes[2], fetched, 20)
		sim.finishPush(op.pushes[0], Served, 130)
		fmt.Println("over:", op.IsDone())
	}
	// Output:
	// 0 push op to a
	//   50 push op to b
	//  101 push op to origin
	//  101 op acked
	// over: true
	//    0 push op to a
	//   50 push op to b
	//  101 push op to origin
	//  101 op acked
	// over: true
}

// An op whose hedge waits for a fetch and that has no pushes left is not given up while its first push is in
// flight.
func Example_hedgeWaitingForFetchKeepsOpOpen() {
	cfg := testConfig()
	cfg.AllowHedging, cfg.MaxPushes, cfg.CacheAside = true, 3, true
	sim := newHarness(cfg, "a", "b", "origin")
	sim.sendOp("op", 0, "page", 500, false)
	sim.advance(30)
	sim.sendOp("leads", 0, "page", 500, false)
	sim.finish("leads", CacheMiss, 1)
	sim.advance(60)
	sim.finishPush(sim.ops["op"].pushes[1], CacheMiss, 1)
	sim.ops["op"].pushes = append(sim.ops["op"].pushes, sim.ops["op"].pushes[1]) // uses up its last push
	sim.finish("leads", Served, 20)
	sim.finish("op", Served, 80)
	// Output:
	// 0 push op to a
	//   30 push leads to a
	//   30 push leads to origin
	//   75 push op to b
	//   90 leads acked
	//   90 op acked
}

package balance

import (
	"fmt"
)

// What follows each outcome, by repeat policy; "zone dedup" stands for ops deduplicated within a zone.
func Example_repeatAfterOutcome() {
	names := []string{"refused", "no connection", "error", "broken", "unknown"}
	for row, kind := range []string{"redeliverable", "deduplicated", "at most once", "zone dedup"} {
		fmt.Print(kind, ":")
		for i, o := range []Outcome{Overloaded, ConnectFailed, Failed, ConnBroken, UnknownOutcome} {
			sim := newHarness(testConfig(), "a", "b", "c")
			sim.silent = true
			op := sim.sendOp("op", row, "page", 500, false)
			sim.finish("op", o, 1)
			fmt.Print(" ", names[i], " ",
				map[opState]string{statePushed: "push", stateSettled: "dead letter"}[op.state])
		}
		fmt.Println()
	}
	// Output:
	// redeliverable: refused push no connection push error push broken push unknown push
	// deduplicated: refused push no connection push error push broken push unknown push
	// at most once: refused push no connection push error dead letter broken dead letter unknown dead letter
	// zone dedup: refused push no connection push error dead letter broken dead letter unknown dead letter
}

// After its window, a deduplicated op that may have run is neither pushed again nor nacked.
func Example_noRepeatPastDedupWindow() {
	cfg := testConfig()
	cfg.AllowCancel = false
	sim := newHarness(cfg, "a", "b", "c")
	sim.sendOp("op", 1, "page", 900, false)
	sim.advance(310)
	sim.finish("op", ConnBroken, 310)
	// Output:
	// 0 push op to c
	//  310 dead-letter op
}

// Guards against a deduplicated op that runs twice: a repeat that waited in the origin's queue was pushed when a
// place became free, after its window.
func Example_noQueuedRepeatPastDedupWindow() {
	cfg := testConfig()
	cfg.CacheAside, cfg.AllowCancel = true, false
	cfg.Categories[1].Target = 1000
	sim := newHarness(cfg, "a", "origin")
	sim.originLimiter.limit = 2
	sim.sendOp("op", 1, "page", 2000, true)
	sim.sendOp("other", 1, "page2", 2000, true)
	sim.originLimiter.limit = 1
	sim.advance(200)
	sim.finish("op", ConnBroken, 200)
	sim.advance(200)
	sim.finish("other", Served, 400)
	// Output:
	// 0 push op to origin
	//    0 push other to origin
	//  290 nack op
	//  400 other acked
}

// Every op is settled before its TTL ends, even one that arrives with almost no time left. Its pushes are
// cancelled, and a late outcome changes nothing.
func Example_settledBeforeTTL() {
	sim := newHarness(testConfig(), "a", "b", "c")
	sim.sendOp("read", 0, "page", 200, false)
	sim.sendOp("once", 2, "page", 200, false)
	sim.sendOp("late", 0, "page", 8, false)
	sim.advance(200)
	sim.finish("once", ConnBroken, 200)
	// Output:
	// 0 push read to c
	//    0 push once to c
	//    0 nack late
	//   88 cancel read
	//   88 push read to a
	//  188 nack read
	//  188 cancel read
	//  188 dead-letter once
	//  188 cancel once
}

// Where a late answer is worth nothing, an op is settled at its target latency and its push is cancelled.
func Example_worthlessLateOpCancelledAtTarget() {
	cfg := testConfig()
	cfg.Categories[0].LateBenefit = 0
	sim := newHarness(cfg, "a", "b")
	sim.sendOp("op0", 0, "page", 900, false)
	sim.sendOp("op1", 0, "page", 900, false)
	sim.advance(50)
	sim.finish("op1", Served, 50)
	sim.advance(100)
	// Output:
	// 0 push op0 to a
	//    0 push op1 to a
	//   50 op1 acked
	//  100 nack op0
	//  100 cancel op0
}

// An op whose answer is streaming is not pushed again, neither after its TTL nor when the connection breaks.
func Example_streamNeverRepeated() {
	sim := newHarness(testConfig(), "a", "b")
	op := sim.sendOp("op", 0, "page", 200, false)
	sim.StreamingStarted(pendingPush(op))
	sim.advance(300)
	sim.PushEnded(pendingPush(op), ConnBroken, 300, true, nil)
	fmt.Println(op.IsDone())
	// Output:
	// 0 push op to a
	// true
}

// Clients that leave, and pushes without an answer while their host answers others, are no sign of overload
// and do not reduce the limit. Pushes that no host answers are, and do.
func Example_departedClientsDoNotReduceLimit() {
	sim := newHarness(testConfig(), "a", "b", "c", "d", "o")
	sim.silent = true
	before := sim.fleetLimiter.limit
	for i := range 200 {
		name := fmt.Sprint("op", i)
		sim.sendOp(name, 0, name, 500, false)
		sim.advance(3)
		sim.ClientLeft(sim.ops[name])
		sim.advance(20)
	}
	fmt.Println("limit unchanged:", sim.fleetLimiter.limit == before)
	for i := range 20 {
		name := fmt.Sprint("late", i)
		sim.sendOp(name, 2, name, 300, false)
		sim.advance(300)
		sim.finish(name, TimedOut, 300)
	}
	fmt.Println("narrower:", sim.fleetLimiter.limit < before)
	// Output:
	// limit unchanged: true
	// narrower: true
}

// A streaming answer frees its slots at the host and the limiter, and ops that waited for its key go on: the
// client may take seconds to read it. If it breaks midway, the host is blamed.
func Example_streamingFreesLimiterSlots() {
	cfg := testConfig()
	cfg.CacheAside = true
	sim := newHarness(cfg, "a", "origin")
	sim.sendOp("leads", 0, "page", 500, false)
	sim.finish("leads", CacheMiss, 5)
	sim.sendOp("waits", 0, "page", 500, false)
	p := sim.ops["leads"].pushes[1]
	sim.StreamingStarted(p)
	fmt.Println(p.Host.inFlight, sim.originLimiter.inFlight, sim.fleetLimiter.inFlight)
	sim.PushEnded(p, Served, 5, true, nil)
	fmt.Println(p.Host.inFlight, sim.originLimiter.inFlight, sim.fleetLimiter.inFlight,
		sim.ops["leads"].IsDone())
	p = sim.ops["waits"].pushes[0]
	sim.StreamingStarted(p)
	sim.PushEnded(p, ConnBroken, 5, true, nil)
	fmt.Println(p.Host.failRate > suspectThreshold, p.Host.inFlight)
	// Output:
	// 0 push leads to a
	//    0 push leads to origin
	//    0 push waits to a
	// 0 0 1
	// 0 0 1 true
	// true 0
}

package balance

import (
	"fmt"
)

// What may follow each outcome, for each kind of repeat.
func Example_repeatAfterOutcome() {
	names := []string{"refused", "no connection", "error", "broken", "unknown"}
	for row, kind := range []string{"redeliverable", "deduplicated", "at most once", "dropped in its zone"} {
		fmt.Print(kind, ":")
		for i, o := range []Outcome{Overloaded, ConnectFailed, Failed, ConnBroken, UnknownOutcome} {
			x := newHarness(testConfig(), "a", "b", "c")
			x.silent = true
			op := x.sendOp("op", row, "page", 500, false)
			x.finish("op", o, 1)
			fmt.Print(" ", names[i], " ", map[opState]string{statePushed: "push", stateSettled: "dead letter"}[op.state])
		}
		fmt.Println()
	}
	// Output:
	// redeliverable: refused push no connection push error push broken push unknown push
	// deduplicated: refused push no connection push error push broken push unknown push
	// at most once: refused push no connection push error dead letter broken dead letter unknown dead letter
	// dropped in its zone: refused push no connection push error dead letter broken dead letter unknown dead letter
}

// Past its window a deduplicated op that may have run is neither pushed again nor nacked.
func Example_noRepeatPastDedupWindow() {
	s := testConfig()
	s.AllowCancel = false
	x := newHarness(s, "a", "b", "c")
	x.sendOp("op", 1, "page", 900, false)
	x.advance(310)
	x.finish("op", ConnBroken, 310)
	// Output:
	// 0 push op to c
	//  310 dead-letter op
}

// Every op is settled ahead of its TTL, also one that comes with next to no time left; what is out is
// called off, and an outcome that comes late changes nothing.
func Example_settledBeforeTTL() {
	x := newHarness(testConfig(), "a", "b", "c")
	x.sendOp("read", 0, "page", 200, false)
	x.sendOp("once", 2, "page", 200, false)
	x.sendOp("late", 0, "page", 8, false)
	x.advance(200)
	x.finish("once", ConnBroken, 200)
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

// Where a late answer is worth nothing an op is settled at its target latency, and its push called off.
func Example_worthlessLateOpCancelledAtTarget() {
	s := testConfig()
	s.Categories[0].LateBenefit = 0
	x := newHarness(s, "a", "b")
	x.sendOp("op0", 0, "page", 900, false)
	x.sendOp("op1", 0, "page", 900, false)
	x.advance(50)
	x.finish("op1", Served, 50)
	x.advance(100)
	// Output:
	// 0 push op0 to a
	//    0 push op1 to a
	//   50 op1 acked
	//  100 nack op0
	//  100 cancel op0
}

// A stream is bound to its push: neither TTL nor a break pushes it again.
func Example_streamNeverRepeated() {
	x := newHarness(testConfig(), "a", "b")
	op := x.sendOp("op", 0, "page", 200, false)
	x.StreamingStarted(pendingPush(op))
	x.advance(300)
	x.PushEnded(pendingPush(op), ConnBroken, 300, true, nil)
	fmt.Println(op.IsDone())
	// Output:
	// 0 push op to a
	// true
}

// Clients that go away, and pushes that get no answer while their host answers others, are no sign of crowding: the gates
// stay as wide as they were. An op that takes as long unanswered by all is one.
func Example_departedClientsDoNotNarrowGates() {
	x := newHarness(testConfig(), "a", "b", "c", "d", "o")
	x.silent = true
	before := x.fleetLimiter.limit
	for i := range 200 {
		name := fmt.Sprint("op", i)
		x.sendOp(name, 0, name, 500, false)
		x.advance(3)
		x.ClientLeft(x.ops[name])
		x.advance(20)
	}
	fmt.Println("as wide as before:", x.fleetLimiter.limit == before)
	for i := range 20 {
		name := fmt.Sprint("late", i)
		x.sendOp(name, 2, name, 300, false)
		x.advance(300)
		x.finish(name, TimedOut, 300)
	}
	fmt.Println("narrower:", x.fleetLimiter.limit < before)
	// Output:
	// as wide as before: true
	// narrower: true
}

// A long answer that has begun to flow gives back its places at host and gate, and those that waited for its key go on: its
// client may take seconds over the rest. Where it breaks midway the host is blamed.
func Example_streamingFreesGatePlaces() {
	s := testConfig()
	s.CacheAside = true
	x := newHarness(s, "a", "origin")
	x.sendOp("leads", 0, "page", 500, false)
	x.finish("leads", CacheMiss, 5)
	x.sendOp("waits", 0, "page", 500, false)
	p := x.ops["leads"].pushes[1]
	x.StreamingStarted(p)
	fmt.Println(p.Host.inFlight, x.originLimiter.inFlight, x.fleetLimiter.inFlight)
	x.PushEnded(p, Served, 5, true, nil)
	fmt.Println(p.Host.inFlight, x.originLimiter.inFlight, x.fleetLimiter.inFlight, x.ops["leads"].IsDone())
	p = x.ops["waits"].pushes[0]
	x.StreamingStarted(p)
	x.PushEnded(p, ConnBroken, 5, true, nil)
	fmt.Println(p.Host.failRate > suspectThreshold, p.Host.inFlight)
	// Output:
	// 0 push leads to a
	//    0 push leads to origin
	//    0 push waits to a
	// 0 0 1
	// 0 0 1 true
	// true 0
}

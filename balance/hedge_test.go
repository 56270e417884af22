package balance

import (
	"fmt"
	"slices"
)

// newHedgeHarness lets two pushes of an op be out.
func newHedgeHarness() *harness {
	s := testConfig()
	s.AllowHedging, s.MaxPushes = true, 4
	return newHarness(s, "a", "b", "c", "d")
}

// A push that is out for long stays out, and a second copy goes to another host. The first good answer is the op's; the
// other still teaches. What must not run twice has no copy, and neither has a deduplicated op whose group is one host's.
func Example_hedgeSlowPush() {
	x := newHedgeHarness()
	for row, name := range []string{"read", "put", "once", "zoned"} {
		x.sendOp(name, row, "page", 500, false)
	}
	x.advance(101)
	first, second := x.ops["read"].pushes[0], x.ops["read"].pushes[1]
	x.finishPush(second, Served, 1)
	x.finishPush(first, Served, 101)
	fmt.Println("both over:", x.ops["read"].IsDone(), "learned:", second.Host.lastAnswer == x.t, first.Host.lastAnswer == x.t)
	// Output:
	// 0 push read to c
	//    0 push put to c
	//    0 push once to a
	//    0 push zoned to a
	//   50 push read to b
	//   50 push put to d
	//  101 read acked
	// both over: true learned: true true
}

// Where all hosts are slow, copies stay a part of the ops.
func Example_hedgesCappedOnSlowFleet() {
	x := newHedgeHarness()
	x.silent = true
	var outs []*Op
	for i := range 400 {
		x.advance(5)
		outs = append(outs, x.sendOp(fmt.Sprint("op", i), 0, fmt.Sprint("key", i), 900, false))
		for _, op := range outs {
			for _, p := range slices.Clone(op.pushes) {
				if !p.ended && x.t-p.sentAt > 300 {
					x.finishPush(p, Served, x.t-p.sentAt)
				}
			}
		}
		outs = slices.DeleteFunc(outs, (*Op).IsDone)
	}
	copies := 0
	for _, op := range x.ops {
		copies += max(0, len(op.pushes)-1)
	}
	fmt.Println("copies of 400 ops:", copies)
	// Output:
	// copies of 400 ops: 9
}

// The rules ask all pushes of an op. With one still out, a deduplicated op may be nacked inside its window and not after
// it; the last push allowed has no copy; a host that began to drain gets none; a client with little time left is answered.
func Example_repeatRulesCoverAllPushes() {
	x := newHedgeHarness()
	x.sendOp("in its window", 1, "page", 200, false)
	x.sendOp("past it", 1, "atlas", 450, false)
	x.advance(450)
	fmt.Println()
	s := testConfig()
	s.AllowHedging, s.MaxPushes = true, 1
	x = newHarness(s, "a", "b")
	x.sendOp("last push", 0, "page", 200, false)
	x.advance(200)
	fmt.Println()
	x = newHarness(func() Config { s.MaxPushes = 4; return s }(), "a", "b")
	x.sendOp("drained", 0, "page", 150, false)
	x.updateHost("a", Draining, 0)
	x.updateHost("b", Draining, 0)
	x.advance(200)
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

// A copy that misses is fetched from the origin while the first push is out; that one's miss fetches nothing more. When the
// origin fails the fetch, the first is waited for.
func Example_hedgeMissFetchedOnce() {
	s := testConfig()
	s.AllowHedging, s.MaxPushes, s.CacheAside = true, 4, true
	for _, fetched := range []Outcome{Served, Failed} {
		x := newHarness(s, "a", "b", "origin")
		op := x.sendOp("op", 0, "page", 500, false)
		x.advance(101)
		x.finishPush(op.pushes[1], CacheMiss, 1)
		if fetched == Served {
			x.finishPush(op.pushes[0], CacheMiss, 102)
		}
		x.finishPush(op.pushes[2], fetched, 20)
		x.finishPush(op.pushes[0], Served, 130)
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

// An op whose copy waits for a fetch and may have no further push is not given up: its first push is still out.
func Example_hedgeWaitingForFetchKeepsOpOpen() {
	s := testConfig()
	s.AllowHedging, s.MaxPushes, s.CacheAside = true, 3, true
	x := newHarness(s, "a", "b", "origin")
	x.sendOp("op", 0, "page", 500, false)
	x.advance(30)
	x.sendOp("leads", 0, "page", 500, false)
	x.finish("leads", CacheMiss, 1)
	x.advance(60)
	x.finishPush(x.ops["op"].pushes[1], CacheMiss, 1)
	x.ops["op"].pushes = append(x.ops["op"].pushes, x.ops["op"].pushes[1]) // one more that never ran: none is left
	x.finish("leads", Served, 20)
	x.finish("op", Served, 80)
	// Output:
	// 0 push op to a
	//   30 push leads to a
	//   30 push leads to origin
	//   75 push op to b
	//   90 leads acked
	//   90 op acked
}

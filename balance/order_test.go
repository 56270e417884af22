package balance

import "fmt"

// orderedConfig is a start at which ops of the last row keep their order by key, with 50 ms of rest.
func orderedConfig() Config {
	s := testConfig()
	s.KeyQuietTime = 50
	s.Categories = append(s.Categories, &Category{Target: 400, Benefit: 1, LateBenefit: 0.5, Ordered: true})
	return s
}

// Ops of one key run one after another, as they came; other keys, other categories and ops without a key are free.
func Example_orderedOpsRunOneAtATime() {
	x := newHarness(orderedConfig(), "a", "b", "c", "d")
	for _, name := range []string{"op0", "op1", "op2"} {
		x.sendOp(name, 4, "page", 2000, false)
	}
	x.sendOp("other", 4, "leaf", 2000, false)
	x.sendOp("free", 0, "page", 2000, false)
	x.sendOp("bare", 4, "", 2000, false)
	x.finish("op0", Served, 10)
	x.finish("op1", Failed, 10) // its second push is before op2's first
	x.finish("op1", Served, 10)
	x.finish("op2", Served, 10)
	fmt.Println("turns kept for nothing:", len(x.keyQueues)-1)
	// Output:
	// 0 push op0 to c
	//    0 push other to d
	//    0 push free to c
	//    0 push bare to b
	//    0 push op1 to c
	//    0 op0 acked
	//    0 push op1 to d
	//    0 push op2 to d
	//    0 op1 acked
	//    0 op2 acked
	// turns kept for nothing: 0
}

// After a push that may still run the key rests. An op given up while its push is out holds the turn until that has
// its outcome, and one that is given up in line lets those behind it move up.
func Example_orderedKeyRestsAfterUncertainPush() {
	s := orderedConfig()
	s.Categories[4].LateBenefit = 0
	x := newHarness(s, "a", "b", "c", "d")
	x.sendOp("op0", 4, "page", 2000, false)
	x.advance(350)
	x.sendOp("op1", 4, "page", 60, false)
	x.sendOp("op2", 4, "page", 2000, false)
	x.advance(200)
	x.finish("op2", ConnBroken, 10)
	x.sendOp("op3", 4, "page", 2000, false)
	x.finish("op2", Served, 10)
	x.advance(100)
	x.finish("op3", TimedOut, 10)
	x.ClientLeft(x.ops["op3"])
	x.advance(6000)
	fmt.Println("turns kept for nothing:", len(x.keyQueues))
	// Output:
	// 0 push op0 to c
	//  350 cancel op0
	//  350 push op0 to d
	//  398 nack op1
	//  400 nack op0
	//  400 cancel op0
	//  450 push op2 to c
	//  550 push op2 to d
	//  550 op2 acked
	//  600 push op3 to d
	//  650 push op3 to a
	//  650 cancel op3
	// turns kept for nothing: 0
}

// At a balancer whose clock is off ops seem to have no time left. They have their target latency at the least, as far
// as the stated doubt goes, and are settled within it.
func Example_clockSkewKeepsTargetLatency() {
	s := testConfig()
	s.DeadlineSkew = 300
	x := newHarness(s, "a", "b", "c", "d")
	x.sendOp("short", 0, "page", 5, false)
	x.sendOp("past", 0, "leaf", -250, false)
	x.sendOp("lost", 0, "leaf", -301, false)
	x.advance(200)
	// Output:
	// 0 push short to c
	//    0 push past to d
	//    0 nack lost
	//   38 nack past
	//   38 cancel past
	//   88 cancel short
	//   88 push short to d
	//  100 nack short
	//  100 cancel short
}

// A host may have started later than it is listed, by the doubt on stamps: for so much longer it counts as cold.
func Example_startTimeDoubtExtendsColdPeriod() {
	for _, doubt := range []float64{0, 2000} {
		s := testConfig()
		s.UpSinceSkew = doubt
		x := newHarness(s, "a", "b", "c", "d")
		sendUniqueKeys(x, 6000)
		x.updateHost("d", Gone, 0)
		x.updateHost("d", Ready, x.t-4000)
		fmt.Printf("doubt %v ms: %d\n", doubt, sendUniqueKeys(x, 1000)["d"])
	}
	// Output:
	// doubt 0 ms: 222
	// doubt 2000 ms: 177
}

package balance

import "fmt"

// orderedConfig is a configuration whose last category keeps the order of ops by key, with a quiet time of 50
// ms.
func orderedConfig() Config {
	cfg := testConfig()
	cfg.KeyQuietTime = 50
	cfg.Categories = append(cfg.Categories, &Category{Target: 400, Benefit: 1, LateBenefit: 0.5, Ordered: true})
	return cfg
}

// Ordered ops of one key run one after another, in order of arrival. Other keys, other categories and ops
// without a key do not wait.
func Example_orderedOpsRunOneAtATime() {
	sim := newHarness(orderedConfig(), "a", "b", "c", "d")
	for _, name := range []string{"op0", "op1", "op2"} {
		sim.sendOp(name, 4, "page", 2000, false)
	}
	sim.sendOp("other", 4, "leaf", 2000, false)
	sim.sendOp("free", 0, "page", 2000, false)
	sim.sendOp("bare", 4, "", 2000, false)
	sim.finish("op0", Served, 10)
	sim.finish("op1", Failed, 10) // its second push precedes op2's first
	sim.finish("op1", Served, 10)
	sim.finish("op2", Served, 10)
	fmt.Println("queues left over:", len(sim.keyQueues)-1)
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
	// queues left over: 0
}

// After a push that may still run, its key stays quiet for a while. An op that is given up blocks its key
// until its push has ended; an op given up in the queue leaves it.
func Example_orderedKeyQuietAfterUncertainPush() {
	cfg := orderedConfig()
	cfg.Categories[4].LateBenefit = 0
	sim := newHarness(cfg, "a", "b", "c", "d")
	sim.sendOp("op0", 4, "page", 2000, false)
	sim.advance(350)
	sim.sendOp("op1", 4, "page", 60, false)
	sim.sendOp("op2", 4, "page", 2000, false)
	sim.advance(200)
	sim.finish("op2", ConnBroken, 10)
	sim.sendOp("op3", 4, "page", 2000, false)
	sim.finish("op2", Served, 10)
	sim.advance(100)
	sim.finish("op3", TimedOut, 10)
	sim.ClientLeft(sim.ops["op3"])
	sim.advance(6000)
	fmt.Println("queues left over:", len(sim.keyQueues))
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
	// queues left over: 0
}

// With a skewed clock, ops seem to have no time left. Within the configured skew they get at least their
// target latency, and are settled within it.
func Example_clockSkewKeepsTargetLatency() {
	cfg := testConfig()
	cfg.DeadlineSkew = 300
	sim := newHarness(cfg, "a", "b", "c", "d")
	sim.sendOp("short", 0, "page", 5, false)
	sim.sendOp("past", 0, "leaf", -250, false)
	sim.sendOp("lost", 0, "leaf", -301, false)
	sim.advance(200)
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

// A host may have started later than listed, by the configured skew: it counts as cold for that much longer.
func Example_startTimeSkewExtendsWarmup() {
	for _, skew := range []float64{0, 2000} {
		cfg := testConfig()
		cfg.UpSinceSkew = skew
		sim := newHarness(cfg, "a", "b", "c", "d")
		sendUniqueKeys(sim, 6000)
		sim.updateHost("d", Gone, 0)
		sim.updateHost("d", Ready, sim.clock-4000)
		fmt.Printf("doubt %v ms: %d\n", skew, sendUniqueKeys(sim, 1000)["d"])
	}
	// Output:
	// doubt 0 ms: 222
	// doubt 2000 ms: 177
}

package balance

import (
	"fmt"
)

// sendUniqueKeys sends an op with a new key each ms, has it served at once, and returns the pushes by host.
func sendUniqueKeys(sim *harness, ms int) map[string]int {
	sim.silent, sim.pushes = true, map[string]int{}
	for range ms {
		sim.advance(1)
		name := fmt.Sprint("op", sim.clock)
		if sim.sendOp(name, 0, name, 500, false).inFlight > 0 {
			sim.finish(name, Served, 10)
		}
	}
	return sim.pushes
}

// A host that returns cold joins the cycle point by point, and its budget keeps the load below what would
// overload it.
func Example_coldHostLoadRamp() {
	sim := newHarness(testConfig(), "a", "b", "c", "d")
	fmt.Println("warm:", sendUniqueKeys(sim, 2000)["d"])
	sim.updateHost("d", Gone, 0)
	sim.advance(100)
	sim.updateHost("d", Ready, sim.clock)
	for second := range 6 {
		fmt.Printf("second %d: %d\n", second+1, sendUniqueKeys(sim, 1000)["d"])
	}
	// Output:
	// warm: 447
	// second 1: 71
	// second 2: 146
	// second 3: 178
	// second 4: 202
	// second 5: 221
	// second 6: 253
}

// newHarnesses starts a group of n balancers that share no state.
func newHarnesses(n int, cfg Config, names ...string) (all []*harness) {
	for i := range n {
		cfg.Seed, cfg.GroupSize, cfg.Categories = uint64(i), n, testCategories()
		sim := newHarness(cfg, names...)
		sim.silent = true
		all = append(all, sim)
	}
	return all
}

// One op from each of 300 balancers would overload a cold host. When one of its keys becomes hot, they
// together send it no more than half of what would overload it, without knowing of each other.
func Example_hotKeyDoesNotTipColdHost() {
	all := newHarnesses(300, testConfig(), "a", "b", "c", "d")
	second := func(key func(i int) string) (atD int) {
		for t := range 2 {
			for i, sim := range all {
				sim.advance(500)
				before := sim.pushes["d"]
				if op := sim.sendOp(fmt.Sprint("op", t), 0, key(i+300*t), 500, false); op.inFlight > 0 {
					sim.PushEnded(pendingPush(op), Served, 10, true, nil)
				}
				atD += sim.pushes["d"] - before
			}
		}
		return atD
	}
	usual := 0
	for range 5 {
		usual = second(func(n int) string { return fmt.Sprint("key", n) })
	}
	for _, sim := range all {
		sim.updateHost("d", Gone, 0)
		sim.updateHost("d", Ready, sim.clock)
		sim.advance(2000)
	}
	fmt.Printf("usual work of d: %d a second, tipped by %.0f\n", usual, float64(usual)*3*(0.3+0.7*2/5))
	fmt.Println("sent while a key of d is hot:", second(func(int) string { return "page6" }))
	// Output:
	// usual work of d: 128 a second, tipped by 223
	// sent while a key of d is hot: 48
}

// When all hosts are cold, no warm host sets the pace for their budgets; they still get some ops.
func Example_coldFleetGetsOps() {
	sim := newHarness(testConfig())
	for _, n := range []string{"a", "b", "c"} {
		sim.clock = 1
		sim.updateHost(n, Ready, 1)
	}
	n := sendUniqueKeys(sim, 1000)
	fmt.Println(n["a"] > 0, n["b"] > 0, n["c"] > 0, n["a"]+n["b"]+n["c"] < 100)
	// Output:
	// true true true true
}

// Banning a cold host and lifting the ban does not refill its budget.
func Example_banDoesNotRefillColdBudget() {
	sim := newHarness(testConfig(), "a")
	a := sim.hosts["a"]
	sim.advance(1000)
	a.UpSince, sim.pushRate = 1, 0.01
	fmt.Println(sim.hasColdBudget(a), a.coldBudget >= 1)
	a.coldBudget = 0
	sim.SetBanned(a, true)
	sim.SetBanned(a, false)
	fmt.Println(sim.hasColdBudget(a), a.coldBudget >= 1)
	// Output:
	// true true
	// false false
}

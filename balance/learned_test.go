package balance

import (
	"fmt"
)

// The same events lead to the same actions.
func Example_deterministicDecisions() {
	run := func() (trace string) {
		sim := newOriginHarness()
		for i := range 500 {
			sim.silent = true
			sim.advance(3)
			name := fmt.Sprint("op", i)
			op := sim.sendOp(name, i%4, fmt.Sprint("key", i%17), 300, i%5 == 0)
			for k := i; op.inFlight > 0; k += 3 {
				trace += pendingPush(op).Host.Name
				sim.PushEnded(pendingPush(op), Outcome(k%10), 5, Outcome(k%10) == Served, nil)
			}
		}
		return trace
	}
	first := run()
	fmt.Println(len(first) > 300, first == run())
	// Output:
	// true true
}

// A new process restores what the previous one learned, except about hosts that have restarted since. Only
// one of the two processes at a time spends the budgets of cold hosts.
func Example_learnedStateHandover() {
	sim := newHarness(testConfig(), "a", "b", "c")
	sim.silent = true
	for i := range 20 {
		op := fmt.Sprint("op", i)
		sim.sendOp(op, 0, op, 500, false)
		sim.finish(op, Served, 40)
	}
	sim.clock += 5000
	sim.Advance(sim.clock)
	sim.pushRate = 0.01
	sim.hosts["a"].ejectedUntil, sim.hosts["b"].ejectedUntil = sim.clock+1000, sim.clock+1000
	sim.hosts["c"].UpSince = sim.clock - 100
	sim.hasColdBudget(sim.hosts["c"])
	budget := sim.hosts["c"].coldBudget
	sim.YieldColdHosts(true)
	fmt.Println("old process may push to a cold host:", sim.hasColdBudget(sim.hosts["c"]))
	next := newHarness(testConfig(), "a", "b", "c")
	next.Advance(sim.clock)
	next.hosts["b"].UpSince, next.hosts["c"].UpSince = sim.clock-500, sim.hosts["c"].UpSince
	for _, part := range sim.Learned().Split(2) {
		next.Restore(part)
	}
	fmt.Println("latency:", next.Categories[0].avgLatency == sim.Categories[0].avgLatency,
		"gate:", next.fleetLimiter.limit == sim.fleetLimiter.limit)
	fmt.Println("rests:", next.hosts["a"].ejectedUntil > sim.clock, next.hosts["b"].ejectedUntil > sim.clock,
		"budget:", next.hosts["c"].coldBudget == budget)
	early := newUnlistedHarness(testConfig()).Learned()
	next.Restore(early)
	fmt.Println("before a list:", early, next.Categories[0].avgLatency == sim.Categories[0].avgLatency)
	// Output:
	// old process may push to a cold host: false
	// latency: true gate: true
	// rests: true false budget: true
	// before a list: {0 0 {0 0 0 0} {0 0 0 0} 0 [] map[]} true
}

package balance

import (
	"fmt"
)

// The same events bring the same actions.
func Example_deterministicDecisions() {
	run := func() (trace string) {
		x := newOriginHarness()
		for i := range 500 {
			x.silent = true
			x.advance(3)
			name := fmt.Sprint("op", i)
			op := x.sendOp(name, i%4, fmt.Sprint("key", i%17), 300, i%5 == 0)
			for k := i; op.inFlight > 0; k += 3 {
				trace += pendingPush(op).Host.Name
				x.PushEnded(pendingPush(op), Outcome(k%10), 5, Outcome(k%10) == Served, nil)
			}
		}
		return trace
	}
	first := run()
	fmt.Println(len(first) > 300, first == run())
	// Output:
	// true true
}

// The next process goes by what the one before has learned, but not of a host that has started anew. Cold hosts' budgets are one
// process's at a time.
func Example_learnedStateHandover() {
	x := newHarness(testConfig(), "a", "b", "c")
	x.silent = true
	for i := range 20 {
		op := fmt.Sprint("op", i)
		x.sendOp(op, 0, op, 500, false)
		x.finish(op, Served, 40)
	}
	x.t += 5000
	x.Advance(x.t)
	x.pushRate = 0.01
	x.hosts["a"].ejectedUntil, x.hosts["b"].ejectedUntil = x.t+1000, x.t+1000
	x.hosts["c"].UpSince = x.t - 100
	x.hasColdBudget(x.hosts["c"])
	left := x.hosts["c"].coldBudget
	x.YieldColdHosts(true)
	fmt.Println("the old one affords a cold host:", x.hasColdBudget(x.hosts["c"]))
	y := newHarness(testConfig(), "a", "b", "c")
	y.Advance(x.t)
	y.hosts["b"].UpSince, y.hosts["c"].UpSince = x.t-500, x.hosts["c"].UpSince
	for _, part := range x.Learned().Split(2) {
		y.Restore(part)
	}
	fmt.Println("latency:", y.Categories[0].avgLatency == x.Categories[0].avgLatency, "gate:", y.fleetLimiter.limit == x.fleetLimiter.limit)
	fmt.Println("rests:", y.hosts["a"].ejectedUntil > x.t, y.hosts["b"].ejectedUntil > x.t, "budget:", y.hosts["c"].coldBudget == left)
	early := newUnlistedHarness(testConfig()).Learned()
	y.Restore(early)
	fmt.Println("before a list:", early, y.Categories[0].avgLatency == x.Categories[0].avgLatency)
	// Output:
	// the old one affords a cold host: false
	// latency: true gate: true
	// rests: true false budget: true
	// before a list: {0 0 {0 0 0 0} {0 0 0 0} 0 [] map[]} true
}

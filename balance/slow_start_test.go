package balance

import (
	"fmt"
)

// sendUniqueKeys sends ops for ever new keys at one a millisecond, each served at once, and counts pushes.
func sendUniqueKeys(x *harness, ms int) map[string]int {
	x.silent, x.pushes = true, map[string]int{}
	for range ms {
		x.advance(1)
		name := fmt.Sprint("op", x.t)
		if x.sendOp(name, 0, name, 500, false).inFlight > 0 {
			x.finish(name, Served, 10)
		}
	}
	return x.pushes
}

// A host that comes back cold joins the cycle point by point, and its budget holds the load under what
// could tip it, however much arrives.
func Example_coldHostLoadRamp() {
	x := newHarness(testConfig(), "a", "b", "c", "d")
	fmt.Println("warm:", sendUniqueKeys(x, 2000)["d"])
	x.updateHost("d", Gone, 0)
	x.advance(100)
	x.updateHost("d", Ready, x.t)
	for s := range 6 {
		fmt.Printf("second %d: %d\n", s+1, sendUniqueKeys(x, 1000)["d"])
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

// newHarnesses opens n balancers that share nothing.
func newHarnesses(n int, s Config, names ...string) (all []*harness) {
	for i := range n {
		s.Seed, s.GroupSize, s.Categories = uint64(i), n, testCategories()
		x := newHarness(s, names...)
		x.silent = true
		all = append(all, x)
	}
	return all
}

// One op each from 300 balancers is more than a cold host can bear: a key in sudden demand, whose host has
// just come up, sends there in all no more than half of what tips it, though none knows of the others.
func Example_hotKeyDoesNotTipColdHost() {
	all := newHarnesses(300, testConfig(), "a", "b", "c", "d")
	second := func(key func(i int) string) (atD int) {
		for t := range 2 {
			for i, x := range all {
				x.advance(500)
				before := x.pushes["d"]
				if op := x.sendOp(fmt.Sprint("op", t), 0, key(i+300*t), 500, false); op.inFlight > 0 {
					x.PushEnded(pendingPush(op), Served, 10, true, nil)
				}
				atD += x.pushes["d"] - before
			}
		}
		return atD
	}
	usual := 0
	for range 5 {
		usual = second(func(n int) string { return fmt.Sprint("key", n) })
	}
	for _, x := range all {
		x.updateHost("d", Gone, 0)
		x.updateHost("d", Ready, x.t)
		x.advance(2000)
	}
	fmt.Printf("usual work of d: %d a second, tipped by %.0f\n", usual, float64(usual)*3*(0.3+0.7*2/5))
	fmt.Println("sent when a key of d floods:", second(func(int) string { return "page6" }))
	// Output:
	// usual work of d: 128 a second, tipped by 223
	// sent when a key of d floods: 48
}

// A fleet that is cold as a whole has no warm host to judge a budget by, and is sent a little all the same.
func Example_coldFleetGetsOps() {
	x := newHarness(testConfig())
	for _, n := range []string{"a", "b", "c"} {
		x.t = 1
		x.updateHost(n, Ready, 1)
	}
	n := sendUniqueKeys(x, 1000)
	fmt.Println(n["a"] > 0, n["b"] > 0, n["c"] > 0, n["a"]+n["b"]+n["c"] < 100)
	// Output:
	// true true true true
}

// A ban and its end, a moment apart, fill no cold host's budget again.
func Example_banDoesNotRefillColdBudget() {
	x := newHarness(testConfig(), "a")
	a := x.hosts["a"]
	x.advance(1000)
	a.UpSince, x.pushRate = 1, 0.01
	fmt.Println(x.hasColdBudget(a), a.coldBudget >= 1)
	a.coldBudget = 0
	x.SetBanned(a, true)
	x.SetBanned(a, false)
	fmt.Println(x.hasColdBudget(a), a.coldBudget >= 1)
	// Output:
	// true true
	// false false
}

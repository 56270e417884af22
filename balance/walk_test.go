package balance

import (
	"fmt"
)

// A key walks to its host; with two pushes there the host is full, and the next op spills clockwise.
func Example_fullHostSpillsClockwise() {
	x := newHarness(testConfig(), "a", "b", "c", "d")
	for i := range 3 {
		x.sendOp(fmt.Sprint("op", i), 0, "page", 500, false)
	}
	x.finish("op0", Served, 10)
	x.sendOp("op3", 0, "page", 500, false)
	// Output:
	// 0 push op0 to c
	//    0 push op1 to c
	//    0 push op2 to d
	//    0 op0 acked
	//    0 push op3 to c
}

// When a host leaves, only its own keys move.
func Example_minimalRemapping() {
	homes := func(x *harness) map[string]*Host {
		m := map[string]*Host{}
		for i := range 1000 {
			op := &Op{Key: fmt.Sprint("key", i), Category: x.Categories[0], Deadline: 1e6}
			x.OpArrived(op)
			m[op.Key] = pendingPush(op).Host
			x.PushEnded(pendingPush(op), Served, 10, true, nil)
		}
		return m
	}
	x := newHarness(testConfig(), "a", "b", "c", "d", "e")
	x.silent = true
	before := homes(x)
	x.updateHost("c", Gone, 0)
	moved, needless := 0, 0
	for k, h := range homes(x) {
		if h != before[k] {
			moved++
			if before[k].Name != "c" {
				needless++
			}
		}
	}
	fmt.Println("a fifth or so moved:", moved > 150 && moved < 250, "needlessly:", needless)
	// Output:
	// a fifth or so moved: true needlessly: 0
}

// A draining host is sent nothing more; what is out there may end. An op it turns away goes on.
func Example_drainingHostGetsNoNewOps() {
	x := newHarness(testConfig(), "a", "b", "c", "d")
	x.sendOp("op0", 0, "page", 500, false)
	x.sendOp("op1", 0, "page", 500, false)
	x.updateHost("c", Draining, 0)
	x.sendOp("op2", 0, "page", 500, false)
	x.finish("op1", Overloaded, 1)
	x.finish("op0", Served, 10)
	// Output:
	// 0 push op0 to c
	//    0 push op1 to c
	//    0 push op2 to d
	//    0 push op1 to d
	//    0 op0 acked
}

// What other balancers send shows in latency alone: the more of them there are, the earlier a host that
// answers slowly is full. It takes 60 ms, others 25.
func Example_slowHostFullEarlierInLargeGroup() {
	for _, group := range []int{1, 3, 12} {
		s := testConfig()
		s.GroupSize = group
		x := newHarness(s, "a", "b", "c", "d")
		x.silent = true
		for i := range 20 {
			x.sendOp("warm", 0, "page", 900, false)
			x.finish("warm", Served, 60)
			key := fmt.Sprint("other", i)
			x.sendOp(key, 0, key, 900, false)
			x.finish(key, Served, 25)
		}
		x.pushes = map[string]int{}
		for range 2 {
			x.sendOp("op", 0, "page", 900, false)
		}
		fmt.Println(group, "balancers:", x.pushes["c"], "of 2 at c")
	}
	// Output:
	// 1 balancers: 2 of 2 at c
	// 3 balancers: 2 of 2 at c
	// 12 balancers: 0 of 2 at c
}

// A host that turns a hundred balancers away is full of one op each. Each leaves it alone for a while after
// a push, the longer the more of them there are, and comes back.
func Example_refusingHostLeftAlone() {
	for _, group := range []int{3, 100} {
		s := testConfig()
		s.GroupSize = group
		x := newHarness(s, "a", "b", "c", "d")
		x.silent = true
		for range 40 {
			x.advance(100)
			if pendingPush(x.sendOp("op", 0, "page", 500, false)).Host.Name == "c" {
				x.finish("op", Overloaded, 1)
			}
			x.finish("op", Served, 25)
		}
		fmt.Println(group, "balancers: tried", x.pushes["c"], "times of 40")
	}
	// Output:
	// 3 balancers: tried 40 times of 40
	// 100 balancers: tried 6 times of 40
}

// A key that has a large part of a balancer's ops goes to several hosts, the others to one each, though no balancer of
// three hundred ever has two ops out.
func Example_hotKeySpreadOverHosts() {
	s := testConfig()
	s.AllowHedging = true
	var names []string
	for i := range 40 {
		names = append(names, fmt.Sprint("h", i))
	}
	hosts := map[bool]map[string]map[string]bool{false: {}, true: {}}
	for _, x := range newHarnesses(300, s, names...) {
		for i := range 30 {
			x.advance(200)
			key := "busy"
			if i%5 > 0 {
				key = fmt.Sprint("key", i%7)
			}
			op := x.sendOp("op", 0, key, 500, false)
			if hosts[i > 15][key] == nil {
				hosts[i > 15][key] = map[string]bool{}
			}
			hosts[i > 15][key][pendingPush(op).Host.Name] = true
			x.finish("op", Served, 20)
		}
	}
	fmt.Println("at first", len(hosts[false]["busy"]), "later", len(hosts[true]["busy"]))
	// Output:
	// at first 5 later 6
}

// A slow host loses a part of its keys, and all balancers agree on which: they move to where others look for them, too.
func Example_balancersAgreeOnMovedKeys() {
	s := testConfig()
	s.AllowHedging = true
	moved := map[string]int{}
	all := newHarnesses(40, s, "a", "b", "c", "d")
	for _, x := range all {
		x.hosts["c"].slowdown = 2
		for i := range 60 {
			key := fmt.Sprint("key", i)
			home := x.sendOp(key, 0, key, 500, false)
			if h := pendingPush(home).Host.Name; h != "c" {
				moved[key+h]++
			}
			x.finish(key, Served, 30)
			x.hosts["c"].slowdown = 2
		}
	}
	agreed := 0
	for _, n := range moved {
		if n == len(all) {
			agreed++
		}
	}
	fmt.Println("keys not at c:", agreed, "of them agreed on by all:", agreed == len(moved))
	// Output:
	// keys not at c: 56 of them agreed on by all: true
}

// A push whose host has answered others since may be a heavy op: its copy, which would be as heavy, comes half as long later.
// And where hosts have time to spare a busy key goes to fewer of them.
func Example_hedgeDelayAndHotKeySpread() {
	x := newHedgeHarness()
	x.sendOp("heavy", 0, "page", 500, false)
	x.advance(30)
	x.sendOp("light", 0, "page", 500, false)
	x.finish("light", Served, 10)
	x.advance(60)
	for range 9 {
		x.keyCounts[x.ops["heavy"].keyHash%keyBuckets]++
		x.keyCountSum++
	}
	for _, x.avgBusy = range []float64{0, 0.9, 0.3} {
		fmt.Printf("busy %.1f: over %.1f hosts\n", x.avgBusy, x.hotKeySpread(x.ops["heavy"]))
	}
	// Output:
	// 0 push heavy to c
	//   30 push light to c
	//   30 light acked
	//   75 push heavy to a
	// busy 0.0: over 2.4 hosts
	// busy 0.9: over 2.4 hosts
	// busy 0.3: over 1.2 hosts
}

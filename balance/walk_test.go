package balance

import (
	"fmt"
)

// A key's ops go to its host. Two pushes there fill it, and the next op spills clockwise.
func Example_fullHostSpillsClockwise() {
	sim := newHarness(testConfig(), "a", "b", "c", "d")
	for i := range 3 {
		sim.sendOp(fmt.Sprint("op", i), 0, "page", 500, false)
	}
	sim.finish("op0", Served, 10)
	sim.sendOp("op3", 0, "page", 500, false)
	// Output:
	// 0 push op0 to c
	//    0 push op1 to c
	//    0 push op2 to d
	//    0 op0 acked
	//    0 push op3 to c
}

// When a host leaves, only its own keys move.
func Example_minimalRemapping() {
	homes := func(sim *harness) map[string]*Host {
		m := map[string]*Host{}
		for i := range 1000 {
			op := &Op{Key: fmt.Sprint("key", i), Category: sim.Categories[0], Deadline: 1e6}
			sim.OpArrived(op)
			m[op.Key] = pendingPush(op).Host
			sim.PushEnded(pendingPush(op), Served, 10, true, nil)
		}
		return m
	}
	sim := newHarness(testConfig(), "a", "b", "c", "d", "e")
	sim.silent = true
	before := homes(sim)
	sim.updateHost("c", Gone, 0)
	moved, needless := 0, 0
	for k, h := range homes(sim) {
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

// A draining host gets no new op. Its pushes in flight may end, and an op that it turns away goes to another
// host.
func Example_drainingHostGetsNoNewOps() {
	sim := newHarness(testConfig(), "a", "b", "c", "d")
	sim.sendOp("op0", 0, "page", 500, false)
	sim.sendOp("op1", 0, "page", 500, false)
	sim.updateHost("c", Draining, 0)
	sim.sendOp("op2", 0, "page", 500, false)
	sim.finish("op1", Overloaded, 1)
	sim.finish("op0", Served, 10)
	// Output:
	// 0 push op0 to c
	//    0 push op1 to c
	//    0 push op2 to d
	//    0 push op1 to d
	//    0 op0 acked
}

// The load from other balancers shows only in a host's latency: the larger the group, the earlier a slow host
// counts as full. The slow host takes 60 ms, the others 25 ms.
func Example_slowHostFullEarlierInLargeGroup() {
	for _, group := range []int{1, 3, 12} {
		cfg := testConfig()
		cfg.GroupSize = group
		sim := newHarness(cfg, "a", "b", "c", "d")
		sim.silent = true
		for i := range 20 {
			sim.sendOp("warm", 0, "page", 900, false)
			sim.finish("warm", Served, 60)
			key := fmt.Sprint("other", i)
			sim.sendOp(key, 0, key, 900, false)
			sim.finish(key, Served, 25)
		}
		sim.pushes = map[string]int{}
		for range 2 {
			sim.sendOp("op", 0, "page", 900, false)
		}
		fmt.Println(group, "balancers:", sim.pushes["c"], "of 2 at c")
	}
	// Output:
	// 1 balancers: 2 of 2 at c
	// 3 balancers: 2 of 2 at c
	// 12 balancers: 0 of 2 at c
}

// A host that turns away a group of a hundred is full with one op of each. Each balancer then pauses after a
// push to it, the longer the larger the group, and tries again later.
func Example_overloadedHostPausedInLargeGroup() {
	for _, group := range []int{3, 100} {
		cfg := testConfig()
		cfg.GroupSize = group
		sim := newHarness(cfg, "a", "b", "c", "d")
		sim.silent = true
		for range 40 {
			sim.advance(100)
			if pendingPush(sim.sendOp("op", 0, "page", 500, false)).Host.Name == "c" {
				sim.finish("op", Overloaded, 1)
			}
			sim.finish("op", Served, 25)
		}
		fmt.Println(group, "balancers: tried", sim.pushes["c"], "times of 40")
	}
	// Output:
	// 3 balancers: tried 40 times of 40
	// 100 balancers: tried 6 times of 40
}

// A key with a large share of the ops goes to several hosts, although each of the 300 balancers has at most
// one op in flight.
func Example_hotKeySpreadOverHosts() {
	cfg := testConfig()
	cfg.AllowHedging = true
	var names []string
	for i := range 40 {
		names = append(names, fmt.Sprint("h", i))
	}
	hosts := map[bool]map[string]map[string]bool{false: {}, true: {}}
	for _, sim := range newHarnesses(300, cfg, names...) {
		for i := range 30 {
			sim.advance(200)
			key := "busy"
			if i%5 > 0 {
				key = fmt.Sprint("key", i%7)
			}
			op := sim.sendOp("op", 0, key, 500, false)
			if hosts[i > 15][key] == nil {
				hosts[i > 15][key] = map[string]bool{}
			}
			hosts[i > 15][key][pendingPush(op).Host.Name] = true
			sim.finish("op", Served, 20)
		}
	}
	fmt.Println("at first", len(hosts[false]["busy"]), "later", len(hosts[true]["busy"]))
	// Output:
	// at first 5 later 6
}

// A slow host loses a share of its keys, and all balancers move the same keys to the same hosts.
func Example_balancersAgreeOnMovedKeys() {
	cfg := testConfig()
	cfg.AllowHedging = true
	moved := map[string]int{}
	all := newHarnesses(40, cfg, "a", "b", "c", "d")
	for _, sim := range all {
		sim.hosts["c"].slowdown = 2
		for i := range 60 {
			key := fmt.Sprint("key", i)
			home := sim.sendOp(key, 0, key, 500, false)
			if h := pendingPush(home).Host.Name; h != "c" {
				moved[key+h]++
			}
			sim.finish(key, Served, 30)
			sim.hosts["c"].slowdown = 2
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

// A slow push whose host has answered others since may be a heavy op, so its hedge is sent half a delay
// later. And while hosts report spare capacity, a hot key goes to fewer of them.
func Example_hedgeDelayAndHotKeySpread() {
	sim := newHedgeHarness()
	sim.sendOp("heavy", 0, "page", 500, false)
	sim.advance(30)
	sim.sendOp("light", 0, "page", 500, false)
	sim.finish("light", Served, 10)
	sim.advance(60)
	for range 9 {
		sim.keyCounts[sim.ops["heavy"].keyHash%keyBuckets]++
		sim.keyCountSum++
	}
	for _, sim.avgBusy = range []float64{0, 0.9, 0.3} {
		fmt.Printf("busy %.1f: over %.1f hosts\n", sim.avgBusy, sim.hotKeySpread(sim.ops["heavy"]))
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

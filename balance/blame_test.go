package balance

import "fmt"

// An error blames its host only once another host takes the op. Two hosts that agree show that the op is at fault: it is
// given up, and neither rests. So ops that any host fails, whatever they share, shut out no host and narrow no gate. Once
// second hosts have agreed for a while the first one's word is enough, for all but one in ten; and when a host begins to
// fail of itself meanwhile, these soon tell.
func Example_hostsNotBlamedForBadOps() {
	x := newHarness(testConfig(), "a", "b", "c", "d")
	before := x.fleetLimiter.limit
	x.sendOp("bad", 0, "page", 500, false)
	x.finish("bad", Failed, 1)
	x.finish("bad", Failed, 1)
	x.silent = true
	pushes := 0
	for i := range 40 {
		name := fmt.Sprint("bad", i)
		for p := pendingPush(x.sendOp(name, 0, name, 500, false)); p != nil; p = pendingPush(p.Op) {
			pushes++
			x.finishPush(p, Failed, 1)
		}
		x.advance(5)
	}
	_, avoided := x.HostCounts()
	fmt.Println("avoided:", avoided, "gate narrowed:", x.fleetLimiter.limit < before, "pushes of 40 such ops:", pushes)
	lost := 0
	for i := 0; avoided == 0; i++ {
		op := x.sendOp(fmt.Sprint("good", i), 0, "page", 500, false)
		for p := pendingPush(op); p != nil; p = pendingPush(op) {
			x.finishPush(p, map[bool]Outcome{true: Failed, false: Served}[p.Host.Name == "c"], 1)
		}
		if !op.acked {
			lost++
		}
		x.advance(5)
		_, avoided = x.HostCounts()
	}
	fmt.Println("avoided:", avoided, "ops given up before:", lost)
	// Output:
	// 0 push bad to c
	//    0 push bad to d
	//    0 nack bad
	// avoided: 0 gate narrowed: false pushes of 40 such ops: 48
	// avoided: 1 ops given up before: 1
}

// Most hosts lose a third of their answers, each by a reset. Those serve on, and one that loses all is shut out.
func Example_commonResetsExcludeOnlyWorstHost() {
	x := newHarness(testConfig(), "a", "b", "c", "d", "e", "f")
	x.silent = true
	n, all := 0, 0.0
	for range 2000 {
		n++
		name := fmt.Sprint("op", n)
		for p := pendingPush(x.sendOp(name, 0, name, 500, false)); p != nil; p = pendingPush(p.Op) {
			if p.Host.Name == "f" || p.Host.Name != "a" && n%3 == 0 {
				x.finishPush(p, ConnBroken, 5)
				continue
			}
			x.finishPush(p, Served, 5)
		}
		x.advance(5)
		_, avoided := x.HostCounts()
		all += float64(avoided)
	}
	fmt.Printf("avoided of six: %.1f; pushes to the worst: %v\n", all/2000, x.pushes["f"])
	// Output:
	// avoided of six: 0.7; pushes to the worst: 11
}

// When a host in use goes down, what balancers had out there together may be why: for a minute the bound
// has no floor of two.
func Example_boundWithoutFloorAfterHostDown() {
	x := newHarness(testConfig(), "a", "b", "c", "d", "e", "f", "g", "h")
	spread := func() int {
		x.pushes = map[string]int{}
		for i := range 3 {
			x.sendOp(fmt.Sprint("op", i), 0, "page", 500, false)
		}
		hosts := len(x.pushes)
		for i := range 3 {
			x.finish(fmt.Sprint("op", i), Served, 10)
		}
		return hosts
	}
	x.silent = true
	x.advance(10)
	fmt.Println("hosts of three ops:", spread())
	h := x.sendOp("fallen", 0, "page", 500, false).pushes[0].Host
	x.finish("fallen", ConnectFailed, 1) // it answered a moment ago
	x.finish("fallen", Served, 1)
	x.advance(1000)
	fmt.Println("after a fall:", spread())
	x.advance(62000)
	fmt.Println("a minute later:", spread())
	x.updateHost(h.Name, Ready, x.t) // a new process of it
	x.advance(6000)
	fmt.Println("after a restart that the list tells:", spread())
	// Output:
	// hosts of three ops: 2
	// after a fall: 3
	// a minute later: 2
	// after a restart that the list tells: 3
}

// One key's answers never come through while its hosts serve others. It gets one place, and what finds none is nacked at
// once; others are pushed as ever. Once its answers come in time again it is free.
func Example_stuckKeyLimitedToOnePush() {
	s := testConfig()
	s.ReplySlots = 10
	x := newHarness(s, "a", "b", "c", "d")
	n := 0
	round := func(stuck bool) {
		n++
		x.sendOp("stuck", 0, "page", 500, false)
		for i := range 8 {
			x.sendOp(fmt.Sprint("op", i), 0, fmt.Sprint("leaf", n, i), 500, false)
		}
		for i := range 8 {
			x.advance(3)
			x.finish(fmt.Sprint("op", i), Served, float64(3*i+3))
		}
		if !stuck {
			x.finish("stuck", Served, 24)
		}
		x.advance(100)
	}
	x.silent = true
	for range 60 {
		round(true)
	}
	x.silent = false
	x.sendOp("one", 0, "page", 500, false)
	x.sendOp("two", 0, "page", 500, false)
	x.sendOp("other", 0, "leaf", 500, false)
	x.silent = true
	x.finish("one", Served, 10)
	for range 30 {
		round(false)
	}
	x.silent = false
	x.sendOp("three", 0, "page", 500, false)
	x.sendOp("four", 0, "page", 500, false)
	// Output:
	// 7440 push one to d
	// 7440 nack two
	// 7440 push other to d
	// 11160 push three to c
	// 11160 push four to c
}

// A slow fetch is not called off: the one origin is at work on it all the same, and would only be asked again.
func Example_slowFetchNotCancelled() {
	s := testConfig()
	s.CacheAside = true
	x := newHarness(s, "a", "b", "origin")
	x.sendOp("op", 0, "page", 500, false)
	x.finish("op", CacheMiss, 1)
	x.advance(400)
	x.finish("op", Served, 400)
	// Output:
	// 0 push op to a
	//    0 push op to origin
	//  400 op acked
}

package balance

import (
	"fmt"
)

// A host that fails rests, is tried with one op at a time, and is trusted again once it answers.
func Example_healing() {
	x := open(start(), "a", "b", "c", "d")
	x.ask("op0", 0, "page", 900, false)
	x.end("op0", Failed, 1)
	x.end("op0", Served, 9)
	x.after(300)
	x.ask("op2", 0, "page", 900, false)
	x.ask("op3", 0, "page", 900, false)
	x.end("op2", Served, 9)
	x.end("op3", Served, 9)
	x.ask("op4", 0, "page", 900, false)
	x.ask("op5", 0, "page", 900, false)
	// Output:
	// 0 push op0 to c
	//    0 push op0 to d
	//    0 op0 acked
	//  300 push op2 to c
	//  300 push op3 to d
	//  300 op2 acked
	//  300 op3 acked
	//  300 push op4 to c
	//  300 push op5 to c
}

// A host that takes no connection may be dead, or just full of them. It rests after the failure in proportion
// to what it took: 100 ms after 5 ms, and the usual 250 after 50.
func Example_failedConnects() {
	for _, took := range []float64{5, 50} {
		x := open(start(), "a", "b", "c", "d")
		x.ask("op0", 0, "page", 500, false)
		x.end("op0", ConnectFailed, took)
		x.end("op0", Served, 9)
		x.after(150)
		x.ask("op1", 0, "page", 500, false)
	}
	// Output:
	// 0 push op0 to c
	//    0 push op0 to d
	//    0 op0 acked
	//  150 push op1 to c
	//    0 push op0 to c
	//    0 push op0 to d
	//    0 op0 acked
	//  150 push op1 to d
}

// A host that takes ops and answers none is left by them once the usual time is well past; one that
// answers others keeps its heavy op.
func Example_silentHost() {
	x := open(start(), "a", "b", "c", "d")
	x.ask("hung", 0, "page", 900, false)
	x.ask("heavy", 0, "atlas", 900, false)
	x.ask("light", 0, "atlas", 900, false)
	x.after(20)
	x.end("light", Served, 20)
	x.after(150)
	// Output:
	// 0 push hung to c
	//    0 push heavy to b
	//    0 push light to b
	//   20 light acked
	//   88 cancel hung
	//   88 push hung to d
}

// One op in three is heavy, and on hosts that have answered no other since. What is called off counts as usual
// latency too: patience learned from the quick alone would call ever more off.
func Example_heavyOps() {
	x := open(start(), "a", "b", "c", "d", "e", "f")
	x.silent = true
	for round := range 4 {
		called := 0
		for i := range 30 {
			op := x.ask("op", 0, fmt.Sprint("key", round, i), 900, false)
			took := 20.0
			if i%3 == 0 {
				took = 150
			}
			x.after(took)
			called += len(op.pushes) - 1
			x.end("op", Served, x.t-at(op).sentAt)
		}
		fmt.Println("called off:", called, "of 10 heavy ones")
	}
	// Output:
	// called off: 4 of 10 heavy ones
	// called off: 0 of 10 heavy ones
	// called off: 0 of 10 heavy ones
	// called off: 0 of 10 heavy ones
}

// One heavy op narrows the hosts' gate once; the timely answers after it, while the smoothed latency is still
// over its goal, do not narrow it again.
func Example_oneHeavyOp() {
	x := open(start(), "a", "b", "c", "d")
	x.silent = true
	for _, took := range []float64{20, 400, 20, 20, 20} {
		x.ask("op", 0, "page", 900, false)
		x.after(80)
		x.end("op", Served, took)
		fmt.Printf("%.0f ms: limit %.0f, smoothed over target %.2f\n", took, x.fleetLimiter.limit, x.fleetLimiter.congestion)
	}
	// Output:
	// 20 ms: limit 64, smoothed over target 0.04
	// 400 ms: limit 8, smoothed over target 0.83
	// 20 ms: limit 8, smoothed over target 0.71
	// 20 ms: limit 8, smoothed over target 0.60
	// 20 ms: limit 8, smoothed over target 0.52
}

// A single spoilt answer says little of a host: the op goes there again, for it may hold the key. A host of which many
// come is left for a while. All hosts that spoil a few answers once rested in turn, and keys missed elsewhere.
func Example_spoilt() {
	x := open(start(), "a", "b", "c", "d")
	for _, name := range []string{"op0", "op1"} {
		x.ask(name, 0, "page", 500, false)
		x.end(name, InvalidAnswer, 5)
	}
	x.end("op1", Served, 5)
	// Output:
	// 0 push op0 to c
	//    0 push op0 to c
	//    0 push op1 to c
	//    0 push op1 to d
	//    0 op1 acked
}

// A kept connection that ends under a push counts as little: hosts close them as they like.
func Example_stale() {
	x := open(start(), "a", "b", "c", "d")
	x.ask("read", 0, "page", 500, false)
	x.end("read", StaleConn, 5)
	x.end("read", Served, 5)
	x.ask("once", 2, "page", 500, false)
	x.end("once", StaleConn, 5)
	// Output:
	// 0 push read to c
	//    0 push read to c
	//    0 read acked
	//    0 push once to c
	//    0 dead-letter once
}

// A push whose host answers others may be a heavy op: it is left at the first look, and called off at the second, for its
// connection may be dead without a word. It once waited until its time was over.
func Example_secondLook() {
	x := open(start(), "a", "b", "c", "d")
	x.ask("stuck", 0, "page", 500, false)
	x.after(60)
	x.ask("other", 0, "page", 500, false)
	x.end("other", Served, 10)
	x.after(150)
	x.end("stuck", Served, 10)
	// Output:
	// 0 push stuck to c
	//   60 push other to c
	//   60 other acked
	//  175 cancel stuck
	//  175 push stuck to c
	//  210 stuck acked
}

// An op that two hosts hold for wrong is given up, and neither is blamed; one that another host serves tells of the first.
func Example_rejected() {
	x := open(start(), "a", "b", "c", "d")
	x.ask("wrong", 0, "page", 500, false)
	x.end("wrong", InvalidOp, 5)
	x.end("wrong", InvalidOp, 5)
	x.ask("right", 0, "page", 500, false)
	x.end("right", InvalidOp, 5)
	x.end("right", Served, 5)
	x.ask("next", 0, "page", 500, false)
	s := start()
	s.CacheAside = true
	x = open(s, "a", "o") // a fetch that the origin holds for wrong once waited for itself
	x.ask("fetch", 0, "page", 500, false)
	for _, o := range []Outcome{CacheMiss, InvalidOp, InvalidOp} {
		x.end("fetch", o, 5)
	}
	// Output:
	// 0 push wrong to c
	//    0 push wrong to d
	//    0 nack wrong
	//    0 push right to c
	//    0 push right to d
	//    0 right acked
	//    0 push next to d
	//    0 push fetch to a
	//    0 push fetch to o
	//    0 push fetch to o
	//    0 nack fetch
}

// With every host failing at once, then well again: each op is settled once, and service comes back.
func Example_allFail() {
	x := open(start(), "a", "b", "c", "d")
	x.silent = true
	for s := range 8 {
		served, ops := 0, []*Op{}
		for i := range 100 {
			x.after(10)
			name := fmt.Sprint("op", s, i)
			ops = append(ops, x.ask(name, 0, name, 300, false))
			for _, op := range ops {
				if op.inFlight > 0 && s >= 2 && x.t-at(op).sentAt < 40 {
					x.end(op.Ref.(string), Served, 10)
					served++
				}
			}
		}
		if s%2 == 1 {
			fmt.Printf("second %d: %d of 100 acked\n", s+1, served)
		}
	}
	x.after(1000)
	open := 0
	for _, op := range x.ops {
		if op.state != stateSettled {
			open++
		}
	}
	fmt.Println("open:", open)
	// Output:
	// second 2: 0 of 100 acked
	// second 4: 100 of 100 acked
	// second 6: 100 of 100 acked
	// second 8: 100 of 100 acked
	// open: 0
}

// What finds out that a suspect host is still bad is a hundredth of the ops, where others have room: each op that tries is late
// for it, and each of 300 balancers tried each of two dozen slow hosts every 4 s. A try that is answered costs nothing, so
// a fleet that is well again is soon in use.
func Example_triesOfSuspectHosts() {
	var names []string
	for i := range 20 {
		names = append(names, fmt.Sprint("h", i))
	}
	x := open(start(), names...)
	x.silent = true
	bad := func(h *Host) bool { return len(h.Name) == 2 } // ten of the twenty
	run := func(well bool) (tried int) {
		for i := range 3000 {
			x.after(10)
			name := fmt.Sprint("op", i)
			op := x.ask(name, 0, name, 500, false)
			for op.inFlight > 0 {
				if p := at(op); bad(p.Host) && !well {
					tried++
					x.end(name, Failed, 5)
					continue
				}
				x.end(name, Served, 5)
			}
		}
		return tried
	}
	fmt.Println("tried in 30 s:", run(false))
	run(true)
	suspect := 0
	for _, h := range x.hosts {
		if h.failRate > suspectThreshold {
			suspect++
		}
	}
	fmt.Println("suspect 30 s after all are well:", suspect)
	// Output:
	// tried in 30 s: 51
	// suspect 30 s after all are well: 0
}

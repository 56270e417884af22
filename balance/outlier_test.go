package balance

import (
	"fmt"
)

// A host that fails rests, is tried with one op at a time, and is trusted again once it answers.
func Example_failedHostRecovers() {
	x := newHarness(testConfig(), "a", "b", "c", "d")
	x.sendOp("op0", 0, "page", 900, false)
	x.finish("op0", Failed, 1)
	x.finish("op0", Served, 9)
	x.advance(300)
	x.sendOp("op2", 0, "page", 900, false)
	x.sendOp("op3", 0, "page", 900, false)
	x.finish("op2", Served, 9)
	x.finish("op3", Served, 9)
	x.sendOp("op4", 0, "page", 900, false)
	x.sendOp("op5", 0, "page", 900, false)
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
func Example_restScalesWithConnectTime() {
	for _, took := range []float64{5, 50} {
		x := newHarness(testConfig(), "a", "b", "c", "d")
		x.sendOp("op0", 0, "page", 500, false)
		x.finish("op0", ConnectFailed, took)
		x.finish("op0", Served, 9)
		x.advance(150)
		x.sendOp("op1", 0, "page", 500, false)
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
func Example_unresponsiveHostAbandoned() {
	x := newHarness(testConfig(), "a", "b", "c", "d")
	x.sendOp("hung", 0, "page", 900, false)
	x.sendOp("heavy", 0, "atlas", 900, false)
	x.sendOp("light", 0, "atlas", 900, false)
	x.advance(20)
	x.finish("light", Served, 20)
	x.advance(150)
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
func Example_slowOpsNotCancelledRepeatedly() {
	x := newHarness(testConfig(), "a", "b", "c", "d", "e", "f")
	x.silent = true
	for round := range 4 {
		called := 0
		for i := range 30 {
			op := x.sendOp("op", 0, fmt.Sprint("key", round, i), 900, false)
			took := 20.0
			if i%3 == 0 {
				took = 150
			}
			x.advance(took)
			called += len(op.pushes) - 1
			x.finish("op", Served, x.t-pendingPush(op).sentAt)
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
func Example_oneSlowOpNarrowsGateOnce() {
	x := newHarness(testConfig(), "a", "b", "c", "d")
	x.silent = true
	for _, took := range []float64{20, 400, 20, 20, 20} {
		x.sendOp("op", 0, "page", 900, false)
		x.advance(80)
		x.finish("op", Served, took)
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
func Example_fewCorruptAnswersKeepHost() {
	x := newHarness(testConfig(), "a", "b", "c", "d")
	for _, name := range []string{"op0", "op1"} {
		x.sendOp(name, 0, "page", 500, false)
		x.finish(name, InvalidAnswer, 5)
	}
	x.finish("op1", Served, 5)
	// Output:
	// 0 push op0 to c
	//    0 push op0 to c
	//    0 push op1 to c
	//    0 push op1 to d
	//    0 op1 acked
}

// A kept connection that ends under a push counts as little: hosts close them as they like.
func Example_staleConnectionNotBlamed() {
	x := newHarness(testConfig(), "a", "b", "c", "d")
	x.sendOp("read", 0, "page", 500, false)
	x.finish("read", StaleConn, 5)
	x.finish("read", Served, 5)
	x.sendOp("once", 2, "page", 500, false)
	x.finish("once", StaleConn, 5)
	// Output:
	// 0 push read to c
	//    0 push read to c
	//    0 read acked
	//    0 push once to c
	//    0 dead-letter once
}

// A push whose host answers others may be a heavy op: it is left at the first look, and called off at the second, for its
// connection may be dead without a word. It once waited until its time was over.
func Example_stuckPushCancelledAtSecondCheck() {
	x := newHarness(testConfig(), "a", "b", "c", "d")
	x.sendOp("stuck", 0, "page", 500, false)
	x.advance(60)
	x.sendOp("other", 0, "page", 500, false)
	x.finish("other", Served, 10)
	x.advance(150)
	x.finish("stuck", Served, 10)
	// Output:
	// 0 push stuck to c
	//   60 push other to c
	//   60 other acked
	//  175 cancel stuck
	//  175 push stuck to c
	//  210 stuck acked
}

// An op that two hosts hold for wrong is given up, and neither is blamed; one that another host serves tells of the first.
func Example_rejectedOpBlamesNoHost() {
	x := newHarness(testConfig(), "a", "b", "c", "d")
	x.sendOp("wrong", 0, "page", 500, false)
	x.finish("wrong", InvalidOp, 5)
	x.finish("wrong", InvalidOp, 5)
	x.sendOp("right", 0, "page", 500, false)
	x.finish("right", InvalidOp, 5)
	x.finish("right", Served, 5)
	x.sendOp("next", 0, "page", 500, false)
	s := testConfig()
	s.CacheAside = true
	x = newHarness(s, "a", "o") // a fetch that the origin holds for wrong once waited for itself
	x.sendOp("fetch", 0, "page", 500, false)
	for _, o := range []Outcome{CacheMiss, InvalidOp, InvalidOp} {
		x.finish("fetch", o, 5)
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
func Example_recoveryAfterAllHostsFail() {
	x := newHarness(testConfig(), "a", "b", "c", "d")
	x.silent = true
	for s := range 8 {
		served, ops := 0, []*Op{}
		for i := range 100 {
			x.advance(10)
			name := fmt.Sprint("op", s, i)
			ops = append(ops, x.sendOp(name, 0, name, 300, false))
			for _, op := range ops {
				if op.inFlight > 0 && s >= 2 && x.t-pendingPush(op).sentAt < 40 {
					x.finish(op.Ref.(string), Served, 10)
					served++
				}
			}
		}
		if s%2 == 1 {
			fmt.Printf("second %d: %d of 100 acked\n", s+1, served)
		}
	}
	x.advance(1000)
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
func Example_probesOfSuspectHostsLimited() {
	var names []string
	for i := range 20 {
		names = append(names, fmt.Sprint("h", i))
	}
	x := newHarness(testConfig(), names...)
	x.silent = true
	bad := func(h *Host) bool { return len(h.Name) == 2 } // ten of the twenty
	run := func(well bool) (tried int) {
		for i := range 3000 {
			x.advance(10)
			name := fmt.Sprint("op", i)
			op := x.sendOp(name, 0, name, 500, false)
			for op.inFlight > 0 {
				if p := pendingPush(op); bad(p.Host) && !well {
					tried++
					x.finish(name, Failed, 5)
					continue
				}
				x.finish(name, Served, 5)
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

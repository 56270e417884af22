package balance

import (
	"fmt"
)

// A failed host is ejected, then probed with one op at a time, and used normally once it answers.
func Example_failedHostRecovers() {
	sim := newHarness(testConfig(), "a", "b", "c", "d")
	sim.sendOp("op0", 0, "page", 900, false)
	sim.finish("op0", Failed, 1)
	sim.finish("op0", Served, 9)
	sim.advance(300)
	sim.sendOp("op2", 0, "page", 900, false)
	sim.sendOp("op3", 0, "page", 900, false)
	sim.finish("op2", Served, 9)
	sim.finish("op3", Served, 9)
	sim.sendOp("op4", 0, "page", 900, false)
	sim.sendOp("op5", 0, "page", 900, false)
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

// A host that accepts no connection may be dead or only out of connections. The ejection time grows with the
// time that the failed connect took: 100 ms after 5 ms, and the usual 250 ms after 50 ms.
func Example_ejectionScalesWithConnectTime() {
	for _, took := range []float64{5, 50} {
		sim := newHarness(testConfig(), "a", "b", "c", "d")
		sim.sendOp("op0", 0, "page", 500, false)
		sim.finish("op0", ConnectFailed, took)
		sim.finish("op0", Served, 9)
		sim.advance(150)
		sim.sendOp("op1", 0, "page", 500, false)
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

// A push to a host that answers no op is cancelled well after the usual latency and goes elsewhere; one to a
// host that answers other ops stays.
func Example_unresponsiveHostAbandoned() {
	sim := newHarness(testConfig(), "a", "b", "c", "d")
	sim.sendOp("hung", 0, "page", 900, false)
	sim.sendOp("heavy", 0, "atlas", 900, false)
	sim.sendOp("light", 0, "atlas", 900, false)
	sim.advance(20)
	sim.finish("light", Served, 20)
	sim.advance(150)
	// Output:
	// 0 push hung to c
	//    0 push heavy to b
	//    0 push light to b
	//   20 light acked
	//   88 cancel hung
	//   88 push hung to d
}

// One op in three is slow, at hosts that have answered no other op since. Cancelled pushes count as latency
// samples, too: with fast ops alone ever more pushes would be cancelled.
func Example_slowOpsNotCancelledRepeatedly() {
	sim := newHarness(testConfig(), "a", "b", "c", "d", "e", "f")
	sim.silent = true
	for round := range 4 {
		cancelled := 0
		for i := range 30 {
			op := sim.sendOp("op", 0, fmt.Sprint("key", round, i), 900, false)
			took := 20.0
			if i%3 == 0 {
				took = 150
			}
			sim.advance(took)
			cancelled += len(op.pushes) - 1
			sim.finish("op", Served, sim.clock-pendingPush(op).sentAt)
		}
		fmt.Println("pushes cancelled:", cancelled, "of 10 slow ops")
	}
	// Output:
	// pushes cancelled: 4 of 10 slow ops
	// pushes cancelled: 0 of 10 slow ops
	// pushes cancelled: 0 of 10 slow ops
	// pushes cancelled: 0 of 10 slow ops
}

// One slow op reduces the fleet's limit once. Timely answers after it do not reduce it again, although the
// smoothed latency is still above its goal.
func Example_oneSlowOpReducesLimitOnce() {
	sim := newHarness(testConfig(), "a", "b", "c", "d")
	sim.silent = true
	for _, took := range []float64{20, 400, 20, 20, 20} {
		sim.sendOp("op", 0, "page", 900, false)
		sim.advance(80)
		sim.finish("op", Served, took)
		fmt.Printf("%.0f ms: limit %.0f, smoothed over target %.2f\n", took, sim.fleetLimiter.limit,
			sim.fleetLimiter.congestion)
	}
	// Output:
	// 20 ms: limit 64, smoothed over target 0.04
	// 400 ms: limit 8, smoothed over target 0.83
	// 20 ms: limit 8, smoothed over target 0.71
	// 20 ms: limit 8, smoothed over target 0.60
	// 20 ms: limit 8, smoothed over target 0.52
}

// After a single invalid answer an op goes to the same host again, which may hold the key. Only a host that
// gives several is ejected: if each invalid answer ejected its host, keys would miss elsewhere.
func Example_fewInvalidAnswersKeepHost() {
	sim := newHarness(testConfig(), "a", "b", "c", "d")
	for _, name := range []string{"op0", "op1"} {
		sim.sendOp(name, 0, "page", 500, false)
		sim.finish(name, InvalidAnswer, 5)
	}
	sim.finish("op1", Served, 5)
	// Output:
	// 0 push op0 to c
	//    0 push op0 to c
	//    0 push op1 to c
	//    0 push op1 to d
	//    0 op1 acked
}

// A kept connection that ends under a push hardly counts against its host: hosts may close idle connections
// at any time.
func Example_staleConnectionNotBlamed() {
	sim := newHarness(testConfig(), "a", "b", "c", "d")
	sim.sendOp("read", 0, "page", 500, false)
	sim.finish("read", StaleConn, 5)
	sim.finish("read", Served, 5)
	sim.sendOp("once", 2, "page", 500, false)
	sim.finish("once", StaleConn, 5)
	// Output:
	// 0 push read to c
	//    0 push read to c
	//    0 read acked
	//    0 push once to c
	//    0 dead-letter once
}

// A slow push whose host answers other ops may be a heavy op and is kept at the first check. It is cancelled
// at the second one, since its connection may be dead.
func Example_stuckPushCancelledAtSecondCheck() {
	sim := newHarness(testConfig(), "a", "b", "c", "d")
	sim.sendOp("stuck", 0, "page", 500, false)
	sim.advance(60)
	sim.sendOp("other", 0, "page", 500, false)
	sim.finish("other", Served, 10)
	sim.advance(150)
	sim.finish("stuck", Served, 10)
	// Output:
	// 0 push stuck to c
	//   60 push other to c
	//   60 other acked
	//  175 cancel stuck
	//  175 push stuck to c
	//  210 stuck acked
}

// An op that two hosts reject as invalid is given up and neither host is blamed. If the second host serves
// it, the first one is blamed.
func Example_invalidOpBlamesNoHost() {
	sim := newHarness(testConfig(), "a", "b", "c", "d")
	sim.sendOp("wrong", 0, "page", 500, false)
	sim.finish("wrong", InvalidOp, 5)
	sim.finish("wrong", InvalidOp, 5)
	sim.sendOp("right", 0, "page", 500, false)
	sim.finish("right", InvalidOp, 5)
	sim.finish("right", Served, 5)
	sim.sendOp("next", 0, "page", 500, false)
	cfg := testConfig()
	cfg.CacheAside = true
	sim = newHarness(cfg, "a", "o") // a fetch rejected by the origin must not wait for itself
	sim.sendOp("fetch", 0, "page", 500, false)
	for _, o := range []Outcome{CacheMiss, InvalidOp, InvalidOp} {
		sim.finish("fetch", o, 5)
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

// All hosts fail at once and then recover: service resumes, and no op stays unsettled.
func Example_recoveryAfterAllHostsFail() {
	sim := newHarness(testConfig(), "a", "b", "c", "d")
	sim.silent = true
	for second := range 8 {
		served, ops := 0, []*Op{}
		for i := range 100 {
			sim.advance(10)
			name := fmt.Sprint("op", second, i)
			ops = append(ops, sim.sendOp(name, 0, name, 300, false))
			for _, op := range ops {
				if op.inFlight > 0 && second >= 2 && sim.clock-pendingPush(op).sentAt < 40 {
					sim.finish(op.Ref.(string), Served, 10)
					served++
				}
			}
		}
		if second%2 == 1 {
			fmt.Printf("second %d: %d of 100 acked\n", second+1, served)
		}
	}
	sim.advance(1000)
	unsettled := 0
	for _, op := range sim.ops {
		if op.state != stateSettled {
			unsettled++
		}
	}
	fmt.Println("open:", unsettled)
	// Output:
	// second 2: 0 of 100 acked
	// second 4: 100 of 100 acked
	// second 6: 100 of 100 acked
	// second 8: 100 of 100 acked
	// open: 0
}

// While other hosts have capacity, only about one op in a hundred probes a suspect host, since a failed probe
// delays its op. Answered probes are free, so a recovered fleet is soon in use.
func Example_probesOfSuspectHostsLimited() {
	var names []string
	for i := range 20 {
		names = append(names, fmt.Sprint("h", i))
	}
	sim := newHarness(testConfig(), names...)
	sim.silent = true
	bad := func(h *Host) bool { return len(h.Name) == 2 } // ten of the twenty
	run := func(well bool) (tried int) {
		for i := range 3000 {
			sim.advance(10)
			name := fmt.Sprint("op", i)
			op := sim.sendOp(name, 0, name, 500, false)
			for op.inFlight > 0 {
				if p := pendingPush(op); bad(p.Host) && !well {
					tried++
					sim.finish(name, Failed, 5)
					continue
				}
				sim.finish(name, Served, 5)
			}
		}
		return tried
	}
	fmt.Println("tried in 30 s:", run(false))
	run(true)
	suspect := 0
	for _, h := range sim.hosts {
		if h.failRate > suspectThreshold {
			suspect++
		}
	}
	fmt.Println("suspect 30 s after recovery:", suspect)
	// Output:
	// tried in 30 s: 51
	// suspect 30 s after recovery: 0
}

package balance

import (
	"fmt"
)

// When hosts report that they are busy and turn walking ops away, and the origin is slow, ops are given up at
// the first rejection. Without load reports, or with hosts that have capacity, they walk on.
func Example_noWalkWhenHostsBusy() {
	for _, busy := range []float64{-1, 0.5, 0.99} {
		cfg := testConfig()
		cfg.CacheAside = true
		sim := newHarness(cfg, "a", "b", "c", "origin")
		sim.silent = true
		for i := range 100 {
			name := fmt.Sprint("op", i)
			op := sim.sendOp(name, 0, name, 500, false)
			for n := 0; op.inFlight > 0; n++ {
				p := pendingPush(op)
				o := []Outcome{Overloaded, Overloaded, CacheMiss}[min(n, 2)]
				if p.Host.IsOrigin {
					sim.advance(60)
					o = Served
				}
				sim.PushEnded(p, o, sim.clock-p.sentAt, o == Served, &LoadReport{Busy: busy})
			}
		}
		pushes := 0
		for i := 50; i < 100; i++ {
			pushes += len(sim.ops[fmt.Sprint("op", i)].pushes)
		}
		fmt.Printf("busy %.2f: %d pushes for the last 50 ops\n", busy, pushes)
	}
	// Output:
	// busy -1.00: 150 pushes for the last 50 ops
	// busy 0.50: 150 pushes for the last 50 ops
	// busy 0.99: 50 pushes for the last 50 ops
}

// A limit close to zero lets almost no fetch out, so no outcome shows that the origin has recovered. The
// limit rises with time then, and would otherwise stay closed.
func Example_originLimitRecoversWithoutOutcomes() {
	sim := newOriginHarness()
	sim.silent = true
	sim.originLimiter.limit = 0.01
	for i := range 4 {
		fetches := sim.pushes["origin"]
		for k := range 4 {
			name := fmt.Sprint("miss", i, k)
			sim.sendOp(name, 0, name, 300, false)
			sim.finish(name, CacheMiss, 1)
			sim.ClientLeft(sim.ops[name])
			sim.advance(1000)
		}
		fmt.Printf("%2.0f s: limit %.2f, fetches %d of 4\n", sim.clock/1000, sim.originLimiter.limit,
			sim.pushes["origin"]-fetches)
	}
	sim.sendOp("well", 0, "page", 300, false)
	sim.finish("well", CacheMiss, 1)
	sim.originLimiter.limit = 0.25
	sim.finish("well", Served, 10)
	fmt.Println("a timely answer doubles it:", sim.originLimiter.limit == 0.5)
	// Output:
	// 4 s: limit 0.23, fetches 2 of 4
	//  8 s: limit 0.52, fetches 0 of 4
	// 12 s: limit 0.76, fetches 2 of 4
	// 16 s: limit 0.96, fetches 4 of 4
	// a timely answer doubles it: true
}

// An origin slightly slower than its goal reduces the limit to one fetch per balancer and no further: at low
// load a few fetches are often late by chance.
func Example_slightlySlowOriginTurnsNoOpAway() {
	cfg := testConfig()
	cfg.GroupSize, cfg.CacheAside = 400, true
	sim := newHarness(cfg, "a", "b", "origin")
	sim.silent = true
	for _, took := range []float64{45, 90} {
		for i := range 40 {
			name := fmt.Sprint("op", took, i)
			sim.sendOp(name, 0, name, 900, false)
			sim.finish(name, CacheMiss, 1)
			sim.advance(took)
			sim.finish(name, Served, took)
		}
		fmt.Println(took, "ms: ops shed at random:", sim.originLimiter.limit < 1)
	}
	// Output:
	// 45 ms: ops shed at random: false
	// 90 ms: ops shed at random: true
}

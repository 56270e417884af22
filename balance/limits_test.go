package balance

import (
	"fmt"
)

// Where hosts say that they are busy, turn away what walks on, and the origin is late, ops make way at the first refusal.
// Without reports, or with hosts that have time, they walk on.
func Example_noWalkWhenHostsBusy() {
	for _, busy := range []float64{-1, 0.5, 0.99} {
		s := testConfig()
		s.CacheAside = true
		x := newHarness(s, "a", "b", "c", "origin")
		x.silent = true
		for i := range 100 {
			name := fmt.Sprint("op", i)
			op := x.sendOp(name, 0, name, 500, false)
			for n := 0; op.inFlight > 0; n++ {
				p := pendingPush(op)
				o := []Outcome{Overloaded, Overloaded, CacheMiss}[min(n, 2)]
				if p.Host.IsOrigin {
					x.advance(60)
					o = Served
				}
				x.PushEnded(p, o, x.t-p.sentAt, o == Served, &LoadReport{Busy: busy})
			}
		}
		pushes := 0
		for i := 50; i < 100; i++ {
			pushes += len(x.ops[fmt.Sprint("op", i)].pushes)
		}
		fmt.Printf("busy %.2f: %d pushes for the last 50 ops\n", busy, pushes)
	}
	// Output:
	// busy -1.00: 150 pushes for the last 50 ops
	// busy 0.50: 150 pushes for the last 50 ops
	// busy 0.99: 50 pushes for the last 50 ops
}

// A gate that lets out next to none opens by itself: where a balancer has a miss in two seconds and lets one in a hundred
// out, no answer comes to tell that the origin is well again. Some hundred gates once stayed shut for the rest of a day.
func Example_originGateReopensWithoutOutcomes() {
	x := newOriginHarness()
	x.silent = true
	x.originLimiter.limit = 0.01
	for i := range 4 {
		fetches := x.pushes["origin"]
		for k := range 4 {
			name := fmt.Sprint("miss", i, k)
			x.sendOp(name, 0, name, 300, false)
			x.finish(name, CacheMiss, 1)
			x.ClientLeft(x.ops[name])
			x.advance(1000)
		}
		fmt.Printf("%2.0f s: limit %.2f, fetches %d of 4\n", x.t/1000, x.originLimiter.limit, x.pushes["origin"]-fetches)
	}
	x.sendOp("well", 0, "page", 300, false)
	x.finish("well", CacheMiss, 1)
	x.originLimiter.limit = 0.25
	x.finish("well", Served, 10)
	fmt.Println("a timely answer doubles it:", x.originLimiter.limit == 0.5)
	// Output:
	// 4 s: limit 0.23, fetches 2 of 4
	//  8 s: limit 0.52, fetches 0 of 4
	// 12 s: limit 0.76, fetches 2 of 4
	// 16 s: limit 0.96, fetches 4 of 4
	// a timely answer doubles it: true
}

// An origin that takes somewhat longer than its goal narrows the gates of many to one fetch each and no further: at calm times
// a balancer's few fetches are often late by chance, and turning ops away for them lost nine in ten of what was lost.
func Example_slightlySlowOriginTurnsNoOpAway() {
	s := testConfig()
	s.GroupSize, s.CacheAside = 400, true
	x := newHarness(s, "a", "b", "origin")
	x.silent = true
	for _, took := range []float64{45, 90} {
		for i := range 40 {
			name := fmt.Sprint("op", took, i)
			x.sendOp(name, 0, name, 900, false)
			x.finish(name, CacheMiss, 1)
			x.advance(took)
			x.finish(name, Served, took)
		}
		fmt.Println(took, "ms: ops turned away by chance:", x.originLimiter.limit < 1)
	}
	// Output:
	// 45 ms: ops turned away by chance: false
	// 90 ms: ops turned away by chance: true
}

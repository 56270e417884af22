package balance

import (
	"fmt"
)

// Hosts accept a limited number of connections. Failed connects shorten the idle timeout, so that other
// balancers find room; successful ones lengthen it again.
func Example_connectFailuresShortenIdleTimeout() {
	sim := newHarness(testConfig(), "a", "b", "c")
	sim.silent = true
	for range 60 {
		sim.advance(4000)
		sim.sendOp("full", 0, "page", 500, false)
		sim.finish("full", ConnectFailed, 5)
		sim.finish("full", Served, 5)
	}
	fmt.Printf("60 failed connects: idle ones are kept %.0f ms\n", sim.idleTimeout)
	for i := range 40 {
		sim.sendOp("op", 0, fmt.Sprint("key", i), 500, false)
		sim.finish("op", Served, 5)
		sim.advance(400)
	}
	fmt.Printf("with room again: %.0f ms\n", sim.idleTimeout)
	// Output:
	// 60 failed connects: idle ones are kept 484 ms
	// with room again: 2998 ms
}

// A host that accepts no more connections is not blamed: pushes that need a new connection pass it over for a
// while, and an op that it turned away goes to the next host.
func Example_connLimitedHostNotBlamed() {
	sim := newHarness(testConfig(), "a", "b", "c")
	sim.sendOp("first", 0, "page", 500, false)
	sim.finish("first", ConnLimited, 2)
	sim.finish("first", Served, 10)
	sim.sendOp("next", 0, "page", 500, false)
	sim.finish("next", Served, 10)
	fmt.Println("suspect:", sim.hosts["a"].failRate+sim.hosts["b"].failRate+sim.hosts["c"].failRate > 0)
	sim.advance(1600)
	sim.sendOp("later", 0, "page", 500, false)
	sim.finish("later", Served, 10) // a connection to it is open now
	sim.sendOp("last", 0, "page", 500, false)
	// Output:
	//    0 push first to c
	//    0 push first to a
	//    0 first acked
	//    0 push next to a
	//    0 next acked
	// suspect: false
	// 1600 push later to c
	// 1600 later acked
	// 1600 push last to c
}

// Where all hosts have refused connections, ops are still pushed, since connections may have become free.
func Example_pushDespiteConnLimits() {
	sim := newHarness(testConfig(), "a", "b")
	for _, name := range []string{"one", "two"} {
		sim.sendOp(name, 0, "page", 500, false)
		sim.finish(name, ConnLimited, 2)
		sim.finish(name, ConnLimited, 2)
	}
	sim.finish("two", Served, 10)
	// Output:
	//    0 push one to a
	//    0 push one to b
	//    0 push one to a
	//    0 push two to a
	//    0 push two to b
	//    0 push two to a
	//    0 two acked
}

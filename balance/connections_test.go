package balance

import (
	"fmt"
)

// A host takes so many connections. When one cannot be made, idle ones are given back sooner, so that others
// find room; with room they are kept again.
func Example_connectFailuresShortenIdleTimeout() {
	x := newHarness(testConfig(), "a", "b", "c")
	x.silent = true
	for range 60 {
		x.advance(4000)
		x.sendOp("full", 0, "page", 500, false)
		x.finish("full", ConnectFailed, 5)
		x.finish("full", Served, 5)
	}
	fmt.Printf("60 failed connects: idle ones are kept %.0f ms\n", x.idleTimeout)
	for i := range 40 {
		x.sendOp("op", 0, fmt.Sprint("key", i), 500, false)
		x.finish("op", Served, 5)
		x.advance(400)
	}
	fmt.Printf("with room again: %.0f ms\n", x.idleTimeout)
	// Output:
	// 60 failed connects: idle ones are kept 484 ms
	// with room again: 2998 ms
}

// A host whose table of connections is full is passed over for a while by what would need a new one there, and is not blamed;
// an op that it turned away goes to the next. With 300 balancers and room for 23 each op was turned away at host after host,
// and was the origin's once two had done so.
func Example_fullConnectionTableNotBlamed() {
	x := newHarness(testConfig(), "a", "b", "c")
	x.sendOp("first", 0, "page", 500, false)
	x.finish("first", ConnLimited, 2)
	x.finish("first", Served, 10)
	x.sendOp("next", 0, "page", 500, false)
	x.finish("next", Served, 10)
	fmt.Println("suspect:", x.hosts["a"].failRate+x.hosts["b"].failRate+x.hosts["c"].failRate > 0)
	x.advance(1600)
	x.sendOp("later", 0, "page", 500, false)
	x.finish("later", Served, 10) // with that a connection to it is open
	x.sendOp("last", 0, "page", 500, false)
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

// Where every table is full an op still tries, for places come free.
func Example_pushDespiteFullConnectionTables() {
	x := newHarness(testConfig(), "a", "b")
	for _, name := range []string{"one", "two"} {
		x.sendOp(name, 0, "page", 500, false)
		x.finish(name, ConnLimited, 2)
		x.finish(name, ConnLimited, 2)
	}
	x.finish("two", Served, 10)
	// Output:
	//    0 push one to a
	//    0 push one to b
	//    0 push one to a
	//    0 push two to a
	//    0 push two to b
	//    0 push two to a
	//    0 two acked
}

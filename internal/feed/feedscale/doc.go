// Package feedscale runs the change feed at full scale on one machine: a publisher, its relays and a fleet of subscribers
// over loopback sockets, under a seeded workload and optional faults.
//
// The subscribers run in the calling process. The publisher and the relays run as separate processes if the options name a
// program, else in the calling process too. A run measures how long each change takes to be applied by every subscriber,
// the bytes that a subscriber receives, and the CPU time and memory of both sides. An audit then compares the published
// changes with those that each subscriber applied, independently of the feed's own state.
package feedscale

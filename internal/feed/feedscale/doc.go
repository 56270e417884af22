// Package feedscale runs the change feed at the size it is designed for on one machine: a publisher, its relays and a fleet
// of subscribers over loopback sockets, under a seeded workload and, where asked for, faults.
//
// The subscribers share the calling process. The publisher and the relays are processes of their own where the program is
// given, and share the calling process otherwise. A run measures how long each change takes to be applied by every
// subscriber, the bytes that one subscriber receives, and the processor time and memory of both sides. An audit then
// compares what was published with what each subscriber applied; it uses nothing of the feed's own bookkeeping.
package feedscale

// Package feed is the change feed: it brings settings and purges from one publisher over relays to every subscriber, in
// one order by kind, each change once.
//
// A Node is a pure state machine. Time, connections and messages go in (Tick, PeerOpened, Receive, PeerLost, Publish);
// messages to send, records to keep and events to act on come out (TakeOutput). It has no goroutine, clock, socket or
// file, so that the same seed and the same inputs give the same outputs. Package feednet drives it on TCP.
//
// How data takes its way:
//
//   - The publisher gives each change the next Position of its kind and keeps it on disk before it is sent.
//   - A relay follows the publisher and keeps the same window of changes. A subscriber follows a relay, keeps its
//     positions alone, and hands each change out as an Event.
//   - A child says in its Hello how far it has come by kind. Its parent sends what follows: exactly while that is in the
//     window, else a snapshot (kinds with a latest state) or a reset (kinds without). A subscriber that is far behind on a
//     kind without state gets sets of hash prefixes in place of keys.
//   - What is sent is bound by token buckets, one for each child and one over all of them.
//
// Age of knowledge: each message from a parent states how old the child's knowledge is once that message is applied. The
// parent echoes the child's latest time stamp with it. The child counts from that stamp on its own steady clock, as the
// holder of a lease does, so that neither a slow network nor a frozen parent makes knowledge look newer than it is.
//
// The epoch orders publishers. A node that has seen a higher epoch refuses a parent with a lower one. Without consensus
// it is the operator who sees to it that one publisher runs at a time and that its epoch is the highest.
package feed

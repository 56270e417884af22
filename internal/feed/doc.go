// Package feed implements the change feed: it distributes settings and purges from one publisher through relays to every
// subscriber, in one order per kind, each change once.
//
// A Node is a pure state machine. Time, connections and messages are its inputs (Tick, PeerOpened, Receive, PeerLost,
// Publish); messages to send, records to persist and events to act on are its output (TakeOutput). It uses no goroutine,
// clock, socket or file, so the same seed and the same inputs always give the same output. Package feednet runs it over TCP.
//
// Data flow:
//
//   - The publisher assigns each change the next Position of its kind and persists it before sending it.
//   - A relay follows the publisher and holds the same window of changes. A subscriber follows a relay, holds only its
//     positions, and delivers each change as an Event.
//   - A child states its position in each kind in its Hello. Its parent sends what follows: change by change while the
//     position is within the window, otherwise a snapshot (stateful kinds) or a reset (other kinds). A subscriber that is
//     far behind on a kind without state receives sets of hash prefixes instead of keys.
//   - Token buckets limit what is sent: one per child, and one for all children together.
//
// Age of data: each message from a parent states how old the child's data is once that message is applied, and echoes the
// child's latest timestamp. The child counts from that timestamp on its own monotonic clock, as the holder of a lease does,
// so neither a slow network nor a frozen parent can make data look newer than it is.
//
// The epoch orders publishers. A node that has seen a higher epoch refuses a parent with a lower one. There is no consensus
// protocol: the operator must ensure that only one publisher runs at a time and that it has the highest epoch.
package feed

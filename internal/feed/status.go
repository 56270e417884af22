package feed

import "time"

// Status is what a node tells of itself.
type Status struct {
	Role Role
	// Epoch is the highest epoch seen. Fenced: this publisher has seen a higher one than its own.
	Epoch  uint64
	Fenced bool
	// Positions are by kind.
	Positions []Position
	// Age is how old the node's knowledge may be at most, or AgeUnknown.
	Age time.Duration
	// Parent is the address of the parent that is followed, or empty. Connected: it has accepted this node.
	Parent    string
	Connected bool
	// Children is how many children are served.
	Children int
	Counters Counters
}

// Counters count since the node's start.
type Counters struct {
	// ToChildren and FromChildren, ToParents and FromParents count messages and their bytes as encoded.
	ToChildren, FromChildren, ToParents, FromParents Traffic
	// Dials counts attempts to connect, ParentsLost connections to a parent that ended without being given up for another.
	Dials, ParentsLost uint64
	// Refused counts children that were turned down.
	Refused uint64
	// Deferred counts the times that changes for a child were put off for want of budget.
	Deferred uint64
	// Rehellos counts messages of a parent that didn't fit, so that the node said Hello again.
	Resyncs uint64
}

// Traffic counts messages and bytes.
type Traffic struct {
	Messages, Bytes uint64
}

func (t *Traffic) add(bytes int) {
	t.Messages++
	t.Bytes += uint64(bytes)
}

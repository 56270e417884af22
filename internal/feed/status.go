package feed

import "time"

// Status describes the current state of a node.
type Status struct {
	Role Role
	// Epoch is the highest epoch seen. Fenced: this publisher has seen a higher epoch than its own.
	Epoch  uint64
	Fenced bool
	// Positions holds the node's position in each kind.
	Positions []Position
	// Age is an upper bound on the age of the node's data, or AgeUnknown.
	Age time.Duration
	// Parent is the address of the current parent, or empty. Connected: that parent has accepted this node.
	Parent    string
	Connected bool
	// Children is the number of children being served.
	Children int
	Counters Counters
}

// Counters holds totals since the node was created.
type Counters struct {
	// Messages and their encoded bytes, by direction.
	ToChildren, FromChildren, ToParents, FromParents Traffic
	// Dials counts connection attempts. ParentsLost counts connections to a parent that ended other than by switching parents.
	Dials, ParentsLost uint64
	// Refused counts refused children.
	Refused uint64
	// Deferred counts how often changes for a child were deferred because the budgets were used up.
	Deferred uint64
	// Resyncs counts messages of a parent that did not follow this node's positions, after which it sent another Hello.
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

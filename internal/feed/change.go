package feed

import (
	"cmp"
	"fmt"
)

// Kind names a kind of change by its index into Config.Kinds.
type Kind uint8

// MaxKeyLength is the longest key of a change in bytes.
const MaxKeyLength = 128

// KindConfig says how the changes of one kind are kept and caught up with.
type KindConfig struct {
	// Name is for logs and status, for example "settings" or "purges".
	Name string
	// Latest kinds have a state: the latest value by key, all of which a newcomer gets. Others are events without a
	// state, of which only the window is kept.
	Stateful bool
	// Window is how many of the latest changes are kept for an exact catch-up.
	Window int
	// MaxValue is the longest value in bytes.
	MaxValue int
}

// Position is a place in the order of the changes of one kind. The zero Position stands before the first change.
type Position struct {
	Epoch    uint64
	Sequence uint64
}

// Compare orders positions by epoch, then by sequence: it returns -1, 0 or 1.
func (p Position) Compare(other Position) int {
	if byEpoch := cmp.Compare(p.Epoch, other.Epoch); byEpoch != 0 {
		return byEpoch
	}
	return cmp.Compare(p.Sequence, other.Sequence)
}

func laterOf(a, b Position) Position {
	if a.Compare(b) >= 0 {
		return a
	}
	return b
}

// IsZero tells whether p stands before the first change.
func (p Position) IsZero() bool {
	return p == Position{}
}

// String returns p as epoch/sequence.
func (p Position) String() string {
	return fmt.Sprintf("%d/%d", p.Epoch, p.Sequence)
}

// Change is one change of a kind.
type Change struct {
	Kind     Kind
	Position Position
	Key      []byte
	Value    []byte
}

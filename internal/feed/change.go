package feed

import (
	"cmp"
	"fmt"
)

// Kind identifies a kind of change by its index in Config.Kinds.
type Kind uint8

// MaxKeyLength is the maximum length of a change's key in bytes.
const MaxKeyLength = 128

// KindConfig configures how the changes of one kind are stored and how nodes catch up with them.
type KindConfig struct {
	// Name appears in logs and status, for example "settings" or "purges".
	Name string
	// Stateful kinds have a state, the latest value of each key, which new nodes receive in full. Other kinds consist of
	// events, of which only the window is stored.
	Stateful bool
	// Window is the number of most recent changes that are stored for catching up change by change.
	Window int
	// MaxValue is the maximum length of a value in bytes.
	MaxValue int
}

// Position is a place in the order of the changes of one kind. The zero Position precedes the first change.
type Position struct {
	Epoch    uint64
	Sequence uint64
}

// Compare orders positions by epoch, then by sequence. It returns -1, 0 or 1.
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

// IsZero reports whether p precedes the first change.
func (p Position) IsZero() bool {
	return p == Position{}
}

// String formats p as epoch/sequence.
func (p Position) String() string {
	return fmt.Sprintf("%d/%d", p.Epoch, p.Sequence)
}

// Change is one published change: a key and its value at a position of a kind.
type Change struct {
	Kind     Kind
	Position Position
	Key      []byte
	Value    []byte
}

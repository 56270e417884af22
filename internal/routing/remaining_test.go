package routing

import (
	"strings"
	"testing"

	"larchthread/internal/protocol"
	"larchthread/internal/transport"
)

// What a push tells is what is left to its client or until it is given up, whichever ends first; of a long value half, as the
// other half is for sending it.
func TestSplit(t *testing.T) {
	const now = 1000.0
	for _, c := range []struct {
		name               string
		until, deadline    float64
		value              int
		remaining, sending float64
	}{
		{"client's time ends first", 1500, 1300, 0, 300, 300},
		{"given up first", 1200, 1300, 0, 200, 200},
		{"nothing left", 1200, 990, 0, -10, -10},
		{"short value", 1500, 1300, atOnceMost, 300, 300},
		{"long value", 1500, 1300, atOnceMost + 1, 150, 150},
	} {
		var pool transport.Pool
		value := pool.NewChain()
		value.WriteString(strings.Repeat("x", c.value))
		p := &push{until: c.until, op: &op{deadline: c.deadline, command: &protocol.Command{Value: value}}}
		if remaining, sending := p.split(now); remaining != c.remaining || sending != c.sending {
			t.Errorf("%s: %v to answer and %v to send, want %v and %v", c.name, remaining, sending, c.remaining, c.sending)
		}
	}
}

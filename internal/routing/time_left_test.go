package routing

import (
	"strings"
	"testing"

	"larchthread/internal/protocol"
	"larchthread/internal/transport"
)

// The host is told the time left to the client or until the push expires, whichever ends first; for a large
// value half of it, as the other half is for sending.
func TestSplitTimeLeft(t *testing.T) {
	const now = 1000.0
	for _, c := range []struct {
		name                string
		expiresAt, deadline float64
		value               int
		remaining, sending  float64
	}{
		{"client's time ends first", 1500, 1300, 0, 300, 300},
		{"push expires first", 1200, 1300, 0, 200, 200},
		{"nothing left", 1200, 990, 0, -10, -10},
		{"short value", 1500, 1300, immediateWriteBytes, 300, 300},
		{"long value", 1500, 1300, immediateWriteBytes + 1, 150, 150},
	} {
		var pool transport.Pool
		value := pool.NewChain()
		value.WriteString(strings.Repeat("x", c.value))
		p := &push{expiresAt: c.expiresAt, op: &op{deadline: c.deadline, command: &protocol.Command{Value: value}}}
		if remaining, sending := p.splitTimeLeft(now); remaining != c.remaining || sending != c.sending {
			t.Errorf("%s: %v to answer and %v to send, want %v and %v", c.name, remaining, sending, c.remaining, c.sending)
		}
	}
}

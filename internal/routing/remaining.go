package routing

import "larchthread/internal/protocol"

const (
	leastLeft    = 1.0   // ms that a push needs: what it tells is whole ms, and 0 would be none
	unsentMost   = 100.0 // ms that a command may stand partly unsent behind the time that it tells
	sendingShare = 0.5   // part of the time left in which a value that goes out piece by piece has to be out
)

// left is for how many ms from now on the answer to a push is waited for, by its client and by the balancer.
func (p *push) left(now float64) float64 { return min(p.until, p.op.deadline) - now }

// split divides the time that is left to a push that begins to be written now. Its server is told what remains once the last
// byte is out, as it begins then; sending is how long that may take. A short command is out at once, or stands before a
// server that reads nothing. A long value takes as long as its server takes to read it, which nobody knows yet.
func (p *push) split(now float64) (remaining, sending float64) {
	left := p.left(now)
	if p.op.command.Value.Len() <= protocol.WholeMost {
		return left, unsentMost
	}
	sending = left * sendingShare
	return left - sending, sending
}

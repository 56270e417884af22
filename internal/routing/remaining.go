package routing

const (
	leastLeft    = 1.0      // ms that a push needs: what it tells is whole ms, and 0 would be none
	atOnceMost   = 16 << 10 // bytes of a value that the kernel takes whole on a quiet connection, whatever the network
	sendingShare = 0.5      // part of the time left in which a longer value has to be out
)

// left is for how many ms from now on the answer to a push is waited for, by its client and by the balancer.
func (p *push) left(now float64) float64 { return min(p.until, p.op.deadline) - now }

// split divides the time that is left to a push that begins to be written now. Its server is told what remains once the last
// byte is out, as it begins then; sending is how long that may take. A short command is out at once. A long value goes out
// as fast as the network and its server take it, which nobody knows yet.
func (p *push) split(now float64) (remaining, sending float64) {
	left := p.left(now)
	if p.op.command.Value.Len() <= atOnceMost {
		return left, left
	}
	sending = left * sendingShare
	return left - sending, sending
}

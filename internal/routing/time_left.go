package routing

const (
	minRemaining        = 1.0      // ms; the time is sent in whole ms, and 0 means none
	immediateWriteBytes = 16 << 10 // largest value that the kernel takes at once on an idle connection
	sendingShare        = 0.5      // share of the time left that is granted for writing a larger value
)

// timeLeft returns for how many ms both the client and the balancer still wait for the answer.
func (p *push) timeLeft(now float64) float64 { return min(p.expiresAt, p.op.deadline) - now }

// splitTimeLeft divides the time left, in ms, into remaining, which the host is told, and sending, in which the
// command has to be written. The host begins the command with its last byte, so it is told what remains then.
// Small commands are written at once, so both get all of it; for larger ones the time is shared, as the
// throughput is not known.
func (p *push) splitTimeLeft(now float64) (remaining, sending float64) {
	left := p.timeLeft(now)
	if p.op.command.Value.Len() <= immediateWriteBytes {
		return left, left
	}
	sending = left * sendingShare
	return left - sending, sending
}

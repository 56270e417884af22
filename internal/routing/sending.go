package routing

import "larchthread/internal/protocol"

const (
	minRemaining        = 1.0      // ms; the time is sent in whole ms, and 0 means none
	immediateWriteBytes = 16 << 10 // largest value that the kernel takes at once on an idle connection
	// Time in ms between two looks at what the host has taken in of a large command: at first, and as it doubles.
	minSendingInterval = 1.0
	maxSendingInterval = 20.0
)

// timeLeft returns for how many ms both the client and the balancer still wait for the answer.
func (p *push) timeLeft(now float64) float64 { return min(p.expiresAt, p.op.deadline) - now }

// isLarge reports whether the command may take a while to be written. The host begins it with its last byte, so it is
// told the time that remains then.
func (p *push) isLarge() bool { return p.op.command.Value.Len() > immediateWriteBytes }

// limitSending limits the time in which a write has to be sent. That of a large one is the balancer's to judge, by what
// the host has taken in.
func (p *push) limitSending() {
	switch {
	case p.isLarge():
		p.writeTimer.Fire = p.reportSending
		p.sendingInterval = minSendingInterval
		p.router.loop.SetTimer(&p.writeTimer, p.sendingInterval)
	case p.op.command.Verb == protocol.Set:
		p.router.loop.SetTimer(&p.writeTimer, p.SendBy-p.router.loop.Now())
	}
}

// reportSending tells the balancer what the host has taken in of a large command, until that is all of it. One that has
// been written in full may run, so it counts as taken in.
func (p *push) reportSending() {
	hc := p.hostConn
	taken := hc.takenBytes()
	size := hc.conn.Written() - hc.startOffset + hc.conn.Out.Len() + hc.unsentValue.Remaining()
	if taken > p.takenBytes {
		p.takenBytes, p.takenAt = taken, p.router.loop.Now()
	}
	if p.isSent() {
		p.router.balancer.SendingProgressed(p.Push, size, size)
	} else {
		p.router.balancer.SendingProgressed(p.Push, taken, size)
	}
	if p.state == pushEnded || taken >= size {
		return
	}
	if hc.unsentValue.IsLastPiece() && hc.conn.Out.Len() == 0 && !hc.conn.HasKernelUnsent() {
		hc.unsentValue.WriteNext(&hc.conn.Out)
		hc.conn.Flush()
	}
	p.sendingInterval = min(2*p.sendingInterval, maxSendingInterval)
	p.router.loop.SetTimer(&p.writeTimer, p.sendingInterval)
}

// holdsLastPiece reports whether the last piece of the command has to wait until the host has room for what is before
// it. What the kernel has accepted may run, even if the connection is closed; a command without its last piece never does.
func (hc *hostConn) holdsLastPiece() bool {
	return hc.conn.Out.Len() == 0 && hc.unsentValue.IsLastPiece() && hc.conn.HasKernelUnsent()
}

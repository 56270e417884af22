package routing

import (
	"slices"

	"larchthread/balance"
	"larchthread/internal/transport"
)

// pushState is the progress of a push. The states are in order.
type pushState uint8

const (
	pushWaiting   pushState = iota // not written yet; the connection may still be coming up
	pushWriting                    // its command is being written, or is written in full
	pushReceiving                  // the head of a long value has arrived, and nothing of it has been forwarded
	pushStreaming                  // the value that answers it is being forwarded
	pushEnded                      // answered, given up or cancelled, or its connection failed
)

// String returns the state's name in the log.
func (s pushState) String() string {
	return [...]string{"waiting", "writing", "receiving", "streaming", "ended"}[s]
}

// push is one attempt to have a host serve an op.
type push struct {
	*balance.Push
	router          *Router
	op              *op
	hostConn        *hostConn
	startedAt       float64 // ms; when it was written or, on a new connection, when connecting began
	expiresAt       float64 // ms; when the balancer gives it up
	expiryTimer     transport.Timer
	writeTimer      transport.Timer // limits writing its last byte
	state           pushState
	lastState       pushState       // before it ended
	dispatched      bool            // it has begun to be written, or its connection to be established
	fullyWritten    bool            // its last byte has been written
	firstByteAfter  float64         // ms until its answer began to arrive; set only for streamed answers
	outcome         balance.Outcome // of a cancelled push
	takenBytes      int             // of its command that the host's system had taken in when last seen
	sendingInterval float64         // ms until the next look at that
	takenAt         float64         // ms; when that was seen to rise in a large command; 0 before
}

// setState is the only place that changes the push's state. A push that has ended stays ended.
func (p *push) setState(to pushState) {
	if p.state == pushEnded {
		return
	}
	p.lastState, p.state = p.state, to
	if to >= pushStreaming {
		p.router.loop.StopTimer(&p.expiryTimer)
	}
	if to == pushEnded {
		p.router.loop.StopTimer(&p.writeTimer)
		own := func(x *push) bool { return x == p }
		p.op.pushes = slices.DeleteFunc(p.op.pushes, own)
		if p.hostConn != nil {
			p.hostConn.host.pushes = slices.DeleteFunc(p.hostConn.host.pushes, own)
		}
	}
}

// cancelUnsent cancels a push that has not been written in full; such a push never runs.
func (p *push) cancelUnsent() {
	if p.state < pushReceiving && !p.isSent() {
		p.cancel(transport.Cancelled)
	}
}

// cancelStream cancels a push whose long value is arriving. Nobody can use the rest, so it ends even where cancelling
// pushes is not allowed.
func (p *push) cancelStream() {
	if p.state == pushReceiving || p.state == pushStreaming {
		p.cancel(transport.Cancelled)
	}
}

// isSent reports whether the last byte has been written: from then on the push may have run.
func (p *push) isSent() bool {
	return p.state != pushWaiting && p.hostConn.unsentValue.Done() && p.hostConn.conn.Out.Len() == 0
}

// noteSilence marks the host as silent if nothing has come from it since this push began. A push that was given
// up sooner than the connect timeout says nothing about the host.
func (p *push) noteSilence() {
	if p.hostConn.gotInput {
		return
	}
	h := p.hostConn.host
	since := max(p.startedAt, p.takenAt)
	h.silent = h.silent || h.lastAnswerAt < since && p.router.loop.Now()-since > p.router.hosts.connectTimeout
}

// cancel ends a push by closing its connection. The balancer learns of it in the next round.
func (p *push) cancel(reason transport.Reason) {
	outcome := balance.Cancelled
	if !p.isSent() {
		outcome = balance.NotSent
	}
	p.endNextRound(outcome)
	p.hostConn.close(reason)
}

// endNextRound ends a push without closing a connection. Its outcome is reported to the balancer in the next
// round.
func (p *push) endNextRound(outcome balance.Outcome) {
	p.outcome = outcome
	p.setState(pushEnded)
	p.router.cancelledPushes = append(p.router.cancelledPushes, p)
	p.router.loop.SkipWait()
}

// onExpiry gives up a push whose time is over. If a part of its value has arrived and waits for its turn, the stall
// timer limits it.
func (p *push) onExpiry() {
	if p.state == pushReceiving && p.hostConn.stream.firstByteAt > 0 {
		return
	}
	if extension := p.router.balancer.TimeoutExtension(p.Push); extension > 0 {
		p.router.loop.SetTimer(&p.expiryTimer, extension)
		return
	}
	outcome := balance.TimedOut
	if !p.isSent() {
		outcome = balance.ConnectFailed
	}
	p.noteSilence()
	p.hostConn.fail(transport.PushTimeout, outcome)
}

// reportDispatch tells the balancer how long the push waited in this process, and restarts the push's clock:
// the host's time begins once it is written or connecting begins.
func (p *push) reportDispatch() {
	if !p.dispatched {
		p.dispatched = true
		now := p.router.loop.ReadClock()
		p.router.balancer.PushStarted(p.Push, now-p.startedAt, !p.hostConn.reused)
		p.startedAt = now
	}
}

// logEnd logs a push that ended without an answer that its op can use.
func (p *push) logEnd(o balance.Outcome) {
	if o == balance.Served || o == balance.CacheMiss || o == balance.Overloaded {
		return
	}
	hostName, answerAfter := "", -1
	if hc := p.hostConn; hc != nil {
		hostName = hc.host.Name
		if hc.gotInput {
			answerAfter = int(hc.firstInput - p.startedAt)
		}
	}
	p.router.log.Info("push ended", "op", p.op.command.ID, "host", hostName, "outcome", o.String(),
		"phase", p.lastState.String(), "ms", int(p.router.loop.Now()-p.startedAt), "answer_ms", answerAfter,
		"taken", p.takenBytes, "bytes", p.op.command.Value.Len(), "left_ms", int(p.op.deadline-p.router.loop.Now()))
}

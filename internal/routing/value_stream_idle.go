package routing

import (
	"larchthread/balance"
	"larchthread/internal/transport"
)

// Which side a valueStream waits for, and for how long: its host, whose pauses the balancer limits, or its client.

// noteArrival tells the balancer if more of the value has arrived.
func (vs *valueStream) noteArrival() {
	n := vs.source().Len()
	if n > vs.buffered {
		vs.noteProgress()
	}
	vs.buffered = n
}

// noteProgress tells the balancer that the host has sent some of the value, or may send again.
func (vs *valueStream) noteProgress() {
	r := vs.hostConn.router
	vs.progressAt = r.loop.Now()
	if vs.firstByteAt == 0 {
		vs.firstByteAt = vs.progressAt
	}
	r.balancer.AnswerProgressed(vs.hostConn.push.Push, 0)
}

// setPaused stops or resumes reading from the host, whose time starts anew then.
func (vs *valueStream) setPaused(on bool) {
	conn := vs.hostConn.conn
	if conn.IsPaused() && !on {
		vs.noteProgress()
	}
	conn.SetPaused(on)
}

// isBlocked reports whether the host can send no more until the client has read some.
func (vs *valueStream) isBlocked() bool { return vs.hostClosed || vs.hostConn.conn.IsPaused() }

// restartIdleTimer restarts the time in which the host, or a client that holds it up, has to make progress. A value that
// waits for its turn and has filled its window depends on neither: those before it have limits of their own.
func (vs *valueStream) restartIdleTimer() {
	r := vs.hostConn.router
	switch {
	case !vs.isBlocked():
		r.loop.SetTimer(&vs.idleTimer, r.balancer.IdleTimeoutAt(vs.hostConn.push.Push)-r.loop.Now())
	case vs.started:
		r.loop.SetTimer(&vs.idleTimer, progressTimeout)
	default:
		r.loop.StopTimer(&vs.idleTimer)
	}
}

// onIdleTimeout ends a stream that has made no progress: either the client does not read or the host does not send.
func (vs *valueStream) onIdleTimeout() {
	if vs.started && vs.isBlocked() {
		vs.op.client.closeNow(transport.SlowReader)
		return
	}
	vs.abort(transport.PushTimeout, balance.TimedOut)
}

// endIfIdle ends a stream that is being forwarded if its host has sent nothing for as long as it may.
func (vs *valueStream) endIfIdle() {
	r := vs.hostConn.router
	if vs.started && !vs.isBlocked() && r.loop.Now() >= r.balancer.IdleTimeoutAt(vs.hostConn.push.Push) {
		vs.abort(transport.PushTimeout, balance.TimedOut)
	}
}

// endIdleStreams ends the streams whose hosts have sent nothing for as long as they may: that is less than their timers
// were set for once the process may soon be killed.
func (r *Router) endIdleStreams() {
	for i := len(r.clients.all) - 1; i >= 0; i-- {
		if vs := r.clients.all[i].nextStream(); vs != nil {
			vs.endIfIdle()
		}
	}
}

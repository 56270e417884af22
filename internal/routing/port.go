package routing

import (
	"strconv"

	"larchthread/balance"
	"larchthread/internal/protocol"
	"larchthread/internal/transport"
)

// Push implements balance.Frontend: it sends a push to its host and gives it up after limit ms. The methods below
// implement balance.Frontend too.
func (r *Router) Push(b *balance.Push, limit float64) {
	now := r.loop.Now()
	p := &push{Push: b, router: r, op: b.Op.Ref.(*op), startedAt: now, expiresAt: now + limit}
	b.Ref = p
	p.op.pushCount++
	if p.timeLeft(now) < minRemaining {
		p.endNextRound(balance.NotSent)
		return
	}
	p.expiryTimer.Fire, p.writeTimer.Fire = p.onExpiry, p.cancelUnsent
	r.loop.SetTimer(&p.expiryTimer, limit)
	p.op.pushes = append(p.op.pushes, p)
	b.Host.Ref.(*host).acquireConn(r, b.Op.Category.Repeat != balance.Redeliverable).assign(p)
	if !p.hostConn.conn.IsOpen() { // otherwise it is written at the end of this round
		r.loop.SetTimer(&p.writeTimer, b.SendBy-now)
	}
}

// Cancel cancels a push by closing its connection.
func (r *Router) Cancel(b *balance.Push) {
	if p := b.Ref.(*push); p.state != pushEnded {
		p.noteSilence()
		p.cancel(transport.Cancelled)
	}
}

// Nack answers an op with a nack and a backoff in ms.
func (r *Router) Nack(o *balance.Op, backoff float64) {
	op := o.Ref.(*op)
	r.counters.byCategory[op.Category].Nacked++
	protocol.WriteNack(op.output(), backoff)
	op.logSettled("op refused")
	op.client.completeOp(op)
}

// DeadLetter answers an op as dead-lettered.
func (r *Router) DeadLetter(o *balance.Op) {
	op := o.Ref.(*op)
	r.counters.byCategory[op.Category].DeadLettered++
	protocol.WriteDeadLetter(op.output())
	op.logSettled("op failed")
	op.client.completeOp(op)
}

// SetTimer calls the balancer's TimerFired after that many ms. It replaces an earlier setting.
func (r *Router) SetTimer(after float64) { r.loop.SetTimer(&r.wakeTimer, after) }

// SubscribeHostList starts a new watch on discovery's host list.
func (r *Router) SubscribeHostList() { r.watch.restart() }

// CloseIdleConns closes the idle connections to a host.
func (r *Router) CloseIdleConns(h *balance.Host) { h.Ref.(*host).closeIdle(transport.IdleReleased) }

// reportEnd tells the balancer the outcome of a push, its duration and the load that its host reported, if any.
func (r *Router) reportEnd(p *push, o balance.Outcome, load ...protocol.Attr) {
	p.logEnd(o)
	var report *balance.LoadReport
	for _, a := range load {
		if v, err := strconv.ParseFloat(a.Value, 64); err == nil {
			report = r.configuration.params.ApplyReportValue(report, a.Name, v)
		}
	}
	if p.fullyWritten && o.NeverRan() {
		p.op.possibleRuns--
	}
	startedAt := max(p.startedAt, p.takenAt)
	duration := r.loop.Now() - startedAt
	switch {
	case p.firstByteAfter > 0: // a streamed answer counts until its first bytes
		duration = p.firstByteAfter
	case o == balance.Served || o == balance.CacheMiss:
		duration = max(0, r.loop.EarliestArrival()-startedAt)
	}
	r.balancer.PushEnded(p.Push, o, duration, p.op.state != opOpen, report)
}

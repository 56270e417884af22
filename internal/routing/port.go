package routing

import (
	"strconv"

	"larchthread/balance"
	"larchthread/internal/protocol"
	"larchthread/internal/transport"
)

// Push implements balance.Port, as do the methods below.
func (r *Router) Push(b *balance.Push, limit float64) {
	now := r.loop.Now()
	p := &push{Push: b, router: r, op: b.Op.Ref.(*op), began: now, until: now + limit}
	b.Ref = p
	if p.left(now) < leastLeft {
		p.end(balance.NotSent)
		return
	}
	p.limit.Fire, p.before.Fire = p.late, p.withdraw
	r.loop.SetTimer(&p.limit, limit)
	p.op.pushes = append(p.op.pushes, p)
	b.Host.Ref.(*host).link(r, b.Op.Category.Repeat != balance.Redeliverable).carry(p)
	if !p.link.conn.IsOpen() { // else it goes out with this round
		r.loop.SetTimer(&p.before, b.SendBy-now)
	}
}

// Cancel calls a push off by closing its connection.
func (r *Router) Cancel(b *balance.Push) {
	if p := b.Ref.(*push); p.state != over {
		p.unheard()
		p.callOff(transport.Cancelled)
	}
}

// Nack answers an op with a nack.
func (r *Router) Nack(o *balance.Op, backoff float64) {
	op := o.Ref.(*op)
	r.counters.byCategory[op.Category].Nacked++
	protocol.WriteNack(op.out(), backoff)
	op.client.answer(op)
}

// DeadLetter answers an op with a dead letter.
func (r *Router) DeadLetter(o *balance.Op) {
	op := o.Ref.(*op)
	r.counters.byCategory[op.Category].DeadLettered++
	protocol.WriteDeadLetter(op.out())
	op.client.answer(op)
}

// SetTimer has the balancer woken after that many ms.
func (r *Router) SetTimer(after float64) { r.loop.SetTimer(&r.wake, after) }

// SubscribeHostList begins a new watch on discovery's list.
func (r *Router) SubscribeHostList() { r.watch.begin() }

// CloseIdleConns closes the idle connections to a host.
func (r *Router) CloseIdleConns(h *balance.Host) { h.Ref.(*host).hangUp(transport.IdleReleased) }

// ended tells the balancer how a push ended, and what its host told of its load, if anything.
func (r *Router) ended(p *push, o balance.Outcome, load ...protocol.Attr) {
	var report *balance.LoadReport
	for _, a := range load {
		if v, err := strconv.ParseFloat(a.Value, 64); err == nil {
			report = r.configuration.params.ApplyReportValue(report, a.Name, v)
		}
	}
	spent := r.loop.Now() - p.began
	switch {
	case p.took > 0: // a long value counts by its first bytes
		spent = p.took
	case o == balance.Served || o == balance.CacheMiss:
		spent = max(0, r.loop.EarliestArrival()-p.began)
	}
	r.balancer.PushEnded(p.Push, o, spent, p.op.state != open, report)
}

package balance

// Where the next push of an op goes, to a cache host or to the origin, and when the push is checked.

import "math"

const (
	// Hedging.
	hedgeDevs = 3.0 // mean deviations above the usual latency after which an op is hedged

	// Checks of pushes that are late.
	checkDelayDevs     = 5.0  // mean deviations above the usual latency after which a push is checked
	minCheckDelayShare = 0.02 // share of the target; cancelling earlier costs a connection for little gain
)

// route starts op's next push: to the origin for the writes of a cache-aside fleet, otherwise to a host on
// the cycle. In a cache-aside fleet, an op joins or leads a fetch from the origin instead if its key is being
// fetched, as a push could only miss, for its last push, or if none of the listed hosts is usable, as it
// would only wait until it is late. An op that may not be pushed, or has no time left for it, is given up.
func (b *Balancer) route(op *Op) {
	switch f := b.fetches[op.Key]; {
	case !b.mayPush(op) || b.now+op.Category.avgLatency/2 > op.Deadline || b.isThrottled(op):
		b.abandonPush(op)
	case b.CacheAside && op.IsWrite:
		b.enqueue(&b.originLimiter, op)
	case b.CacheAside &&
		(f != nil || len(op.pushes) == b.MaxPushes-1 || len(b.readyHosts) == 0 && len(b.hosts) > 0):
		b.fetchOrWait(op)
	default:
		b.enqueue(&b.fleetLimiter, op)
	}
}

// selectHost returns the host for the next push of an op from a limiter's queue, or nil.
func (b *Balancer) selectHost(lim *limiter, op *Op) *Host {
	if lim == &b.fleetLimiter {
		return b.walk(op)
	}
	for _, h := range b.origins {
		if h.Status == Ready && b.now >= h.ejectedUntil && dedupAllows(op, h) {
			return h
		}
	}
	return nil
}

// push sends op to h, and schedules the check of the push or, where it can be neither cancelled nor hedged,
// shortens its timeout.
func (b *Balancer) push(lim *limiter, op *Op, h *Host) {
	b.setState(op, statePushed)
	p := &Push{Op: op, Host: h, repeatBy: math.Inf(1), sentAt: b.now, limiter: lim}
	if first := op.firstPossibleRun(); first != nil && op.Category.Repeat == Deduplicated {
		p.repeatBy = first.sentAt + op.Category.DedupWindow - b.settleMargin()
	}
	p.SendBy = math.Min(op.giveUpAt-op.Category.avgLatency/2, p.repeatBy)
	p.checkTimer.push = p
	op.pushes = append(op.pushes, p)
	op.inFlight++
	op.addInFlight(1)
	h.inFlight++
	h.connOpen, h.connUnproven, h.lastPush = true, h.connUnproven || !h.connOpen, b.now
	lim.inFlight++
	if h.ejectTime >= baseEjectTime {
		b.probeTokens = math.Max(b.probeTokens-1, 0)
	}
	c, timeout := op.Category, op.Deadline-b.now
	if !h.IsOrigin && b.warmth(h) < 1 {
		h.coldBudget--
	}
	checkDelay := b.checkDelay(p)
	switch {
	case b.AllowHedging && (h.IsOrigin || op.inFlight > 1): // hedged already, or nowhere to hedge
	case b.AllowHedging:
		b.schedule(&b.pushTimers, &p.checkTimer,
			b.now+math.Min(checkDelay, math.Max(c.avgLatency, c.Target-2*c.avgLatency)))
	case b.AllowCancel:
		b.schedule(&b.pushTimers, &p.checkTimer, b.now+checkDelay)
	case c.Repeat == Redeliverable && len(op.pushes) < b.MaxPushes:
		timeout = math.Min(timeout, checkDelay)
	}
	b.frontend.Push(p, timeout)
}

// checkDelay returns the ms after which p is checked.
func (b *Balancer) checkDelay(p *Push) float64 {
	usual, devs := p.Op.Category.latencyEWMA, checkDelayDevs
	if p.Host.IsOrigin {
		usual = p.limiter.latencyEWMA
	}
	if b.AllowHedging {
		devs = hedgeDevs
	}
	return math.Max(usual.avgLatency+devs*usual.latencyDev, p.Op.Category.Target*minCheckDelayShare)
}

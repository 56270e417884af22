package balance

// Whether an op may run again, and what happens to a push that is late: it is cancelled or hedged.

import "slices"

const (
	// Hedging.
	hedgeRecheckFactor = 0.5 // recheckFactor for hedges, where the host answers others and the op may be heavy

	// Checks of pushes that are late.
	recheckFactor     = 1.0 // wait for a second check, in multiples of the time that the push is out
	fleetSilenceShare = 0.1 // share of the target for which a push is left alone while all hosts are silent
)

// NeverRan tells whether the outcome proves that the push did not run, or had no effect.
func (o Outcome) NeverRan() bool {
	return o == Overloaded || o == ConnLimited || o == ConnectFailed || o == NotSent || o == CacheMiss
}

// firstPossibleRun returns the first push of op that has run, may have run or may still run, or nil.
func (op *Op) firstPossibleRun() *Push {
	if i := slices.IndexFunc(op.pushes, func(p *Push) bool { return !p.neverRan }); i >= 0 {
		return op.pushes[i]
	}
	return nil
}

// dedupAllows tells whether h is in the dedup scope of an earlier push of op that may have run.
func dedupAllows(op *Op, h *Host) bool {
	first := op.firstPossibleRun()
	if first == nil || op.Category.Repeat == Redeliverable {
		return true
	}
	scope := op.Category.DedupScope
	return (scope != DedupZone || h.Zone == first.Host.Zone) && (scope != DedupCell || h.Cell == first.Host.Cell)
}

// mayRepeat tells whether op may run once more, up to margin ms from now.
func (b *Balancer) mayRepeat(op *Op, margin float64) bool {
	first, c := op.firstPossibleRun(), op.Category
	return first == nil || c.Repeat == Redeliverable ||
		c.Repeat == Deduplicated && b.now < first.sentAt+c.DedupWindow-margin
}

// mayPush tells whether op may have another push now, a hedge where one is in flight.
func (b *Balancer) mayPush(op *Op) bool {
	return op.inFlight < 2 && (op.inFlight == 0 || b.AllowHedging) && len(op.pushes) < b.MaxPushes &&
		b.mayRepeat(op, b.settleMargin())
}

// mayNack tells whether the client may be told that a repeat is safe.
func (b *Balancer) mayNack(op *Op) bool {
	c := op.Category
	return b.mayRepeat(op, 0) &&
		(c.Repeat != Deduplicated || c.DedupScope == DedupAllHosts || op.firstPossibleRun() == nil)
}

// checkSlowPush hedges a push that is late, or cancels it so that the op is retried. One that shows progress
// is judged by shouldAbandon. Of the others, a push that the host is probably working on is left alone: once
// if the host has answered others since, and always at the origin unless that has answered a later push.
func (b *Balancer) checkSlowPush(p *Push) {
	op := p.Op
	if b.AllowHedging {
		b.hedge(p)
		return
	}
	c := op.Category
	notElsewhere := c.Repeat == AtMostOnce || c.Repeat == Deduplicated && c.DedupScope != DedupAllHosts
	switch {
	case notElsewhere || p.cancelled || len(op.pushes) >= b.MaxPushes || !b.mayRepeat(op, b.settleMargin()):
		return
	case p.hasProgress():
		abandon, next := b.shouldAbandon(p)
		if next > 0 {
			b.schedule(&b.pushTimers, &p.checkTimer, next)
		}
		if !abandon {
			return
		}
	case b.deferWhileSilent(p) || b.recheckOnce(p, recheckFactor) ||
		p.Host.IsOrigin && p.Host.newestAnsweredPush <= p.sentAt:
		return
	}
	p.cancelled = true
	b.frontend.Cancel(p)
}

// recheckOnce puts off the check of a push whose host has answered others since, by factor times the time
// that the push is out. It does so once per push, and tells whether it did.
func (b *Balancer) recheckOnce(p *Push, factor float64) bool {
	if p.rechecked || p.Host.lastAnswer <= p.sentAt {
		return false
	}
	p.rechecked = true
	b.schedule(&b.pushTimers, &p.checkTimer, b.now+factor*(b.now-p.sentAt))
	return true
}

// deferWhileSilent puts off the check of a push if no host has answered since it was sent, though at least
// half the hosts should have. A short silence is a pause of the network or this machine, and no other host
// would be faster. It tells whether it did so.
func (b *Balancer) deferWhileSilent(p *Push) bool {
	if b.lastAnswer > p.sentAt || b.now-p.sentAt > p.Op.Category.Target*fleetSilenceShare ||
		2*(b.fleetLimiter.inFlight-p.Host.inFlight) < len(b.readyHosts) {
		return false
	}
	b.schedule(&b.pushTimers, &p.checkTimer, b.now+recheckFactor*(b.now-p.sentAt))
	return true
}

// hedge sends a second push of an op whose first one is late; the first answer counts. Hedges are limited by
// hedgeTokens. A host that has shown nothing since the first push has failed.
func (b *Balancer) hedge(p *Push) {
	op, h := p.Op, p.Host
	if h.lastAnswer < p.sentAt && !p.hasProgress() {
		b.recordFailure(h, TimedOut, b.now-p.sentAt, failureWeight)
	}
	if b.recheckOnce(p, hedgeRecheckFactor) || op.state != statePushed || op.inFlight > 1 ||
		b.hedgeTokens < 1 || !b.mayPush(op) {
		return
	}
	b.hedgeTokens--
	op.failedHost = h
	b.enqueue(&b.fleetLimiter, op)
}

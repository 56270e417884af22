package balance

// What follows from the outcome of a push for its host, zone, connections and limiter.

import (
	"math"
	"slices"
)

const (
	// Slow hosts.
	overloadedSlowdown = 4.0 // slowdown that an Overloaded outcome counts as: a full host is a crowded one

	// Share of the keys that ignore zones.
	zoneBusyMargin = 0.1  // by how much busier than others the own zone's hosts must be for it to grow
	zoneBusyMin    = 0.6  // how busy the own zone's hosts must be for it to grow
	crossZoneStep  = 0.1  // change by a late fetch (up) or a reached connection limit (down)
	crossZoneDecay = 0.01 // change by an answer

	// Concurrency limits.
	// Latency over target above which the fleet's limit is decreased: most answers are just in time then.
	fleetCongestionGoal   = 0.5
	originCongestionGoal  = 0.3   // the same for the origin, whose latency adds to that of a miss
	limitDecrease         = 0.85  // factor
	fewOutcomesWeight     = 0.5   // EWMA weight at limits below 1, where outcomes are rare: two of them tell
	originFullDecrease    = 0.5   // factor while the origin has answered nobody for a target
	originFullCongestion  = 2.0   // congestion that a fetch counts as then, since few outcomes tell of it
	limitDecreaseInterval = 100.0 // ms between two decreases, so that the first can take effect
	randomShedCongestion  = 0.5   // congestion above which a limit may fall below 1

	// Idle connections.
	idleTimeoutDecrease = 0.8 // factor after a failed connect
	// Factor after a successful connect: balances out at about four failures in ten, as a handshake costs more.
	idleTimeoutIncrease = 1.2

	// Backoff from hosts whose connection limit is reached.
	baseConnBackoff = 1000.0 // ms
	maxConnBackoff  = 8000.0 // ms; places come free as others close idle connections
)

// recordBusy records a host's reported share of core time in use. Where the own zone's hosts are busier than
// the others, more keys ignore zones: a zone may have more traffic than its hosts can serve.
func (b *Balancer) recordBusy(h *Host, busy float64) {
	b.avgBusy += (busy - b.avgBusy) * slowEWMAWeight
	if h.Zone != b.Zone {
		b.otherZonesBusy += (busy - b.otherZonesBusy) * mediumEWMAWeight
		return
	}
	b.ownZoneBusy += (busy - b.ownZoneBusy) * mediumEWMAWeight
	if b.ownZoneBusy > math.Max(b.otherZonesBusy+zoneBusyMargin, zoneBusyMin) {
		b.crossZoneShare = math.Min(1, b.crossZoneShare+crossZoneStep/2)
	}
}

// recordOutcome updates what is known of the host, the flows, the zones and the limiter of p from its outcome
// after latency ms.
func (b *Balancer) recordOutcome(p *Push, o Outcome, latency float64) {
	suspect := b.isSuspect(p.Host)
	b.recordAnswerOf(p, o)
	if b.recordFlows(p, o, latency) { // a failing flow's outcomes say nothing about the host
		return
	}
	failed, weight := b.recordKind(p, o, latency, suspect)
	b.recordHealth(p, o, latency, failed, weight)
	if b.tellsOfCongestion(p, o, suspect) {
		b.recordCongestion(p, o, latency)
	}
}

// isAnswer tells whether the host has answered the op as it should.
func (o Outcome) isAnswer() bool { return o == Served || o == CacheMiss }

// recordAnswerOf counts the answers of warm hosts, those on unproven connections, and what retries met.
func (b *Balancer) recordAnswerOf(p *Push, o Outcome) {
	h := p.Host
	// Overloaded does not count here: a full fleet turns half of all away, which is no measure of its capacity.
	if o.isAnswer() && !h.IsOrigin && b.warmth(h) == 1 {
		b.warmAnswers++
	}
	if h.connUnproven && o.isAnswer() {
		h.connUnproven, h.connBackoff = false, 0
		b.idleTimeout = math.Min(b.idleTimeout*idleTimeoutIncrease, b.ConnIdleTimeout)
		if b.crossZoneCheap {
			b.crossZoneShare = math.Min(1, b.crossZoneShare+crossZoneDecay)
		}
	}
	if p.limiter == &b.fleetLimiter && len(p.Op.pushes) > 1 && (o.isAnswer() || o == Overloaded) {
		b.overloadedRate -= b.overloadedRate * slowEWMAWeight
		if o == Overloaded {
			b.overloadedRate += slowEWMAWeight
		}
	}
}

// recordFlows records the outcome for the op's flows, and tells whether one of them is failing, so that the
// outcome is the flow's fault.
func (b *Balancer) recordFlows(p *Push, o Outcome, latency float64) (failing bool) {
	op := p.Op
	switch late := latency > op.Category.Target; {
	case o == Served && !late:
		b.recordFlow(op, 0)
	case o == Served || (o == TimedOut || o == Cancelled) && p.Host.lastAnswer > p.sentAt && !op.acked:
		b.recordFlow(op, 1)
		return slices.ContainsFunc(op.flows[:], b.isFailing)
	}
	return false
}

// recordKind records what is particular to an outcome. It tells whether the host has failed, and the EWMA
// weight of that.
func (b *Balancer) recordKind(
	p *Push, o Outcome, latency float64, suspect bool,
) (failed bool, weight float64) {
	h := p.Host
	weight = failureWeight
	switch o {
	case Served:
		b.recordServed(p, latency)
	case CacheMiss:
		h.lastAnswer, b.lastAnswer = b.now, b.now
	case Failed: // the op may be at fault, unless another host serves it
		failed = h.IsOrigin || !b.mayPush(p.Op)
	case ConnBroken:
		failed = true
	case InvalidAnswer, StaleConn: // sound hosts have some of these too, so each weighs less
		if failed, weight = true, fastEWMAWeight; o == InvalidAnswer {
			h.lastAnswer = b.now
		}
	case ConnectFailed:
		b.noteHostDown(h)
		failed, h.connOpen, h.connUnproven = true, false, false
		if !h.IsOrigin {
			b.idleTimeout = math.Max(b.idleTimeout*idleTimeoutDecrease, tickInterval)
		}
	case ConnLimited: // keep keys in the own zone: a key that is asked at fewer hosts meets the same connections
		h.connOpen, h.connUnproven = h.connOpen && !h.connUnproven, false
		h.connBackoff = math.Min(math.Max(h.connBackoff*2, baseConnBackoff), maxConnBackoff)
		h.connBackoffUntil = b.now + h.connBackoff*(0.5+b.rng.uniform())
		b.crossZoneShare = math.Max(0, b.crossZoneShare-crossZoneStep)
	case Overloaded: // no failure of a cache host, which others may have filled; the op goes to the next one
		if failed = h.IsOrigin; !failed && !b.isSmallGroup() {
			b.recordSlowdown(h, overloadedSlowdown)
		}
	case TimedOut, Cancelled:
		failed = h.lastAnswer < p.sentAt && p.arrivedShare == 0
		b.recordCutLatency(p, latency, suspect)
	}
	return failed, weight
}

// isSmallGroup tells whether each balancer sees enough of the fleet's load by itself.
func (b *Balancer) isSmallGroup() bool { return float64(b.GroupSize) <= smallGroupSize }

// recordServed records an answer after latency ms.
func (b *Balancer) recordServed(p *Push, latency float64) {
	h, c, lim := p.Host, p.Op.Category, p.limiter
	b.learnFromAnswer(p.Op)
	if p.firstByteAt > 0 {
		b.recordAnswerBehindHead(p)
	}
	measured := max(latency, b.Quantum, tickInterval/100) // shorter ones cannot be told apart
	switch {
	case p.sending.isLarge: // the host may have been reading it until just now
	case p.newConn:
		b.connSetup.observe(math.Max(latency-c.avgLatency, 0))
	case lim == &b.fleetLimiter:
		b.recordSlowdown(h, measured/c.avgLatency)
		c.observe(measured)
	}
	if !p.sending.isLarge {
		lim.observe(measured)
	}
	h.lastAnswer, b.lastAnswer, h.newestAnsweredPush = b.now, b.now, math.Max(h.newestAnsweredPush, p.sentAt)
	if !b.crossZoneCheap {
		b.crossZoneShare -= b.crossZoneShare * crossZoneDecay
	}
}

// recordCutLatency counts the latency so far of a push that was given up, or only the fast answers would
// make up the average.
func (b *Balancer) recordCutLatency(p *Push, latency float64, suspect bool) {
	c := p.Op.Category
	switch counts := p.limiter == &b.fleetLimiter && latency > c.avgLatency && !suspect; {
	case counts && p.newConn:
		b.connSetup.observe(latency - c.avgLatency)
	case counts:
		c.observe(latency)
	}
}

// recordHealth records whether the host has failed, and whether an earlier one is to blame for an error.
func (b *Balancer) recordHealth(p *Push, o Outcome, latency float64, failed bool, weight float64) {
	op, h := p.Op, p.Host
	if o.isAnswer() && op.errorHost != nil { // the error was the other host's fault
		b.recordFailure(op.errorHost, o, latency, failureWeight)
		b.errorRepeatRate -= b.errorRepeatRate * fastEWMAWeight
		op.errorHost = nil
	}
	switch {
	case o == NotSent || o == Cancelled && op.state == stateSettled:
	case failed:
		b.recordFailure(h, o, latency, weight)
	case o.isAnswer():
		if h.ejectTime >= baseEjectTime { // a successful probe returns its token
			b.probeTokens++
		}
		h.failRate -= h.failRate * fastEWMAWeight
		if !b.isSuspect(h) {
			h.ejectTime = 0
		}
	}
}

// tellsOfCongestion tells whether an outcome says something about congestion. Those of suspect hosts are
// left out as well: a lower limit would shed what the other hosts could serve.
func (b *Balancer) tellsOfCongestion(p *Push, o Outcome, suspect bool) bool {
	switch o {
	case CacheMiss:
		if b.isSmallGroup() || b.originLimiter.limit < originMinInitialLimit {
			return false
		}
	case NotSent, InvalidAnswer, StaleConn, InvalidOp, ConnBroken, ConnLimited:
		return false
	case ConnectFailed, Overloaded, Failed:
		return p.Host.IsOrigin
	}
	return p.Host.IsOrigin || !suspect
}

// recordCongestion adjusts the limit of p's limiter.
func (b *Balancer) recordCongestion(p *Push, o Outcome, latency float64) {
	op, h, lim, c := p.Op, p.Host, p.limiter, p.Op.Category
	congestion, decrease := latency/c.Target, limitDecrease
	if op.IsWrite { // it follows no miss, so it may take as long as a hit
		congestion *= originCongestionGoal / fleetCongestionGoal
	}
	lim.lastOutcome = b.now
	switch {
	case o == Served && p.sending.isLarge && congestion > lim.congestionGoal:
		return
	case o.isAnswer():
	// The host answers others, so the connection is dead or the op is heavy; or the client left early.
	case (o == TimedOut || o == Cancelled) && h.lastAnswer > p.sentAt,
		o == Cancelled && op.state == stateSettled && congestion < lim.congestionGoal:
		return
	default:
		congestion = math.Max(congestion, 2*lim.congestionGoal)
		if h.IsOrigin && b.now-h.lastAnswer > c.Target { // the origin's queue is so long that all ops time out
			congestion, decrease = math.Max(congestion, originFullCongestion), originFullDecrease
		}
	}
	if lim == &b.originLimiter && congestion > lim.congestionGoal && !b.crossZoneCheap {
		b.crossZoneShare = math.Min(1, b.crossZoneShare+crossZoneStep)
	}
	b.adjustLimit(lim, congestion, decrease)
}

// adjustLimit counts an outcome's congestion, and decreases the limit by a factor or increases it.
func (b *Balancer) adjustLimit(lim *limiter, congestion, decrease float64) {
	weight := lim.congestionWeight
	if lim.limit < 1 {
		weight = fewOutcomesWeight
	}
	lim.congestion += (congestion - lim.congestion) * weight
	isUsed := float64(lim.inFlight+1) > lim.limit/2
	switch {
	// Only late outcomes decrease the limit. Otherwise one heavy op, which the average remembers for long,
	// would decrease it again with each timely answer.
	case lim.congestion > lim.congestionGoal && congestion > lim.congestionGoal && b.now >= lim.nextDecrease:
		least := lim.minLimit
		if lim.congestion <= randomShedCongestion {
			least = math.Max(least, 1)
		}
		lim.limit = math.Max(math.Min(lim.limit, least), math.Min(lim.limit, float64(lim.inFlight+1))*decrease)
		lim.nextDecrease = b.now + limitDecreaseInterval
	case lim.congestion < minCheckDelayShare && isUsed: // far from any queueing
		lim.limit++
	case lim.congestion < lim.congestionGoal && isUsed:
		lim.limit += math.Min(1/lim.limit, lim.limit) // a limit below 1 doubles at most
	}
}

// closeIdleConns closes connections that were idle for longer than idleTimeout. Hosts accept a limited number
// of connections; idle ones would keep other balancers out.
func (b *Balancer) closeIdleConns() {
	for _, h := range b.readyHosts {
		if h.connOpen && h.inFlight == 0 && b.now-h.lastPush > b.idleTimeout {
			h.connOpen = false
			b.frontend.CloseIdleConns(h)
		}
	}
}

package balance

// Pushes whose hosts have shown progress, by a part of the answer or by taking in a large request: how long
// they are kept, and what is learned from abandoning them.

import "math"

const (
	// Time that a retry needs: mean deviations above the usual latency, at most a share of the op's time: a few
	// late answers raise the deviation so far that no retry would be in time.
	retryReserveDevs     = 3.0
	maxRetryReserveShare = 0.25
	// Weight of an op in abandonGain, and the value of that below which pushes are kept.
	abandonGainWeight    = 0.3
	initialAbandonGain   = 0.7 // one retry that brings nothing is enough
	abandonGainThreshold = 0.5
	// Share of a host's answers that stall behind their heads, above that of all hosts, from which on heads of
	// that host count for nothing: three in a row are enough.
	stallThreshold = 0.5
)

// hasProgress tells whether the host has shown that it works on p.
func (p *Push) hasProgress() bool { return p.progressAt > 0 || p.sending.taken > 0 }

// retryLatency returns the usual latency of the next push of op: at the origin if it is the last one of a
// cache-aside fleet.
func (b *Balancer) retryLatency(op *Op) latencyEWMA {
	if b.CacheAside && len(op.pushes) == b.MaxPushes-1 {
		return b.originLimiter.latencyEWMA
	}
	return op.Category.latencyEWMA
}

// isTooLateForRetry tells whether another push in place of p would probably end too late. Then p is worth
// more. A large request would have to be sent again.
func (b *Balancer) isTooLateForRetry(p *Push) bool {
	usual := b.retryLatency(p.Op)
	return b.now+p.sending.takenIn+usual.avgLatency+usual.latencyDev > p.Op.giveUpAt
}

// lastRetryAt returns the last time, in ms, at which another push of op would still be answered in time.
func (b *Balancer) lastRetryAt(op *Op) float64 {
	usual := b.retryLatency(op)
	reserve := usual.avgLatency + retryReserveDevs*usual.latencyDev + b.connSetup.avgLatency
	return op.giveUpAt - math.Min(reserve, (op.giveUpAt-op.arrivedAt)*maxRetryReserveShare)
}

// hasRoomForRetry tells whether another push of op could start at once, at another host than that of p.
func (b *Balancer) hasRoomForRetry(p *Push) bool {
	op := p.Op
	if b.CacheAside && len(op.pushes) == b.MaxPushes-1 {
		return b.fetches[op.Key] == nil && b.originLimiter.hasRoom()
	}
	failedHost := op.failedHost
	op.failedHost = p.Host
	other := b.walk(op)
	op.failedHost = failedHost
	return other != nil && b.fleetLimiter.hasRoom() && !b.isThrottled(op)
}

// shouldAbandon tells whether a push that shows progress is to be given up for another, or else when to
// ask again, in ms (0: never). A host that is silent behind the head of its answer looks like one that is
// late, and another push would begin with nothing. It costs the op only its target to wait for as long as
// another host could still answer in time; that is when it is given up, unless it is expected to end in
// time, more than half of the hosts stall, or such retries have brought nothing lately. The origin is
// always waited for, as a retry would go to it as well, and so is a value that has begun to arrive and
// waits for its turn.
func (b *Balancer) shouldAbandon(p *Push) (abandon bool, next float64) {
	op := p.Op
	if b.hasNoOtherHost(p) || p.waitsForTurn {
		return false, 0
	}
	if p.abandonAt == 0 {
		p.abandonAt = b.lastRetryAt(op)
		if p.firstByteAt > 0 && b.stallsOften(p.Host) {
			p.abandonAt = math.Min(p.abandonAt, b.now)
		}
		b.countStalled(p)
	}
	hadProgress := p.progressAt > p.checkedAt
	p.checkedAt = b.now
	switch {
	case b.now < p.abandonAt:
		return false, p.abandonAt
	case b.isTooLateForRetry(p), hadProgress && p.willEndBy(op.giveUpAt):
		return false, 0
	case !b.hasRoomForRetry(p):
		return false, b.now + tickInterval
	case b.abandonGain < abandonGainThreshold || 2*b.stalledHosts > len(b.readyHosts):
		op.keptStalled = true
		return false, 0
	}
	op.abandonedStalled = true
	if p.firstByteAt > 0 {
		b.recordStall(p)
	}
	return true, 0
}

// TimeoutExtension returns for how many ms more p may stay out, whose timeout is over; 0 to give it up.
func (b *Balancer) TimeoutExtension(p *Push) float64 {
	op := p.Op
	if !p.hasProgress() || op.state >= stateStreaming || b.now >= op.Deadline {
		return 0
	}
	abandon, next := b.shouldAbandon(p)
	switch {
	case abandon:
		return 0
	case next > 0:
		return math.Max(next-b.now, 1)
	}
	return op.Deadline - b.now
}

// countStalled counts the host of p as one that stalls now, if only the head of the answer has come.
func (b *Balancer) countStalled(p *Push) {
	if p.countedStalled || p.arrivedShare > 0 || p.firstByteAt == 0 {
		return
	}
	p.countedStalled = true
	if p.Host.stalledPushes++; p.Host.stalledPushes == 1 {
		b.stalledHosts++
	}
}

// uncountStalled takes back countStalled.
func (b *Balancer) uncountStalled(p *Push) {
	if !p.countedStalled {
		return
	}
	p.countedStalled = false
	if p.Host.stalledPushes--; p.Host.stalledPushes == 0 {
		b.stalledHosts--
	}
}

// recordStall records that the answer to p has not come in time behind its head.
func (b *Balancer) recordStall(p *Push) {
	p.Host.stallRate += (1 - p.Host.stallRate) * failureWeight
	b.stallRate += (1 - b.stallRate) * slowEWMAWeight
}

// stallsOften tells whether a host's answers stall behind their heads clearly more often than those of all
// hosts.
func (b *Balancer) stallsOften(h *Host) bool { return h.stallRate > stallThreshold+b.stallRate }

// recordAnswerBehindHead records that p, of which only a part had come, has been answered.
func (b *Balancer) recordAnswerBehindHead(p *Push) {
	p.Host.stallRate -= p.Host.stallRate * fastEWMAWeight
	b.stallRate -= b.stallRate * slowEWMAWeight
}

// learnFromAnswer updates abandonGain from an op that has been answered.
func (b *Balancer) learnFromAnswer(op *Op) {
	switch {
	case op.abandonedStalled:
		b.abandonGain += (1 - b.abandonGain) * abandonGainWeight
	case op.keptStalled:
		b.abandonGain -= b.abandonGain * abandonGainWeight
	}
	op.abandonedStalled, op.keptStalled = false, false
}

// learnFromGiveUp updates abandonGain from an op that is given up, and records the answers that have stalled.
func (b *Balancer) learnFromGiveUp(op *Op) {
	for _, p := range op.pushes {
		if p.ended || p.passedOn || p.firstByteAt == 0 || p.arrivedShare > 0 {
			continue
		}
		b.recordStall(p)
		if op.abandonedStalled { // the other host stalls as well
			b.abandonGain -= b.abandonGain * abandonGainWeight
		}
	}
	if op.keptStalled {
		b.abandonGain += (1 - b.abandonGain) * abandonGainWeight
	}
}

// willEndBy tells whether the answer to p will be whole at a time in ms if it goes on arriving as it has.
func (p *Push) willEndBy(at float64) bool {
	if p.arrivedShare == 0 {
		return false
	}
	since, arrived := p.sentAt, p.arrivedShare
	if p.progressAt > p.bodyAt { // its rate is known, whenever it began
		since, arrived = p.bodyAt, p.arrivedShare-p.bodyShare
	}
	return p.progressAt+(1-p.arrivedShare)*(p.progressAt-since)/arrived < at
}

package balance

// Requests that take a while to send: what their hosts are told of the time left, and when sending is given
// up.

import "math"

const (
	// What a host has for its answer behind the last byte of a large request: mean deviations above the usual
	// latency, at least a time in ms, and at most a share of the time left.
	answerReserveDevs = 3.0
	minAnswerTime     = 50.0
	maxAnswerShare    = 0.25
	// By how many ms the host may be told more than is left as the last byte comes: half of what it may be.
	maxAnswerExcess = 75.0

	// Sending is judged by its rate from this share of the op's time on, as a refusal behind half of it is
	// worse; and not before this share of the time for sending.
	judgedOpShare      = 0.45
	judgedSendingShare = 0.25
	sendRateSlack      = 1.5 // factor by which the rest may take longer than is left, as hosts read unevenly
	// Share of the time so far behind which a host that has taken in nothing more pauses, and has no rate.
	pauseShare = 0.25
)

// sending is the progress of sending a large request. Times are in ms.
type sending struct {
	isLarge         bool    // it takes a while to send and to read, and sending has begun
	since           float64 // when sending began
	takenIn         float64 // how long the host took for all of it
	taken           int     // bytes that the host has taken in
	takenAt         float64 // when it was last seen to take in some
	isTaken         bool    // all of them
	cannotEndInTime bool    // it was given up for its rate
}

// isUnderWay tells whether the request is being sent.
func (s *sending) isUnderWay() bool { return s.isLarge && !s.isTaken }

// SendingStarted tells that p, a large request, begins to be sent with left ms to its client. It returns for
// how many of these its host may work on the answer once the last byte has come, which is what the host is
// told. SendBy leaves that time, but for maxAnswerExcess.
func (b *Balancer) SendingStarted(p *Push, left float64) (answerTime float64) {
	usual := p.Op.Category.latencyEWMA
	if p.Host.IsOrigin {
		usual = p.limiter.latencyEWMA
	}
	answerTime = usual.avgLatency + answerReserveDevs*usual.latencyDev
	answerTime = math.Min(math.Max(answerTime, minAnswerTime), left*maxAnswerShare)
	p.sending.isLarge, p.sending.since = true, b.now
	p.SendBy = b.now + left - math.Max(answerTime-maxAnswerExcess, answerTime/2)
	p.SendBy = min(p.SendBy, p.Op.giveUpAt, p.repeatBy)
	return answerTime
}

// SendingProgressed tells how many of size bytes of p's request its host has taken in. A request that
// can't be taken in by SendBy at its rate is given up: for another push if its host has taken in nothing
// or there are others, else with its op, as the same host would read it from the first byte again. Where
// there are no others, one that only pauses is waited for.
func (b *Balancer) SendingProgressed(p *Push, taken, size int) {
	s := &p.sending
	if p.ended || p.cancelled || !s.isUnderWay() {
		return
	}
	if taken > s.taken {
		s.taken, s.takenAt = taken, b.now
	}
	if taken >= size {
		s.isTaken, s.takenIn = true, b.now-s.since
		return
	}
	if b.now < p.SendBy && (b.now < b.sendingJudgedAt(p) || b.mayEndSending(p, size)) {
		return
	}
	s.cannotEndInTime = taken > 0
	p.cancelled = true
	b.frontend.Cancel(p)
}

// sendingJudgedAt returns from when on sending p is judged by its rate, in ms.
func (b *Balancer) sendingJudgedAt(p *Push) float64 {
	op, since := p.Op, p.sending.since
	atOpShare := op.arrivedAt + (op.Deadline-op.arrivedAt)*judgedOpShare
	return math.Max(atOpShare, since+(p.SendBy-since)*judgedSendingShare)
}

// mayEndSending tells whether the host may take in all of p's request by SendBy.
func (b *Balancer) mayEndSending(p *Push, size int) bool {
	s := &p.sending
	elapsed := b.now - s.since
	if s.taken == 0 {
		return false
	}
	if b.hasNoOtherHost(p) && b.now-s.takenAt > elapsed*pauseShare {
		return true
	}
	// The host has read no more than its system has taken in, so this rate is the highest that it may have.
	needed := elapsed / float64(s.taken) * float64(size-s.taken)
	return needed < (p.SendBy-b.now)*sendRateSlack
}

// hasNoOtherHost tells whether a retry of p would go to the same host.
func (b *Balancer) hasNoOtherHost(p *Push) bool { return p.Host.IsOrigin || len(b.readyHosts) < 2 }

// cannotBeSentInTime tells whether p was given up for the rate at which its host reads, and op can't go to
// another.
func (b *Balancer) cannotBeSentInTime(p *Push, o Outcome) bool {
	return o == NotSent && p.sending.cannotEndInTime && b.hasNoOtherHost(p)
}

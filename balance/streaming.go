package balance

// Answers that are passed on as they arrive: when their ops' deadlines end, and when they are given up.

const (
	// Time without input after which the rest of an answer is given up. It belongs to the host's connection, not
	// to the op: how long a host may pause does not depend on how long a client waits for an answer to begin.
	answerIdleTimeout = 3000.0 // ms; less than clients wait beyond their deadlines
	// The same for an overdue answer of which nothing has been passed on when its turn comes.
	overdueIdleTimeout = 500.0 // ms

	// While the process stops, it may be killed so long after the longest TTL.
	killDelay       = 700.0  // ms
	longestKillTTL  = 3000.0 // ms; longer TTLs count as this
	killMargin      = 200.0  // ms before the kill at which answers are given up that stand still; covers stalls
	stopIdleTimeout = 250.0  // ms without input after which an answer stands still then
)

// AnswerProgressed tells that bytes of the answer to p have arrived, its head included, or that its host
// may send again after it was held back. share is the share of the answer that has arrived, 0 where its
// length is not known or does not matter, as it is passed on as it arrives.
func (b *Balancer) AnswerProgressed(p *Push, share float64) {
	if p.firstByteAt == 0 {
		p.firstByteAt = b.now
	}
	if share > 0 && p.bodyAt == 0 {
		p.bodyAt, p.bodyShare = b.now, share
	}
	p.progressAt, p.arrivedShare = b.now, share
	if share > 0 {
		b.uncountStalled(p)
	}
}

// AnswerWaits tells that a part of the answer to p has arrived and waits behind earlier answers to the same
// client. blocked tells whether the host can send no more until its turn. Such an op, and at its deadline
// one whose answer still arrives, waits on: the wait is not the host's fault.
func (b *Balancer) AnswerWaits(p *Push, blocked bool) {
	if !p.waitsForTurn {
		p.waitsForTurn = true
		p.Host.lastAnswer, b.lastAnswer = b.now, b.now
	}
	if blocked {
		b.startStreaming(p)
	}
}

// StreamingStarted tells that the first byte of the answer to p is passed on to the client. From then on
// the op can neither be pushed again nor be settled otherwise, and its deadline no longer counts.
func (b *Balancer) StreamingStarted(p *Push) {
	p.passedOn = true
	b.startStreaming(p)
}

// IdleTimeoutAt returns when the answer to p is to be given up unless more of it arrives, in ms.
func (b *Balancer) IdleTimeoutAt(p *Push) float64 {
	at := p.progressAt + answerIdleTimeout
	if b.killAt > 0 {
		at = min(at, max(b.killAt-killMargin, p.progressAt+stopIdleTimeout))
	}
	return at
}

// Stop tells that the process has been told to end, and may be killed behind the longest TTL. Ops are still
// taken until StopAdmitting.
func (b *Balancer) Stop() {
	longest := min(b.LongestTTL, longestKillTTL)
	if b.LongestTTL <= 0 {
		longest = longestKillTTL
	}
	b.killAt = b.now + longest + killDelay
}

// MayBegin tells whether the answer to p, of which a part has arrived, may begin to be passed on. Once it
// has, its op has no other answer, and those behind it depend on its host. So an overdue one has to be
// arriving.
func (b *Balancer) MayBegin(p *Push) bool {
	return b.now < p.Op.Deadline || b.now < p.progressAt+overdueIdleTimeout
}

// startStreaming ends the op's deadline. The host's work is done: the push no longer counts as in flight
// there or at the limiter, and those who wait for its fetch go on: a slow reader must not hold a place.
func (b *Balancer) startStreaming(p *Push) {
	op := p.Op
	if op.state == stateSettled || op.streamingPush == p || op.streamingPush != nil && !p.passedOn {
		return
	}
	op.streamingPush = p
	b.setState(op, stateStreaming)
	b.uncountStalled(p)
	if p.placesReleased {
		return
	}
	p.placesReleased = true
	p.limiter.inFlight--
	p.Host.inFlight--
	firstByteAt := b.now
	if p.firstByteAt > 0 {
		firstByteAt = p.firstByteAt
	}
	b.recordOutcome(p, Served, firstByteAt-p.sentAt)
	b.finishFetch(op, true)
	b.dispatch(p.limiter)
}

// holdForTurn tells whether an op that is due waits on because a part of its answer has arrived and waits for
// its turn.
func (b *Balancer) holdForTurn(op *Op) bool {
	for _, p := range op.pushes {
		if !p.ended && p.waitsForTurn && b.now < b.IdleTimeoutAt(p) {
			b.startStreaming(p)
			return true
		}
	}
	return false
}

// resume takes up an op again whose answer broke off before any of it was passed on.
func (b *Balancer) resume(op *Op) {
	op.streamingPush, op.state = nil, statePushed
	if b.now < op.giveUpAt {
		b.schedule(&b.opTimers, &op.giveUpTimer, op.giveUpAt)
	}
}

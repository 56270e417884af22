package balance

// When and how an op is settled without being served.

import "math"

const settleMarginQuanta = 2.0 // quanta before its TTL at which an op is settled, in addition to one tick

// opState is the state of an op.
type opState uint8

const (
	stateNew       opState = iota // accepted; ordered ops wait here for the earlier ones of their key
	stateQueued                   // in a limiter's queue, or waiting for the fetch of its key
	statePushed                   // a push is in flight
	stateStreaming                // the answer of one push is streamed to the client, or waits for its turn
	stateSettled                  // acked, nacked or dead-lettered
)

// settleBy returns when op has to be settled, in ms: early enough for the client to hear of it in time.
func (b *Balancer) settleBy(op *Op) float64 { return op.Deadline - b.settleMargin() }

// settleMargin returns the ms before its TTL at which an op is settled.
func (b *Balancer) settleMargin() float64 { return tickInterval + settleMarginQuanta*b.Quantum }

// giveUp settles op unserved: with a nack if a repeat is safe, otherwise as a dead letter.
func (b *Balancer) giveUp(op *Op) {
	if op.state == stateSettled {
		return
	}
	b.learnFromGiveUp(op)
	nack := b.mayNack(op)
	b.setState(op, stateSettled)
	if nack {
		b.frontend.Nack(op, b.backoff(op.Category.Target))
	} else {
		b.frontend.DeadLetter(op)
	}
	b.cancelPushes(op)
	b.finishFetch(op, false)
	b.leaveKeyQueue(op)
}

// cancelPushes cancels op's pushes in flight, where that is possible.
func (b *Balancer) cancelPushes(op *Op) {
	for _, p := range op.pushes {
		if !p.ended && b.AllowCancel && !p.cancelled {
			p.cancelled = true
			b.frontend.Cancel(p)
		}
	}
}

// backoff returns a jittered backoff for clients, in ms: about the time in which a queue clears.
func (b *Balancer) backoff(target float64) float64 {
	return math.Min(b.MaxBackoff, target/2*(1+b.rng.uniform()))
}

// setState is the only place where an op changes state, but for resume. A settled op stays settled, and a
// streaming one can only be settled. An op that is settled without being acked returns its tenant's token.
func (b *Balancer) setState(op *Op, to opState) {
	if op.state == stateSettled || op.state == stateStreaming && to != stateSettled {
		return
	}
	if op.state = to; to >= stateStreaming {
		b.opTimers.Stop(&op.giveUpTimer)
	}
	if to == stateSettled && op.withinQuota && !op.acked {
		op.Tenant.tokens++
	}
}

package balance

// How many ops are admitted, and how many pushes may be in flight to the hosts and to the origin.

import (
	"cmp"
	"math"
	"slices"
)

const (
	// Load shedding in a full fleet.
	fleetBusyThreshold  = 0.85 // share of all hosts' core time in use above which the fleet counts as full
	overloadedThreshold = 0.25 // overloadedRate at which ops start to be shed; at twice that all are

	// Admission control, by how long input waits in this process.
	inputWaitShare    = 0.2        // share of the shortest target that input may wait; answers may wait as long
	minInputWaitShare = 1.0 / 16   // of maxInputWait; shorter waits count as this
	maxAdmitFactor    = 2.0        // by which admitShare changes at most at once
	minAdmitShare     = 1.0 / 1024 // least share of ops admitted
)

// limiter is an adaptive concurrency limiter: it holds ops back while as many pushes as its limit are in
// flight. The limit rises additively and falls by a factor, depending on latency in relation to the target.
// A limit below 1 is the share of ops that are admitted.
type limiter struct {
	// The limit, in pushes, and the congestion above which it is decreased.
	congestionGoal, limit float64
	congestionWeight      float64 // EWMA weight of a new outcome in congestion
	minLimit              float64 // the limit is not decreased below this
	latencyEWMA
	inFlight     int
	congestion   float64 // smoothed latency as a multiple of the target; failures count as high latencies
	nextDecrease float64 // ms, earliest time of the next decrease
	lastOutcome  float64 // ms, time of the last outcome
	avgPriority  float64 // smoothed priority of the ops that arrive at the limiter
	queue        []*Op
}

// hasRoom tells whether another push may be in flight, and none would be shed by chance.
func (lim *limiter) hasRoom() bool { return lim.limit >= 1 && float64(lim.inFlight) < lim.limit }

// remove takes op out of the queue.
func (lim *limiter) remove(op *Op) {
	lim.queue = slices.DeleteFunc(lim.queue, func(x *Op) bool { return x == op })
}

// queuePriority orders a limiter's queue. The leader of a fetch has the priority of all who wait for it.
func queuePriority(op *Op) float64 {
	if op.fetch != nil {
		return op.fetch.priority
	}
	return op.priority
}

// ReportInputWait tells how many ms the input of this round may have waited. When it waits longer than
// maxInputWait, this process is overloaded, and Admit accepts a smaller share of the ops, so that those still
// meet their targets; beyond what one core can do, the wait would grow for ever. Whatever slows the process
// is treated alike, so after a long stall some ops are refused needlessly.
func (b *Balancer) ReportInputWait(wait float64) {
	if b.now < b.admitAdjustedAt+b.maxInputWait/2 {
		return
	}
	last, current := b.inputWait, math.Max(wait/b.maxInputWait, minInputWaitShare)
	b.inputWait, b.admitAdjustedAt = current, b.now
	if current > 1 || b.admitShare < 1 { // by the trend of the wait and by its length
		factor := math.Sqrt(last / current / math.Sqrt(current))
		b.admitShare = clamp(b.admitShare*clamp(factor, 1/maxAdmitFactor, maxAdmitFactor), minAdmitShare, 1)
	}
}

// Admit tells, at random, whether this process has the capacity for one more op. An op that is not admitted
// is to be nacked, without parsing it where possible, since that takes the core from those admitted. It may
// be repeated after backoff ms.
func (b *Balancer) Admit() (admitted bool, backoff float64) {
	if b.admitShare == 1 || b.rng.uniform() < b.admitShare {
		return true, 0
	}
	return false, b.AdmissionBackoff()
}

// AdmissionBackoff returns the backoff in ms for an op of unknown category that is refused because this
// process lacks capacity.
func (b *Balancer) AdmissionBackoff() float64 {
	return b.backoff(b.maxInputWait / inputWaitShare)
}

// RefusalBackoff returns the backoff in ms for an op of a category that the frontend refuses unseen.
func (b *Balancer) RefusalBackoff(c *Category) float64 { return b.backoff(c.Target) }

// StopAdmitting makes Admit refuse all further ops, as the process ends before one could be settled.
func (b *Balancer) StopAdmitting() { b.admitShare, b.admitAdjustedAt = 0, math.Inf(1) }

// enqueue adds op to the queue of a limiter, or abandons its push if it is shed.
func (b *Balancer) enqueue(lim *limiter, op *Op) {
	if b.isShedByChance(lim, op) {
		b.abandonPush(op)
		return
	}
	b.setState(op, stateQueued)
	lim.queue = append(lim.queue, op)
	b.armTimer(b.now + tickInterval)
	b.dispatch(lim)
}

// dispatch pushes queued ops, those of the highest priority first, until the limit is reached. If more ops
// than the limit are left, it sheds some.
func (b *Balancer) dispatch(lim *limiter) {
	lim.queue = slices.DeleteFunc(lim.queue, func(op *Op) bool { return op.state != stateQueued })
	for len(lim.queue) > 0 && float64(lim.inFlight) < math.Max(lim.limit, 1) {
		op := slices.MaxFunc(lim.queue, func(x, y *Op) int {
			return cmp.Compare(queuePriority(x), queuePriority(y))
		})
		if !b.mayPush(op) { // its window has ended in the queue
			lim.remove(op)
			b.abandonPush(op)
			continue
		}
		h := b.selectHost(lim, op)
		if h == nil && op.failedHost == nil {
			break
		}
		lim.remove(op)
		if h != nil {
			b.push(lim, op, h)
		} else { // only the host that failed it is left; others in the queue must not wait for it
			b.abandonPush(op)
		}
	}
	if lim == &b.fleetLimiter && len(b.readyHosts) == 0 { // no hosts yet: ops wait for a list
		return
	}
	for float64(len(lim.queue)) > math.Max(2, lim.limit) {
		op := lim.opToShed()
		lim.remove(op)
		b.abandonPush(op)
	}
}

// opToShed returns the op of the lowest priority in a full queue, the latest of several. Where one client has
// more than half of the queue, it is one of that client's.
func (lim *limiter) opToShed() *Op {
	client := lim.majorityClient()
	var lowest *Op
	for _, op := range lim.queue {
		if client != 0 && op.Client != client {
			continue
		}
		if lowest == nil || queuePriority(op) <= queuePriority(lowest) {
			lowest = op
		}
	}
	return lowest
}

// majorityClient returns the client that has more than half of the queue, or 0 (majority vote by Boyer and
// Moore).
func (lim *limiter) majorityClient() (client uint64) {
	votes := 0
	for _, op := range lim.queue {
		switch {
		case votes == 0:
			client, votes = op.Client, 1
		case op.Client == client:
			votes++
		default:
			votes--
		}
	}
	count := 0
	for _, op := range lim.queue {
		if op.Client == client {
			count++
		}
	}
	if 2*count <= len(lim.queue) {
		return 0
	}
	return client
}

// isShedByChance tells whether op is shed at random because the limit is below 1: the limit is the share of
// ops that are admitted, weighted by priority. One push in flight from each of many balancers would already
// keep an overloaded origin overloaded.
func (b *Balancer) isShedByChance(lim *limiter, op *Op) bool {
	lim.avgPriority += (queuePriority(op) - lim.avgPriority) * fastEWMAWeight
	return lim.limit < 1 && b.rng.uniform()*lim.avgPriority >= lim.limit*queuePriority(op)
}

// isShedWhenFull tells whether an op that an overloaded host turned away goes to no further host. In a full
// fleet, retries would only fill the last hosts with room: a share of the ops is shed, more of those of low
// priority.
func (b *Balancer) isShedWhenFull(op *Op) bool {
	return b.avgBusy > fleetBusyThreshold && b.rng.uniform()*queuePriority(op) <
		(b.overloadedRate-overloadedThreshold)/overloadedThreshold*b.fleetLimiter.avgPriority
}

// abandonPush drops the next push of op. The op is given up unless another push is in flight.
func (b *Balancer) abandonPush(op *Op) {
	if op.inFlight == 0 {
		b.giveUp(op)
		return
	}
	b.setState(op, statePushed)
	b.finishFetch(op, false)
}

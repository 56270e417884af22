package balance

import (
	"math"
	"slices"

	"larchthread/internal/timerqueue"
)

// opState is the state of an op.
type opState uint8

const (
	stateNew       opState = iota // accepted; ordered ops wait here for the earlier ones of their key
	stateQueued                   // in a limiter's queue, or waiting for the fetch of its key
	statePushed                   // a push is in flight
	stateStreaming                // the answer of one push is being streamed to the client
	stateSettled                  // acked, nacked or dead-lettered
)

// fetch is a coalesced fetch of a key from the origin: one op leads it, other ops of the key wait for it.
type fetch struct {
	waiters  []*Op
	priority float64 // sum over the leader and the waiters
}

// keyQueue runs a key's ordered ops one at a time: the first is being served, the others are in stateNew. It
// is kept until quietUntil even when empty.
type keyQueue struct {
	ops        []*Op
	quietUntil float64 // ms, when a push that may still run is certain to have ended
	quietTimer timer   // for quietUntil
}

// timer is due when an op has to be given up, a push has to be checked, or a key queue may go on. It is
// embedded in what it belongs to.
type timer struct {
	timerqueue.Timer
	op       *Op // one of the three is set
	push     *Push
	keyQueue *keyQueue
}

// timers is a queue of timers, ordered by time.
type timers = timerqueue.Queue[*timer]

// flowStats describes a flow: the ops of one key or of one tenant.
type flowStats struct {
	failRate float64 // smoothed share of the ops that failed at hosts that served others
	inFlight int     // pushes
}

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

// pcg is a permuted congruential generator (PCG-XSH-RR).
type pcg uint64

// uniform returns a random number in [0, 1).
func (p *pcg) uniform() float64 {
	s := uint64(*p)
	*p = pcg(s*6364136223846793005 + 1442695040888963407)
	x := uint32(((s >> 18) ^ s) >> 27)
	r := uint(s >> 59)
	return float64(x>>r|x<<((32-r)&31)) / (1 << 32)
}

// addInFlight adds n to the pushes in flight of op's flows.
func (op *Op) addInFlight(n int) {
	for _, f := range op.flows {
		if f != nil {
			f.inFlight += n
		}
	}
}

// observe adds a latency in ms to the averages.
func (l *latencyEWMA) observe(latency float64) {
	l.latencyDev += (math.Abs(latency-l.avgLatency) - l.latencyDev) * slowEWMAWeight
	l.avgLatency += (latency - l.avgLatency) * slowEWMAWeight
}

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

const fractionMultiplier = 0x9e3779b97f4a7c15 // odd; makes fractions independent of places on the cycle

// hashFraction maps a hash uniformly to [0, 1), independently of its place on the cycle.
func hashFraction(hash uint64) float64 { return float64(hash*fractionMultiplier>>11) / (1 << 53) }

func clamp(x, least, most float64) float64 { return math.Min(math.Max(x, least), most) }

// resetHealth forgets the host's failures and latency, and ends its ejection.
func (h *Host) resetHealth() { h.failRate, h.ejectTime, h.ejectedUntil, h.slowdown = 0, 0, 0, 1 }

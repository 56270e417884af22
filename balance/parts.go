package balance

import (
	"math"
	"slices"

	"larchthread/internal/timerqueue"
)

// opState of an op.
type opState uint8

const (
	stateNew       opState = iota // accepted, nothing done yet
	stateQueued                   // nothing out: in a gate's line, or waiting for a fetch of its key
	statePushed                   // a push is out
	stateStreaming                // bound to a push whose answer flows
	stateSettled                  // acked, nacked or dead-lettered
)

// fetch is a key on its way from the origin for the op that leads it; others of the key wait for it.
type fetch struct {
	waiters  []*Op
	priority float64 // benefit that hangs on it
}

// keyQueue keeps a key's ordered ops apart: only the first in line is on its way, the others are fresh. It outlives them
// while the key rests.
type keyQueue struct {
	ops        []*Op
	quietUntil float64 // ms, when a push that may still run has had its time
	quietTimer timer   // then
}

// timer is a time at which something is looked at: an op at its end, a push, or a key's ordered ops. It lies in what it
// belongs to.
type timer struct {
	timerqueue.Timer
	op       *Op // one of the three is set
	push     *Push
	keyQueue *keyQueue
}

// timers is what is due, in order.
type timers = timerqueue.Queue[*timer]

// flowStats is what is known of a key's or a tenant's ops together.
type flowStats struct {
	failRate float64 // smoothed part of them that came to nothing at hosts that served others
	inFlight int     // pushes that are out
}

// limiter lets a learned number of pushes out at once and holds the rest.
type limiter struct {
	congestionGoal, limit float64
	congestionWeight      float64 // weight of a new latency in pain
	minLimit              float64 // least that limit may sink to
	latencyEWMA
	inFlight     int
	congestion   float64 // smoothed latency over target
	nextDecrease float64
	lastOutcome  float64 // ms, when an outcome last came
	avgPriority  float64 // smoothed benefit of an op that comes to it
	queue        []*Op
}

// pcg is a permuted congruential generator (PCG-XSH-RR).
type pcg uint64

func (p *pcg) uniform() float64 {
	s := uint64(*p)
	*p = pcg(s*6364136223846793005 + 1442695040888963407)
	x := uint32(((s >> 18) ^ s) >> 27)
	r := uint(s >> 59)
	return float64(x>>r|x<<((32-r)&31)) / (1 << 32)
}

// addInFlight adds n to the pushes that are out, of all of op's strands.
func (op *Op) addInFlight(n int) {
	for _, s := range op.flows {
		if s != nil {
			s.inFlight += n
		}
	}
}

func (l *latencyEWMA) observe(spent float64) {
	l.latencyDev += (math.Abs(spent-l.avgLatency) - l.latencyDev) * slowEWMAWeight
	l.avgLatency += (spent - l.avgLatency) * slowEWMAWeight
}

func (g *limiter) remove(op *Op) {
	g.queue = slices.DeleteFunc(g.queue, func(x *Op) bool { return x == op })
}

// queuePriority orders a line: what benefit hangs on an op.
func queuePriority(op *Op) float64 {
	if op.fetch != nil {
		return op.fetch.priority
	}
	return op.priority
}

const fractionMultiplier = 0x9e3779b97f4a7c15 // odd; tells a key's part in something from its place on the cycle

// hashFraction spreads hashes over 0 to 1, whatever their places on the cycle.
func hashFraction(hash uint64) float64 { return float64(hash*fractionMultiplier>>11) / (1 << 53) }

func clamp(x, least, most float64) float64 { return math.Min(math.Max(x, least), most) }

func (h *Host) resetHealth() { h.failRate, h.ejectTime, h.ejectedUntil, h.slowdown = 0, 0, 0, 1 }

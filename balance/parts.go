package balance

import (
	"math"
	"slices"

	"larchthread/internal/timerqueue"
)

// state of an op.
type state uint8

const (
	fresh     state = iota // accepted, nothing done yet
	held                   // nothing out: in a gate's line, or waiting for a fetch of its key
	out                    // a push is out
	streaming              // bound to a push whose answer flows
	settled                // acked, nacked or dead-lettered
)

// fetch is a key on its way from the origin for the op that leads it; others of the key wait for it.
type fetch struct {
	waiters []*Op
	value   float64 // benefit that hangs on it
}

// turn keeps a key's ordered ops apart: only the first in line is on its way, the others are fresh. It outlives them
// while the key rests.
type turn struct {
	line  []*Op
	quiet float64 // ms, when a push that may still run has had its time
	rest  due     // then
}

// due is a time at which something is looked at: an op at its end, a push, or a key's ordered ops. It lies in what it
// belongs to.
type due struct {
	timerqueue.Timer
	op   *Op // one of the three is set
	push *Push
	turn *turn
}

// dues is what is due, in order.
type dues = timerqueue.Queue[*due]

// strand is what is known of a key's or a tenant's ops together.
type strand struct {
	vain float64 // smoothed part of them that came to nothing at hosts that served others
	out  int     // pushes that are out
}

// gate lets a learned number of pushes out at once and holds the rest.
type gate struct {
	goal, limit float64
	step        float64 // weight of a new latency in pain
	floor       float64 // least that limit may sink to
	latency
	out   int
	pain  float64 // smoothed latency over target
	cutAt float64
	told  float64 // ms, when an outcome last came
	worth float64 // smoothed benefit of an op that comes to it
	line  []*Op
}

// pcg is a permuted congruential generator (PCG-XSH-RR).
type pcg uint64

func (p *pcg) float() float64 {
	s := uint64(*p)
	*p = pcg(s*6364136223846793005 + 1442695040888963407)
	x := uint32(((s >> 18) ^ s) >> 27)
	r := uint(s >> 59)
	return float64(x>>r|x<<((32-r)&31)) / (1 << 32)
}

// count adds n to the pushes that are out, of all of op's strands.
func (op *Op) count(n int) {
	for _, s := range op.strands {
		if s != nil {
			s.out += n
		}
	}
}

func (l *latency) take(spent float64) {
	l.dev += (math.Abs(spent-l.lat) - l.dev) * latStep
	l.lat += (spent - l.lat) * latStep
}

func (g *gate) remove(op *Op) {
	g.line = slices.DeleteFunc(g.line, func(x *Op) bool { return x == op })
}

// worth orders a line: what benefit hangs on an op.
func worth(op *Op) float64 {
	if op.fetch != nil {
		return op.fetch.value
	}
	return op.value
}

const partHash = 0x9e3779b97f4a7c15 // odd; tells a key's part in something from its place on the cycle

// part spreads hashes over 0 to 1, whatever their places on the cycle.
func part(hash uint64) float64 { return float64(hash*partHash>>11) / (1 << 53) }

func clamp(x, least, most float64) float64 { return math.Min(math.Max(x, least), most) }

func (h *Host) forgive() { h.fail, h.rest, h.restUntil, h.slow = 0, 0, 0, 1 }

package balance

import (
	"fmt"
	"math"
)

// eventLoop is a front in rounds, in a time of its own: it reads all that has come, hands it over, fires the timer and
// then writes, and a round takes as long as it is told. Clients send one op after another.
type eventLoop struct {
	*harness
	names   int
	hosts   func(h *Host) float64 // ms that the next answer takes
	work    func() float64        // ms that the next round takes, beside what its ops do
	each    float64               // ms that an op, or an answer, takes of a round
	rng     pcg
	before  float64 // ms, the start of the last round
	end     float64 // ms, its end
	written []*Push // in this round
	flights []pendingAnswer
	arrive  []float64 // ms, when clients send next
	rate    float64   // ops a ms that come whatever is answered
	queue   []float64 // ms, when those came that have not been read
	came    float64   // ms, until when they have been counted
	turned  int       // away for want of room
	sent    map[*Op]float64
	acked   int
	slowest float64 // ms, of those acked, from sending
	nacked  int
	called  int
	blamed  float64 // the most that a host was held to fail
}

type pendingAnswer struct {
	p        *Push
	went, at float64
}

func newEventLoop(s Config, clients int, hosts func(h *Host) float64, work func() float64) *eventLoop {
	x := &eventLoop{harness: newUnlistedHarness(s), hosts: hosts, work: work, each: 0.02, rng: 1, sent: map[*Op]float64{}}
	x.silent, x.wake = true, 0
	x.Balancer = New(s, x, 0) // behind this front, not the scene's
	x.harness.listHosts(true, "a", "b", "c", "d", "e", "f", "g", "h", "i", "j")
	for i := range clients {
		x.arrive = append(x.arrive, float64(i)*0.01)
	}
	return x
}

func (x *eventLoop) Push(p *Push, _ float64)   { x.written = append(x.written, p) }
func (x *eventLoop) Cancel(p *Push)            { x.called++; x.harness.called = append(x.harness.called, p) }
func (x *eventLoop) Nack(op *Op, wait float64) { x.nacked++; x.scheduleNextOp(wait) } // its client comes back

// scheduleNextOp has a client send its next op, after the answer to the last is written.
func (x *eventLoop) scheduleNextOp(wait float64) { x.arrive = append(x.arrive, -wait) }

// run lets ms pass.
func (x *eventLoop) run(ms float64) {
	for until := x.t + ms; x.t < until; {
		next, waited := min(x.wake, until), true
		for _, f := range x.flights {
			next = min(next, f.at)
		}
		for _, at := range x.arrive {
			next = min(next, at)
		}
		if x.rate > 0 {
			next = min(next, x.t+0.1)
		}
		if next < x.end {
			next, waited = x.end, false
		}
		x.t = next
		x.runRound(waited)
	}
}

func (x *eventLoop) runRound(waited bool) {
	heard := x.t // the earliest that what is read now can have come
	if !waited {
		heard = x.before
	}
	for ; x.rate > 0 && x.came+1/x.rate <= x.t; x.came += 1 / x.rate {
		x.queue = append(x.queue, x.came)
	}
	wait := x.t - heard
	if len(x.queue) > 0 {
		wait = x.t - x.queue[0]
	}
	x.Advance(x.t)
	x.ReportInputWait(wait)
	x.confirmCancels()
	flights, n := x.flights, 0
	x.flights = nil
	for _, f := range flights {
		switch {
		case f.p.ended: // called off
		case f.at > x.t:
			x.flights = append(x.flights, f)
		default:
			n++
			x.acked++
			if came, ok := x.sent[f.p.Op]; ok {
				x.slowest = max(x.slowest, x.t-came)
				delete(x.sent, f.p.Op)
			}
			x.PushEnded(f.p, Served, max(0, heard-f.went), true, nil)
			if x.rate == 0 {
				x.scheduleNextOp(0)
			}
		}
	}
	arrive := x.arrive
	x.arrive = nil
	for _, at := range arrive {
		if at < 0 || at > x.t {
			x.arrive = append(x.arrive, at)
			continue
		}
		n++
		x.names++
		x.sendOp(fmt.Sprint("op", x.names), 0, fmt.Sprint("key", x.names), 600, false)
	}
	for work := 0.0; len(x.queue) > 0 && work < 0.5; x.queue = x.queue[1:] {
		if room, _ := x.Admit(); !room {
			x.turned++
			work += x.each / 20
			continue
		}
		n++
		work += x.each
		x.names++
		x.sent[x.sendOp(fmt.Sprint("op", x.names), 0, fmt.Sprint("key", x.names), 600, false)] = x.queue[0]
	}
	if x.wake <= x.t {
		x.wake = math.Inf(1)
		x.TimerFired()
	}
	x.before, x.end = x.t, x.t+x.work()+float64(n)*x.each
	for _, p := range x.written {
		x.PushStarted(p, x.end-x.t, false)
		x.flights = append(x.flights, pendingAnswer{p, x.end, x.end + x.hosts(p.Host)})
	}
	x.written = nil
	for i, at := range x.arrive {
		if at <= 0 {
			x.arrive[i] = x.end - at + 0.01
		}
	}
	for _, h := range x.Balancer.hosts {
		x.blamed = max(x.blamed, h.failRate)
	}
}

// jitter is a time about a mean: half of it to one and a half, and one time in a hundred twice.
func (p *pcg) jitter(mean float64) float64 {
	if p.uniform() < 0.01 {
		return 2 * mean
	}
	return mean * (0.5 + p.uniform())
}

// Fast hosts, and a process that is late itself by up to 10 ms: that is no sign of a host, and no push is called off.
func Example_processDelayBlamesNoHost() {
	for _, usual := range []float64{0.02, 0.2, 2} {
		for _, clients := range []int{1, 8, 100} {
			s := testConfig()
			s.Categories[0].Target = 200
			var x *eventLoop
			x = newEventLoop(s, clients, func(*Host) float64 { return x.rng.jitter(usual) }, func() float64 {
				if x.rng.uniform() < 0.1 {
					return 1 + 9*x.rng.uniform()
				}
				return 0.01
			})
			x.run(5000)
			fmt.Println(usual, clients, "called off:", x.called, "nacked:", x.nacked, "most blame:", x.blamed)
		}
	}
	// Output:
	// 0.02 1 called off: 0 nacked: 0 most blame: 0
	// 0.02 8 called off: 0 nacked: 0 most blame: 0
	// 0.02 100 called off: 0 nacked: 0 most blame: 0
	// 0.2 1 called off: 0 nacked: 0 most blame: 0
	// 0.2 8 called off: 0 nacked: 0 most blame: 0
	// 0.2 100 called off: 0 nacked: 0 most blame: 0
	// 2 1 called off: 0 nacked: 0 most blame: 0
	// 2 8 called off: 0 nacked: 0 most blame: 0
	// 2 100 called off: 0 nacked: 0 most blame: 0
}

// Of fast hosts one hangs: on the mean of twenty times it is found about as soon as before, and whether rounds are late or
// not.
func Example_hungHostDetectedPromptly() {
	for _, usual := range []float64{0.02, 0.2, 2} {
		for _, late := range []float64{0, 5} {
			all := 0.0
			for seed := range 20 {
				s := testConfig()
				s.Seed = uint64(seed)
				s.Categories[0].Target = 200
				var x *eventLoop
				hung := false
				x = newEventLoop(s, 20, func(h *Host) float64 {
					if hung && h.Name == "c" {
						return 1000
					}
					return x.rng.jitter(usual)
				}, func() float64 { return 0.01 + late*x.rng.uniform() })
				x.rng = pcg(seed)
				x.run(1000)
				hung = true
				began := x.t
				for x.t < began+300 && !x.isSuspect(x.harness.hosts["c"]) {
					x.run(0.5)
				}
				all += x.t - began
			}
			fmt.Printf("%v ms, rounds late by up to %v: found after %.1f ms\n", usual, late, all/20)
		}
	}
	// Output:
	// 0.02 ms, rounds late by up to 0: found after 6.5 ms
	// 0.02 ms, rounds late by up to 5: found after 22.4 ms
	// 0.2 ms, rounds late by up to 0: found after 8.7 ms
	// 0.2 ms, rounds late by up to 5: found after 21.5 ms
	// 2 ms, rounds late by up to 0: found after 8.1 ms
	// 2 ms, rounds late by up to 5: found after 28.7 ms
}

// More comes than the process can do, whatever is answered: as much is served as ever, and all of that in time. What
// is too much is turned away before it is read. Below that nothing is.
func Example_overloadTurnedAwayUnread() {
	for _, times := range []float64{0.8, 1.5, 2, 4} {
		s := testConfig()
		s.Categories[0].Target = 200
		var x *eventLoop
		x = newEventLoop(s, 0, func(*Host) float64 { return x.rng.jitter(0.2) }, func() float64 { return 0.02 })
		x.rate = times / (2 * x.each) // an op costs that twice: as it comes, and with its answer
		x.run(500)
		x.acked, x.turned, x.slowest = 0, 0, 0
		x.run(3000)
		fmt.Printf("%v times: served %.2f, turned away %.2f, nacked %d, called off %d, in time: %v\n", times,
			float64(x.acked)*2*x.each/3000, float64(x.turned)*2*x.each/3000, x.nacked, x.called, x.slowest < 200)
	}
	// Output:
	// 0.8 times: served 0.80, turned away 0.00, nacked 0, called off 0, in time: true
	// 1.5 times: served 0.98, turned away 0.52, nacked 0, called off 0, in time: true
	// 2 times: served 0.98, turned away 1.02, nacked 0, called off 0, in time: true
	// 4 times: served 0.98, turned away 3.02, nacked 0, called off 0, in time: true
}

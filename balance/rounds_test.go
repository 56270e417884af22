package balance

import (
	"fmt"
	"math"
)

// eventLoop is a frontend that works in rounds on simulated time: each round reads all input, passes it to
// the balancer, fires the timer, and then writes. Each client sends its next op after the answer to the last.
type eventLoop struct {
	*harness
	opCount      int
	answerTime   func(h *Host) float64 // ms until the next answer
	roundTime    func() float64        // ms of the next round, without its ops
	opTime       float64               // ms of a round for each op or answer
	rng          pcg
	roundStart   float64 // ms, start of the last round
	roundEnd     float64 // ms, end of the last round
	outgoing     []*Push // to be written in this round
	answers      []pendingAnswer
	nextOps      []float64       // ms, when each client sends its next op; until the round ends, -wait
	rate         float64         // ops per ms that arrive independently of answers
	unread       []float64       // ms, arrival times of the ops not yet read
	arrivedUntil float64         // ms, until when arrivals have been counted
	rejected     int             // ops turned away unread
	arrivedAt    map[*Op]float64 // ms, arrival times of the ops in flight
	acked        int
	slowest      float64 // ms from arrival to answer, at most
	nacked       int
	cancels      int
	maxFailRate  float64 // of any host at any time
}

// pendingAnswer is a push that has been written, with the time of its answer.
type pendingAnswer struct {
	push           *Push
	writtenAt, due float64 // ms
}

// newEventLoop starts an event loop with ten hosts. answerTime and roundTime return times in ms.
func newEventLoop(cfg Config, clients int, answerTime func(h *Host) float64,
	roundTime func() float64) *eventLoop {
	loop := &eventLoop{harness: newUnlistedHarness(cfg), answerTime: answerTime, roundTime: roundTime,
		opTime: 0.02, rng: 1, arrivedAt: map[*Op]float64{}}
	loop.silent, loop.timerDue = true, 0
	loop.Balancer = New(cfg, loop, 0) // with this frontend, not the embedded harness
	loop.harness.listHosts(true, "a", "b", "c", "d", "e", "f", "g", "h", "i", "j")
	for i := range clients {
		loop.nextOps = append(loop.nextOps, float64(i)*0.01)
	}
	return loop
}

func (loop *eventLoop) Push(p *Push, _ float64) { loop.outgoing = append(loop.outgoing, p) }
func (loop *eventLoop) Cancel(p *Push) {
	loop.cancels++
	loop.harness.cancelled = append(loop.harness.cancelled, p)
}
func (loop *eventLoop) Nack(op *Op, wait float64) { loop.nacked++; loop.scheduleNextOp(wait) }

// scheduleNextOp has a client send its next op wait ms after the end of this round.
func (loop *eventLoop) scheduleNextOp(wait float64) { loop.nextOps = append(loop.nextOps, -wait) }

// run advances time by ms.
func (loop *eventLoop) run(ms float64) {
	for until := loop.clock + ms; loop.clock < until; {
		next, waited := min(loop.timerDue, until), true
		for _, a := range loop.answers {
			next = min(next, a.due)
		}
		for _, at := range loop.nextOps {
			next = min(next, at)
		}
		if loop.rate > 0 {
			next = min(next, loop.clock+0.1)
		}
		if next < loop.roundEnd {
			next, waited = loop.roundEnd, false
		}
		loop.clock = next
		loop.runRound(waited)
	}
}

// runRound runs one round. waited tells whether the loop was idle before it, so that its input has only just
// arrived.
func (loop *eventLoop) runRound(waited bool) {
	earliest := loop.clock // when the input of this round can have arrived
	if !waited {
		earliest = loop.roundStart
	}
	for ; loop.rate > 0 && loop.arrivedUntil+1/loop.rate <= loop.clock; loop.arrivedUntil += 1 / loop.rate {
		loop.unread = append(loop.unread, loop.arrivedUntil)
	}
	wait := loop.clock - earliest
	if len(loop.unread) > 0 {
		wait = loop.clock - loop.unread[0]
	}
	loop.Advance(loop.clock)
	loop.ReportInputWait(wait)
	loop.confirmCancels()
	answers, n := loop.answers, 0
	loop.answers = nil
	for _, a := range answers {
		switch {
		case a.push.ended: // cancelled
		case a.due > loop.clock:
			loop.answers = append(loop.answers, a)
		default:
			n++
			loop.acked++
			if arrived, ok := loop.arrivedAt[a.push.Op]; ok {
				loop.slowest = max(loop.slowest, loop.clock-arrived)
				delete(loop.arrivedAt, a.push.Op)
			}
			loop.PushEnded(a.push, Served, max(0, earliest-a.writtenAt), true, nil)
			if loop.rate == 0 {
				loop.scheduleNextOp(0)
			}
		}
	}
	nextOps := loop.nextOps
	loop.nextOps = nil
	for _, at := range nextOps {
		if at < 0 || at > loop.clock {
			loop.nextOps = append(loop.nextOps, at)
			continue
		}
		n++
		loop.opCount++
		loop.sendOp(fmt.Sprint("op", loop.opCount), 0, fmt.Sprint("key", loop.opCount), 600, false)
	}
	for work := 0.0; len(loop.unread) > 0 && work < 0.5; loop.unread = loop.unread[1:] {
		if room, _ := loop.Admit(); !room {
			loop.rejected++
			work += loop.opTime / 20
			continue
		}
		n++
		work += loop.opTime
		loop.opCount++
		loop.arrivedAt[loop.sendOp(fmt.Sprint("op", loop.opCount), 0, fmt.Sprint("key", loop.opCount), 600,
			false)] = loop.unread[0]
	}
	if loop.timerDue <= loop.clock {
		loop.timerDue = math.Inf(1)
		loop.TimerFired()
	}
	loop.roundStart, loop.roundEnd = loop.clock, loop.clock+loop.roundTime()+float64(n)*loop.opTime
	for _, p := range loop.outgoing {
		loop.PushStarted(p, loop.roundEnd-loop.clock, false)
		loop.answers = append(loop.answers,
			pendingAnswer{p, loop.roundEnd, loop.roundEnd + loop.answerTime(p.Host)})
	}
	loop.outgoing = nil
	for i, at := range loop.nextOps {
		if at <= 0 {
			loop.nextOps[i] = loop.roundEnd - at + 0.01
		}
	}
	for _, h := range loop.Balancer.hosts {
		loop.maxFailRate = max(loop.maxFailRate, h.failRate)
	}
}

// jitter returns a random time around mean: between half and one and a half of it, and in one of a hundred
// cases twice.
func (p *pcg) jitter(mean float64) float64 {
	if p.uniform() < 0.01 {
		return 2 * mean
	}
	return mean * (0.5 + p.uniform())
}

// Hosts are fast, but the balancer's own process is late by up to 10 ms. No host is blamed for that and no
// push cancelled.
func Example_processDelayBlamesNoHost() {
	for _, usual := range []float64{0.02, 0.2, 2} {
		for _, clients := range []int{1, 8, 100} {
			cfg := testConfig()
			cfg.Categories[0].Target = 200
			var loop *eventLoop
			loop = newEventLoop(cfg, clients, func(*Host) float64 { return loop.rng.jitter(usual) }, func() float64 {
				if loop.rng.uniform() < 0.1 {
					return 1 + 9*loop.rng.uniform()
				}
				return 0.01
			})
			loop.run(5000)
			fmt.Println(usual, clients, "pushes cancelled:", loop.cancels, "nacked:", loop.nacked,
				"highest failure rate:", loop.maxFailRate)
		}
	}
	// Output:
	// 0.02 1 pushes cancelled: 0 nacked: 0 highest failure rate: 0
	// 0.02 8 pushes cancelled: 0 nacked: 0 highest failure rate: 0
	// 0.02 100 pushes cancelled: 0 nacked: 0 highest failure rate: 0
	// 0.2 1 pushes cancelled: 0 nacked: 0 highest failure rate: 0
	// 0.2 8 pushes cancelled: 0 nacked: 0 highest failure rate: 0
	// 0.2 100 pushes cancelled: 0 nacked: 0 highest failure rate: 0
	// 2 1 pushes cancelled: 0 nacked: 0 highest failure rate: 0
	// 2 8 pushes cancelled: 0 nacked: 0 highest failure rate: 0
	// 2 100 pushes cancelled: 0 nacked: 0 highest failure rate: 0
}

// A hung host among fast ones is detected within 30 ms on average, whether rounds are punctual or late.
func Example_hungHostDetectedPromptly() {
	for _, usual := range []float64{0.02, 0.2, 2} {
		for _, late := range []float64{0, 5} {
			all := 0.0
			for seed := range 20 {
				cfg := testConfig()
				cfg.Seed = uint64(seed)
				cfg.Categories[0].Target = 200
				var loop *eventLoop
				hung := false
				loop = newEventLoop(cfg, 20, func(h *Host) float64 {
					if hung && h.Name == "c" {
						return 1000
					}
					return loop.rng.jitter(usual)
				}, func() float64 { return 0.01 + late*loop.rng.uniform() })
				loop.rng = pcg(seed)
				loop.run(1000)
				hung = true
				hungAt := loop.clock
				for loop.clock < hungAt+300 && !loop.isSuspect(loop.harness.hosts["c"]) {
					loop.run(0.5)
				}
				all += loop.clock - hungAt
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

// More ops arrive than the process can handle. It serves as many as it can, all in time, and turns the others
// away unread. Below its capacity it turns none away.
func Example_overloadTurnedAwayUnread() {
	for _, load := range []float64{0.8, 1.5, 2, 4} {
		cfg := testConfig()
		cfg.Categories[0].Target = 200
		var loop *eventLoop
		loop = newEventLoop(cfg, 0, func(*Host) float64 { return loop.rng.jitter(0.2) },
			func() float64 { return 0.02 })
		loop.rate = load / (2 * loop.opTime) // an op takes opTime twice: on arrival and with its answer
		loop.run(500)
		loop.acked, loop.rejected, loop.slowest = 0, 0, 0
		loop.run(3000)
		fmt.Printf("%v times: served %.2f, turned away %.2f, nacked %d, called off %d, in time: %v\n", load,
			float64(loop.acked)*2*loop.opTime/3000, float64(loop.rejected)*2*loop.opTime/3000, loop.nacked,
			loop.cancels, loop.slowest < 200)
	}
	// Output:
	// 0.8 times: served 0.80, turned away 0.00, nacked 0, called off 0, in time: true
	// 1.5 times: served 0.98, turned away 0.52, nacked 0, called off 0, in time: true
	// 2 times: served 0.98, turned away 1.02, nacked 0, called off 0, in time: true
	// 4 times: served 0.98, turned away 3.02, nacked 0, called off 0, in time: true
}

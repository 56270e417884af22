package scale

import (
	"larchthread/balance"
	"larchthread/internal/timerqueue"
)

// instance is one balancer in a simulation of decisions: the real module, with the simulation as its port.
type instance struct {
	timerqueue.Timer // its timer
	simulation       *simulation
	balancer         *balance.Balancer
	hosts            []*balance.Host // by their place among the simulation's servers
	idle             []uint8         // connections to each that carry nothing, where tables of connections are simulated
}

// request is an op as its client sees it.
type request struct {
	arrived float64 // ms
	ended   bool    // the client has its answer, or a nack
}

// attempt is a push on its way. Its timer is the time of its outcome.
type attempt struct {
	timerqueue.Timer
	instance *instance
	server   *server
	place    int // of the server among all
	push     *balance.Push
	outcome  balance.Outcome
	sent     float64
	done     float64 // ms, when the server is done with it
	working  bool    // the server is at work on it
	over     bool    // the balancer has its outcome
}

// Push implements balance.Port, as do the methods below.
func (i *instance) Push(p *balance.Push, limit float64) { i.simulation.send(i, p, limit) }

// Cancel calls a push off; its server goes on with it all the same.
func (i *instance) Cancel(p *balance.Push) {
	a := p.Ref.(*attempt)
	if !a.over {
		a.outcome = balance.Cancelled
		i.simulation.attempts.Set(a, i.simulation.now)
	}
}

func (i *instance) Nack(op *balance.Op, _ float64) {
	op.Ref.(*request).ended = true
	i.simulation.figures.nacked++
}

func (i *instance) DeadLetter(op *balance.Op) {
	op.Ref.(*request).ended = true
	i.simulation.figures.deadLettered++
}

func (i *instance) SetTimer(after float64) { i.simulation.timers.Set(i, i.simulation.now+after) }

func (i *instance) SubscribeHostList() {}

// CloseIdleConns closes the idle connections to a host.
func (i *instance) CloseIdleConns(h *balance.Host) {
	if place, known := h.Ref.(int); known && i.idle != nil {
		i.simulation.servers[place].connections -= int(i.idle[place])
		i.idle[place] = 0
	}
}

package scale

import (
	"larchthread/balance"
	"larchthread/internal/timerqueue"
)

// balancerInstance is one balancer of a simulation: the real balancer module, with the simulation as its front end.
type balancerInstance struct {
	timerqueue.Timer // the timer that the balancer module sets
	simulation       *simulation
	balancer         *balance.Balancer
	hosts            []*balance.Host // indexed like simulation.servers
	idleConnections  []uint8         // idle connections to each server; nil if connections are unlimited
}

// request is the state of an op from its client's view.
type request struct {
	arrivedAt float64 // simulated time in milliseconds
	completed bool    // the client has received a response or a nack
}

// attempt is a push in flight. Its timer fires when the push ends for the balancer, and, if the server is still working on it
// then, again when the server is done. Times are in milliseconds.
type attempt struct {
	timerqueue.Timer
	instance     *balancerInstance
	server       *server
	serverIndex  int // index in simulation.servers
	push         *balance.Push
	outcome      balance.Outcome
	sentAt       float64
	serverDoneAt float64 // when the server is done with the request
	atServer     bool    // the request is queued or in service at the server
	reported     bool    // the balancer has been told the outcome
}

// Push implements balance.Frontend, as do the methods below.
func (i *balancerInstance) Push(p *balance.Push, limit float64) { i.simulation.sendPush(i, p, limit) }

// Cancel cancels a push for the balancer. The server completes it all the same.
func (i *balancerInstance) Cancel(p *balance.Push) {
	a := p.Ref.(*attempt)
	if !a.reported {
		a.outcome = balance.Cancelled
		i.simulation.attempts.Set(a, i.simulation.now)
	}
}

// Nack counts the nack and completes the request.
func (i *balancerInstance) Nack(op *balance.Op, _ float64) {
	op.Ref.(*request).completed = true
	i.simulation.counts.nacked++
}

// DeadLetter counts the dead letter and completes the request.
func (i *balancerInstance) DeadLetter(op *balance.Op) {
	op.Ref.(*request).completed = true
	i.simulation.counts.deadLettered++
}

// SetTimer sets the balancer's timer to fire after the given milliseconds.
func (i *balancerInstance) SetTimer(after float64) {
	i.simulation.timers.Set(i, i.simulation.now+after)
}

// SubscribeHostList does nothing: the simulation lists the hosts by itself.
func (i *balancerInstance) SubscribeHostList() {}

// CloseIdleConns closes the balancer's idle connections to a host.
func (i *balancerInstance) CloseIdleConns(h *balance.Host) {
	if index, known := h.Ref.(int); known && i.idleConnections != nil {
		i.simulation.servers[index].connections -= int(i.idleConnections[index])
		i.idleConnections[index] = 0
	}
}

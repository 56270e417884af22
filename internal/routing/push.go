package routing

import (
	"slices"

	"larchthread/balance"
	"larchthread/internal/transport"
)

// pushState is how far a push has come.
type pushState uint8

const (
	waiting pushState = iota // its connection is to be written to, or is still coming up
	writing                  // its command has begun to be written, and may be out whole
	flowing                  // the value that answers it is being passed on
	over                     // answered, given up, called off, or its connection is gone
)

// push is one attempt at an op.
type push struct {
	*balance.Push
	router  *Router
	op      *op
	link    *link
	began   float64 // ms, when it was written, or the connection for it was begun to be made
	until   float64 // ms, when the balancer gives it up
	limit   transport.Timer
	before  transport.Timer // until its last byte has to be written
	state   pushState
	gone    bool            // it has left this process, or its connection is being made
	whole   bool            // its last byte has been written
	took    float64         // ms until its answer began to flow
	outcome balance.Outcome // of one called off
}

// move is the one place where a push changes its state.
func (p *push) move(to pushState) {
	if p.state == over {
		return
	}
	p.state = to
	if to >= flowing {
		p.router.loop.StopTimer(&p.limit)
	}
	if to == over {
		p.router.loop.StopTimer(&p.before)
		own := func(x *push) bool { return x == p }
		p.op.pushes = slices.DeleteFunc(p.op.pushes, own)
		if p.link != nil {
			p.link.host.pushes = slices.DeleteFunc(p.link.host.pushes, own)
		}
	}
}

// withdraw calls off a push that has not been written whole: it never runs.
func (p *push) withdraw() {
	if p.state < flowing && !p.sent() {
		p.callOff(transport.Cancelled)
	}
}

// sent tells whether the last byte has been written: from then on the push may have run.
func (p *push) sent() bool {
	return p.state != waiting && p.link.rest.Done() && p.link.conn.Out.Len() == 0
}

// unheard takes note of a push given up at a host that has answered nothing since it began. One called off sooner than a
// connection may take to come up, as where its client went away, says nothing of the host.
func (p *push) unheard() {
	h := p.link.host
	h.silent = h.silent || h.heard < p.began && p.router.loop.Now()-p.began > p.router.hosts.connectTimeout
}

// callOff ends a push by closing its connection.
func (p *push) callOff(why transport.Reason) {
	outcome := balance.Cancelled
	if !p.sent() {
		outcome = balance.NotSent
	}
	p.end(outcome)
	p.link.close(why)
}

// end ends a push that no connection carries. The balancer hears of it in the next round.
func (p *push) end(outcome balance.Outcome) {
	p.outcome = outcome
	p.move(over)
	p.router.calledOff = append(p.router.calledOff, p)
	p.router.loop.SkipWait()
}

// late gives up a push whose time is over.
func (p *push) late() {
	outcome := balance.TimedOut
	if !p.sent() {
		outcome = balance.ConnectFailed
	}
	p.unheard()
	p.link.fail(transport.PushTimeout, outcome)
}

// went tells the balancer how long a push had to wait for this process: its host's time begins when it is written, or with
// the connection for it.
func (p *push) went() {
	if !p.gone {
		p.gone = true
		now := p.router.loop.ReadClock()
		p.router.balancer.PushStarted(p.Push, now-p.began, !p.link.kept)
		p.began = now
	}
}

package routing

import (
	"sync/atomic"

	"larchthread/internal/transport"
)

// stop is the state of a planned end.
type stop struct {
	asked   atomic.Bool // another goroutine sets it
	on      bool
	closing bool    // connections are closed as they come between two commands
	began   float64 // ms
	empty   float64 // ms, since when there are no clients; 0 while there are
	timer   transport.Timer
}

// Stop lets the program end when all is answered. It may be called from any goroutine.
func (r *Router) Stop() {
	r.stop.asked.Store(true)
	r.loop.Ring()
}

// heed takes the word to stop.
func (s *stop) heed(r *Router) {
	if s.on || !s.asked.Load() {
		return
	}
	s.on, s.began = true, r.loop.Now()
	r.log.Info("stopping", "clients", len(r.clients))
	if r.successor != nil { // new connections are its own
		r.sweep()
		return
	}
	r.loop.Set(&s.timer, stopLinger)
}

// sweep closes clients' connections between two commands, or passes them on. What comes until the end is still served.
func (r *Router) sweep() {
	now := r.loop.Now()
	r.stop.closing = true
	if r.successor != nil {
		r.passOn()
	}
	for i := len(r.clients) - 1; i >= 0 && r.successor == nil; i-- {
		if c := r.clients[i]; c.idle() && (c.proven || now-c.conn.Began > stopGrace) && !c.conn.Unheard() {
			c.finish(transport.Stopping)
		}
	}
	if now-r.stop.began > stopTake && r.successor == nil {
		r.balancer.Close()
	}
	if len(r.clients) == 0 && !r.loop.Unsent() {
		if r.stop.empty == 0 {
			r.stop.empty = now
		}
		if now-r.stop.empty > stopLast && (r.successor == nil || !r.successor.Waiting()) {
			r.log.Info("stopped", "ms", int(now-r.stop.began))
			r.loop.End()
			return
		}
	} else {
		r.stop.empty = 0
	}
	r.loop.Set(&r.stop.timer, stopSweep)
}

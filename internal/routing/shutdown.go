package routing

import (
	"sync/atomic"

	"larchthread/internal/transport"
)

// shutdown is the state of a graceful shutdown.
type shutdown struct {
	asked   atomic.Bool // another goroutine sets it
	on      bool
	closing bool    // connections are closed as they come between two commands
	began   float64 // ms
	empty   float64 // ms, since when there are no clients; 0 while there are
	timer   transport.Timer
}

// Shutdown lets the program end when all is answered. It may be called from any goroutine.
func (r *Router) Shutdown() {
	r.shutdown.asked.Store(true)
	r.loop.Wake()
}

// heed takes the word to stop.
func (s *shutdown) heed(r *Router) {
	if s.on || !s.asked.Load() {
		return
	}
	s.on, s.began = true, r.loop.Now()
	r.log.Info("stopping", "clients", len(r.clients.all))
	if r.handOver.successor != nil { // new connections are its own
		r.sweep()
		return
	}
	r.loop.SetTimer(&s.timer, shutdownLinger)
}

// sweep closes clients' connections between two commands, or passes them on. What comes until the end is still served.
func (r *Router) sweep() {
	now := r.loop.Now()
	r.shutdown.closing = true
	if r.handOver.successor != nil {
		r.passOn()
	}
	for i := len(r.clients.all) - 1; i >= 0 && r.handOver.successor == nil; i-- {
		if c := r.clients.all[i]; c.idle() && (c.proven || now-c.conn.CreatedAt > shutdownGrace) && !c.conn.HasPendingInput() {
			c.finish(transport.ShuttingDown)
		}
	}
	if now-r.shutdown.began > shutdownTake && r.handOver.successor == nil {
		r.balancer.StopAdmitting()
	}
	if len(r.clients.all) == 0 && !r.loop.HasUnsent() {
		if r.shutdown.empty == 0 {
			r.shutdown.empty = now
		}
		if now-r.shutdown.empty > shutdownLast && (r.handOver.successor == nil || !r.handOver.successor.HasUnsent()) {
			r.log.Info("stopped", "ms", int(now-r.shutdown.began))
			r.loop.Quit()
			return
		}
	} else {
		r.shutdown.empty = 0
	}
	r.loop.SetTimer(&r.shutdown.timer, shutdownSweep)
}

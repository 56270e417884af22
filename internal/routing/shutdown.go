package routing

import (
	"sync/atomic"

	"larchthread/internal/transport"
)

// shutdown is the state of a graceful shutdown.
type shutdown struct {
	requested  atomic.Bool // set by other goroutines
	started    bool
	closing    bool    // connections are closed once they are between two commands
	startedAt  float64 // ms
	emptySince float64 // ms since when there are no clients; 0 while there are
	timer      transport.Timer
}

// Shutdown starts a graceful shutdown: the process ends once every op is answered. It may be called from any
// goroutine.
func (r *Router) Shutdown() {
	r.shutdown.requested.Store(true)
	r.loop.Wake()
}

// startIfRequested starts the shutdown that Shutdown has requested.
func (s *shutdown) startIfRequested(r *Router) {
	if s.started || !s.requested.Load() {
		return
	}
	s.started, s.startedAt = true, r.loop.Now()
	r.log.Info("stopping", "clients", len(r.clients.all))
	r.balancer.Stop()
	if r.handOver.successor != nil { // the successor accepts new connections
		r.sweep()
		return
	}
	r.loop.SetTimer(&s.timer, shutdownLinger)
}

// sweep closes idle client connections, or hands them over to the successor, and ends the loop once all are
// gone. Commands that arrive until then are still served.
func (r *Router) sweep() {
	now := r.loop.Now()
	r.shutdown.closing = true
	if r.handOver.successor != nil {
		r.handOverClients()
	}
	for i := len(r.clients.all) - 1; i >= 0 && r.handOver.successor == nil; i-- {
		if c := r.clients.all[i]; c.isIdle() && (c.proven || now-c.conn.CreatedAt > shutdownFirstCommandGrace) &&
			!c.conn.HasPendingInput() {
			c.closeGracefully(transport.ShuttingDown)
		}
	}
	r.endIdleStreams()
	if now-r.shutdown.startedAt > shutdownNackAfter {
		r.balancer.StopAdmitting()
	}
	if len(r.clients.all) == 0 && !r.loop.HasUnsent() {
		if r.shutdown.emptySince == 0 {
			r.shutdown.emptySince = now
		}
		if now-r.shutdown.emptySince > shutdownCloseGrace &&
			(r.handOver.successor == nil || !r.handOver.successor.HasUnsent()) {
			r.log.Info("stopped", "ms", int(now-r.shutdown.startedAt))
			r.loop.Quit()
			return
		}
	} else {
		r.shutdown.emptySince = 0
	}
	r.loop.SetTimer(&r.shutdown.timer, shutdownSweepInterval)
}

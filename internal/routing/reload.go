package routing

import (
	"larchthread/internal/params"
	"larchthread/internal/transport"
)

// Reload takes a configuration that was read anew. It may be called from any goroutine.
func (r *Router) Reload(told *params.Told) {
	r.told.Store(told)
	r.loop.Ring()
}

// reload moves the watch to where the new configuration says. The list, the ops and all other connections stay;
// what else has changed counts from the next start.
func (r *Router) reload() {
	told := r.told.Swap(nil)
	if told == nil {
		return
	}
	r.log.Info("configuration read anew", "discovery", told.Discovery.String())
	if told.Discovery != r.watch.address && !r.byHand {
		r.watch.end(transport.WatchMoved)
		r.watch.address = told.Discovery
		r.balancer.ListMoved()
	}
}

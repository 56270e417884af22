package routing

import (
	"sync/atomic"

	"larchthread/balance"
	"larchthread/internal/params"
	"larchthread/internal/transport"
)

// configuration is what the instance was told, and goes by until it ends.
type configuration struct {
	params     params.Params
	categories map[string]*balance.Category
	reread     atomic.Pointer[params.StartFile] // a start file that was read anew, still to be heeded
}

// Reload takes a configuration that was read anew. It may be called from any goroutine.
func (r *Router) Reload(startFile *params.StartFile) {
	r.configuration.reread.Store(startFile)
	r.loop.Wake()
}

// reload moves the watch to where the new configuration says. The list, the ops and all other connections stay;
// what else has changed counts from the next start.
func (r *Router) reload() {
	startFile := r.configuration.reread.Swap(nil)
	if startFile == nil {
		return
	}
	r.log.Info("configuration read anew", "discovery", startFile.Discovery.String())
	if startFile.Discovery != r.watch.address && !r.inventory.inUse {
		r.watch.end(transport.WatchMoved)
		r.watch.address = startFile.Discovery
		r.balancer.HostListMoved()
	}
}

package routing

import (
	"sync/atomic"

	"larchthread/balance"
	"larchthread/internal/params"
	"larchthread/internal/transport"
)

// configuration holds the settings in force. Except for discovery's address they stay until the process ends.
type configuration struct {
	params     params.Params
	categories map[string]*balance.Category
	pending    atomic.Pointer[params.StartFile] // newly read start file that is not applied yet
}

// Reload applies a newly read start file in the next round. It may be called from any goroutine.
func (r *Router) Reload(startFile *params.StartFile) {
	r.configuration.pending.Store(startFile)
	r.loop.Wake()
}

// applyReload moves the watch to the configured discovery address. The host list, ops and other connections
// stay. Other settings take effect at the next start.
func (r *Router) applyReload() {
	startFile := r.configuration.pending.Swap(nil)
	if startFile == nil {
		return
	}
	r.log.Info("configuration read anew", "discovery", startFile.Discovery.String())
	if startFile.Discovery != r.watch.address && !r.inventory.inUse {
		r.watch.close(transport.WatchMoved)
		r.watch.address = startFile.Discovery
		r.balancer.HostListMoved()
	}
}

package routing

import (
	"errors"

	"larchthread/balance"
	"larchthread/internal/transport"
)

// ErrNeverListed reports an id that this router has never seen in a host list.
var ErrNeverListed = errors.New("no cache host was ever listed under that id")

// ErrNotListening reports a call that is not accepted until the router listens.
var ErrNotListening = errors.New("not listening yet")

// errOrigin reports a ban on the origin.
var errOrigin = errors.New("the origin is no cache host: without it nothing could be written or fetched")

// Ban excludes a cache host from new ops, whatever host lists say, or lifts the ban. It also applies to the
// other process during an upgrade. done is called with nil or the error: ErrNotListening, ErrNeverListed or
// that the host is the origin.
func (r *Router) Ban(id string, banned bool, done func(error)) {
	if r.clients.listener == nil { // during take-over the previous process would not learn of it
		done(ErrNotListening)
		return
	}
	err := r.ApplyBan(id, banned)
	if r.handOver.peer == nil || err == errOrigin {
		done(err)
		return
	}
	r.handOver.peer.ForwardBan(id, banned, func(known bool) {
		if known && err == ErrNeverListed {
			r.hosts.past.add(id)
			err = r.ApplyBan(id, banned)
		}
		done(err)
	})
}

// ApplyBan bans a host in this process only, or lifts its ban. It returns ErrNeverListed for an unknown id and
// another error for the origin.
func (r *Router) ApplyBan(id string, banned bool) error {
	h, err := r.findBannable(id)
	if err != nil {
		return err
	}
	r.balancer.SetBanned(&h.Host, banned)
	if banned {
		h.onBan()
		return nil
	}
	h.silent = false
	h.closeIdle(transport.HostGone)
	return nil
}

// banAll applies the bans of another process.
func (r *Router) banAll(ids []string) {
	var hosts []*balance.Host
	for _, id := range ids {
		r.hosts.past.add(id)
		if h, err := r.findBannable(id); err == nil {
			hosts = append(hosts, &h.Host)
		}
	}
	if len(hosts) == 0 {
		return
	}
	r.balancer.BanHosts(hosts)
	for _, b := range hosts {
		b.Ref.(*host).onBan()
	}
}

// onBan stops using a host that has just been banned.
func (h *host) onBan() {
	h.silent = false
	h.withdraw()
}

// findBannable returns the cache host with that id. A former host is registered again as gone, since it may
// return under the same id.
func (r *Router) findBannable(id string) (*host, error) {
	h := r.hosts.byID[id]
	if h == nil && r.hosts.past.ids[id] {
		h = r.hosts.add(id, false)
		h.Status = balance.Gone
	}
	switch {
	case h == nil:
		return nil, ErrNeverListed
	case h.IsOrigin:
		return nil, errOrigin
	}
	return h, nil
}

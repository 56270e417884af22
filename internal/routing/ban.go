package routing

import (
	"errors"

	"larchthread/balance"
	"larchthread/internal/transport"
)

// ErrNeverListed is the error of a ban on an id that was never listed here.
var ErrNeverListed = errors.New("no cache host was ever listed under that id")

// ErrNotListening is the error of what has to wait until it listens.
var ErrNotListening = errors.New("not listening yet")

var errOrigin = errors.New("the origin is no cache host: without it nothing could be written or fetched")

// Ban takes a cache host out of use by hand, or puts it back; done hears the outcome. From then on nothing new is sent to
// it, whatever lists say, by this process or the other of an upgrade.
func (r *Router) Ban(id string, out bool, done func(error)) {
	if r.clients.listener == nil { // the process before is not bound yet by what this one is told
		done(ErrNotListening)
		return
	}
	err := r.ApplyBan(id, out)
	if r.handOver.partner == nil || err == errOrigin {
		done(err)
		return
	}
	r.handOver.partner.ForwardBan(id, out, func(known bool) {
		if known && err == ErrNeverListed {
			r.hosts.past.add(id)
			err = r.ApplyBan(id, out)
		}
		done(err)
	})
}

// ApplyBan bans a host here, or lifts its ban.
func (r *Router) ApplyBan(id string, out bool) error {
	h, err := r.bannable(id)
	if err != nil {
		return err
	}
	r.balancer.SetBanned(&h.Host, out)
	if out {
		h.takeOut()
		return nil
	}
	h.silent = false
	h.hangUp(transport.HostGone)
	return nil
}

// banAll bans the hosts that another process has banned.
func (r *Router) banAll(ids []string) {
	var hosts []*balance.Host
	for _, id := range ids {
		r.hosts.past.add(id)
		if h, err := r.bannable(id); err == nil {
			hosts = append(hosts, &h.Host)
		}
	}
	if len(hosts) == 0 {
		return
	}
	r.balancer.BanHosts(hosts)
	for _, b := range hosts {
		b.Ref.(*host).takeOut()
	}
}

// takeOut ends what the router keeps for a host that has just been banned.
func (h *host) takeOut() {
	h.silent = false
	h.leave()
}

// bannable finds the host that a call names, also one that is known no more: it may come back under its id.
func (r *Router) bannable(id string) (*host, error) {
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

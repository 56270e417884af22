package balance

// Which hosts are in use: the subscription to the host list, the cycle, warm-up and slow start.

import (
	"cmp"
	"math"
	"slices"
)

const (
	pointsPerHost = 100 // points on the cycle of a host of usual size; shares differ by about a tenth

	// Concurrency limits. "Of all balancers" values are divided by the number of balancers.
	fleetMinPerHost      = 2.0  // least limit of all balancers, in pushes per host
	fleetInitialPerHost  = 16.0 // initial limit of all balancers, in pushes per host
	originInitialPerHost = 1.5  // initial limit of all balancers, in fetches per host
	// Fetches of this balancer, at the least: its own ops tell nothing of those of the others.
	originMinInitialLimit = 4.0

	// Slow start.
	coldBudgetShare = 0.5 // of a cold host's crashing load; two full budgets can fall into one OverloadTime

	// Subscription to the host list.
	listRetryDelay = 500.0 // ms, first wait after a failed call, plus jitter of as much; doubled once
	// ms within which the next call follows a failed one: changes bind after 6 s, 1.5 of them for an answer.
	listRetryWindow = 4500.0
)

// subscribe subscribes to the host list.
func (b *Balancer) subscribe() {
	b.listPending, b.listCallAt = true, b.now
	b.frontend.SubscribeHostList()
}

// HostListFailed tells that a call for the host list failed or the subscription ended. The next call follows
// after a jittered wait, so that not all balancers call together. The wait is short enough to meet
// listRetryWindow, since discovery may have been back from just after the failed call on.
func (b *Balancer) HostListFailed() {
	left := listRetryWindow
	if b.listPending {
		left -= b.now - b.listCallAt
	}
	b.listPending, b.listCallAt = false, b.now+math.Min(b.listRetryWait, left/2)*(1+b.rng.uniform())
	b.listRetryWait = math.Min(b.listRetryWait*2, listRetryDelay*2)
}

// HostListMoved tells that the host list has another source now, or that the subscription is silent. The
// Balancer subscribes again at once.
func (b *Balancer) HostListMoved() {
	if b.ListOnRequest {
		b.listRetryWait = listRetryDelay
		b.subscribe()
	}
}

// HostsListed takes a host list: a complete one, or changes to the last one. One that was saved earlier
// (saved) does not answer a pending call.
func (b *Balancer) HostsListed(entries []HostEntry, complete, saved bool) {
	if !saved {
		b.listPending, b.listCallAt, b.listRetryWait = false, math.Inf(1), listRetryDelay
	}
	if complete {
		for _, h := range slices.Concat(b.hosts, b.origins) {
			h.Status = Gone
		}
	}
	for _, e := range entries {
		h, hosts := e.Host, &b.hosts
		if h.IsOrigin {
			hosts = &b.origins
		}
		// Another UpSince means a restarted host. Where clocks differ, it may also be an earlier one.
		if e.UpSince > h.UpSince || b.UpSinceSkew > 0 && e.UpSince != h.UpSince {
			b.noteHostDown(h)
			h.connOpen, h.connUnproven, h.coldBudget, h.coldBudgetSince = false, false, 0, 0
			h.resetHealth()
		}
		h.Listing = e.Listing
		if !slices.Contains(*hosts, h) {
			*hosts = append(*hosts, h)
		}
	}
	b.rebuildCycle()
}

// SetBanned takes a cache host out of use by an operator's order, or puts it back, whatever the list says. It
// resets the host's health, because the host is restarted during a ban, but not its cold budget, which a
// short ban would refill.
func (b *Balancer) SetBanned(h *Host, banned bool) {
	h.Banned = banned
	h.resetHealth()
	b.rebuildCycle()
}

// rebuildCycle puts the usable hosts on the cycle, at points that depend on a host's name and size alone, and
// adapts the limits to their number.
func (b *Balancer) rebuildCycle() {
	isGone := func(h *Host) bool { return h.Status == Gone }
	all := slices.Clone(b.hosts)
	b.hosts = slices.DeleteFunc(b.hosts, isGone)
	b.origins = slices.DeleteFunc(b.origins, isGone)
	slices.SortFunc(b.hosts, func(x, y *Host) int { return cmp.Compare(x.Name, y.Name) })
	b.readyHosts, b.totalSize = b.readyHosts[:0], 0
	for _, h := range b.hosts {
		if h.Usable() {
			b.readyHosts = append(b.readyHosts, h)
			b.totalSize += h.Size
		}
	}
	if b.sizeUnit == 0 && len(b.readyHosts) > 0 {
		// Sizes have no unit. The mean, rounded to a power of two, is the same at balancers whose lists
		// differ slightly.
		b.sizeUnit = math.Exp2(math.Round(math.Log2(b.totalSize / float64(len(b.readyHosts)))))
	}
	b.cycle.update(all, func(h *Host) int {
		if !h.Usable() {
			return 0
		}
		return max(1, int(math.Round(pointsPerHost*math.Sqrt(h.Size/b.sizeUnit))))
	})
	for _, h := range b.readyHosts {
		b.coldUntil = math.Max(b.coldUntil, h.UpSince+b.WarmupTime+b.UpSinceSkew)
		b.activatePoints(h)
		h.slowdown = math.Max(h.slowdown, 1)
	}
	if len(b.readyHosts) == 0 {
		return
	}
	hostsPerBalancer := float64(len(b.readyHosts)) / float64(b.GroupSize)
	b.fleetLimiter.minLimit = fleetMinPerHost * hostsPerBalancer
	if math.IsInf(b.fleetLimiter.limit, 1) { // the first list
		// Hosts may not hold a connection from each of so many balancers. Where crossing zones is expensive,
		// keys start in the own zone; recordOutcome raises the share as new connections succeed.
		if b.GroupSize > len(b.readyHosts) && b.CrossZoneCost >= b.FetchCost {
			b.crossZoneShare = 0
		}
		b.originLimiter.limit = math.Max(originInitialPerHost*hostsPerBalancer, originMinInitialLimit)
		b.fleetLimiter.limit = math.Max(1, fleetInitialPerHost*hostsPerBalancer)
	}
	b.fleetLimiter.limit = math.Max(b.fleetLimiter.limit, b.fleetLimiter.minLimit)
	b.countEjected()
	b.dispatch(&b.fleetLimiter)
}

// activatePoints activates the share of a host's points on the cycle that matches its warmth.
func (b *Balancer) activatePoints(h *Host) {
	h.activePoints = int(math.Ceil(float64(len(h.pointHashes)) * b.warmth(h)))
}

// warmth returns the share of its capacity that a host has at the least, from ColdCapacity to 1.
func (b *Balancer) warmth(h *Host) float64 {
	age := b.now - h.UpSince - b.UpSinceSkew
	if h.UpSince <= 0 || age >= b.WarmupTime {
		return 1
	}
	return b.ColdCapacity + (1-b.ColdCapacity)*math.Max(age, 0)/b.WarmupTime
}

// hasColdBudget tells whether a host is warm or has budget left for a push. The budget of a cold host for a
// window of OverloadTime follows from what warm hosts of its size get from this balancer, so that the budgets
// of all balancers add up. Budgets below one push are granted at random, or all balancers would push at once.
func (b *Balancer) hasColdBudget(h *Host) bool {
	warmth := b.warmth(h)
	if warmth >= 1 || b.coldHostsYielded {
		return warmth >= 1
	}
	if b.now-h.coldBudgetSince >= b.OverloadTime {
		// A host can always serve one op after another. Without that minimum, a fleet without warm hosts
		// would never be pushed to.
		slowest := slices.MaxFunc(b.Categories, func(x, y *Category) int {
			return cmp.Compare(x.avgLatency, y.avgLatency)
		})
		rate := math.Max(b.pushRate*h.Size,
			1/(math.Max(slowest.avgLatency, tickInterval)*float64(b.GroupSize)))
		h.coldBudgetSince = b.now
		h.coldBudget = math.Floor(
			rate*b.OverloadMultiple*warmth*coldBudgetShare*b.OverloadTime + b.rng.uniform())
	}
	return h.coldBudget >= 1
}

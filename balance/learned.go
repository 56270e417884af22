package balance

import (
	"maps"
	"math"
	"slices"
)

// Learned is what one process of an instance has learned that the next goes by. Times are Unix ms, as At tells them.
type Learned struct {
	Rate, Usual   float64
	Fleet, Origin LimiterState
	First         int                  `json:",omitempty"` // category of the first row, where this is a part
	Rows          []CategoryState      // by category, as the start has them
	Hosts         map[string]HostState // by name
}

// LimiterState is what a gate has learned.
type LimiterState struct{ Limit, Pain, Lat, Dev float64 }

// CategoryState is what a category has learned, and its target latency, by which it is known again.
type CategoryState struct{ Target, Lat, Dev float64 }

// HostState is what is known of a host, and since when that is up.
type HostState struct{ UpSince, Slow, Fail, Rest, RestUntil, Budget, Budgeted float64 }

// Learned tells what has been learned. Before there is a list, that is nothing.
func (b *Balancer) Learned() Learned {
	l := Learned{Hosts: map[string]HostState{}}
	if math.IsInf(b.fleetLimiter.limit, 1) {
		return l
	}
	l.Rate, l.Usual, l.Fleet, l.Origin = b.pushRate, b.avgSlowdown, b.fleetLimiter.snapshot(), b.originLimiter.snapshot()
	for _, c := range b.Categories {
		l.Rows = append(l.Rows, CategoryState{c.Target, c.avgLatency, c.latencyDev})
	}
	for _, h := range b.hosts {
		l.Hosts[h.Name] = HostState{h.UpSince, h.slowdown, h.failRate, h.ejectTime, h.ejectedUntil, h.coldBudget, h.coldBudgetSince}
	}
	return l
}

func (g *limiter) snapshot() LimiterState {
	return LimiterState{g.limit, g.congestion, g.avgLatency, g.latencyDev}
}

// Restore takes what the process before has learned. What is of another category, or of a host that has started anew, is left.
func (b *Balancer) Restore(l Learned) {
	if len(l.Rows) > 0 && !math.IsInf(b.fleetLimiter.limit, 1) {
		b.pushRate, b.avgSlowdown = l.Rate, l.Usual
		b.fleetLimiter.restore(l.Fleet)
		b.originLimiter.restore(l.Origin)
	}
	for i, r := range l.Rows {
		if at := l.First + i; at < len(b.Categories) && b.Categories[at].Target == r.Target {
			b.Categories[at].avgLatency, b.Categories[at].latencyDev = r.Lat, r.Dev
		}
	}
	for _, h := range b.hosts {
		if r, ok := l.Hosts[h.Name]; ok && r.UpSince == h.UpSince {
			h.slowdown, h.failRate, h.ejectTime, h.ejectedUntil, h.coldBudget, h.coldBudgetSince = r.Slow, r.Fail, r.Rest, r.RestUntil, r.Budget, r.Budgeted
		}
	}
	b.countEjected()
}

func (g *limiter) restore(x LimiterState) {
	if x.Limit > 0 {
		g.limit, g.congestion, g.avgLatency, g.latencyDev = math.Max(x.Limit, g.minLimit), x.Pain, x.Lat, x.Dev
	}
}

// YieldColdHosts leaves cold hosts to the process that takes this one's place, or takes them back: their budget is one process's at a
// time.
func (b *Balancer) YieldColdHosts(on bool) { b.coldHostsYielded = on }

// BanHosts takes cache hosts out of use by hand, as Ban does one. The others are laid out once, not for each ban: that takes a
// look at all hosts.
func (b *Balancer) BanHosts(hosts []*Host) {
	for _, h := range hosts {
		h.Banned = true
		h.resetHealth()
	}
	b.rebuildCycle()
}

// Split cuts what was learned into parts of so many categories or hosts at the most, for messages of bounded length.
func (l Learned) Split(most int) (all []Learned) {
	first := l.First
	for rows := range slices.Chunk(l.Rows, most) {
		part := l
		part.First, part.Rows, part.Hosts = first, rows, nil
		all = append(all, part)
		first += len(rows)
	}
	for names := range slices.Chunk(slices.Sorted(maps.Keys(l.Hosts)), most) {
		part := Learned{Hosts: map[string]HostState{}}
		for _, n := range names {
			part.Hosts[n] = l.Hosts[n]
		}
		all = append(all, part)
	}
	return all
}

// HostCounts tells how many cache hosts are listed, and how many of them get no op now.
func (b *Balancer) HostCounts() (listed, avoided int) {
	b.countEjected()
	if avoided = len(b.hosts) - len(b.readyHosts); float64(b.ejectedCount) <= maxEjectedShare*float64(len(b.readyHosts)) {
		avoided += b.ejectedCount
	}
	return len(b.hosts), avoided
}

package balance

import (
	"maps"
	"math"
	"slices"
)

// Learned is the learned state that one process of an instance hands to its successor. Times are Unix ms, as
// passed to Advance.
type Learned struct {
	Rate, Usual   float64
	Fleet, Origin LimiterState
	First         int                  `json:",omitempty"` // index of the category of Rows[0]
	Rows          []CategoryState      // in the order of Config.Categories
	Hosts         map[string]HostState // by name
}

// LimiterState is the learned state of a concurrency limiter.
type LimiterState struct{ Limit, Pain, Lat, Dev float64 }

// CategoryState is the learned latency of a category. Target identifies the category.
type CategoryState struct{ Target, Lat, Dev float64 }

// HostState is the learned state of a host that has been up since UpSince.
type HostState struct{ UpSince, Slow, Fail, Rest, RestUntil, Budget, Budgeted float64 }

// Learned returns the learned state; nothing before the first host list.
func (b *Balancer) Learned() Learned {
	l := Learned{Hosts: map[string]HostState{}}
	if math.IsInf(b.fleetLimiter.limit, 1) {
		return l
	}
	l.Rate, l.Usual, l.Fleet, l.Origin =
		b.pushRate, b.avgSlowdown, b.fleetLimiter.snapshot(), b.originLimiter.snapshot()
	for _, c := range b.Categories {
		l.Rows = append(l.Rows, CategoryState{c.Target, c.avgLatency, c.latencyDev})
	}
	for _, h := range b.hosts {
		l.Hosts[h.Name] = HostState{h.UpSince, h.slowdown, h.failRate, h.ejectTime, h.ejectedUntil,
			h.coldBudget, h.coldBudgetSince}
	}
	return l
}

// snapshot returns the limiter's learned state, as restore takes it.
func (lim *limiter) snapshot() LimiterState {
	return LimiterState{lim.limit, lim.congestion, lim.avgLatency, lim.latencyDev}
}

// Restore takes over the state that the previous process has learned. It skips categories whose target has
// changed and hosts that have restarted.
func (b *Balancer) Restore(l Learned) {
	if len(l.Rows) > 0 && !math.IsInf(b.fleetLimiter.limit, 1) {
		b.pushRate, b.avgSlowdown = l.Rate, l.Usual
		b.fleetLimiter.restore(l.Fleet)
		b.originLimiter.restore(l.Origin)
	}
	for i, row := range l.Rows {
		if at := l.First + i; at < len(b.Categories) && b.Categories[at].Target == row.Target {
			b.Categories[at].avgLatency, b.Categories[at].latencyDev = row.Lat, row.Dev
		}
	}
	for _, h := range b.hosts {
		if s, ok := l.Hosts[h.Name]; ok && s.UpSince == h.UpSince {
			h.slowdown, h.failRate, h.ejectTime, h.ejectedUntil, h.coldBudget, h.coldBudgetSince =
				s.Slow, s.Fail, s.Rest, s.RestUntil, s.Budget, s.Budgeted
		}
	}
	b.countEjected()
}

// restore sets the learned state, the limit at least minLimit. It ignores s if s.Limit is not above 0.
func (lim *limiter) restore(s LimiterState) {
	if s.Limit > 0 {
		lim.limit, lim.congestion, lim.avgLatency, lim.latencyDev =
			math.Max(s.Limit, lim.minLimit), s.Pain, s.Lat, s.Dev
	}
}

// YieldColdHosts stops pushes to cold hosts during a take-over, or resumes them: only one process at a time
// may spend the instance's budget for them.
func (b *Balancer) YieldColdHosts(on bool) { b.coldHostsYielded = on }

// BanHosts bans cache hosts as SetBanned does, but rebuilds the cycle only once.
func (b *Balancer) BanHosts(hosts []*Host) {
	for _, h := range hosts {
		h.Banned = true
		h.resetHealth()
	}
	b.rebuildCycle()
}

// Split cuts l into parts of at most maxItems categories or hosts each, to bound the size of messages.
func (l Learned) Split(maxItems int) (parts []Learned) {
	first := l.First
	for rows := range slices.Chunk(l.Rows, maxItems) {
		part := l
		part.First, part.Rows, part.Hosts = first, rows, nil
		parts = append(parts, part)
		first += len(rows)
	}
	for names := range slices.Chunk(slices.Sorted(maps.Keys(l.Hosts)), maxItems) {
		part := Learned{Hosts: map[string]HostState{}}
		for _, name := range names {
			part.Hosts[name] = l.Hosts[name]
		}
		parts = append(parts, part)
	}
	return parts
}

// HostCounts returns how many cache hosts are listed, and how many of them get no ops now: those not usable,
// and the ejected ones as long as ejections hold.
func (b *Balancer) HostCounts() (listed, avoided int) {
	b.countEjected()
	if avoided = len(b.hosts) - len(b.readyHosts); float64(b.ejectedCount) <=
		maxEjectedShare*float64(len(b.readyHosts)) {
		avoided += b.ejectedCount
	}
	return len(b.hosts), avoided
}

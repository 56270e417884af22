package balance

import (
	"maps"
	"math"
	"slices"
)

// Learned is what one process of an instance has learned that the next goes by. Times are Unix ms, as At tells them.
type Learned struct {
	Rate, Usual   float64
	Fleet, Origin Gauge
	First         int               `json:",omitempty"` // category of the first row, where this is a part
	Rows          []Row             // by category, as the start has them
	Hosts         map[string]Record // by name
}

// Gauge is what a gate has learned.
type Gauge struct{ Limit, Pain, Lat, Dev float64 }

// Row is what a category has learned, and its target latency, by which it is known again.
type Row struct{ Target, Lat, Dev float64 }

// Record is what is known of a host, and since when that is up.
type Record struct{ UpSince, Slow, Fail, Rest, RestUntil, Budget, Budgeted float64 }

// Learned tells what has been learned. Before there is a list, that is nothing.
func (b *Balancer) Learned() Learned {
	l := Learned{Hosts: map[string]Record{}}
	if math.IsInf(b.fleet.limit, 1) {
		return l
	}
	l.Rate, l.Usual, l.Fleet, l.Origin = b.rate, b.usual, b.fleet.gauge(), b.origin.gauge()
	for _, c := range b.Categories {
		l.Rows = append(l.Rows, Row{c.Target, c.lat, c.dev})
	}
	for _, h := range b.hosts {
		l.Hosts[h.Name] = Record{h.UpSince, h.slow, h.fail, h.rest, h.restUntil, h.budget, h.budgeted}
	}
	return l
}

func (g *gate) gauge() Gauge { return Gauge{g.limit, g.pain, g.lat, g.dev} }

// Resume takes what the process before has learned. What is of another category, or of a host that has started anew, is left.
func (b *Balancer) Resume(l Learned) {
	if len(l.Rows) > 0 && !math.IsInf(b.fleet.limit, 1) {
		b.rate, b.usual = l.Rate, l.Usual
		b.fleet.resume(l.Fleet)
		b.origin.resume(l.Origin)
	}
	for i, r := range l.Rows {
		if at := l.First + i; at < len(b.Categories) && b.Categories[at].Target == r.Target {
			b.Categories[at].lat, b.Categories[at].dev = r.Lat, r.Dev
		}
	}
	for _, h := range b.hosts {
		if r, ok := l.Hosts[h.Name]; ok && r.UpSince == h.UpSince {
			h.slow, h.fail, h.rest, h.restUntil, h.budget, h.budgeted = r.Slow, r.Fail, r.Rest, r.RestUntil, r.Budget, r.Budgeted
		}
	}
	b.countResting()
}

func (g *gate) resume(x Gauge) {
	if x.Limit > 0 {
		g.limit, g.pain, g.lat, g.dev = math.Max(x.Limit, g.floor), x.Pain, x.Lat, x.Dev
	}
}

// Yield leaves cold hosts to the process that takes this one's place, or takes them back: their budget is one process's at a
// time.
func (b *Balancer) Yield(on bool) { b.yielded = on }

// BanAll takes cache hosts out of use by hand, as Ban does one. The others are laid out once, not for each ban: that takes a
// look at all hosts.
func (b *Balancer) BanAll(hosts []*Host) {
	for _, h := range hosts {
		h.Banned = true
		h.forgive()
	}
	b.layOut()
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
		part := Learned{Hosts: map[string]Record{}}
		for _, n := range names {
			part.Hosts[n] = l.Hosts[n]
		}
		all = append(all, part)
	}
	return all
}

// Hosts tells how many cache hosts are listed, and how many of them get no op now.
func (b *Balancer) Hosts() (listed, avoided int) {
	b.countResting()
	if avoided = len(b.hosts) - len(b.ready); float64(b.resting) <= restShare*float64(len(b.ready)) {
		avoided += b.resting
	}
	return len(b.hosts), avoided
}

package routing

import "larchthread/balance"

// Tally counts the ops of a category by their last answer.
type Tally struct {
	Name                        string
	Acked, Nacked, DeadLettered int
}

// Figures are what operators read of a balancer.
type Figures struct {
	Categories []*Tally // in the order of the start parameters
	Pushes     int      // written whole to cache hosts
	Open       int      // ops without a last answer
	Hosts      int      // cache hosts on the list
	Avoided    int      // of these, those that get no op now
}

// counters counts what operators read, where it happens.
type counters struct {
	tallies    []*Tally // in the order of the start parameters
	byCategory map[*balance.Category]*Tally
	pushes     int // written whole to cache hosts
}

func newCounters() counters { return counters{byCategory: map[*balance.Category]*Tally{}} }

// add has the ops of a category counted.
func (c *counters) add(name string, category *balance.Category) {
	t := &Tally{Name: name}
	c.tallies = append(c.tallies, t)
	c.byCategory[category] = t
}

// Figures tells how things stand.
func (r *Router) Figures() Figures {
	f := Figures{Categories: r.counters.tallies, Pushes: r.counters.pushes, Open: len(r.clients.ops)}
	f.Hosts, f.Avoided = r.balancer.HostCounts()
	return f
}

package routing

import "larchthread/balance"

// CategoryCounts counts the ops of a category by their last answer.
type CategoryCounts struct {
	Name                        string
	Acked, Nacked, DeadLettered int
}

// Stats are what operators read of a balancer.
type Stats struct {
	Categories []*CategoryCounts // in the order of the start parameters
	Pushes     int               // written whole to cache hosts
	OpenOps    int               // ops without a last answer
	Hosts      int               // cache hosts on the list
	Avoided    int               // of these, those that get no op now
}

// counters counts what operators read, where it happens.
type counters struct {
	tallies    []*CategoryCounts // in the order of the start parameters
	byCategory map[*balance.Category]*CategoryCounts
	pushes     int // written whole to cache hosts
}

func newCounters() counters { return counters{byCategory: map[*balance.Category]*CategoryCounts{}} }

// add has the ops of a category counted.
func (c *counters) add(name string, category *balance.Category) {
	t := &CategoryCounts{Name: name}
	c.tallies = append(c.tallies, t)
	c.byCategory[category] = t
}

// Stats tells how things stand.
func (r *Router) Stats() Stats {
	f := Stats{Categories: r.counters.tallies, Pushes: r.counters.pushes, OpenOps: len(r.clients.ops)}
	f.Hosts, f.Avoided = r.balancer.HostCounts()
	return f
}

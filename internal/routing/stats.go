package routing

import "larchthread/balance"

// CategoryCounts counts the ops of a category by how they were answered.
type CategoryCounts struct {
	Name                        string
	Acked, Nacked, DeadLettered int
}

// Stats are the counters and gauges of a router.
type Stats struct {
	Categories []*CategoryCounts // in the order of the settings
	Pushes     int               // sent in full to cache hosts
	OpenOps    int               // ops without a final answer
	Hosts      int               // listed cache hosts
	Avoided    int               // listed cache hosts that get no ops now
}

// counters holds the counters behind Stats.
type counters struct {
	categories []*CategoryCounts // in the order of the settings
	byCategory map[*balance.Category]*CategoryCounts
	pushes     int // sent in full to cache hosts
}

// newCounters returns counters without categories.
func newCounters() counters { return counters{byCategory: map[*balance.Category]*CategoryCounts{}} }

// add registers a category.
func (c *counters) add(name string, category *balance.Category) {
	counts := &CategoryCounts{Name: name}
	c.categories = append(c.categories, counts)
	c.byCategory[category] = counts
}

// Stats returns the current counters and gauges.
func (r *Router) Stats() Stats {
	s := Stats{Categories: r.counters.categories, Pushes: r.counters.pushes, OpenOps: len(r.clients.ids.open)}
	s.Hosts, s.Avoided = r.balancer.HostCounts()
	return s
}

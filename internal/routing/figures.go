package routing

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

// Figures tells how things stand.
func (r *Router) Figures() Figures {
	f := r.figures
	f.Open = len(r.clients.ops)
	f.Hosts, f.Avoided = r.balancer.Hosts()
	return f
}

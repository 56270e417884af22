package routing

import (
	"container/list"

	"larchthread/internal/transport"
)

// turnOver ends the connection that has had nothing open for the longest time, where there are many. Where clients open
// one for each op and keep it, those that may have no more go unheard.
func (r *Router) turnOver() {
	if r.atRest.Len() <= r.restMost {
		return
	}
	for e := r.atRest.Front(); e != nil; e = e.Next() {
		if c := e.Value.(*client); !c.conn.Unheard() { // else an op has come on it
			c.finish(transport.Surplus)
			return
		}
	}
}

// resting are the clients with nothing open, that for longest first.
type resting struct{ list.List }

func (l *resting) add(c *client) { c.rest = l.PushBack(c) }

func (l *resting) remove(c *client) {
	if c.rest != nil {
		l.Remove(c.rest)
		c.rest = nil
	}
}

package routing

import (
	"container/list"

	"larchthread/internal/transport"
)

// clientSide is the clients' listener, the connections that came over it, and the ops that came over those.
type clientSide struct {
	listener  *transport.Listener // nil until it listens
	all       []*client
	atRest    resting
	maxAtRest int            // clients with nothing open that may stay
	ops       map[string]*op // by id, those without an answer
}

// newClientSide makes one that keeps so many clients with nothing open.
func newClientSide(maxAtRest int) clientSide {
	return clientSide{maxAtRest: maxAtRest, ops: map[string]*op{}}
}

// add takes a client into the books.
func (s *clientSide) add(c *client) {
	c.place = len(s.all)
	s.all = append(s.all, c)
}

// remove takes a client out of the books.
func (s *clientSide) remove(c *client) {
	s.atRest.remove(c)
	last := s.all[len(s.all)-1]
	s.all[c.place], last.place = last, c.place
	s.all = s.all[:len(s.all)-1]
}

// rest notes that a client has nothing open, and ends the connection that has had nothing open for the longest time, where
// there are many. Where clients open one for each op and keep it, those that may have no more go unheard.
func (s *clientSide) rest(c *client) {
	s.atRest.add(c)
	if s.atRest.Len() <= s.maxAtRest {
		return
	}
	for e := s.atRest.Front(); e != nil; e = e.Next() {
		if c := e.Value.(*client); !c.conn.HasPendingInput() { // else an op has come on it
			c.finish(transport.SurplusIdle)
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

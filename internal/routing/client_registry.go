package routing

import (
	"container/list"

	"larchthread/internal/transport"
)

// clientRegistry holds the clients' listener, their connections and their open ops.
type clientRegistry struct {
	listener *transport.Listener // nil until the router listens
	all      []*client
	lastID   uint64 // of a client; 0 before the first
	idle     idleList
	maxIdle  int // idle clients that may stay connected
	ids      opIDs
}

// newClientRegistry returns an empty registry that keeps at most maxIdle idle clients.
func newClientRegistry(maxIdle int) clientRegistry {
	return clientRegistry{maxIdle: maxIdle, ids: newOpIDs()}
}

// add registers a client and gives it an id.
func (s *clientRegistry) add(c *client) {
	s.lastID++
	c.id = s.lastID
	c.index = len(s.all)
	s.all = append(s.all, c)
}

// remove deletes a client in constant time; the order of all is not kept.
func (s *clientRegistry) remove(c *client) {
	s.idle.remove(c)
	last := s.all[len(s.all)-1]
	s.all[c.index], last.index = last, c.index
	s.all = s.all[:len(s.all)-1]
}

// markIdle records that a client is idle. If more than maxIdle clients are idle, it closes the one that has
// been idle longest, so that clients that hold many connections don't keep others out.
func (s *clientRegistry) markIdle(c *client) {
	s.idle.add(c)
	if s.idle.Len() <= s.maxIdle {
		return
	}
	for e := s.idle.Front(); e != nil; e = e.Next() {
		c := e.Value.(*client)
		if !c.conn.HasPendingInput() && !c.conn.AwaitsPeer() { // else an op has just arrived on it, or it still reads
			c.closeGracefully(transport.SurplusIdle)
			return
		}
	}
}

// idleList holds the idle clients, the one idle longest first.
type idleList struct{ list.List }

// add appends a client as the one idle for the shortest time.
func (l *idleList) add(c *client) { c.idleElement = l.PushBack(c) }

// remove removes a client if it is in the list.
func (l *idleList) remove(c *client) {
	if c.idleElement != nil {
		l.Remove(c.idleElement)
		c.idleElement = nil
	}
}

package routing

import (
	"net/netip"

	"larchthread/internal/protocol"
	"larchthread/internal/transport"
)

// watch is the watch on discovery's list.
type watch struct {
	router   *Router
	address  netip.AddrPort
	conn     *transport.Conn
	lists    *protocol.ListReader
	revision uint64
	limit    transport.Timer // of a call that waits; a first one's is the balancer's
	whole    bool            // the whole list is asked for next
	asked    float64         // ms, when it was last
}

// begin begins a new watch, in place of one that may be on.
func (w *watch) begin() {
	w.end(transport.WatchRenewed)
	w.ask(watchFirst)
}

// ask makes the next call of the watch.
func (w *watch) ask(wait int) {
	if w.conn == nil {
		w.conn = w.router.loop.Dial("discovery", w.address, w)
		w.lists = protocol.NewListReader()
	}
	if w.whole {
		protocol.WriteListRequest(&w.conn.Out, w.address.String())
	} else {
		protocol.WriteWatchRequest(&w.conn.Out, w.address.String(), w.revision, wait)
	}
	w.conn.Flush()
	if wait != watchFirst {
		w.router.loop.SetTimer(&w.limit, watchWait+watchSlack)
	}
}

// end closes the connection to discovery.
func (w *watch) end(why transport.Reason) {
	w.router.loop.StopTimer(&w.limit)
	if w.conn != nil {
		w.lists.Free()
		w.conn.Close(why)
		w.conn = nil
	}
}

func (w *watch) fail(why transport.Reason) {
	w.end(why)
	w.router.balancer.HostListFailed()
}

// overdue gives up a call that is not answered in time. A watch may hang on a connection that is dead without a
// word: what is to be told counts as told soon after the wait, so it is asked for at once on a new one.
func (w *watch) overdue() {
	w.end(transport.WatchTimeout)
	w.router.balancer.HostListMoved()
}

// Received implements transport.Owner.
func (w *watch) Received(c *transport.Conn) {
	l, last, err := w.lists.Next(&c.In)
	w.take(l, last, err)
}

// Ended implements transport.Owner.
func (w *watch) Ended(c *transport.Conn, why transport.Reason) {
	if l, _, err := w.lists.Finish(); l != nil || err != nil {
		w.take(l, true, err)
		return
	}
	w.fail(why)
}

// take hands a list on, and goes on watching.
func (w *watch) take(l *protocol.HostList, last bool, err error) {
	switch {
	case err != nil:
		w.router.log.Warn("no list", "error", err)
		w.fail(transport.InvalidList)
		return
	case l == nil:
		return
	}
	if last {
		w.end(transport.CloseRequested)
	}
	w.whole = w.hides(l)
	w.revision = l.Revision
	w.ask(watchWait)
	if len(l.Members) > 0 {
		w.router.log.Info("list", "revision", l.Revision, "complete", l.Complete, "members", len(l.Members))
	}
	w.router.list(l, l.Complete, false)
}

// hides tells whether an answer keeps from this side what it has to know: the list has moved on, or back, and no entry says
// by what. The whole list is asked for then, though not again and again.
func (w *watch) hides(l *protocol.HostList) bool {
	now := w.router.loop.Now()
	if l.Complete || l.Revision == w.revision || l.Revision > w.revision && len(l.Members)+len(l.MemberErrors) > 0 || now-w.asked < wholePause {
		return false
	}
	w.asked = now
	return true
}

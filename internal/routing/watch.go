package routing

import (
	"net/netip"

	"larchthread/internal/protocol"
	"larchthread/internal/transport"
)

// watch follows discovery's host list with long-polling requests.
type watch struct {
	router          *Router
	address         netip.AddrPort
	conn            *transport.Conn
	decoder         *protocol.ListReader
	revision        uint64
	callTimer       transport.Timer // limits later requests; the balancer limits the first
	wantFullList    bool            // the next request asks for the full list
	fullListAskedAt float64         // ms
}

// restart starts a new watch and ends the current one, if any.
func (w *watch) restart() {
	w.close(transport.WatchRenewed)
	w.sendRequest(firstWatchWait)
}

// sendRequest sends the next request, which discovery may hold open for wait ms.
func (w *watch) sendRequest(wait int) {
	if w.conn == nil {
		w.conn = w.router.loop.Dial("discovery", w.address, w)
		w.decoder = protocol.NewListReader()
	}
	if w.wantFullList {
		protocol.WriteListRequest(&w.conn.Out, w.address.String())
	} else {
		protocol.WriteWatchRequest(&w.conn.Out, w.address.String(), w.revision, wait)
	}
	w.conn.Flush()
	if wait != firstWatchWait {
		w.router.loop.SetTimer(&w.callTimer, watchWait+watchSlack)
	}
}

// close closes the connection to discovery, if there is one.
func (w *watch) close(reason transport.Reason) {
	w.router.loop.StopTimer(&w.callTimer)
	if w.conn != nil {
		w.decoder.Free()
		w.conn.Close(reason)
		w.conn = nil
	}
}

// fail closes the connection to discovery and tells the balancer that no list came.
func (w *watch) fail(reason transport.Reason) {
	w.close(reason)
	w.router.balancer.HostListFailed()
}

// onTimeout replaces a connection on which discovery has not answered in time: it may be dead without a reset,
// and changes have to be known soon.
func (w *watch) onTimeout() {
	w.close(transport.WatchTimeout)
	w.router.balancer.HostListMoved()
}

// Received implements transport.ConnHandler: it reads a list.
func (w *watch) Received(c *transport.Conn) {
	l, last, err := w.decoder.Next(&c.In)
	w.handleList(l, last, err)
}

// Ended implements transport.ConnHandler: it takes a list that ends with the connection, or else fails.
func (w *watch) Ended(c *transport.Conn, reason transport.Reason) {
	if l, _, err := w.decoder.Finish(); l != nil || err != nil {
		w.handleList(l, true, err)
		return
	}
	w.fail(reason)
}

// handleList applies a list and sends the next request. last tells that the connection closes after this
// answer.
func (w *watch) handleList(l *protocol.HostList, last bool, err error) {
	switch {
	case err != nil:
		w.router.log.Warn("invalid answer from discovery", "error", err)
		w.fail(transport.InvalidList)
		return
	case l == nil:
		return
	}
	if last {
		w.close(transport.CloseRequested)
	}
	w.wantFullList = w.missesChanges(l)
	w.revision = l.Revision
	w.sendRequest(watchWait)
	if len(l.Members) > 0 {
		w.router.log.Info("list", "revision", l.Revision, "complete", l.Complete, "members", len(l.Members))
	}
	w.router.applyList(l, l.Complete, false)
}

// missesChanges reports whether the list's revision changed but no entry tells how, in which case the full list
// is needed. It returns true at most once per fullListInterval.
func (w *watch) missesChanges(l *protocol.HostList) bool {
	now := w.router.loop.Now()
	if l.Complete || l.Revision == w.revision || l.Revision > w.revision && len(l.Members)+len(l.MemberErrors) > 0 ||
		now-w.fullListAskedAt < fullListInterval {
		return false
	}
	w.fullListAskedAt = now
	return true
}

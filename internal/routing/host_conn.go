package routing

import (
	"errors"
	"slices"

	"larchthread/balance"
	"larchthread/internal/protocol"
	"larchthread/internal/transport"
)

// hostConn is a connection to a host. It carries one push at a time: pushes don't wait for each other's
// answers, and closing the connection cancels no other push.
type hostConn struct {
	router      *Router
	host        *host
	conn        *transport.Conn
	reader      protocol.AnswerReader
	push        *push
	unsentValue protocol.ValueWriter // the part of the push's value that is not written yet
	stream      *valueStream         // of the value that answers the push, or nil
	reused      bool                 // it has carried a push before
	reusedEarly bool                 // the push was assigned within duplicateAnswerWindow of the previous answer
	gotInput    bool                 // input has arrived since the push was assigned
	firstInput  float64              // ms; when the first of it arrived
	startOffset int                  // bytes that had been written when the push was assigned
}

// acquireConn returns the idle connection that was used last, or opens a new one. For a host that has fallen
// silent it always opens a new one: older connections may be dead, or break under a push without telling
// whether it ran.
//
// A second answer to one push must not be taken for the answer to the next. For the origin, and with requireRest,
// an idle connection is therefore used only after more than duplicateAnswerWindow.
func (h *host) acquireConn(r *Router, requireRest bool) *hostConn {
	if h.silent {
		h.closeIdle(transport.HostSilent)
	}
	minRest := 0.0
	if requireRest || h.IsOrigin {
		minRest = duplicateAnswerWindow
	}
	if hc := h.takeIdle(r, minRest); hc != nil {
		return hc
	}
	hc := &hostConn{router: r, host: h}
	kind := "host"
	if hc.reader = (&protocol.HostAnswerReader{}); h.IsOrigin {
		kind, hc.reader = "origin", protocol.NewOriginAnswerReader()
	}
	hc.conn = r.loop.Dial(kind, h.address, hc)
	hc.conn.BeforeWrite, hc.conn.AfterWrite = hc.beforeWrite, hc.afterWrite
	hc.conn.EvictionClass = func() transport.EvictionClass {
		if hc.push != nil && hc.push.op.state == opOpen { // a push whose op is already answered may be evicted
			return transport.Needed
		}
		return transport.Idle
	}
	hc.conn.LimitConnecting(r.hosts.connectTimeout)
	return hc
}

// takeIdle removes and returns the idle connection that was used last among those idle for more than minRest
// ms, or nil. It closes the connections it passes over that are too old or have unexpected input.
func (h *host) takeIdle(r *Router, minRest float64) *hostConn {
	for i := len(h.idleConns) - 1; i >= 0; i-- {
		hc := h.idleConns[i]
		idleTime := r.loop.Now() - hc.conn.LastUsed
		if idleTime <= minRest { // also skips connections answered in this round: more input, or their end, may follow
			continue
		}
		h.idleConns = slices.Delete(h.idleConns, i, i+1)
		switch {
		case idleTime >= r.hosts.idleTimeout*idleTimeoutShare:
			hc.conn.Close(transport.IdleTimeout)
		case hc.conn.IsQuiet():
			hc.reusedEarly = idleTime <= duplicateAnswerWindow
			return hc
		default:
			hc.conn.Close(transport.UnexpectedInput)
		}
	}
	return nil
}

// assign gives the connection a push, which is written at the end of this round or once the connection is open.
func (hc *hostConn) assign(p *push) {
	hc.push, p.hostConn, hc.gotInput = p, hc, false
	hc.startOffset = hc.conn.Written()
	hc.host.pushes = append(hc.host.pushes, p)
	hc.conn.Flush()
}

// beforeWrite writes the assigned push, if that is still to be done. The remaining time is computed only now,
// as late as possible.
func (hc *hostConn) beforeWrite() {
	p := hc.push
	if p == nil || p.state != pushWaiting {
		return
	}
	now := hc.router.loop.ReadClock()
	remaining := p.timeLeft(now)
	isTooLate := p.op.Category.Repeat == balance.Deduplicated && now > p.SendBy // the process may have been stopped
	if remaining < minRemaining || isTooLate {
		p.cancel(transport.PushTimeout)
		return
	}
	if p.isLarge() {
		remaining = hc.router.balancer.SendingStarted(p.Push, remaining)
	}
	p.setState(pushWriting)
	if f, ok := hc.reader.(*protocol.OriginAnswerReader); ok {
		f.IsWrite = p.op.command.Verb == protocol.Set
		hc.unsentValue = protocol.WriteOriginRequest(&hc.conn.Out, p.op.command, hc.host.address.String(), int(remaining))
	} else {
		hc.unsentValue = protocol.WriteCommand(&hc.conn.Out, p.op.command, int(remaining))
	}
	p.limitSending()
}

// afterWrite continues a large value, and counts a push once its last byte is written.
func (hc *hostConn) afterWrite() {
	p := hc.push
	if p != nil {
		p.reportDispatch()
	}
	switch {
	case p == nil:
	case !hc.unsentValue.Done() && p.op.state != opOpen: // the value is freed, and a partial command is of no use to the host
		p.cancel(transport.Cancelled)
	case hc.holdsLastPiece(): // reportSending writes it
	case hc.conn.Out.Len() == 0 && hc.unsentValue.WriteNext(&hc.conn.Out):
	case !p.fullyWritten && p.isSent():
		p.fullyWritten = true
		hc.router.noteSent(p.op)
		if !p.isLarge() {
			hc.router.loop.StopTimer(&p.writeTimer)
		}
		hc.router.counters.pushes++
	}
}

// takenBytes returns how many bytes of the push's command the host's system has taken in.
func (hc *hostConn) takenBytes() int { return max(0, hc.conn.Acknowledged()-hc.startOffset) }

// fail closes the connection and ends its push with the given outcome.
func (hc *hostConn) fail(reason transport.Reason, o balance.Outcome) {
	p := hc.push
	hc.close(reason)
	if p != nil {
		p.setState(pushEnded)
		hc.router.reportEnd(p, o)
	}
}

// close closes the connection and frees its buffers. It does not end the push.
func (hc *hostConn) close(reason transport.Reason) {
	if hc.stream != nil {
		hc.stream.release()
	}
	if hc.push != nil {
		hc.push.takenBytes = hc.takenBytes()
		if !hc.unsentValue.Done() { // a part of a command is of no use to the host
			hc.conn.DiscardUnsent()
		}
	}
	hc.push, hc.unsentValue = nil, protocol.ValueWriter{}
	hc.reader.Free() // otherwise the pool would count these buffers as used forever
	hc.host.idleConns = slices.DeleteFunc(hc.host.idleConns, func(x *hostConn) bool { return x == hc })
	hc.conn.Close(reason)
}

// Received implements transport.ConnHandler: it reads the answer to the push or continues its stream.
func (hc *hostConn) Received(c *transport.Conn) {
	switch {
	case hc.push == nil && c.In.Len() == 0: // a stream has consumed this input already
		return
	case hc.push == nil: // input without a request
		hc.close(transport.BadInput)
		return
	case hc.stream != nil:
		hc.stream.advance()
		return
	}
	if !hc.gotInput {
		hc.gotInput, hc.firstInput = true, hc.router.loop.Now()
	}
	a, err := hc.reader.Next(&c.In)
	if err == nil && hc.reader.BufferedBytes() > protocol.MaxBufferedValueBytes &&
		hc.router.loop.Pool.UsedBytes() > hc.router.memory.limitBytes/2 {
		err = errNoMemory
	}
	switch {
	case err != nil:
		hc.router.log.Warn("invalid answer from host", "peer", hc.host.Name, "error", err)
		hc.fail(transport.BadInput, balance.InvalidAnswer)
	case a != nil:
		hc.handleAnswer(a)
	default:
		hc.router.balancer.AnswerProgressed(hc.push.Push, hc.reader.ArrivedShare(&c.In))
	}
}

// errNoMemory ends an answer of unknown length that takes too much of the buffers.
var errNoMemory = errors.New("a long body without a length, and no memory to hold it")

// Ended implements transport.ConnHandler: it ends the push with an outcome that tells whether it may have run.
func (hc *hostConn) Ended(c *transport.Conn, reason transport.Reason) {
	if reason == transport.ConnectTimeout {
		hc.host.silent = true
	}
	switch {
	case reason == transport.Evicted && hc.push != nil:
		hc.push.cancel(reason)
		return
	case hc.stream != nil:
		hc.stream.hostEnded(reason)
		return
	case reason == transport.PeerClosed && hc.push != nil:
		if a := hc.reader.Finish(); a != nil {
			hc.handleAnswer(a)
			return
		}
	}
	o := balance.ConnBroken
	switch {
	case reason == transport.OutOfSockets:
		o = balance.NotSent
	case hc.push != nil && !hc.push.isSent(): // its last byte was never written
		o = balance.ConnectFailed
	case hc.reused && !hc.gotInput:
		o = balance.StaleConn
	}
	hc.fail(reason, o)
}

// handleAnswer takes the answer to the push: it ends the push, or starts to stream a large value.
func (hc *hostConn) handleAnswer(a *protocol.Answer) {
	p, op := hc.push, hc.push.op
	sent := p.isSent()
	if !a.Matches(op.command) || !sent && a.Kind <= protocol.Miss { // a command not sent in full can't have been served
		a.Value.Free()
		hc.fail(transport.WrongAnswer, balance.InvalidAnswer)
		return
	}
	hc.host.silent, hc.host.lastAnswerAt = false, hc.router.loop.Now()
	switch {
	case a.Kind == protocol.Value && a.StreamSize > 0 && op.state == opOpen && op.stream == nil:
		hc.startStream(a)
		return
	case a.StreamSize > 0: // the op is already answered
		p.cancel(transport.Cancelled)
		return
	}
	p.setState(pushEnded)
	hc.push = nil
	o := outcomeByKind[a.Kind]
	switch {
	case o == balance.Overloaded && !hc.reused && !hc.host.IsOrigin && hc.conn.IsAtEOF():
		o = balance.ConnLimited
		hc.close(transport.PeerTableFull)
	case !sent: // the rest of the command would precede the next push
		hc.close(transport.EarlyAnswer)
	case hc.reusedEarly && a.ID == "" && a.Kind != protocol.Value && a.Kind != protocol.Stored: // it may answer the previous push
		hc.close(transport.WrongAnswer)
	default:
		hc.keepIdle(a.Close)
	}
	if a.Kind == protocol.Value || a.Kind == protocol.Stored {
		if op.state == opOpen && op.stream == nil {
			hc.router.counters.byCategory[op.Category].Acked++
			hc.router.memory.recordAnswer(a.Value.Len())
			protocol.WriteAnswer(op.output(), op.command, a)
			op.client.completeOp(op)
		}
		a.Value.Free()
	}
	if a.ErrorText != "" {
		hc.router.log.Warn("host reported an error", "peer", hc.host.Name, "op", op.command.ID, "answer", a.ErrorText)
	}
	hc.router.reportEnd(p, o, a.Load...)
}

// keepIdle keeps the connection for another push, or closes it if it is not reusable. closeConn tells that the
// host asked for it to be closed.
func (hc *hostConn) keepIdle(closeConn bool) {
	hc.reused = true
	hc.conn.LastUsed = hc.router.loop.Now()
	switch {
	case hc.conn.In.Len() > 0: // unrequested input would be taken for the next answer
		hc.close(transport.BadInput)
	case closeConn:
		hc.close(transport.CloseRequested)
	case !hc.host.Usable() || hc.conn.Peer() != hc.host.address:
		hc.close(transport.HostGone)
	default:
		hc.host.idleConns = append(hc.host.idleConns, hc)
	}
}

// outcomeByKind maps the kinds of answers to outcomes of pushes.
var outcomeByKind = map[protocol.AnswerKind]balance.Outcome{protocol.Value: balance.Served, protocol.Stored: balance.Served,
	protocol.Miss: balance.CacheMiss, protocol.Busy: balance.Overloaded, protocol.Failure: balance.Failed,
	protocol.ClientError: balance.InvalidOp}

// closeIdle closes the idle connections.
func (h *host) closeIdle(reason transport.Reason) {
	for _, hc := range h.idleConns {
		hc.conn.Close(reason)
	}
	h.idleConns = nil
}

// withdraw stops using a host: it closes its idle connections and cancels the pushes that have not begun to be
// written: a connection that is still coming up may be established long after the drain's grace. The others may
// complete.
func (h *host) withdraw() {
	h.closeIdle(transport.HostGone)
	for _, p := range slices.Clone(h.pushes) {
		if p.state == pushWaiting {
			p.cancel(transport.HostGone)
		}
	}
}

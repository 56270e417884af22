package routing

import (
	"errors"
	"slices"

	"larchthread/balance"
	"larchthread/internal/protocol"
	"larchthread/internal/transport"
)

// link is a connection to a host. It carries one push at a time, so that none has to wait for the answer
// to another, and closing it calls off no other.
type link struct {
	router *Router
	host   *host
	conn   *transport.Conn
	reader protocol.AnswerReader
	push   *push
	rest   protocol.ValueWriter // of the push's value
	flow   *flow                // of the value that answers the push, or nil
	kept   bool                 // it has carried a push before
	early  bool                 // this one came so soon behind the last answer that another to that may still come
	heard  bool                 // bytes have come since the push was written
	coming transport.Timer      // until it has to be up
}

// link takes the connection used last, for the others may be idle too long, or opens one. To a host that has
// fallen silent it always opens one: connections from before are dead where the host has vanished, and may
// break under a push once it is back, so that nobody knows whether that ran. A new one tells soon.
//
// A second answer to one push must not be taken for the answer to the next. Most tell what they answer; where one could not
// be told, as those of a careful push can't, the connection has to have rested.
func (h *host) link(r *Router, careful bool) *link {
	if h.silent {
		h.hangUp(transport.HostSilent)
	}
	least := 0.0
	if careful || h.IsOrigin {
		least = secondFor
	}
	if l := h.rested(r, least); l != nil {
		return l
	}
	l := &link{router: r, host: h}
	kind := "host"
	if l.reader = (&protocol.HostAnswerReader{}); h.IsOrigin {
		kind, l.reader = "origin", protocol.NewOriginAnswerReader()
	}
	l.conn = r.loop.Dial(kind, h.address, l)
	l.conn.BeforeWrite, l.conn.AfterWrite = l.prepare, l.wrote
	l.conn.EvictionClass = func() transport.EvictionClass {
		if l.push != nil && l.push.op.state == open { // a second push whose op has its answer makes room
			return transport.Needed
		}
		return transport.Idle
	}
	l.coming.Fire = l.late
	r.loop.SetTimer(&l.coming, r.hosts.connectTimeout)
	return l
}

// rested takes the connection used last of those that have rested for so long.
func (h *host) rested(r *Router, least float64) *link {
	for i := len(h.idle) - 1; i >= 0; i-- {
		l := h.idle[i]
		rest := r.loop.Now() - l.conn.LastUsed
		if rest <= least { // none: answered in this round, and more, or its end, may be right behind the answer
			continue
		}
		h.idle = slices.Delete(h.idle, i, i+1)
		switch {
		case rest >= r.hosts.idleTimeout*idleShare:
			l.conn.Close(transport.IdleTimeout)
		case l.conn.IsQuiet():
			l.early = rest <= secondFor
			return l
		default:
			l.conn.Close(transport.UnexpectedInput)
		}
	}
	return nil
}

// carry has a push written once the connection is up and this round's input has been heard.
func (l *link) carry(p *push) {
	l.push, p.link, l.heard = p, l, false
	l.host.pushes = append(l.host.pushes, p)
	l.conn.Flush()
}

// prepare begins to write the push, if it has not been. Only now is it known how much time is left.
func (l *link) prepare() {
	p := l.push
	if p == nil || p.state != waiting {
		return
	}
	remaining, sending := p.split(l.router.loop.ReadClock())
	if remaining < leastLeft {
		p.callOff(transport.PushTimeout)
		return
	}
	p.move(writing)
	if f, ok := l.reader.(*protocol.OriginAnswerReader); ok {
		f.IsWrite = p.op.command.Verb == protocol.Set
		l.rest = protocol.WriteOriginRequest(&l.conn.Out, p.op.command, l.host.address.String(), int(remaining))
	} else {
		l.rest = protocol.WriteCommand(&l.conn.Out, p.op.command, int(remaining))
	}
	if p.op.command.Verb == protocol.Set {
		l.router.loop.SetTimer(&p.before, min(sending, p.SendBy-l.router.loop.Now()))
	}
}

// wrote goes on with a long value, and counts a push once its last byte is written.
func (l *link) wrote() {
	p := l.push
	if p != nil {
		p.went()
	}
	switch {
	case p == nil:
	case !l.rest.Done() && p.op.state != open: // the value is no more; half a command is of no use to the host
		p.callOff(transport.Cancelled)
	case l.conn.Out.Len() == 0 && l.rest.WriteNext(&l.conn.Out):
	case !p.whole && p.sent():
		p.whole = true
		l.router.loop.StopTimer(&p.before)
		l.router.counters.pushes++
	}
}

// late gives up a connection that does not come up.
func (l *link) late() {
	if l.conn.IsOpen() || l.push == nil {
		return
	}
	l.host.silent = true
	l.fail(transport.ConnectTimeout, balance.ConnectFailed)
}

// fail closes the connection and ends the push on it.
func (l *link) fail(why transport.Reason, o balance.Outcome) {
	p := l.push
	l.close(why)
	if p != nil {
		p.move(over)
		l.router.ended(p, o)
	}
}

func (l *link) close(why transport.Reason) {
	l.router.loop.StopTimer(&l.coming)
	if l.flow != nil {
		l.flow.end()
	}
	l.push, l.rest = nil, protocol.ValueWriter{}
	l.reader.Free() // else the pool would count it as held for ever, and clients be closed for want of memory
	l.host.idle = slices.DeleteFunc(l.host.idle, func(x *link) bool { return x == l })
	l.conn.Close(why)
}

// Received implements transport.Owner.
func (l *link) Received(c *transport.Conn) {
	switch {
	case l.push == nil && c.In.Len() == 0: // a flow took what was read with it
		return
	case l.push == nil: // nothing was asked
		l.close(transport.BadInput)
		return
	case l.flow != nil:
		l.flow.advance()
		return
	}
	l.heard = true
	a, err := l.reader.Next(&c.In)
	if err == nil && l.reader.BufferedBytes() > protocol.MaxBufferedValueBytes && l.router.loop.Pool.UsedBytes() > l.router.memory.bytes/2 {
		err = errNoRoom
	}
	switch {
	case err != nil:
		l.router.log.Warn("answer not understood", "peer", l.host.Name, "error", err)
		l.fail(transport.BadInput, balance.InvalidAnswer)
	case a != nil:
		l.answered(a)
	}
}

var errNoRoom = errors.New("a long body without a length, and no memory to hold it")

// Ended implements transport.Owner.
func (l *link) Ended(c *transport.Conn, why transport.Reason) {
	switch {
	case why == transport.Evicted && l.push != nil:
		l.push.callOff(why)
		return
	case l.flow != nil:
		l.flow.hostEnded(why)
		return
	case why == transport.PeerClosed && l.push != nil:
		if a := l.reader.Finish(); a != nil {
			l.answered(a)
			return
		}
	}
	o := balance.ConnBroken
	switch {
	case why == transport.OutOfSockets:
		o = balance.NotSent
	case l.push != nil && !l.push.sent(): // its last byte was never written
		o = balance.ConnectFailed
	case l.kept && !l.heard:
		o = balance.StaleConn
	}
	l.fail(why, o)
}

// answered takes the answer to the push.
func (l *link) answered(a *protocol.Answer) {
	p, op := l.push, l.push.op
	sent := p.sent()
	if !a.Matches(op.command) || !sent && a.Kind <= protocol.Miss { // none has an answer to what has not been said
		a.Value.Free()
		l.fail(transport.WrongAnswer, balance.InvalidAnswer)
		return
	}
	l.host.silent, l.host.heard = false, l.router.loop.Now()
	switch {
	case a.Kind == protocol.Value && a.StreamSize > 0 && op.state == open && op.flow == nil:
		l.begin(a)
		return
	case a.StreamSize > 0: // nobody wants it
		p.callOff(transport.Cancelled)
		return
	}
	p.move(over)
	l.push = nil
	o := outcomes[a.Kind]
	switch {
	case o == balance.Overloaded && !l.kept && !l.host.IsOrigin && l.conn.IsAtEOF():
		o = balance.ConnLimited
		l.close(transport.PeerTableFull)
	case !sent: // the rest of the push would stand before the next
		l.close(transport.EarlyAnswer)
	case l.early && a.ID == "" && a.Kind != protocol.Value && a.Kind != protocol.Stored: // the push may be at work still
		l.close(transport.WrongAnswer)
	default:
		l.spare(a.Close)
	}
	if a.Kind == protocol.Value || a.Kind == protocol.Stored {
		if op.state == open && op.flow == nil {
			l.router.counters.byCategory[op.Category].Acked++
			protocol.WriteAnswer(op.out(), op.command, a)
			op.client.answer(op)
		}
		a.Value.Free()
	}
	if a.ErrorText != "" {
		l.router.log.Warn("host complains", "peer", l.host.Name, "op", op.command.ID, "answer", a.ErrorText)
	}
	l.router.ended(p, o, a.Load...)
}

// spare keeps the connection for the next push, if it is good for one.
func (l *link) spare(last bool) {
	l.kept = true
	l.conn.LastUsed = l.router.loop.Now()
	switch {
	case l.conn.In.Len() > 0: // more than was asked for: it would be taken for the next op's answer
		l.close(transport.BadInput)
	case last:
		l.close(transport.CloseRequested)
	case !l.host.Usable() || l.conn.Peer() != l.host.address:
		l.close(transport.HostGone)
	default:
		l.host.idle = append(l.host.idle, l)
	}
}

var outcomes = map[protocol.AnswerKind]balance.Outcome{protocol.Value: balance.Served, protocol.Stored: balance.Served,
	protocol.Miss: balance.CacheMiss, protocol.Busy: balance.Overloaded, protocol.Failure: balance.Failed,
	protocol.ClientError: balance.InvalidOp}

// hangUp closes the connections that carry nothing.
func (h *host) hangUp(why transport.Reason) {
	for _, l := range h.idle {
		l.conn.Close(why)
	}
	h.idle = nil
}

// leave closes the connections to a host that nothing more is to be sent to, but for those on which a push has begun to be
// written: a connection that is still coming up may be up after any grace.
func (h *host) leave() {
	h.hangUp(transport.HostGone)
	for _, p := range slices.Clone(h.pushes) {
		if p.state == waiting {
			p.callOff(transport.HostGone)
		}
	}
}

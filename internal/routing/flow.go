package routing

import (
	"larchthread/balance"
	"larchthread/internal/protocol"
	"larchthread/internal/transport"
)

// flow is a long value on its way from a host to a client: the host is read no faster than the client takes it.
type flow struct {
	link   *link
	op     *op
	answer *protocol.Answer
	begun  bool            // its first bytes have been passed on
	in     transport.Chain // what the host had sent when it closed the connection
	closed bool            // it has
	stuck  transport.Timer // until something has to move
}

// begin lets the value of an answer flow.
func (l *link) begin(a *protocol.Answer) {
	p := l.push
	f := &flow{link: l, op: p.op, answer: a, in: l.conn.In.NewSibling()}
	p.took = l.router.loop.Now() - p.began
	p.move(flowing)
	l.flow, p.op.flow = f, f
	f.stuck.Fire = f.stopped
	l.router.balancer.StreamingStarted(p.Push)
	f.op.client.conn.AfterWrite = f.op.client.wrote
	f.advance()
}

// source holds the bytes that have come.
func (f *flow) source() *transport.Chain {
	if f.closed {
		return &f.in
	}
	return &f.link.conn.In
}

// advance passes on what has come, as far as the client takes it. Behind an op that has no answer yet it waits.
func (f *flow) advance() {
	c, l := f.op.client, f.link
	if c.line[0] == f.op {
		if !f.begun {
			f.begun = true
			protocol.WriteStreamHeader(&c.conn.Out, f.op.command, f.answer)
		}
		before := f.source().Len()
		over, err := l.reader.StreamValue(f.source(), &c.conn.Out, max(0, flowMost-c.conn.Out.Len()))
		if f.source().Len() < before {
			c.conn.Flush()
		}
		switch {
		case err != nil:
			l.router.log.Warn("answer not understood", "peer", l.host.Name, "error", err)
			f.broke(transport.BadInput, balance.InvalidAnswer)
			return
		case over:
			f.whole()
			return
		case f.closed && c.conn.Out.Len() < flowMost: // there was room for all that has come
			f.broke(transport.PeerClosed, balance.ConnBroken)
			return
		}
	}
	l.router.loop.SetTimer(&f.stuck, stuckFor)
	l.conn.SetPaused(l.conn.In.Len() > 0)
}

// whole ends a flow with its last byte.
func (f *flow) whole() {
	l, p, op := f.link, f.link.push, f.op
	p.move(over)
	f.end()
	l.push = nil
	if f.closed {
		l.close(transport.CloseRequested)
	} else {
		l.conn.SetPaused(false)
		l.spare(f.answer.Close)
	}
	l.router.counters.byCategory[op.Category].Acked++
	op.client.answer(op)
	l.router.ended(p, balance.Served, f.answer.Load...)
}

// hostEnded takes word that the host's side of the connection is over. What it sent before still goes out, in the client's
// pace.
func (f *flow) hostEnded(why transport.Reason) {
	f.in.MoveFrom(&f.link.conn.In)
	f.closed = true
	f.advance()
}

// stopped takes word that nothing has moved for long: the client takes nothing, or the host sends nothing.
func (f *flow) stopped() {
	if f.source().Len() > 0 || f.op.client.conn.Out.Len() > 0 {
		f.op.client.cut(transport.SlowReader)
		return
	}
	f.broke(transport.PushTimeout, balance.TimedOut)
}

// broke ends a flow that will not be whole. Its client has to be able to tell: its connection ends in the middle.
func (f *flow) broke(why transport.Reason, o balance.Outcome) {
	l, p, c := f.link, f.link.push, f.op.client
	l.close(why)
	p.move(over)
	l.router.counters.byCategory[f.op.Category].DeadLettered++
	f.op.move(answered)
	l.router.ended(p, o)
	c.cut(transport.IncompleteAnswer)
}

// end takes the flow out of the books.
func (f *flow) end() {
	f.link.router.loop.StopTimer(&f.stuck)
	f.in.Free()
	f.link.flow, f.op.flow = nil, nil
}

// flowing is the flow whose turn it is, or nil.
func (c *client) flowing() *flow {
	if len(c.line) == 0 {
		return nil
	}
	return c.line[0].flow
}

// wrote goes on with a flow once its client has taken half of what waits for it.
func (c *client) wrote() {
	if c.flowing() != nil && c.conn.Out.Len() <= flowMost/2 {
		c.router.loop.ScheduleReceive(c.conn)
	}
}

// cut ends a client's connection at once.
func (c *client) cut(why transport.Reason) {
	c.leave()
	c.conn.Close(why)
}

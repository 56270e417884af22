package routing

import (
	"larchthread/balance"
	"larchthread/internal/protocol"
	"larchthread/internal/transport"
)

// valueStream forwards a large value from a host to a client. The host is read no faster than the client reads.
type valueStream struct {
	hostConn      *hostConn
	op            *op
	answer        *protocol.Answer
	started       bool            // the answer's first line has been written
	remainder     transport.Chain // input that was unread when the host closed the connection
	hostClosed    bool            // the host has closed the connection
	progressTimer transport.Timer // fires when the stream makes no progress
}

// startStream starts to forward the value of an answer.
func (hc *hostConn) startStream(a *protocol.Answer) {
	p := hc.push
	vs := &valueStream{hostConn: hc, op: p.op, answer: a, remainder: hc.conn.In.NewSibling()}
	p.firstByteAfter = hc.router.loop.Now() - p.startedAt
	p.setState(pushStreaming)
	hc.router.memory.endExpected(p.op)
	hc.router.memory.recordAnswer(protocol.MaxBufferedValueBytes)
	hc.stream, p.op.stream = vs, vs
	vs.progressTimer.Fire = vs.onStall
	hc.router.balancer.StreamingStarted(p.Push)
	vs.advance()
}

// source returns the input that has not been forwarded.
func (vs *valueStream) source() *transport.Chain {
	if vs.hostClosed {
		return &vs.remainder
	}
	return &vs.hostConn.conn.In
}

// advance forwards the available input, up to the window. Nothing is forwarded until the op is next in the queue.
func (vs *valueStream) advance() {
	c, hc := vs.op.client, vs.hostConn
	window := hc.router.memory.streamWindow()
	if vs.isNext() {
		if !vs.started && !vs.hostClosed && hc.conn.EndsBefore(vs.answer.StreamSize) {
			vs.abort(transport.PeerClosed, balance.ConnBroken)
			return
		}
		if !vs.started {
			vs.started = true
			protocol.WriteStreamHeader(&c.conn.Out, vs.op.command, vs.answer)
		}
		before := vs.source().Len()
		done, err := hc.reader.StreamValue(vs.source(), &c.conn.Out, max(0, window-c.conn.Out.Len()))
		if vs.source().Len() < before {
			c.conn.Flush()
		}
		switch {
		case err != nil:
			hc.router.log.Warn("invalid answer from host", "peer", hc.host.Name, "error", err)
			vs.abort(transport.BadInput, balance.InvalidAnswer)
			return
		case done:
			vs.complete()
			return
		case vs.hostClosed && c.conn.Out.Len() < window: // no input is left
			vs.abort(transport.PeerClosed, balance.ConnBroken)
			return
		}
	}
	hc.conn.SetPaused(hc.conn.In.Len() > 0)
	vs.limitProgress()
}

// isNext reports whether the op is the first in the client's queue, so that its answer may be written.
func (vs *valueStream) isNext() bool { return vs.op.client.pipeline[0] == vs.op }

// limitProgress restarts the time in which the client or the host has to make progress. A value that has input and
// waits for its turn depends on neither: those before it have limits of their own.
func (vs *valueStream) limitProgress() {
	loop := vs.hostConn.router.loop
	if !vs.isNext() && vs.source().Len() > 0 {
		loop.StopTimer(&vs.progressTimer)
		return
	}
	loop.SetTimer(&vs.progressTimer, progressTimeout)
}

// complete ends the stream after its last byte.
func (vs *valueStream) complete() {
	hc, p, op := vs.hostConn, vs.hostConn.push, vs.op
	p.setState(pushEnded)
	vs.release()
	hc.push = nil
	if vs.hostClosed {
		hc.close(transport.CloseRequested)
	} else {
		hc.conn.SetPaused(false)
		hc.keepIdle(vs.answer.Close)
	}
	hc.router.counters.byCategory[op.Category].Acked++
	op.client.completeOp(op)
	hc.router.reportEnd(p, balance.Served, vs.answer.Load...)
}

// hostEnded handles the end of the host's connection. Input received before is still forwarded at the client's
// pace, unless nothing of an incomplete value has been forwarded yet.
func (vs *valueStream) hostEnded(reason transport.Reason) {
	vs.remainder.MoveFrom(&vs.hostConn.conn.In)
	vs.hostClosed = true
	if !vs.started && vs.remainder.Len() < vs.answer.StreamSize {
		vs.abort(reason, balance.ConnBroken)
		return
	}
	vs.advance()
}

// onStall ends a stream that has made no progress: either the client does not read or the host does not send.
func (vs *valueStream) onStall() {
	if vs.isNext() && (vs.source().Len() > 0 || vs.op.client.conn.Out.Len() > 0) {
		vs.op.client.closeNow(transport.SlowReader)
		return
	}
	vs.abort(transport.PushTimeout, balance.TimedOut)
}

// abort ends an incomplete stream. If nothing of the value has been forwarded, the op is dead-lettered. Otherwise
// abort closes the client's connection behind what has been forwarded, since the client has no other way to notice.
// Answers before it that the client has not read yet still reach it.
func (vs *valueStream) abort(reason transport.Reason, o balance.Outcome) {
	hc, p, op := vs.hostConn, vs.hostConn.push, vs.op
	hc.close(reason)
	p.setState(pushEnded)
	hc.router.counters.byCategory[op.Category].DeadLettered++
	if !vs.started {
		protocol.WriteDeadLetter(op.output())
		op.client.completeOp(op)
		hc.router.reportEnd(p, o)
		return
	}
	op.setState(opAnswered)
	hc.router.reportEnd(p, o)
	op.client.closeGracefully(transport.IncompleteAnswer)
}

// release detaches the stream from its op and connection and frees its buffers.
func (vs *valueStream) release() {
	vs.hostConn.router.loop.StopTimer(&vs.progressTimer)
	vs.remainder.Free()
	vs.hostConn.stream, vs.op.stream = nil, nil
}

// headStream returns the stream of the first op in the queue, or nil.
func (c *client) headStream() *valueStream {
	if len(c.pipeline) == 0 {
		return nil
	}
	return c.pipeline[0].stream
}

// afterWrite continues a stream once the client has read half of the window, and counts the client as idle once all is
// written.
func (c *client) afterWrite() {
	switch {
	case c.headStream() != nil && c.conn.Out.Len() <= c.router.memory.streamWindow()/2:
		c.router.loop.ScheduleReceive(c.conn)
	case len(c.pipeline) == 0 && c.conn.Out.Len() == 0:
		c.updateTimer(false)
	}
}

// closeNow closes the client's connection at once.
func (c *client) closeNow(reason transport.Reason) {
	c.deregister()
	c.conn.Close(reason)
}

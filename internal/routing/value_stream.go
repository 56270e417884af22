package routing

import (
	"slices"

	"larchthread/balance"
	"larchthread/internal/protocol"
	"larchthread/internal/transport"
)

// valueStream forwards a large value from a host to a client. The host is read no faster than the client reads. Until
// the first byte of the value is forwarded its push is one like others: it may time out, be cancelled, or fail, and the
// balancer may push the op again.
type valueStream struct {
	hostConn    *hostConn
	op          *op
	answer      *protocol.Answer
	started     bool            // a part of the answer has been forwarded
	buffered    int             // bytes of the value that had arrived and were not forwarded when last seen
	remainder   transport.Chain // input that was unread when the host closed the connection
	forwarded   int             // bytes of the value that have been forwarded
	hostClosed  bool            // the host has closed the connection
	firstByteAt float64         // ms; when the first byte of the value arrived; 0 before
	progressAt  float64         // ms; when the host last sent some of it, or was last let send again
	idleTimer   transport.Timer // fires when the stream makes no progress
}

// startStream takes the head of a large value, which is forwarded as it arrives.
func (hc *hostConn) startStream(a *protocol.Answer) {
	vs := &valueStream{hostConn: hc, op: hc.push.op, answer: a, remainder: hc.conn.In.NewSibling()}
	hc.push.setState(pushReceiving)
	hc.router.memory.endExpected(vs.op)
	hc.router.memory.recordAnswer(protocol.MaxBufferedValueBytes)
	hc.stream = vs
	hc.router.balancer.AnswerProgressed(hc.push.Push, 0)
	vs.idleTimer.Fire = vs.onIdleTimeout
	vs.advance()
}

// source returns the input that has not been forwarded.
func (vs *valueStream) source() *transport.Chain {
	if vs.hostClosed {
		return &vs.remainder
	}
	return &vs.hostConn.conn.In
}

// advance forwards the available input, up to the window. Nothing is forwarded until the op is next in the queue and
// some of the value has arrived.
func (vs *valueStream) advance() {
	vs.noteArrival()
	switch {
	case vs.started:
		vs.forward()
	case !vs.hostClosed && vs.hostConn.conn.EndsBefore(vs.answer.StreamSize):
		vs.abort(transport.PeerClosed, balance.ConnBroken)
	case vs.source().Len() == 0: // the push's own limits hold
	case !vs.isNext():
		vs.awaitTurn()
	case !vs.isBlocked() && !vs.hostConn.router.balancer.MayBegin(vs.hostConn.push.Push):
		vs.abort(transport.PushTimeout, balance.TimedOut)
	default:
		vs.start()
		vs.forward()
	}
}

// start chooses the stream as the answer to its op.
func (vs *valueStream) start() {
	hc, p, op := vs.hostConn, vs.hostConn.push, vs.op
	vs.started, op.stream = true, vs
	p.firstByteAfter = max(vs.firstByteAt-p.startedAt, minFirstByteTime)
	p.setState(pushStreaming)
	for _, other := range slices.Clone(op.pushes) {
		if other != p {
			other.cancelStream()
		}
	}
	protocol.WriteStreamHeader(&op.client.conn.Out, op.command, vs.answer)
	hc.conn.ReadLimit = 0
	hc.router.balancer.StreamingStarted(p.Push)
}

// forward forwards the available input, up to the window.
func (vs *valueStream) forward() {
	hc, out := vs.hostConn, &vs.op.client.conn.Out
	window := hc.router.memory.streamWindow()
	before := vs.source().Len()
	done, err := hc.reader.StreamValue(vs.source(), out, max(0, window-out.Len()))
	vs.buffered = vs.source().Len()
	vs.forwarded += before - vs.buffered
	if vs.buffered < before {
		vs.op.client.conn.Flush()
	}
	switch {
	case err != nil:
		hc.router.log.Warn("invalid answer from host", "peer", hc.host.Name, "error", err)
		vs.abort(transport.BadInput, balance.InvalidAnswer)
	case done:
		vs.complete()
	case vs.hostClosed && out.Len() < window: // no input is left
		vs.abort(transport.PeerClosed, balance.ConnBroken)
	default:
		vs.setPaused(out.Len() >= window)
		vs.restartIdleTimer()
	}
}

// awaitTurn reads on while earlier answers are sent, until the window is full.
func (vs *valueStream) awaitTurn() {
	hc := vs.hostConn
	room := min(hc.router.memory.streamWindow(), vs.answer.StreamSize) - vs.source().Len()
	hc.conn.ReadLimit = max(1, room)
	vs.setPaused(room <= 0)
	hc.router.balancer.AnswerWaits(hc.push.Push, vs.isBlocked())
	vs.restartIdleTimer()
}

// isNext reports whether the op is the first in the client's queue, so that its answer may be written.
func (vs *valueStream) isNext() bool { return vs.op.client.pipeline[0] == vs.op }

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

// abort ends an incomplete stream. If nothing of the value has been forwarded, the balancer decides what becomes of the
// op. Otherwise abort closes the client's connection behind what has been forwarded, since the client has no other way to
// notice. Answers before it that the client has not read yet still reach it.
func (vs *valueStream) abort(reason transport.Reason, o balance.Outcome) {
	hc, p, op := vs.hostConn, vs.hostConn.push, vs.op
	if !vs.started {
		hc.fail(reason, o)
		return
	}
	vs.logCut(reason)
	hc.close(reason)
	p.setState(pushEnded)
	hc.router.counters.byCategory[op.Category].DeadLettered++
	op.setState(opAnswered)
	hc.router.reportEnd(p, o)
	op.client.closeGracefully(transport.IncompleteAnswer)
}

// logCut logs that the value is cut off: how much of it was forwarded, and for how long its host had sent nothing.
func (vs *valueStream) logCut(reason transport.Reason) {
	hc, r := vs.hostConn, vs.hostConn.router
	r.log.Info("value cut off", "op", vs.op.command.ID, "host", hc.host.Name, "peer", vs.op.client.conn.Peer(),
		"cause", string(reason), "forwarded", vs.forwarded, "bytes", vs.answer.StreamSize,
		"idle_ms", int(r.loop.Now()-vs.progressAt), "stopping", r.shutdown.started)
}

// release detaches the stream from its op and connection and frees its buffers.
func (vs *valueStream) release() {
	vs.hostConn.router.loop.StopTimer(&vs.idleTimer)
	vs.remainder.Free()
	vs.hostConn.stream = nil
	vs.hostConn.conn.ReadLimit = 0
	if vs.op.stream == vs {
		vs.op.stream = nil
	}
}

// nextStream returns the stream that answers the first op in the queue, or may do so as some of its value has arrived,
// or nil.
func (c *client) nextStream() *valueStream {
	if len(c.pipeline) == 0 {
		return nil
	}
	o := c.pipeline[0]
	if o.stream != nil {
		return o.stream
	}
	for _, p := range o.pushes {
		if hc := p.hostConn; hc != nil && hc.stream != nil && hc.stream.source().Len() > 0 {
			return hc.stream
		}
	}
	return nil
}

// afterWrite continues a stream once the client has read half of the window, and counts the client as idle once all is
// written.
func (c *client) afterWrite() {
	switch {
	case c.nextStream() != nil && c.conn.Out.Len() <= c.router.memory.streamWindow()/2:
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

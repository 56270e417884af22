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
	f := &valueStream{hostConn: hc, op: p.op, answer: a, remainder: hc.conn.In.NewSibling()}
	p.firstByteAfter = hc.router.loop.Now() - p.startedAt
	p.setState(pushStreaming)
	hc.stream, p.op.stream = f, f
	f.progressTimer.Fire = f.onStall
	hc.router.balancer.StreamingStarted(p.Push)
	f.op.client.conn.AfterWrite = f.op.client.afterWrite
	f.advance()
}

// source returns the input that has not been forwarded.
func (f *valueStream) source() *transport.Chain {
	if f.hostClosed {
		return &f.remainder
	}
	return &f.hostConn.conn.In
}

// advance forwards the available input, up to the window. Nothing is forwarded until the op is next in line.
func (f *valueStream) advance() {
	c, hc := f.op.client, f.hostConn
	if c.pipeline[0] == f.op {
		if !f.started {
			f.started = true
			protocol.WriteStreamHeader(&c.conn.Out, f.op.command, f.answer)
		}
		before := f.source().Len()
		done, err := hc.reader.StreamValue(f.source(), &c.conn.Out, max(0, streamWindowBytes-c.conn.Out.Len()))
		if f.source().Len() < before {
			c.conn.Flush()
		}
		switch {
		case err != nil:
			hc.router.log.Warn("invalid answer from host", "peer", hc.host.Name, "error", err)
			f.abort(transport.BadInput, balance.InvalidAnswer)
			return
		case done:
			f.complete()
			return
		case f.hostClosed && c.conn.Out.Len() < streamWindowBytes: // no input is left
			f.abort(transport.PeerClosed, balance.ConnBroken)
			return
		}
	}
	hc.router.loop.SetTimer(&f.progressTimer, progressTimeout)
	hc.conn.SetPaused(hc.conn.In.Len() > 0)
}

// complete ends the stream after its last byte.
func (f *valueStream) complete() {
	hc, p, op := f.hostConn, f.hostConn.push, f.op
	p.setState(pushEnded)
	f.release()
	hc.push = nil
	if f.hostClosed {
		hc.close(transport.CloseRequested)
	} else {
		hc.conn.SetPaused(false)
		hc.keepIdle(f.answer.Close)
	}
	hc.router.counters.byCategory[op.Category].Acked++
	op.client.completeOp(op)
	hc.router.reportEnd(p, balance.Served, f.answer.Load...)
}

// hostEnded handles the end of the host's connection. Input received before is still forwarded at the client's
// pace.
func (f *valueStream) hostEnded(reason transport.Reason) {
	f.remainder.MoveFrom(&f.hostConn.conn.In)
	f.hostClosed = true
	f.advance()
}

// onStall ends a stream that has made no progress: either the client does not read or the host does not send.
func (f *valueStream) onStall() {
	if f.source().Len() > 0 || f.op.client.conn.Out.Len() > 0 {
		f.op.client.closeNow(transport.SlowReader)
		return
	}
	f.abort(transport.PushTimeout, balance.TimedOut)
}

// abort ends an incomplete stream. It closes the client's connection in the middle of the answer, since the
// client has no other way to notice.
func (f *valueStream) abort(reason transport.Reason, o balance.Outcome) {
	hc, p, c := f.hostConn, f.hostConn.push, f.op.client
	hc.close(reason)
	p.setState(pushEnded)
	hc.router.counters.byCategory[f.op.Category].DeadLettered++
	f.op.setState(opAnswered)
	hc.router.reportEnd(p, o)
	c.closeNow(transport.IncompleteAnswer)
}

// release detaches the stream from its op and connection and frees its buffers.
func (f *valueStream) release() {
	f.hostConn.router.loop.StopTimer(&f.progressTimer)
	f.remainder.Free()
	f.hostConn.stream, f.op.stream = nil, nil
}

// headStream returns the stream of the first op in line, or nil.
func (c *client) headStream() *valueStream {
	if len(c.pipeline) == 0 {
		return nil
	}
	return c.pipeline[0].stream
}

// afterWrite continues a stream once the client has read half of the window.
func (c *client) afterWrite() {
	if c.headStream() != nil && c.conn.Out.Len() <= streamWindowBytes/2 {
		c.router.loop.ScheduleReceive(c.conn)
	}
}

// closeNow closes the client's connection at once.
func (c *client) closeNow(reason transport.Reason) {
	c.deregister()
	c.conn.Close(reason)
}

package routing

import (
	"slices"

	"larchthread/balance"
	"larchthread/internal/protocol"
	"larchthread/internal/transport"
)

// opState is the state of an op as its client sees it.
type opState uint8

const (
	opOpen      opState = iota // no answer yet
	opAnswered                 // its answer is written or queued
	opAbandoned                // its client is gone
)

// op is a client's op with its connection, its answer and its pushes.
type op struct {
	balance.Op
	client        *client
	command       *protocol.Command
	deadline      float64         // ms; the client waits until then
	reply         transport.Chain // answer that waits for its turn
	shortReply    []byte          // the same, copied out where it is short: a pooled buffer for each would take most of the memory
	trailingNacks []byte          // nacks for the commands right after it that were rejected unread
	stream        *valueStream    // of its large answer that is being forwarded, or nil
	reservedBytes int             // buffer bytes reserved for its large value
	heapBytes     int             // bytes outside buffers that are counted for it
	queuedBytes   int             // answer bytes in buffers that wait for its turn
	pushCount     int             // pushes so far
	possibleRuns  int             // pushes that have been written in full and may have run
	expectsAnswer bool            // memory is counted for an answer that has not arrived
	pushes        []*push         // those that have not ended
	firstPush     [1]*push        // backing array of pushes: most ops have one
	state         opState
}

// setState is the only place that changes the op's state. When the op stops being open, its pushes that have
// not been sent in full, and those whose long values are arriving, are cancelled.
func (o *op) setState(to opState) {
	if o.state != opOpen {
		return
	}
	o.state = to
	o.client.router.memory.endExpected(o)
	for _, p := range slices.Clone(o.pushes) {
		p.cancelUnsent()
		p.cancelStream()
	}
	o.client.router.clients.ids.close(o, o.client.router.loop.Now())
}

// output returns where the op's answer is written: the client's output if the op is next in the queue, else the
// queued reply.
func (o *op) output() *transport.Chain {
	if c := o.client; o.state == opOpen && len(c.pipeline) > 0 && c.pipeline[0] == o {
		return &c.conn.Out
	}
	return &o.reply
}

// forwardReply moves the queued answer to the client's output.
func (o *op) forwardReply() {
	out := &o.client.conn.Out
	out.Write(o.shortReply)
	out.MoveFrom(&o.reply)
	out.Write(o.trailingNacks)
}

// release frees the op's buffers and the memory that is counted for it.
func (o *op) release() {
	c := o.client
	o.reply.Free()
	o.command.Value.Free()
	c.queuedBytes -= o.queuedBytes
	o.queuedBytes = 0
	c.router.memory.discharge(o)
	c.router.memory.release(o.reservedBytes)
	o.reservedBytes = 0
}

// compactReply copies a short queued answer out of its pooled buffer and releases the buffer.
func (o *op) compactReply() {
	if n := o.reply.Len(); n > 0 && n <= maxUnpooledBytes {
		o.shortReply = o.reply.Bytes()
		o.reply.Free()
		o.client.router.memory.charge(o, n)
	}
	o.queuedBytes = o.reply.Len()
	o.client.queuedBytes += o.queuedBytes
}

// logSettled logs that an op which has been pushed is settled unserved. One that has not been is counted only: there are
// too many of these while the process or the fleet is full.
func (o *op) logSettled(message string) {
	r := o.client.router
	if o.pushCount == 0 {
		return
	}
	r.log.Info(message, "op", o.command.ID, "peer", o.client.conn.Peer(), "pushes", o.pushCount,
		"left_ms", int(o.deadline-r.loop.Now()))
}

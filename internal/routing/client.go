package routing

import (
	"container/list"
	"slices"

	"larchthread/balance"
	"larchthread/internal/protocol"
	"larchthread/internal/transport"
)

// opState is what a client has had of its op.
type opState uint8

const (
	open      opState = iota // nothing yet
	answered                 // its answer is written, or stands in line
	abandoned                // the client has gone
)

// op is an op with what the front holds of it.
type op struct {
	balance.Op
	client   *client
	command  *protocol.Command
	deadline float64         // ms, until which the client waits
	reply    transport.Chain // its answer, where that has to wait for its turn
	short    []byte          // the same, where that is short: a buffer each would be most of the memory
	behind   []byte          // answers to commands right behind it that were turned away unread
	flow     *flow           // of its long answer, or nil
	bulk     int             // bytes reserved for its long value
	pushes   []*push         // that are not over
	first    [1]*push        // room for that: most have one
	state    opState
}

// move is the one place where an op changes its state here. Once it is not open any more, what has not been sent of it is not
// sent: a connection for it may be on its way still.
func (o *op) move(to opState) {
	if o.state != open {
		return
	}
	o.state = to
	for _, p := range slices.Clone(o.pushes) {
		p.withdraw()
	}
	if r := o.client.router; r.clients.ops[o.command.ID] == o {
		delete(r.clients.ops, o.command.ID)
	}
}

// out is where the op's answer is written to: to the client, or behind ops that have none yet.
func (o *op) out() *transport.Chain {
	if c := o.client; o.state == open && len(c.line) > 0 && c.line[0] == o {
		return &c.conn.Out
	}
	return &o.reply
}

// pass moves the answer on to the client.
func (o *op) pass() {
	out := &o.client.conn.Out
	out.Write(o.short)
	out.MoveFrom(&o.reply)
	out.Write(o.behind)
}

// keep has a short answer that waits give its buffer back.
func (o *op) keep() {
	if n := o.reply.Len(); n > 0 && n <= shortMost {
		o.short = o.reply.Bytes()
		o.reply.Free()
	}
}

// client is a connection from a client.
type client struct {
	router   *Router
	conn     *transport.Conn
	commands protocol.CommandReader
	bulk     int              // bytes reserved for the long value that is on its way
	queued   bool             // it waits for them
	line     []*op            // commands in the order in which they came, until their answers are passed on
	proven   bool             // an op has come
	waits    bool             // the timer is for the rest of a command
	left     bool             // it is out of the books
	rest     *list.Element    // its place among those with nothing open, or nil
	ending   transport.Reason // why the connection ends behind the answers; empty while it goes on
	patience transport.Timer  // until the rest of a command, or the first op, has to be there
	place    int              // among all clients
}

// accept takes in a client's connection.
func (r *Router) accept(conn *transport.Conn) {
	c := &client{router: r, conn: conn}
	conn.Handler, conn.EvictionClass = c, c.use
	c.patience.Fire = c.overdue
	r.loop.SetTimer(&c.patience, restFor)
	r.clients.add(c)
}

// between tells whether the connection stands between two commands, the last answers perhaps still to be written.
func (c *client) between() bool {
	return len(c.line) == 0 && !c.half()
}

// use tells what the connection is good for, where sockets run short.
func (c *client) use() transport.EvictionClass {
	switch {
	case !c.proven && len(c.line) == 0:
		return transport.Unproven
	case c.idle():
		return transport.Idle
	}
	return transport.Needed
}

// half tells whether part of a command has come.
func (c *client) half() bool { return c.commands.HasPending() || c.conn.In.Len() > 0 }

// attend sets how long the connection may stand as it is: with part of a command, or with nothing open. Clients may have
// only so many connections, and some keep theirs for good: their like could open none. Until its first op a client has
// what it was given at the start.
func (c *client) attend(took bool) {
	c.router.clients.atRest.remove(c)
	switch {
	case c.left || !c.proven && !c.commands.HasPending() || c.ending != "":
	case c.conn.IsPaused() || !c.half() && len(c.line) > 0: // it is for this side to go on
		c.waits = false
		c.router.loop.StopTimer(&c.patience)
	case !c.half():
		c.waits = false
		c.router.loop.SetTimer(&c.patience, idleFor)
		c.router.clients.rest(c)
	case took || !c.waits || c.commands.HasPending(): // a long value takes its time, as long as it comes
		c.waits = true
		c.router.loop.SetTimer(&c.patience, restFor)
	}
}

// overdue ends a connection that has stood for too long, with an error where part of a command has come.
func (c *client) overdue() {
	switch {
	case c.conn.HasPendingInput(): // what has just come may be the rest, or a first op
		c.router.loop.SetTimer(&c.patience, heardFor)
	case c.half():
		c.ending = transport.IncompleteCommand
		c.conn.SetPaused(true)
		c.take(&protocol.Command{Err: protocol.ErrIncomplete}, true, 0)
	case c.proven:
		c.finish(transport.IdleTimeout)
	default:
		c.finish(transport.NoCommand)
	}
}

// idle tells whether the connection may be closed to make room: nothing is owed on it, or nothing moves.
func (c *client) idle() bool {
	return c.between() && c.conn.Out.Len() == 0 || len(c.line) == 0 && c.router.loop.Now()-c.conn.LastUsed > stuckFor
}

// Received implements transport.Owner.
func (c *client) Received(conn *transport.Conn) {
	conn.LastUsed = c.router.loop.Now()
	if f := c.flowing(); f != nil {
		f.advance()
		if c.left {
			return
		}
	}
	took := false
	for c.ending == "" && len(c.line) < lineMost && conn.Out.Len() < replyMost {
		room, backoff := c.router.balancer.Admit()
		if !room && c.turnAway(backoff) {
			took = true
			continue
		}
		command, err := c.commands.Next(&conn.In)
		if err != nil { // what was taken before it is still answered
			c.router.log.Warn("command not understood", "peer", conn.Peer(), "error", err)
			c.ending = transport.BadInput
			command = &protocol.Command{Err: err}
		}
		if command == nil {
			conn.SetPaused(!c.reserve())
			c.attend(took)
			return
		}
		took = true
		c.take(command, room, backoff)
		if c.router.loop.ClientTimeExhausted() && conn.In.Len() > 0 && c.ending == "" {
			c.router.loop.DeferReceive(conn)
			c.attend(took)
			return
		}
	}
	conn.SetPaused(true)
	c.attend(took)
}

// turnAway nacks a command that is not read, if it can be told what it is. Its answer stands behind that of the last which
// has been.
func (c *client) turnAway(backoff float64) bool {
	last := len(c.line) - 1
	if last >= 0 && len(c.line[last].behind) > shortMost {
		return false
	}
	category, skipped := protocol.SkipGet(&c.commands, &c.conn.In, c.router.configuration.categories)
	if !skipped {
		return false
	}
	c.router.counters.byCategory[category].Nacked++
	c.proven = true
	if last >= 0 {
		c.line[last].behind = protocol.AppendNack(c.line[last].behind, backoff)
		return true
	}
	protocol.WriteNack(&c.conn.Out, backoff)
	c.conn.Flush()
	return true
}

// take serves one command, where there is room for it.
func (c *client) take(command *protocol.Command, room bool, backoff float64) {
	r := c.router
	o := &op{client: c, command: command, reply: r.loop.Pool.NewChain(), bulk: c.bulk}
	c.bulk = 0
	c.line = append(c.line, o)
	switch category := r.configuration.categories[command.Category]; {
	case command.Err != nil:
		protocol.WriteClientError(o.out(), command.Err)
	case command.Verb == protocol.Ping:
		protocol.WritePong(o.out())
	case category == nil:
		protocol.WriteClientError(o.out(), protocol.UnknownCategoryError(command))
	case r.clients.ops[command.ID] != nil: // hosts would take the two for one, and turn both away
		protocol.WriteClientError(o.out(), protocol.DuplicateIDError(command))
	case !room:
		r.counters.byCategory[category].Nacked++
		protocol.WriteNack(o.out(), backoff)
	default:
		r.clients.ops[command.ID], o.pushes = o, o.first[:0]
		c.proven = true
		o.deadline = c.conn.ArrivedAt + command.TTL
		o.Op = balance.Op{Ref: o, Category: category, Key: command.Key, Deadline: o.deadline,
			IsWrite: command.Verb == protocol.Set}
		r.balancer.OpArrived(&o.Op)
		return
	}
	c.answer(o)
}

// answer passes on the answers at the head of the line; one behind an op without an answer waits.
func (c *client) answer(o *op) {
	if o.state != open {
		o.reply.Free()
		return
	}
	o.move(answered)
	o.keep()
	r := c.router
	full := len(c.line) >= lineMost
	n := 0
	for _, o := range c.line {
		if o.state == open {
			break
		}
		o.pass()
		o.command.Value.Free()
		r.memory.release(&o.bulk)
		n++
	}
	c.line = slices.Delete(c.line, 0, n)
	if c.flowing() != nil { // its turn has come
		r.loop.ScheduleReceive(c.conn)
	}
	if n > 0 {
		c.conn.Flush()
		switch {
		case c.ending != "" && len(c.line) == 0:
			c.finish(c.ending)
		case r.shutdown.closing && r.handOver.successor == nil && c.between():
			// A client without pauses would go on until the end is forced.
			c.finish(transport.ShuttingDown)
		case full: // commands that have come meanwhile are read on
			r.loop.ScheduleReceive(c.conn)
		default:
			c.attend(false)
		}
	}
}

// Ended implements transport.Owner.
func (c *client) Ended(*transport.Conn, transport.Reason) { c.leave() }

// finish takes the client out of the books and ends its connection in good order.
func (c *client) finish(why transport.Reason) {
	c.leave()
	c.conn.HalfClose(why)
}

// leave takes the client's ops out of the books.
func (c *client) leave() {
	r := c.router
	c.left = true
	r.loop.StopTimer(&c.patience)
	r.clients.remove(c)
	line := c.line
	c.line = nil
	for _, o := range line {
		if o.state == open {
			o.move(abandoned)
			r.balancer.ClientLeft(&o.Op)
		}
		if o.flow != nil && o.flow.link.push.state == flowing { // where calling off is not allowed it goes nowhere either
			o.flow.link.push.callOff(transport.Cancelled)
		}
		o.reply.Free()
		o.command.Value.Free()
		r.memory.release(&o.bulk)
	}
	r.memory.release(&c.bulk)
	r.memory.withdraw(c)
}

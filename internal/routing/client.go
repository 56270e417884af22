package routing

import (
	"container/list"
	"slices"

	"larchthread/balance"
	"larchthread/internal/protocol"
	"larchthread/internal/transport"
)

// client is a connection from a client. Its answers are sent in the order of its commands.
type client struct {
	router        *Router
	conn          *transport.Conn
	decoder       protocol.CommandReader
	largeWrite    largeWrite       // the reservation for the large value being received
	pipeline      []*op            // commands in order of arrival whose answers have not been forwarded
	queuedBytes   int              // answer bytes in buffers that wait for the answers before them
	proven        bool             // at least one op has arrived
	held          bool             // its further commands are not read until earlier ones are answered
	awaitsCommand bool             // the timer limits the rest of a command
	removed       bool             // it has been deregistered
	idleElement   *list.Element    // its element in the list of idle clients, or nil
	closeReason   transport.Reason // the connection closes with it after the pending answers; empty to stay open
	timer         transport.Timer  // limits the rest of a command, the first op and idle time
	index         int              // in clientRegistry.all
	id            uint64           // unique in this process, above 0
}

// acceptClient registers a new client connection.
func (r *Router) acceptClient(conn *transport.Conn) {
	c := &client{router: r, conn: conn}
	conn.Handler, conn.EvictionClass, conn.AfterWrite = c, c.evictionClass, c.afterWrite
	c.timer.Fire = c.onTimeout
	r.loop.SetTimer(&c.timer, commandTimeout)
	r.clients.add(c)
}

// betweenCommands reports whether no command is open or partly received. Answers may still be unsent.
func (c *client) betweenCommands() bool {
	return len(c.pipeline) == 0 && !c.hasPartialCommand()
}

// evictionClass tells whether the connection may be closed when sockets run short.
func (c *client) evictionClass() transport.EvictionClass {
	switch {
	case !c.proven && len(c.pipeline) == 0:
		return transport.Unproven
	case c.isIdle():
		return transport.Idle
	}
	return transport.Needed
}

// hasPartialCommand reports whether part of a command has arrived.
func (c *client) hasPartialCommand() bool { return c.decoder.HasPending() || c.conn.In.Len() > 0 }

// updateTimer restarts or stops the timer according to the connection's state: commandTimeout with part of a
// command, clientIdleTimeout while idle. Idle connections are limited so that other clients can connect. Until
// the first op, the timeout set on accept stays. tookCommand tells that a command was read since the last call.
func (c *client) updateTimer(tookCommand bool) {
	c.router.clients.idle.remove(c)
	switch {
	case c.removed || !c.proven && !c.decoder.HasPending() || c.closeReason != "":
	case c.held && c.conn.Out.Len() > 0:
		c.awaitsCommand = false
		c.router.loop.SetTimer(&c.timer, progressTimeout)
	case c.conn.IsPaused() || !c.hasPartialCommand() && len(c.pipeline) > 0: // progress depends on this process
		c.awaitsCommand = false
		c.router.loop.StopTimer(&c.timer)
	case !c.hasPartialCommand():
		c.awaitsCommand = false
		c.router.loop.SetTimer(&c.timer, clientIdleTimeout)
		if c.conn.Out.Len() == 0 { // else it is called again once that is written
			c.router.clients.markIdle(c)
		}
	case tookCommand || !c.awaitsCommand || c.decoder.HasPending(): // a large value may take longer while bytes keep arriving
		c.awaitsCommand = true
		c.router.loop.SetTimer(&c.timer, commandTimeout)
	}
}

// onTimeout closes a connection whose time is over, with an error answer if part of a command has arrived. A client
// that still reads answers is not idle; it has progressTimeout for each part of them.
func (c *client) onTimeout() {
	idleTime := c.router.loop.Now() - c.conn.LastUsed
	switch {
	case c.held && c.conn.WriteBlockedFor() >= progressTimeout:
		c.closeNow(transport.SlowReader)
	case c.held: // it has read something meanwhile
		c.router.loop.SetTimer(&c.timer, progressTimeout-c.conn.WriteBlockedFor())
	case c.conn.HasPendingInput(): // the pending input may be the rest or a first op
		c.router.loop.SetTimer(&c.timer, pendingInputGrace)
	case c.hasPartialCommand():
		c.closeReason = transport.IncompleteCommand
		c.conn.SetPaused(true)
		c.dispatch(&protocol.Command{Err: protocol.ErrIncomplete}, true, 0)
	case c.conn.AwaitsPeer() && idleTime < progressTimeout: // the client is reading its answers, slowly
		c.router.loop.SetTimer(&c.timer, progressTimeout-idleTime)
	case c.proven && idleTime < clientIdleTimeout: // it has read the last one only now
		c.router.loop.SetTimer(&c.timer, clientIdleTimeout-idleTime)
	case c.proven:
		c.closeGracefully(transport.IdleTimeout)
	default:
		c.closeGracefully(transport.NoCommand)
	}
}

// isIdle reports whether the connection may be evicted: it has no open op, and either nothing is pending on it or
// a partial command or unsent answers have made no progress for progressTimeout.
func (c *client) isIdle() bool {
	return c.betweenCommands() && c.conn.Out.Len() == 0 ||
		len(c.pipeline) == 0 && c.router.loop.Now()-c.conn.LastUsed > progressTimeout
}

// Received implements transport.ConnHandler: it reads and dispatches commands until the input, the client's
// share of the round or its limits are used up. In a hand-over it leaves them to the successor.
func (c *client) Received(conn *transport.Conn) {
	conn.LastUsed = c.router.loop.Now()
	if vs := c.nextStream(); vs != nil {
		vs.advance()
		if c.removed {
			return
		}
	}
	tookCommand := false
	c.held = false
	for c.closeReason == "" && c.mayTakeCommand() && !c.awaitsHandOver() {
		if tookCommand && conn.In.Len() > 0 && c.router.loop.ClientTimeExhausted() {
			// The rest waits for the connection's next turn, which others have in between: it is no sign of overload.
			c.router.loop.ScheduleReceive(conn)
			c.updateTimer(tookCommand)
			return
		}
		room, backoff := c.admit()
		if !room && c.nackUnread(backoff) {
			tookCommand = true
			continue
		}
		command, err := c.decoder.Next(&conn.In)
		if err != nil { // earlier commands are still answered
			c.router.log.Warn("invalid command from client", "peer", conn.Peer(), "error", err)
			c.closeReason = transport.BadInput
			command = &protocol.Command{Err: err}
		}
		if command == nil {
			conn.SetPaused(!c.reserveMemory())
			c.updateTimer(tookCommand)
			return
		}
		tookCommand = true
		c.dispatch(command, room, backoff)
	}
	c.held = true
	conn.SetPaused(true)
	c.updateTimer(tookCommand)
}

// admit reports whether there is room for one more op, else after which time in ms it may be repeated: whether this
// process has the time for it, and the memory for its answer.
func (c *client) admit() (room bool, backoff float64) {
	room, backoff = c.router.balancer.Admit()
	if room && !c.router.memory.hasRoomForAnswer() {
		return false, c.router.balancer.AdmissionBackoff()
	}
	return room, backoff
}

// nackUnread nacks the next command without reading its value, and reports whether it could. The nack is queued
// behind the answer of the last open command.
func (c *client) nackUnread(backoff float64) bool {
	last := len(c.pipeline) - 1
	if last >= 0 && len(c.pipeline[last].trailingNacks) > maxUnpooledBytes {
		return false
	}
	category, skipped := protocol.SkipGet(&c.decoder, &c.conn.In, c.router.configuration.categories)
	if !skipped {
		return false
	}
	c.router.counters.byCategory[category].Nacked++
	c.proven = true
	if last >= 0 {
		o := c.pipeline[last]
		before := len(o.trailingNacks)
		o.trailingNacks = protocol.AppendNack(o.trailingNacks, backoff)
		c.router.memory.charge(o, len(o.trailingNacks)-before)
		return true
	}
	protocol.WriteNack(&c.conn.Out, backoff)
	c.conn.Flush()
	return true
}

// dispatch answers a command or hands its op to the balancer; without room the op is nacked with the given
// backoff in ms.
func (c *client) dispatch(command *protocol.Command, room bool, backoff float64) {
	r := c.router
	o := &op{client: c, command: command, reply: r.loop.Pool.NewChain(), reservedBytes: r.memory.complete(c)}
	c.pipeline = append(c.pipeline, o)
	r.memory.charge(o, openCommandBytes+command.LineBytes)
	switch category := r.configuration.categories[command.Category]; {
	case command.Err != nil:
		protocol.WriteClientError(o.output(), command.Err)
	case command.Verb == protocol.Ping:
		protocol.WritePong(o.output())
	case category == nil:
		protocol.WriteClientError(o.output(), protocol.UnknownCategoryError(command))
	case r.clients.ids.isTaken(command.ID, r.loop.Now()): // it may run twice, or hosts reject both
		protocol.WriteClientError(o.output(), protocol.DuplicateIDError(command))
	case command.NoValue:
		c.proven = true
		r.counters.byCategory[category].Nacked++
		protocol.WriteNack(o.output(), r.balancer.RefusalBackoff(category))
	case !room:
		r.counters.byCategory[category].Nacked++
		protocol.WriteNack(o.output(), backoff)
	default:
		r.clients.ids.open[command.ID], o.pushes = o, o.firstPush[:0]
		c.proven = true
		o.deadline = c.conn.ArrivedAt + command.TTL
		o.Op = balance.Op{Ref: o, Category: category, Client: c.id, Key: command.Key, Deadline: o.deadline,
			IsWrite: command.Verb == protocol.Set}
		if !o.IsWrite {
			r.memory.expectAnswer(o)
		}
		r.balancer.OpArrived(&o.Op)
		return
	}
	c.completeOp(o)
}

// completeOp marks an op as answered and forwards the answers that are complete at the head of the pipeline.
func (c *client) completeOp(o *op) {
	if o.state != opOpen {
		o.reply.Free()
		return
	}
	o.setState(opAnswered)
	o.compactReply()
	r := c.router
	n := 0
	for _, o := range c.pipeline {
		if o.state == opOpen {
			break
		}
		o.forwardReply()
		o.release()
		n++
	}
	c.pipeline = slices.Delete(c.pipeline, 0, n)
	if c.nextStream() != nil { // the next answer in the queue is streamed
		r.loop.ScheduleReceive(c.conn)
	}
	if n > 0 {
		c.conn.Flush()
		switch {
		case c.closeReason != "" && len(c.pipeline) == 0:
			c.closeGracefully(c.closeReason)
		case r.shutdown.closing && r.handOver.successor == nil && c.betweenCommands():
			// A client that never pauses would otherwise keep its connection until the process is killed.
			c.closeGracefully(transport.ShuttingDown)
		case c.conn.IsPaused(): // perhaps for want of room: read the commands that arrived meanwhile
			r.loop.ScheduleReceive(c.conn)
		default:
			c.updateTimer(false)
		}
	}
}

// Ended implements transport.ConnHandler: it abandons the client's open ops.
func (c *client) Ended(*transport.Conn, transport.Reason) { c.deregister() }

// closeGracefully deregisters the client and closes its connection once the pending answers are sent.
func (c *client) closeGracefully(reason transport.Reason) {
	c.deregister()
	c.conn.HalfClose(reason)
}

// deregister removes the client, abandons its open ops and releases their memory.
func (c *client) deregister() {
	r := c.router
	c.removed = true
	r.loop.StopTimer(&c.timer)
	r.clients.remove(c)
	r.memory.cancel(c)
	pipeline := c.pipeline
	c.pipeline = nil
	for _, o := range pipeline {
		if o.state == opOpen {
			r.log.Info("op abandoned", "op", o.command.ID, "peer", c.conn.Peer(), "pushes", o.pushCount,
				"left_ms", int(o.deadline-r.loop.Now()))
			o.setState(opAbandoned)
			r.balancer.ClientLeft(&o.Op)
		} else if o.reply.Len()+len(o.shortReply) > 0 {
			r.log.Info("answer undelivered", "op", o.command.ID, "peer", c.conn.Peer())
		}
		o.release()
	}
}

package routing

import "larchthread/internal/transport"

// stalledBytes returns the buffered bytes that only the client can release: answers that it does not read, and input of
// an incomplete command. Input that has not been delivered, is held back, or is being discarded, is released by this
// process. Answers of a client that has read some of them within slowReaderGrace count only where memory is critical.
func (c *client) stalledBytes(critical bool) int {
	n := 0
	if critical || c.conn.WriteBlockedFor() >= slowReaderGrace {
		n = c.conn.Out.Len()
	}
	if len(c.pipeline) == 0 && !c.held && !c.conn.HasUndelivered() && !c.decoder.IsDiscarding() {
		n += c.conn.In.Len()
	}
	return n
}

// isSending reports whether more of the client's input has arrived, or some of it lately.
func (c *client) isSending() bool {
	return c.conn.HasUnread() || c.router.loop.Now()-c.conn.LastUsed < sendingGrace
}

// evictForMemory closes the clients that hold the most stalled bytes while memory is short, so that others find room:
// over the limit of memory, all would be lost. A write is refused instead if more of it may stand in the socket or be on its
// way: its client may have sent all of it.
func (r *Router) evictForMemory() {
	for r.memory.isShort() {
		critical := r.memory.isCritical()
		var worst *client
		most := 0
		for _, c := range r.clients.all {
			if n := c.stalledBytes(critical); n > most {
				worst, most = c, n
			}
		}
		switch {
		case worst == nil:
			return
		case worst.conn.Out.Len() > 0:
			worst.closeNow(transport.SlowReader)
		case worst.decoder.HasPending() && worst.isSending():
			worst.refuseWrite()
		default:
			worst.closeNow(transport.IncompleteCommand)
		}
	}
}

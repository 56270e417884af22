package takeover

import (
	"slices"

	"golang.org/x/sys/unix"

	"larchthread/internal/protocol"
	"larchthread/internal/transport"
)

// heir is a process that asks for this one's place, as this one sees it.
type heir struct {
	*Takeover
	channel *transport.ControlChannel
	ready   bool // it serves
	limit   transport.Timer
	bans    bans
}

// MessageReceived implements transport.PeerHandler.
func (h *heir) MessageReceived(c *transport.ControlChannel, in transport.Message) {
	l := h.read(in)
	if in.FD >= 0 { // nothing that it has is wanted here
		unix.Close(in.FD)
	}
	h.channel = c
	switch {
	case l.Word == "hello" && l.Version != version:
		send(c, letter{Word: "refused", Version: version, Why: "another version"}, -1)
	case l.Word == "hello" && h.after != nil:
		send(c, letter{Word: "later", Why: "one at a time"}, -1)
	case l.Word == "hello":
		h.handOver()
	case h.after != h:
	case l.Word == "ready":
		h.ready = true
		h.loop.Stop(&h.limit)
		if h.control != nil {
			h.control.Close()
			h.control = nil
		}
		h.log.Info("handed over")
		h.router.Succeed(h)
	default:
		h.bans.heed(h.Takeover, c, l)
	}
}

// handOver tells the new process all that it needs, the listening socket last.
func (h *heir) handOver() {
	door, err := h.router.Door().Copy()
	if err != nil {
		send(h.channel, letter{Word: "refused", Why: err.Error()}, -1)
		return
	}
	h.after = h
	h.router.Yield(true)
	h.shared()
	h.limit.Fire = func() { // one that stands still must not keep the next from its turn
		h.channel.Close()
		h.PeerLost(h.channel, nil)
	}
	h.loop.Set(&h.limit, askMost)
	open, most := h.loop.Sockets()
	own := max(most/2, min(open+most/headroom, most-most/headroom))
	h.loop.Most(own)
	l, past, banned := h.router.Known()
	for part := range slices.Chunk(l.Members, idsMost) {
		send(h.channel, letter{Word: "list", List: &protocol.List{Revision: l.Revision, Complete: true, Members: part}}, -1)
	}
	for part := range slices.Chunk(past, idsMost) {
		send(h.channel, letter{Word: "past", Past: part}, -1)
	}
	for part := range slices.Chunk(banned, idsMost) {
		send(h.channel, letter{Word: "past", Banned: part}, -1)
	}
	for _, part := range h.router.Learned(idsMost) {
		send(h.channel, letter{Word: "learned", Learned: &part}, -1)
	}
	send(h.channel, letter{Word: "door", Sockets: max(most-own-transport.SpareFiles, most/headroom)}, door)
}

// PeerLost implements transport.PeerHandler: the new process is gone, and this one goes on as before.
func (h *heir) PeerLost(_ *transport.ControlChannel, unsent []transport.Message) {
	if h.after != h {
		return
	}
	h.log.Warn("the process that was to take over is gone", "served", h.ready)
	h.after = nil
	h.router.Yield(false)
	h.loop.Stop(&h.limit)
	h.bans.lost(h.loop)
	if h.ready {
		h.router.Succeed(nil)
	}
	h.settle()
	for _, u := range unsent {
		if l := h.read(u); u.FD >= 0 && l.Word == "client" {
			h.router.Passed(u.FD, l.Unread, l.Proven)
		} else if u.FD >= 0 {
			unix.Close(u.FD)
		}
	}
}

// TellBan implements routing.Partner.
func (h *heir) TellBan(id string, out bool, done func(known bool)) {
	h.bans.tell(h.loop, h.channel, id, out, done)
}

// Pass implements routing.Successor.
func (h *heir) Pass(fd int, unread []byte, proven bool) {
	send(h.channel, letter{Word: "client", Unread: unread, Proven: proven}, fd)
	_, most := h.loop.Sockets()
	h.loop.Most(most - 1)
}

// Waiting implements routing.Successor.
func (h *heir) Waiting() bool { return h.channel.Waiting() }

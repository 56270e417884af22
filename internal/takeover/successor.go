package takeover

import (
	"golang.org/x/sys/unix"

	"larchthread/internal/protocol"
	"larchthread/internal/transport"
)

// successor is a process that asks for this one's place, as this one sees it.
type successor struct {
	*Takeover
	channel *transport.ControlChannel
	ready   bool // it serves
	limit   transport.Timer
	bans    bans
}

// MessageReceived implements transport.PeerHandler.
func (s *successor) MessageReceived(c *transport.ControlChannel, in transport.Message) {
	m := s.read(in)
	if in.FD >= 0 { // nothing that it has is wanted here
		unix.Close(in.FD)
	}
	s.channel = c
	switch {
	case m.Kind == kindHello && m.Version != version:
		send(c, message{Kind: kindRefused, Version: version, Why: "another version"}, -1)
	case m.Kind == kindHello && s.successor != nil:
		send(c, message{Kind: kindLater, Why: "one at a time"}, -1)
	case m.Kind == kindHello:
		s.handOver()
	case s.successor != s: // its request has not been granted
	case m.Kind == kindReady:
		s.ready = true
		s.loop.StopTimer(&s.limit)
		if s.control != nil {
			s.control.Close()
			s.control = nil
		}
		s.log.Info("handed over")
		s.router.SetSuccessor(s)
	default:
		s.bans.heed(s.Takeover, c, m)
	}
}

// handOver tells the new process all that it needs, the listening socket last.
func (s *successor) handOver() {
	listener, err := s.router.Listener().DupDescriptor()
	if err != nil {
		send(s.channel, message{Kind: kindRefused, Why: err.Error()}, -1)
		return
	}
	s.successor = s
	s.router.YieldColdBudgets(true)
	s.shared()
	s.limit.Fire = func() { // one that stands still must not keep the next from its turn
		s.channel.Close()
		s.PeerLost(s.channel, nil)
	}
	s.loop.SetTimer(&s.limit, askMost)
	open, most := s.loop.SocketUsage()
	own := max(most/2, min(open+most/headroom, most-most/headroom))
	s.loop.SetMaxSockets(own)
	l, past, banned := s.router.KnownHosts()
	sendList(s.channel, l.Members, func(part []protocol.Member) message {
		return message{Kind: kindList, List: &protocol.HostList{Revision: l.Revision, Complete: true, Members: part}}
	})
	sendList(s.channel, past, func(part []string) message { return message{Kind: kindPast, Past: part} })
	sendList(s.channel, banned, func(part []string) message { return message{Kind: kindPast, Banned: part} })
	sendLearned(s.channel, s.router.Learned())
	send(s.channel, message{Kind: kindListener, Sockets: max(most-own-transport.ReservedDescriptors, most/headroom)}, listener)
}

// PeerLost implements transport.PeerHandler: the new process is gone, and this one goes on as before.
func (s *successor) PeerLost(_ *transport.ControlChannel, unsent []transport.Message) {
	if s.successor != s {
		return
	}
	s.log.Warn("the process that was to take over is gone", "served", s.ready)
	s.successor = nil
	s.router.YieldColdBudgets(false)
	s.loop.StopTimer(&s.limit)
	s.bans.lost(s.loop)
	if s.ready {
		s.router.SetSuccessor(nil)
	}
	s.settle()
	for _, u := range unsent {
		if m := s.read(u); u.FD >= 0 && m.Kind == kindClient {
			s.router.AdoptClient(u.FD, m.Unread, m.Proven)
		} else if u.FD >= 0 {
			unix.Close(u.FD)
		}
	}
}

// ForwardBan implements routing.Partner.
func (s *successor) ForwardBan(id string, out bool, done func(known bool)) {
	s.bans.tell(s.loop, s.channel, id, out, done)
}

// PassConnection implements routing.Successor.
func (s *successor) PassConnection(fd int, unread []byte, proven bool) {
	send(s.channel, message{Kind: kindClient, Unread: unread, Proven: proven}, fd)
	_, most := s.loop.SocketUsage()
	s.loop.SetMaxSockets(most - 1)
}

// HasUnsent implements routing.Successor.
func (s *successor) HasUnsent() bool { return s.channel.HasUnsent() }

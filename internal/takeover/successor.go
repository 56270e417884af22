package takeover

import (
	"golang.org/x/sys/unix"

	"larchthread/internal/protocol"
	"larchthread/internal/transport"
)

// successor is a process that asks to take over, as seen by the running one.
type successor struct {
	*Takeover
	channel     *transport.ControlChannel
	serving     bool // it has taken over
	timeout     transport.Timer
	banRequests banRequests
}

// MessageReceived implements transport.PeerHandler.
func (s *successor) MessageReceived(c *transport.ControlChannel, in transport.Message) {
	m := s.decode(in)
	if in.FD >= 0 { // a new process has no descriptors to hand over
		unix.Close(in.FD)
	}
	s.channel = c
	switch {
	case m.Kind == kindHello && m.Version != protocolVersion:
		send(c, message{Kind: kindRefused, Version: protocolVersion, Why: "another version"}, -1)
	case m.Kind == kindHello && s.successor != nil:
		send(c, message{Kind: kindLater, Why: "one at a time"}, -1)
	case m.Kind == kindHello:
		s.handOver()
	case s.successor != s: // not the process that is taking over
	case m.Kind == kindReady:
		s.serving = true
		s.loop.StopTimer(&s.timeout)
		if s.control != nil {
			s.control.Close()
			s.control = nil
		}
		s.log.Info("handed over")
		s.router.SetSuccessor(s)
	default:
		s.banRequests.handle(s.Takeover, c, m)
	}
}

// handOver sends the new process the hosts, the bans and what was learned, and finally the listening socket.
func (s *successor) handOver() {
	listener, err := s.router.Listener().DupDescriptor()
	if err != nil {
		send(s.channel, message{Kind: kindRefused, Why: err.Error()}, -1)
		return
	}
	s.successor = s
	s.router.YieldColdBudgets(true)
	s.updateSharing()
	s.timeout.Fire = func() { // a process that hangs must not block the next one
		s.channel.Close()
		s.PeerLost(s.channel, nil)
	}
	s.loop.SetTimer(&s.timeout, handOverTimeout)
	open, maxSockets := s.loop.SocketUsage()
	kept := max(maxSockets/2, min(open+maxSockets/headroomDivisor, maxSockets-maxSockets/headroomDivisor))
	s.loop.SetMaxSockets(kept)
	list, past, banned := s.router.KnownHosts()
	sendList(s.channel, list.Members, func(part []protocol.Member) message {
		return message{Kind: kindList, List: &protocol.HostList{Revision: list.Revision, Complete: true, Members: part}}
	})
	sendList(s.channel, past, func(part []string) message { return message{Kind: kindPast, Past: part} })
	sendList(s.channel, banned, func(part []string) message { return message{Kind: kindPast, Banned: part} })
	sendLearned(s.channel, s.router.Learned())
	send(s.channel, message{Kind: kindListener,
		Sockets: max(maxSockets-kept-transport.ReservedDescriptors, maxSockets/headroomDivisor)}, listener)
}

// PeerLost implements transport.PeerHandler: the new process is gone. This one serves on, also the connections that
// could not be passed on. Where yet another process took over from the new one, this one accepts no more connections.
func (s *successor) PeerLost(_ *transport.ControlChannel, unsent []transport.Message) {
	if s.successor != s {
		return
	}
	s.log.Warn("the process that was to take over is gone", "served", s.serving)
	s.successor = nil
	s.loop.StopTimer(&s.timeout)
	s.banRequests.failAll(s.loop)
	if s.serving && s.anotherRuns() {
		s.log.Info("another process runs in its place")
		s.router.SuccessorReplaced()
	} else {
		s.serveAgain()
	}
	s.adoptUnsent(unsent)
}

// serveAgain takes back what was left to the successor.
func (s *successor) serveAgain() {
	s.router.YieldColdBudgets(false)
	if s.serving {
		s.router.SetSuccessor(nil)
	}
	s.acceptSuccessors()
}

// anotherRuns reports whether a process listens at the socket that the successor had, as one that took over from it does.
func (s *successor) anotherRuns() bool {
	channel, err := s.loop.DialControl(s.path, s)
	if err != nil {
		return false
	}
	channel.Close()
	return true
}

// adoptUnsent takes back the connections that could not be passed on.
func (s *successor) adoptUnsent(unsent []transport.Message) {
	for _, u := range unsent {
		if m := s.decode(u); u.FD >= 0 && m.Kind == kindClient {
			s.router.AdoptClient(u.FD, m.Unread, m.Proven, m.Waited)
		} else if u.FD >= 0 {
			unix.Close(u.FD)
		}
	}
}

// ShareIDs implements routing.PeerProcess.
func (s *successor) ShareIDs(hashes []uint64) { sendIDs(s.channel, hashes) }

// ForwardBan implements routing.PeerProcess.
func (s *successor) ForwardBan(id string, out bool, done func(known bool)) {
	s.banRequests.send(s.loop, s.channel, id, out, done)
}

// PassConnection implements routing.Successor.
func (s *successor) PassConnection(fd int, unread []byte, proven bool, waited float64) {
	send(s.channel, message{Kind: kindClient, Unread: unread, Proven: proven, Waited: waited}, fd)
	_, maxSockets := s.loop.SocketUsage()
	s.loop.SetMaxSockets(maxSockets - 1)
}

// HasUnsent implements routing.Successor.
func (s *successor) HasUnsent() bool { return s.channel.HasUnsent() }

package takeover

import (
	"golang.org/x/sys/unix"

	"larchthread/balance"
	"larchthread/internal/protocol"
	"larchthread/internal/transport"
)

// predecessor is the running process, as the new one sees it.
type predecessor struct {
	*Takeover
	channel *transport.ControlChannel
	list    protocol.HostList // as far as it has come
	past    []string
	banned  []string
	learned []balance.Learned
	served  bool // its place is taken
	bans    bans
}

// MessageReceived implements transport.PeerHandler.
func (p *predecessor) MessageReceived(c *transport.ControlChannel, in transport.Message) {
	m, fd := p.read(in), in.FD
	switch {
	case m.Kind == kindList && m.List != nil:
		p.list.Revision, p.list.Complete = m.List.Revision, true
		p.list.Members = append(p.list.Members, m.List.Members...)
	case m.Kind == kindPast:
		p.past = append(p.past, m.Past...)
		p.banned = append(p.banned, m.Banned...)
	case m.Kind == kindLearned && m.Learned != nil:
		p.learned = append(p.learned, *m.Learned)
	case m.Kind == kindListener && fd >= 0 && !p.served:
		p.inherit(fd, m.Sockets)
		return
	case m.Kind == kindClient && fd >= 0 && p.served:
		p.router.AdoptClient(fd, m.Unread, m.Proven)
		_, most := p.loop.SocketUsage()
		p.loop.SetMaxSockets(most + 1)
		return
	case m.Kind == kindLater:
		p.log.Info("the running process is handing over to another", "why", m.Why)
		c.Close()
		p.again()
	case m.Kind == kindRefused:
		p.log.Warn("the running process refuses", "why", m.Why)
		p.giveUp("refused: " + m.Why)
	default:
		p.bans.heed(p.Takeover, c, m)
	}
	if fd >= 0 {
		unix.Close(fd)
	}
}

// inherit takes the place of the running process.
func (p *predecessor) inherit(fd, sockets int) {
	p.loop.StopTimer(&p.limit)
	p.loop.SetMaxSockets(min(sockets, p.sockets))
	p.router.AdoptHostState(&p.list, p.past, p.banned, p.learned)
	if err := p.router.AdoptListener(fd); err != nil {
		p.giveUp(err.Error())
		return
	}
	p.served = true
	p.settle()
	send(p.channel, message{Kind: kindReady}, -1)
	p.log.Info("took over", "hosts", len(p.list.Members), "banned", len(p.banned), "sockets", sockets)
}

// again asks anew a while later.
func (p *predecessor) again() {
	p.predecessor = nil
	var wait transport.Timer
	wait.Fire = func() {
		if p.router.Listener() == nil && p.predecessor == nil && !p.ask() {
			p.giveUp("nobody runs here any more")
		}
	}
	p.loop.SetTimer(&wait, askAgain)
}

// PeerLost implements transport.PeerHandler: the running process has ended.
func (p *predecessor) PeerLost(*transport.ControlChannel, []transport.Message) {
	p.predecessor = nil
	p.bans.lost(p.loop)
	if !p.served {
		p.giveUp("the running process ended")
		return
	}
	p.log.Info("the process before has ended")
	p.shared()
}

// ForwardBan implements routing.Partner.
func (p *predecessor) ForwardBan(id string, out bool, done func(known bool)) {
	p.bans.tell(p.loop, p.channel, id, out, done)
}

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
	list    protocol.List // as far as it has come
	past    []string
	banned  []string
	learned []balance.Learned
	served  bool // its place is taken
	bans    bans
}

// MessageReceived implements transport.PeerHandler.
func (p *predecessor) MessageReceived(c *transport.ControlChannel, in transport.Message) {
	l, fd := p.read(in), in.FD
	switch {
	case l.Word == "list" && l.List != nil:
		p.list.Revision, p.list.Complete = l.List.Revision, true
		p.list.Members = append(p.list.Members, l.List.Members...)
	case l.Word == "past":
		p.past = append(p.past, l.Past...)
		p.banned = append(p.banned, l.Banned...)
	case l.Word == "learned" && l.Learned != nil:
		p.learned = append(p.learned, *l.Learned)
	case l.Word == "door" && fd >= 0 && !p.served:
		p.inherit(fd, l.Sockets)
		return
	case l.Word == "client" && fd >= 0 && p.served:
		p.router.Passed(fd, l.Unread, l.Proven)
		_, most := p.loop.Sockets()
		p.loop.Most(most + 1)
		return
	case l.Word == "later":
		p.log.Info("the running process is handing over to another", "why", l.Why)
		c.Close()
		p.again()
	case l.Word == "refused":
		p.log.Warn("the running process refuses", "why", l.Why)
		p.giveUp("refused: " + l.Why)
	default:
		p.bans.heed(p.Takeover, c, l)
	}
	if fd >= 0 {
		unix.Close(fd)
	}
}

// inherit takes the place of the running process.
func (p *predecessor) inherit(fd, sockets int) {
	p.loop.Stop(&p.limit)
	p.loop.Most(min(sockets, p.sockets))
	p.router.Adopt(&p.list, p.past, p.banned, p.learned)
	if err := p.router.Inherit(fd); err != nil {
		p.giveUp(err.Error())
		return
	}
	p.served = true
	p.settle()
	send(p.channel, letter{Word: "ready"}, -1)
	p.log.Info("took over", "hosts", len(p.list.Members), "banned", len(p.banned), "sockets", sockets)
}

// again asks anew a while later.
func (p *predecessor) again() {
	p.predecessor = nil
	var wait transport.Timer
	wait.Fire = func() {
		if p.router.Door() == nil && p.predecessor == nil && !p.ask() {
			p.giveUp("nobody runs here any more")
		}
	}
	p.loop.Set(&wait, askAgain)
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

// TellBan implements routing.Partner.
func (p *predecessor) TellBan(id string, out bool, done func(known bool)) {
	p.bans.tell(p.loop, p.channel, id, out, done)
}

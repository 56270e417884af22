package takeover

import (
	"golang.org/x/sys/unix"

	"larchthread/balance"
	"larchthread/internal/protocol"
	"larchthread/internal/transport"
)

// ancestor is the running process, as the new one sees it.
type ancestor struct {
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
func (a *ancestor) MessageReceived(c *transport.ControlChannel, in transport.Message) {
	l, fd := a.read(in), in.FD
	switch {
	case l.Word == "list" && l.List != nil:
		a.list.Revision, a.list.Complete = l.List.Revision, true
		a.list.Members = append(a.list.Members, l.List.Members...)
	case l.Word == "past":
		a.past = append(a.past, l.Past...)
		a.banned = append(a.banned, l.Banned...)
	case l.Word == "learned" && l.Learned != nil:
		a.learned = append(a.learned, *l.Learned)
	case l.Word == "door" && fd >= 0 && !a.served:
		a.inherit(fd, l.Sockets)
		return
	case l.Word == "client" && fd >= 0 && a.served:
		a.router.Passed(fd, l.Unread, l.Proven)
		_, most := a.loop.Sockets()
		a.loop.Most(most + 1)
		return
	case l.Word == "later":
		a.log.Info("the running process is handing over to another", "why", l.Why)
		c.Close()
		a.again()
	case l.Word == "refused":
		a.log.Warn("the running process refuses", "why", l.Why)
		a.giveUp("refused: " + l.Why)
	default:
		a.bans.heed(a.Takeover, c, l)
	}
	if fd >= 0 {
		unix.Close(fd)
	}
}

// inherit takes the place of the running process.
func (a *ancestor) inherit(fd, sockets int) {
	a.loop.Stop(&a.limit)
	a.loop.Most(min(sockets, a.sockets))
	a.router.Adopt(&a.list, a.past, a.banned, a.learned)
	if err := a.router.Inherit(fd); err != nil {
		a.giveUp(err.Error())
		return
	}
	a.served = true
	a.settle()
	send(a.channel, letter{Word: "ready"}, -1)
	a.log.Info("took over", "hosts", len(a.list.Members), "banned", len(a.banned), "sockets", sockets)
}

// again asks anew a while later.
func (a *ancestor) again() {
	a.before = nil
	var wait transport.Timer
	wait.Fire = func() {
		if a.router.Door() == nil && a.before == nil && !a.ask() {
			a.giveUp("nobody runs here any more")
		}
	}
	a.loop.Set(&wait, askAgain)
}

// PeerLost implements transport.PeerHandler: the running process has ended.
func (a *ancestor) PeerLost(*transport.ControlChannel, []transport.Message) {
	a.before = nil
	a.bans.lost(a.loop)
	if !a.served {
		a.giveUp("the running process ended")
		return
	}
	a.log.Info("the process before has ended")
	a.shared()
}

// TellBan implements routing.Partner.
func (a *ancestor) TellBan(id string, out bool, done func(known bool)) {
	a.bans.tell(a.loop, a.channel, id, out, done)
}

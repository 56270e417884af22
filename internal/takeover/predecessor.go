package takeover

import (
	"golang.org/x/sys/unix"

	"larchthread/balance"
	"larchthread/internal/protocol"
	"larchthread/internal/transport"
)

// predecessor is the running process as seen by the new one.
type predecessor struct {
	*Takeover
	channel     *transport.ControlChannel
	list        protocol.HostList // hosts received so far
	past        []string
	banned      []string
	learned     []balance.Learned
	replaced    bool // this process has taken over
	banRequests banRequests
}

// MessageReceived implements transport.PeerHandler.
func (p *predecessor) MessageReceived(c *transport.ControlChannel, in transport.Message) {
	m, fd := p.decode(in), in.FD
	switch {
	case m.Kind == kindList && m.List != nil:
		p.list.Revision, p.list.Complete = m.List.Revision, true
		p.list.Members = append(p.list.Members, m.List.Members...)
	case m.Kind == kindPast:
		p.past = append(p.past, m.Past...)
		p.banned = append(p.banned, m.Banned...)
	case m.Kind == kindLearned && m.Learned != nil:
		p.learned = append(p.learned, *m.Learned)
	case m.Kind == kindListener && fd >= 0 && !p.replaced:
		p.takeOver(fd, m.Sockets)
		return
	case m.Kind == kindClient && fd >= 0 && p.replaced:
		p.router.AdoptClient(fd, m.Unread, m.Proven, m.Waited)
		_, maxSockets := p.loop.SocketUsage()
		p.loop.SetMaxSockets(maxSockets + 1)
		return
	case m.Kind == kindLater:
		p.log.Info("the running process is handing over to another", "why", m.Why)
		c.Close()
		p.retryLater()
	case m.Kind == kindRefused:
		p.log.Warn("the running process refuses", "why", m.Why)
		p.listenOrEnd("refused: " + m.Why)
	default:
		p.banRequests.handle(p.Takeover, c, m)
	}
	if fd >= 0 {
		unix.Close(fd)
	}
}

// takeOver starts to serve on the listening socket fd of the running process, with up to that many sockets.
func (p *predecessor) takeOver(fd, sockets int) {
	p.loop.StopTimer(&p.timeout)
	p.loop.SetMaxSockets(min(sockets, p.sockets))
	p.router.AdoptHostState(&p.list, p.past, p.banned, p.learned)
	if err := p.router.AdoptListener(fd); err != nil {
		p.listenOrEnd(err.Error())
		return
	}
	p.replaced = true
	p.acceptSuccessors()
	send(p.channel, message{Kind: kindReady}, -1)
	p.log.Info("took over", "hosts", len(p.list.Members), "banned", len(p.banned), "sockets", sockets)
}

// retryLater asks again after a delay. Where the running process has ended by then, this one listens itself.
func (p *predecessor) retryLater() {
	p.predecessor = nil
	var wait transport.Timer
	wait.Fire = func() {
		if p.router.Listener() == nil && p.predecessor == nil && !p.requestHandOver() {
			p.listenOrEnd("nobody runs here any more")
		}
	}
	p.loop.SetTimer(&wait, retryDelay)
}

// PeerLost implements transport.PeerHandler: the running process has ended. If it did not hand over, this one looks for
// another, and listens itself where there is none.
func (p *predecessor) PeerLost(*transport.ControlChannel, []transport.Message) {
	p.predecessor = nil
	p.banRequests.failAll(p.loop)
	if !p.replaced {
		p.log.Info("the process that ran here has ended")
		p.retryLater() // another one may have taken its place meanwhile
		return
	}
	p.log.Info("the process before has ended")
	p.updateSharing()
}

// ShareIDs implements routing.PeerProcess.
func (p *predecessor) ShareIDs(hashes []uint64) { sendIDs(p.channel, hashes) }

// ForwardBan implements routing.PeerProcess.
func (p *predecessor) ForwardBan(id string, out bool, done func(known bool)) {
	p.banRequests.send(p.loop, p.channel, id, out, done)
}

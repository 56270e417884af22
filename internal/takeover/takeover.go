// Package takeover replaces a running balancer process by a new one without interrupting service. The running process
// hands over its listening socket, what it knows of hosts, and then its clients' connections. While both run they act
// as one balancer.
package takeover

import (
	"log/slog"
	"net/netip"
	"path/filepath"
	"strings"

	"larchthread/internal/routing"
	"larchthread/internal/transport"
)

const (
	handOverTimeout = 3000.0 // ms for the running process to hand over: half of the time that operators allow for the start
	retryDelay      = 100.0  // ms until a process that is handing over to another is asked again
	headroomDivisor = 8      // the running process keeps one in so many sockets beyond those that it has open
)

// Takeover is one process's part in the replacement of processes.
type Takeover struct {
	loop    *transport.Loop
	log     *slog.Logger
	router  *routing.Router
	listen  netip.AddrPort
	path    string
	onShare func(processes int) // is told how many processes share the memory
	sockets int                 // sockets that this process may open when alone

	control     *transport.ControlListener
	predecessor *predecessor    // process that this one replaces, until it is gone
	successor   *successor      // process that replaces this one, or nil
	timeout     transport.Timer // for the running process to hand over
	listenErr   error           // why this process could not listen
}

// Start makes the router listen: on the socket of the process that runs at the address already, or, where there is
// none, on its own. It fails where there is none and the address can't be listened on. dir is the directory of the
// socket file by which processes find each other. onShare is called with the number of processes that share this one's
// memory.
//
// The socket is handed over after Start has returned. Where that does not happen, the process listens itself or, if
// that fails, ends the loop: Close then returns the error.
func Start(loop *transport.Loop, log *slog.Logger, router *routing.Router, listen netip.AddrPort, dir string,
	onShare func(processes int)) (*Takeover, error) {
	name := "larchthread-" + strings.NewReplacer(":", "-", "[", "", "]", "").Replace(listen.String())
	t := &Takeover{loop: loop, log: log, router: router, listen: listen, path: filepath.Join(dir, name), onShare: onShare}
	_, t.sockets = loop.SocketUsage()
	if !t.requestHandOver() {
		return t, t.listenAlone("nobody runs here")
	}
	loop.SetTimer(&t.timeout, handOverTimeout)
	t.timeout.Fire = func() { t.listenOrEnd("the running process does not hand over") }
	return t, nil
}

// Close removes this process's socket file after the loop has ended. It returns the error that ended the loop where the process
// could not listen. The Takeover may be nil.
func (t *Takeover) Close() error {
	if t == nil {
		return nil
	}
	if t.control != nil {
		t.control.Remove()
	}
	return t.listenErr
}

// requestHandOver asks the running process to hand over. It returns false where no process runs.
func (t *Takeover) requestHandOver() bool {
	p := &predecessor{Takeover: t}
	channel, err := t.loop.DialControl(t.path, p)
	if err != nil {
		return false
	}
	p.channel, t.predecessor = channel, p
	send(channel, message{Kind: kindHello, Version: protocolVersion}, -1)
	return true
}

// listenAlone listens on a socket of this process's own. The address may be shared with a running process that does not
// hand over.
func (t *Takeover) listenAlone(why string) error {
	t.loop.StopTimer(&t.timeout)
	if t.predecessor != nil {
		t.predecessor.channel.Close()
		t.predecessor = nil
	}
	t.log.Info("listening", "why", why)
	if err := t.router.Listen(t.listen, true); err != nil {
		return err
	}
	t.acceptSuccessors()
	return nil
}

// listenOrEnd is listenAlone for a process whose loop runs: the loop ends where it can't listen.
func (t *Takeover) listenOrEnd(why string) {
	if err := t.listenAlone(why); err != nil {
		t.listenErr = err
		t.loop.Quit()
	}
}

// acceptSuccessors makes this process the one that the next finds, unless it already is, and updates what two processes
// share.
func (t *Takeover) acceptSuccessors() {
	if t.control == nil {
		var err error
		if t.control, err = t.loop.ListenControl(t.path, t.acceptSuccessor); err != nil {
			t.log.Warn("the next process will not find this one", "error", err)
		}
	}
	t.updateSharing()
}

// updateSharing tells the router which other process there is, and divides memory between the two. A process that is
// alone gets its full number of sockets.
func (t *Takeover) updateSharing() {
	switch {
	case t.successor != nil:
		t.router.SetPeerProcess(t.successor)
		t.onShare(2)
	case t.predecessor != nil:
		t.router.SetPeerProcess(t.predecessor)
		t.onShare(2)
	default:
		t.router.SetPeerProcess(nil)
		t.loop.SetMaxSockets(t.sockets)
		t.onShare(1)
	}
}

// acceptSuccessor handles a connection of a process that asks to take over.
func (t *Takeover) acceptSuccessor() transport.PeerHandler { return &successor{Takeover: t} }

// Package takeover hands a balancer over from the running process to the next one: the listening socket, what is known of
// hosts, and clients' connections. While both live they are one balancer.
package takeover

import (
	"log/slog"
	"net/netip"
	"os"
	"path/filepath"
	"strings"

	"larchthread/internal/routing"
	"larchthread/internal/transport"
)

const (
	askMost  = 3000.0 // ms for the running process to hand over: half of what operators wait for the yes
	askAgain = 100.0  // ms until a process that is busy with another successor is asked again
	headroom = 8      // one in so many sockets that the old process may open beyond those it has
)

// Takeover is one process's side of upgrades.
type Takeover struct {
	loop    *transport.Loop
	log     *slog.Logger
	router  *routing.Router
	listen  netip.AddrPort
	path    string
	share   func(processes int) // told how many processes share the memory
	sockets int                 // that this process may open where it is alone

	control     *transport.ControlListener
	predecessor *predecessor // the process whose place this one takes, until it is gone
	successor   *successor   // the process that takes this one's place, or nil
	limit       transport.Timer
	failed      error
}

// Start has the router listen: by asking the process that runs at the address already for its own, or, where there is
// none, by listening. dir is where the two find each other.
func Start(loop *transport.Loop, log *slog.Logger, router *routing.Router, listen netip.AddrPort, dir string,
	share func(processes int)) (*Takeover, error) {
	name := "larchthread-" + strings.NewReplacer(":", "-", "[", "", "]", "").Replace(listen.String())
	t := &Takeover{loop: loop, log: log, router: router, listen: listen, path: filepath.Join(dir, name), share: share}
	_, t.sockets = loop.SocketUsage()
	if !t.ask() {
		return t, t.alone("nobody runs here")
	}
	loop.SetTimer(&t.limit, askMost)
	t.limit.Fire = func() { t.giveUp("the running process does not hand over") }
	return t, nil
}

// Close cleans up behind the loop. It returns why it could not listen, if the loop ended for that.
func (t *Takeover) Close() error {
	if t == nil {
		return nil
	}
	if t.control != nil {
		os.Remove(t.path)
	}
	return t.failed
}

// ask asks the running process, if there is one.
func (t *Takeover) ask() bool {
	p := &predecessor{Takeover: t}
	channel, err := t.loop.DialControl(t.path, p)
	if err != nil {
		return false
	}
	p.channel, t.predecessor = channel, p
	send(channel, message{Kind: kindHello, Version: version}, -1)
	return true
}

// alone opens a listener of its own, at an address that may be shared with a process that would not hand over.
func (t *Takeover) alone(why string) error {
	t.loop.StopTimer(&t.limit)
	if t.predecessor != nil {
		t.predecessor.channel.Close()
		t.predecessor = nil
	}
	t.log.Info("listening", "why", why)
	if err := t.router.Listen(t.listen, true); err != nil {
		return err
	}
	t.settle()
	return nil
}

// giveUp is alone for a process whose loop runs: without a listener it ends.
func (t *Takeover) giveUp(why string) {
	if err := t.alone(why); err != nil {
		t.failed = err
		t.loop.Quit()
	}
}

// settle lets the next process find this one, and shares out what two have together.
func (t *Takeover) settle() {
	if t.control == nil {
		var err error
		if t.control, err = t.loop.ListenControl(t.path, t.acceptSuccessor); err != nil {
			t.log.Warn("the next process will not find this one", "error", err)
		}
	}
	t.shared()
}

// shared tells the router who is beside it.
func (t *Takeover) shared() {
	switch {
	case t.successor != nil:
		t.router.SetPeerProcess(t.successor)
		t.share(2)
	case t.predecessor != nil:
		t.router.SetPeerProcess(t.predecessor)
		t.share(2)
	default:
		t.router.SetPeerProcess(nil)
		t.loop.SetMaxSockets(t.sockets)
		t.share(1)
	}
}

// acceptSuccessor takes in a process that asks for this one's place.
func (t *Takeover) acceptSuccessor() transport.PeerHandler { return &successor{Takeover: t} }

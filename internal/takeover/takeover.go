// Package takeover hands a balancer over from the running process to the next one: the listening socket, what is known of
// hosts, and clients' connections. While both live they are one balancer.
package takeover

import (
	"encoding/json"
	"log/slog"
	"net/netip"
	"os"
	"path/filepath"
	"strings"

	"larchthread/balance"
	"larchthread/internal/protocol"
	"larchthread/internal/routing"
	"larchthread/internal/transport"
)

const (
	version  = 1      // of what the letters say; another is refused
	askMost  = 3000.0 // ms for the running process to hand over: half of what operators wait for the yes
	askAgain = 100.0  // ms until a process that is busy with another successor is asked again
	tellMost = 700.0  // ms for the other process to heed a ban: the caller waits 1 s
	idsMost  = 500    // ids or hosts in a letter: some tens of KB
	headroom = 8      // one in so many sockets that the old process may open beyond those it has
)

// letter is what one process tells the other. What a build does not know in it is passed over.
type letter struct {
	Word    string           `json:"word"`
	Version int              `json:"version,omitempty"`
	Why     string           `json:"why,omitempty"`     // of a refusal
	List    *protocol.List   `json:"list,omitempty"`    // part of the list, in discovery's form
	Past    []string         `json:"past,omitempty"`    // ids of hosts there were
	Banned  []string         `json:"banned,omitempty"`  // ids of hosts that are banned
	Learned *balance.Learned `json:"learned,omitempty"` // part of what the balancer has learned
	Sockets int              `json:"sockets,omitempty"` // that the new process may open
	Unread  []byte           `json:"unread,omitempty"`  // of a passed connection
	Proven  bool             `json:"proven,omitempty"`  // an op has come on it
	ID      string           `json:"id,omitempty"`      // of a host to be banned
	Out     bool             `json:"out,omitempty"`     // it is to be banned, not put back
	Number  int              `json:"number,omitempty"`  // of a word on a ban, and of the answer to it
	Known   bool             `json:"known,omitempty"`   // the host is known there
}

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

// Begin opens the router's door: by asking the process that runs at the address already for its own, or, where there is
// none, by listening. dir is where the two find each other.
func Begin(loop *transport.Loop, log *slog.Logger, router *routing.Router, listen netip.AddrPort, dir string,
	share func(processes int)) (*Takeover, error) {
	name := "larchthread-" + strings.NewReplacer(":", "-", "[", "", "]", "").Replace(listen.String())
	t := &Takeover{loop: loop, log: log, router: router, listen: listen, path: filepath.Join(dir, name), share: share}
	_, t.sockets = loop.Sockets()
	if !t.ask() {
		return t, t.alone("nobody runs here")
	}
	loop.Set(&t.limit, askMost)
	t.limit.Fire = func() { t.giveUp("the running process does not hand over") }
	return t, nil
}

// End cleans up behind the loop. It returns why the door could not be opened, if the loop ended for that.
func (t *Takeover) End() error {
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
	send(channel, letter{Word: "hello", Version: version}, -1)
	return true
}

// alone opens a door of its own, at an address that may be shared with a process that would not hand over.
func (t *Takeover) alone(why string) error {
	t.loop.Stop(&t.limit)
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

// giveUp is alone for a process whose loop runs: without a door it ends.
func (t *Takeover) giveUp(why string) {
	if err := t.alone(why); err != nil {
		t.failed = err
		t.loop.End()
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
		t.router.With(t.successor)
		t.share(2)
	case t.predecessor != nil:
		t.router.With(t.predecessor)
		t.share(2)
	default:
		t.router.With(nil)
		t.loop.Most(t.sockets)
		t.share(1)
	}
}

// acceptSuccessor takes in a process that asks for this one's place.
func (t *Takeover) acceptSuccessor() transport.PeerHandler { return &successor{Takeover: t} }

// read reads a letter. One that can't be read says nothing.
func (t *Takeover) read(in transport.Message) (l letter) {
	if err := json.Unmarshal(in.Data, &l); err != nil {
		t.log.Warn("a letter that can't be read", "error", err)
	}
	return l
}

func send(c *transport.ControlChannel, l letter, fd int) {
	text, err := json.Marshal(l)
	if err != nil { // no field can fail
		panic(err)
	}
	c.Send(text, fd)
}

// bans are the words on bans that the other process has not answered yet.
type bans struct {
	number int
	open   map[int]*ban
}

type ban struct {
	limit transport.Timer
	done  func(known bool)
}

// tell has the other process ban a host. One that does not answer in time is not waited for: its time is nearly over, or
// it stands still and sends nothing.
func (b *bans) tell(loop *transport.Loop, c *transport.ControlChannel, id string, out bool, done func(known bool)) {
	if b.open == nil {
		b.open = map[int]*ban{}
	}
	b.number++
	n, x := b.number, &ban{done: done}
	x.limit.Fire = func() { b.answered(loop, n, false) }
	loop.Set(&x.limit, tellMost)
	b.open[n] = x
	send(c, letter{Word: "ban", ID: id, Out: out, Number: n}, -1)
}

func (b *bans) answered(loop *transport.Loop, n int, known bool) {
	if x := b.open[n]; x != nil {
		delete(b.open, n)
		loop.Stop(&x.limit)
		x.done(known)
	}
}

// lost takes word that nobody will answer.
func (b *bans) lost(loop *transport.Loop) {
	for n := range b.number + 1 {
		b.answered(loop, n, false)
	}
}

// heed takes a letter on a ban, from either side.
func (b *bans) heed(t *Takeover, c *transport.ControlChannel, l letter) {
	switch l.Word {
	case "ban":
		err := t.router.TakeBan(l.ID, l.Out)
		send(c, letter{Word: "banned", Number: l.Number, Known: err == nil}, -1)
	case "banned":
		b.answered(t.loop, l.Number, l.Known)
	}
}

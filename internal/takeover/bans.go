package takeover

import "larchthread/internal/transport"

const tellMost = 700.0 // ms for the other process to heed a ban: the caller waits 1 s

// bans are the messages on bans that the other process has not answered yet.
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
	loop.SetTimer(&x.limit, tellMost)
	b.open[n] = x
	send(c, message{Kind: kindBan, ID: id, Out: out, Number: n}, -1)
}

func (b *bans) answered(loop *transport.Loop, n int, known bool) {
	if x := b.open[n]; x != nil {
		delete(b.open, n)
		loop.StopTimer(&x.limit)
		x.done(known)
	}
}

// lost takes word that nobody will answer.
func (b *bans) lost(loop *transport.Loop) {
	for n := range b.number + 1 {
		b.answered(loop, n, false)
	}
}

// heed takes a message on a ban, from either side.
func (b *bans) heed(t *Takeover, c *transport.ControlChannel, m message) {
	switch m.Kind {
	case kindBan:
		err := t.router.ApplyBan(m.ID, m.Out)
		send(c, message{Kind: kindBanned, Number: m.Number, Known: err == nil}, -1)
	case kindBanned:
		b.answered(t.loop, m.Number, m.Known)
	}
}

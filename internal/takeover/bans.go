package takeover

import "larchthread/internal/transport"

const banReplyTimeout = 700.0 // ms for the other process to answer: less than the 1 s that the operator's call waits

// banRequests are the bans sent to the other process that it has not answered yet, by number.
type banRequests struct {
	lastNumber int
	pending    map[int]*banRequest
}

// banRequest is a ban, or the end of one, that waits for its answer.
type banRequest struct {
	timeout transport.Timer
	done    func(known bool)
}

// send asks the other process to ban a host, or to put it back where out is false. done is told whether that process
// knows the host; false where it does not answer in time, as it is then about to end or hangs and sends nothing.
func (b *banRequests) send(loop *transport.Loop, channel *transport.ControlChannel, id string, out bool, done func(known bool)) {
	if b.pending == nil {
		b.pending = map[int]*banRequest{}
	}
	b.lastNumber++
	n, request := b.lastNumber, &banRequest{done: done}
	request.timeout.Fire = func() { b.resolve(loop, n, false) }
	loop.SetTimer(&request.timeout, banReplyTimeout)
	b.pending[n] = request
	send(channel, message{Kind: kindBan, ID: id, Out: out, Number: n}, -1)
}

// resolve reports the answer to request n, once.
func (b *banRequests) resolve(loop *transport.Loop, n int, known bool) {
	if request := b.pending[n]; request != nil {
		delete(b.pending, n)
		loop.StopTimer(&request.timeout)
		request.done(known)
	}
}

// failAll reports to all open requests that the other process is gone.
func (b *banRequests) failAll(loop *transport.Loop) {
	for n := range b.lastNumber + 1 {
		b.resolve(loop, n, false)
	}
}

// handle handles a message that either process may send: on a ban, be it a request or an answer, or on ids. Others are
// ignored.
func (b *banRequests) handle(t *Takeover, channel *transport.ControlChannel, m message) {
	switch m.Kind {
	case kindBan:
		err := t.router.ApplyBan(m.ID, m.Out)
		send(channel, message{Kind: kindBanned, Number: m.Number, Known: err == nil}, -1)
	case kindIDs:
		t.router.AdoptIDs(m.IDs)
	case kindBanned:
		b.resolve(t.loop, m.Number, m.Known)
	}
}

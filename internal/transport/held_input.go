package transport

import "golang.org/x/sys/unix"

const (
	heldInputGap  = 5.0     // ms for which the socket is empty before input arrives that was not held back
	maxHeldBytes  = 4 << 20 // bytes that a peer may have sent while its input was held back: the largest value
	windowDivisor = 32      // the kernel offers a peer no less than 1 in 32 of the receive buffer's bytes at once
)

// heldInput is the rest of input that was held back in the socket. While reading was paused the peer has sent on, until
// its kernel and this one held no more. So what follows may be as old as what came first, until the socket has stayed
// empty: then the peer's kernel has nothing left.
type heldInput struct {
	from      float64 // ms; earliest time at which it can have arrived; 0 without such input
	bytes     int     // read of it since blockFrom
	blockFrom float64 // ms; when the current maxHeldBytes of it began to be read
	emptiedAt float64 // ms; when the socket was last seen empty; 0 while it was not
}

// fromIfContinued returns the earliest time in ms at which input can have arrived if it belongs to held input, else 0.
// The socket is known to have stayed empty until the given time in ms, unless it was not seen empty at all.
func (h *heldInput) fromIfContinued(emptyUntil float64) float64 {
	if h.emptiedAt > 0 && emptyUntil-h.emptiedAt > heldInputGap {
		*h = heldInput{}
	}
	return h.from
}

// resume tells that reading goes on after a pause amid held input.
func (h *heldInput) resume() { h.emptiedAt = 0 }

// add counts bytes of held input that were read. Those behind maxHeldBytes were sent after the first of them were read.
func (h *heldInput) add(bytes int, now float64) {
	if h.bytes += bytes; h.bytes >= maxHeldBytes {
		h.from, h.blockFrom, h.bytes = h.blockFrom, now, 0
	}
}

// noteHeld records that got bytes of at most limit were read, the first of which can have arrived at a time in ms.
// wasHeld tells whether they were held back. If so, and unless they are fewer than the kernel lets a peer send at once, more
// may stand at the peer, whatever room there is in the socket by now.
func (c *Conn) noteHeld(wasHeld bool, earliest float64, got, limit int) {
	h := &c.held
	switch {
	case h.from > 0:
		h.add(got, c.loop.now)
	case wasHeld && c.isClient() && (got >= limit || got >= c.receiveBufferBytes()/windowDivisor):
		*h = heldInput{from: earliest, bytes: got, blockFrom: c.loop.now}
	default:
		return
	}
	if h.emptiedAt = 0; got < limit {
		h.emptiedAt = c.loop.ReadClock()
	}
}

// receiveBufferBytes returns the size of the socket's receive buffer.
func (c *Conn) receiveBufferBytes() int {
	n, err := unix.GetsockoptInt(c.fd, unix.SOL_SOCKET, unix.SO_RCVBUF)
	if err != nil {
		return 0
	}
	return n
}

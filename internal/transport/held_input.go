package transport

import "golang.org/x/sys/unix"

const (
	heldInputGap       = 5.0     // ms without input behind which input was not sent while earlier input was held back
	maxHeldBytes       = 4 << 20 // bytes that a peer may have sent while its input was held back: the largest value
	fullReceiveDivisor = 4       // a read of 1 in 4 of the receive buffer's bytes tells that the peer could not send all
)

// heldInput is the rest of input that was held back in the socket. While reading was paused the peer has sent on, until
// its kernel and this one held no more, so what follows without a gap may be as old as what came first.
type heldInput struct {
	from   float64 // ms; earliest time at which it can have arrived; 0 without such input
	bytes  int     // read of it so far
	readAt float64 // ms; when it was last read
}

// fromIfContinued returns the earliest time in ms at which input that is read now can have arrived if it belongs to held
// input, else 0.
func (h *heldInput) fromIfContinued(now float64) float64 {
	if now-h.readAt > heldInputGap || h.bytes >= maxHeldBytes {
		*h = heldInput{}
	}
	return h.from
}

// resume tells that reading goes on after a pause amid held input.
func (h *heldInput) resume(now float64) {
	if h.from > 0 {
		h.readAt = now
	}
}

// noteHeld records that got bytes of at most limit were read, the first of which can have arrived at a time in ms.
// wasHeld tells whether they were held back.
func (c *Conn) noteHeld(wasHeld bool, earliest float64, got, limit int) {
	switch {
	case c.held.from > 0:
		c.held.bytes += got
		c.held.readAt = c.loop.now
	case wasHeld && c.isClient() && (got >= limit || got >= c.receiveBufferBytes()/fullReceiveDivisor):
		c.held = heldInput{earliest, got, c.loop.now}
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

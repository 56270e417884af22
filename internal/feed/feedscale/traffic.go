package feedscale

import (
	"net"
	"sync/atomic"
	"time"
)

const (
	sliceLength     = 100 * time.Millisecond
	slicesPerSecond = int(time.Second / sliceLength)
)

// headerBytes is what the headers of TCP and IP add to a segment, and what an acknowledgement is.
const headerBytes = 52

// meter counts bytes and segments by slices of time. A segment is a read that brought data: on loopback a message is one,
// and a read that brings several counts them as one.
type meter struct {
	began  time.Time
	slices []meterSlice
}

type meterSlice struct{ bytes, segments atomic.Uint32 }

// newMeter makes a meter for a run of at most the given length. What comes later counts in the last slice.
func newMeter(began time.Time, length time.Duration) *meter {
	return &meter{began, make([]meterSlice, int(length/sliceLength)+1)}
}

func (m *meter) add(bytes int) {
	slice := &m.slices[min(int(time.Since(m.began)/sliceLength), len(m.slices)-1)]
	slice.bytes.Add(uint32(bytes))
	slice.segments.Add(1)
}

// traffic is an amount of data.
type traffic struct{ Bytes, Segments int }

// total is what came between two times since the run began.
func (m *meter) total(from, to time.Duration) (sum traffic) {
	last := min(int(to/sliceLength), len(m.slices))
	for i := int(from / sliceLength); i < last; i++ {
		sum.Bytes += int(m.slices[i].bytes.Load())
		sum.Segments += int(m.slices[i].segments.Load())
	}
	return sum
}

// greatestSecond is the most that came in any second, by bytes and by segments, between two times since the run began.
func (m *meter) greatestSecond(from, to time.Duration) (most traffic) {
	var window traffic
	first, last := int(from/sliceLength), min(int(to/sliceLength), len(m.slices))
	for i := first; i < last; i++ {
		window.Bytes += int(m.slices[i].bytes.Load())
		window.Segments += int(m.slices[i].segments.Load())
		if gone := i - slicesPerSecond; gone >= first {
			window.Bytes -= int(m.slices[gone].bytes.Load())
			window.Segments -= int(m.slices[gone].segments.Load())
		}
		most.Bytes = max(most.Bytes, window.Bytes)
		most.Segments = max(most.Segments, window.Segments)
	}
	return most
}

// meteredConn counts what is read from a connection, at each of its meters.
type meteredConn struct {
	net.Conn
	received []*meter
	sent     *meter
}

func (c *meteredConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if n > 0 {
		for _, meter := range c.received {
			meter.add(n)
		}
	}
	return n, err
}

func (c *meteredConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	if n > 0 {
		c.sent.add(n)
	}
	return n, err
}

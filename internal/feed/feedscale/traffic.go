package feedscale

import (
	"net"
	"sync/atomic"
	"time"
)

const (
	sliceDuration   = 100 * time.Millisecond
	slicesPerSecond = int(time.Second / sliceDuration)
)

// headerBytesPerSegment is the size of the TCP and IP headers of a segment, which is also the size of an acknowledgement.
const headerBytesPerSegment = 52

// meter counts bytes and segments in time slices of sliceDuration. Each read or write that transfers data counts as one
// segment, even if it carries several messages. It is safe for concurrent use.
type meter struct {
	start  time.Time
	slices []meterSlice
}

// meterSlice holds the counts of one time slice.
type meterSlice struct{ bytes, segments atomic.Uint32 }

// newMeter returns a meter for a run of the given length. Later traffic counts in the last slice.
func newMeter(start time.Time, length time.Duration) *meter {
	return &meter{start, make([]meterSlice, int(length/sliceDuration)+1)}
}

// add counts one segment with a number of bytes, at the current time.
func (m *meter) add(bytes int) {
	slice := &m.slices[min(int(time.Since(m.start)/sliceDuration), len(m.slices)-1)]
	slice.bytes.Add(uint32(bytes))
	slice.segments.Add(1)
}

// traffic is an amount of data in bytes and segments.
type traffic struct{ Bytes, Segments int }

// total returns the traffic between two times since the start of the run, rounded down to slices.
func (m *meter) total(from, to time.Duration) (sum traffic) {
	last := min(int(to/sliceDuration), len(m.slices))
	for i := int(from / sliceDuration); i < last; i++ {
		sum.Bytes += int(m.slices[i].bytes.Load())
		sum.Segments += int(m.slices[i].segments.Load())
	}
	return sum
}

// peakSecond returns the largest numbers of bytes and of segments in any second, starting at any slice, between two times
// since the start of the run. The two numbers may come from different seconds.
func (m *meter) peakSecond(from, to time.Duration) (peak traffic) {
	var window traffic
	first, last := int(from/sliceDuration), min(int(to/sliceDuration), len(m.slices))
	for i := first; i < last; i++ {
		window.Bytes += int(m.slices[i].bytes.Load())
		window.Segments += int(m.slices[i].segments.Load())
		if expired := i - slicesPerSecond; expired >= first {
			window.Bytes -= int(m.slices[expired].bytes.Load())
			window.Segments -= int(m.slices[expired].segments.Load())
		}
		peak.Bytes = max(peak.Bytes, window.Bytes)
		peak.Segments = max(peak.Segments, window.Segments)
	}
	return peak
}

// meteredConn counts what is read from a connection in each meter of received, and what is written to it in sent.
type meteredConn struct {
	net.Conn
	received []*meter
	sent     *meter
}

// Read reads from the connection and counts the bytes read.
func (c *meteredConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if n > 0 {
		for _, meter := range c.received {
			meter.add(n)
		}
	}
	return n, err
}

// Write writes to the connection and counts the bytes written.
func (c *meteredConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	if n > 0 {
		c.sent.add(n)
	}
	return n, err
}

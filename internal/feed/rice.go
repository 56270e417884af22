package feed

import "math/bits"

// Sets of prefixes are written as the gaps between them in Golomb-Rice code: a gap's quotient by a power of two in unary,
// then its remainder in binary. Prefixes of hashes are spread evenly, so that a set of 200 out of 2^24 takes 18.5 bits for
// each, where varints of the gaps take 24. A catch-up of two minutes has to pass through a small budget within seconds.

const (
	// maxPrefixBits bounds the bits of a prefix.
	maxPrefixBits = 32
)

// riceCoded writes distinct, rising prefixes: their number, the bits of a remainder, and the gaps.
func (e *encoder) riceCoded(prefixes []uint64) {
	e.number(uint64(len(prefixes)))
	if len(prefixes) == 0 {
		return
	}
	remainderBits := riceParameter(prefixes)
	e.buffer = append(e.buffer, byte(remainderBits))
	writer := bitWriter{buffer: e.buffer}
	next := uint64(0)
	for _, prefix := range prefixes {
		gap := prefix - next
		writer.unary(gap >> remainderBits)
		writer.binary(gap, remainderBits)
		next = prefix + 1
	}
	e.buffer = writer.finish()
}

// riceCoded reads what the encoder's method of that name has written.
func (d *decoder) riceCoded(prefixBits int) []uint64 {
	count := d.count(1)
	if count == 0 {
		return nil
	}
	remainderBits := int(d.octet())
	if remainderBits > prefixBits || count > len(d.rest)*8/(remainderBits+1) {
		d.fail()
		return nil
	}
	limit := uint64(1) << prefixBits
	reader := bitReader{data: d.rest}
	prefixes := make([]uint64, count)
	next := uint64(0)
	for i := range prefixes {
		quotient := reader.unary()
		prefix := next + quotient<<remainderBits + reader.binary(remainderBits)
		if reader.failed || prefix >= limit {
			d.fail()
			return nil
		}
		prefixes[i] = prefix
		next = prefix + 1
	}
	d.rest = d.rest[reader.bytesRead():]
	return prefixes
}

// riceParameter returns the bits of a remainder that make for a short code: those of the mean gap's larger half.
func riceParameter(prefixes []uint64) int {
	last := prefixes[len(prefixes)-1]
	mean := last / uint64(len(prefixes))
	return max(bits.Len64(mean)-1, 0)
}

// bitWriter appends bits, the highest of a byte first.
type bitWriter struct {
	buffer []byte
	// pending holds the lowest used bits of a byte that isn't full.
	pending uint8
	used    int
}

func (w *bitWriter) bit(value uint64) {
	w.pending = w.pending<<1 | uint8(value&1)
	w.used++
	if w.used == 8 {
		w.buffer = append(w.buffer, w.pending)
		w.pending = 0
		w.used = 0
	}
}

// unary writes value ones and a zero.
func (w *bitWriter) unary(value uint64) {
	for range value {
		w.bit(1)
	}
	w.bit(0)
}

// binary writes the lowest bits of value.
func (w *bitWriter) binary(value uint64, count int) {
	for i := count - 1; i >= 0; i-- {
		w.bit(value >> i)
	}
}

// finish fills the last byte with zeros and returns all.
func (w *bitWriter) finish() []byte {
	for w.used > 0 {
		w.bit(0)
	}
	return w.buffer
}

// bitReader reads bits, the highest of a byte first. Past the end it has failed.
type bitReader struct {
	data   []byte
	next   int
	failed bool
}

func (r *bitReader) bit() uint64 {
	if r.next >= len(r.data)*8 {
		r.failed = true
		return 0
	}
	value := r.data[r.next/8] >> (7 - r.next%8) & 1
	r.next++
	return uint64(value)
}

func (r *bitReader) unary() uint64 {
	value := uint64(0)
	for r.bit() == 1 {
		value++
	}
	return value
}

func (r *bitReader) binary(count int) uint64 {
	value := uint64(0)
	for range count {
		value = value<<1 | r.bit()
	}
	return value
}

// bytesRead counts the bytes of which a bit was read.
func (r *bitReader) bytesRead() int {
	return (r.next + 7) / 8
}

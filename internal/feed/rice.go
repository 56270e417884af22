package feed

import "math/bits"

// Sets of prefixes are encoded as the gaps between them in Golomb-Rice code: a gap's quotient by a power of two in unary,
// then its remainder in binary. Hash prefixes are evenly distributed, so a set of 200 out of 2^24 takes 18.5 bits per prefix,
// compared with 24 for varints of the gaps. This keeps a catch-up of two minutes within a small budget.

const (
	// maxPrefixBits is the maximum number of bits of a prefix.
	maxPrefixBits = 32
)

// ricePrefixes writes distinct prefixes in increasing order: their number, the bits of a remainder, and the gaps.
func (e *encoder) ricePrefixes(prefixes []uint64) {
	e.uvarint(uint64(len(prefixes)))
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

// ricePrefixes reads a set of prefixes of prefixBits bits each.
func (d *decoder) ricePrefixes(prefixBits int) []uint64 {
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

// riceParameter returns the number of remainder bits for a short code: the integer part of log2 of the mean gap.
func riceParameter(prefixes []uint64) int {
	last := prefixes[len(prefixes)-1]
	mean := last / uint64(len(prefixes))
	return max(bits.Len64(mean)-1, 0)
}

// bitWriter appends bits, starting with the most significant bit of each byte.
type bitWriter struct {
	buffer []byte
	// pending holds the bits of an incomplete byte in its low end.
	pending     uint8
	pendingBits int
}

// bit appends the lowest bit of value.
func (w *bitWriter) bit(value uint64) {
	w.pending = w.pending<<1 | uint8(value&1)
	w.pendingBits++
	if w.pendingBits == 8 {
		w.buffer = append(w.buffer, w.pending)
		w.pending = 0
		w.pendingBits = 0
	}
}

// unary writes value one bits followed by a zero bit.
func (w *bitWriter) unary(value uint64) {
	for range value {
		w.bit(1)
	}
	w.bit(0)
}

// binary writes the count lowest bits of value.
func (w *bitWriter) binary(value uint64, count int) {
	for i := count - 1; i >= 0; i-- {
		w.bit(value >> i)
	}
}

// finish pads the last byte with zeros and returns the buffer.
func (w *bitWriter) finish() []byte {
	for w.pendingBits > 0 {
		w.bit(0)
	}
	return w.buffer
}

// bitReader reads bits, starting with the most significant bit of each byte. Reading past the end sets failed.
type bitReader struct {
	data   []byte
	next   int
	failed bool
}

// bit returns the next bit. At the end of the data it returns 0 and sets failed.
func (r *bitReader) bit() uint64 {
	if r.next >= len(r.data)*8 {
		r.failed = true
		return 0
	}
	value := r.data[r.next/8] >> (7 - r.next%8) & 1
	r.next++
	return uint64(value)
}

// unary returns the number of one bits up to the next zero bit or the end of the data, and reads the zero bit too.
func (r *bitReader) unary() uint64 {
	value := uint64(0)
	for r.bit() == 1 {
		value++
	}
	return value
}

// binary reads a number of count bits, the most significant one first.
func (r *bitReader) binary(count int) uint64 {
	value := uint64(0)
	for range count {
		value = value<<1 | r.bit()
	}
	return value
}

// bytesRead returns the number of bytes read, including one that is read in part.
func (r *bitReader) bytesRead() int {
	return (r.next + 7) / 8
}

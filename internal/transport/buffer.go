package transport

import "bytes"

// buffer is a block of a Chain.
type buffer struct {
	data [BufferSize]byte
	r, w int // data[r:w] holds unread bytes
}

// Pool allocates and recycles buffers. It belongs to one loop and is not safe for concurrent use.
type Pool struct {
	MaxBytes int // limit at which clients are no longer read; 0 for none

	free  []*buffer
	inUse int
}

// IsFull reports whether the limit is reached.
func (p *Pool) IsFull() bool { return p.MaxBytes > 0 && p.UsedBytes() >= p.MaxBytes }

// IsShort reports whether so much is in use that little is read from a connection at a time: hundreds of them have to fit.
func (p *Pool) IsShort() bool { return p.MaxBytes > 0 && p.UsedBytes() >= p.MaxBytes/shortPoolDivisor }

// UsedBytes returns the size of all buffers in use.
func (p *Pool) UsedBytes() int { return p.inUse * BufferSize }

// get returns an empty buffer.
func (p *Pool) get() *buffer {
	p.inUse++
	if n := len(p.free); n > 0 {
		b := p.free[n-1]
		p.free = p.free[:n-1]
		b.r, b.w = 0, 0
		return b
	}
	return &buffer{}
}

// put takes a buffer back.
func (p *Pool) put(b *buffer) {
	p.inUse--
	if len(p.free) < maxFreeBuffers {
		p.free = append(p.free, b)
	}
}

// Chain is a FIFO queue of bytes in buffers of a Pool.
type Chain struct {
	pool    *Pool
	bufs    []*buffer
	storage []*buffer // backing array of bufs, reused once the chain is empty
	size    int
}

// NewChain returns an empty chain that uses the pool's buffers.
func (p *Pool) NewChain() Chain { return Chain{pool: p} }

// Len returns the number of bytes in the chain.
func (c *Chain) Len() int { return c.size }

// tail returns the last buffer if it has free space, else a new one that it appends.
func (c *Chain) tail() *buffer {
	if n := len(c.bufs); n > 0 && c.bufs[n-1].w < BufferSize {
		return c.bufs[n-1]
	}
	b := c.pool.get()
	c.add(b)
	return b
}

// add appends a buffer without counting its bytes.
func (c *Chain) add(b *buffer) {
	if len(c.bufs) == 0 {
		c.bufs = append(c.storage[:0], b)
		c.storage = c.bufs[:0]
		return
	}
	c.bufs = append(c.bufs, b)
}

// Write appends p. It never fails.
func (c *Chain) Write(p []byte) (int, error) {
	write(c, p)
	return len(p), nil
}

// WriteString appends s.
func (c *Chain) WriteString(s string) { write(c, s) }

// write appends bytes to a chain.
func write[T []byte | string](c *Chain, left T) {
	for len(left) > 0 {
		b := c.tail()
		n := copy(b.data[b.w:], left)
		b.w += n
		c.size += n
		left = left[n:]
	}
}

// AppendRange appends n bytes of d, starting at offset at. It does not change d.
func (c *Chain) AppendRange(d *Chain, at, n int) {
	for _, b := range d.bufs {
		part := b.data[b.r:b.w]
		skip := min(at, len(part))
		part = part[skip:]
		part = part[:min(n, len(part))]
		at -= skip
		n -= len(part)
		c.Write(part)
	}
}

// Drop removes n bytes from the front and recycles the buffers that become empty.
func (c *Chain) Drop(n int) {
	c.size -= n
	for n > 0 {
		b := c.bufs[0]
		k := min(n, b.w-b.r)
		b.r += k
		n -= k
		if b.r == b.w {
			c.pool.put(b)
			c.bufs[0] = nil
			c.bufs = c.bufs[1:]
		}
	}
	if len(c.bufs) == 0 {
		c.bufs = nil
	}
}

// Free removes all bytes and recycles all buffers.
func (c *Chain) Free() { c.Drop(c.size) }

// SplitFront moves n bytes from the front to a new chain. Whole buffers are moved without copying.
func (c *Chain) SplitFront(n int) Chain {
	d := c.pool.NewChain()
	for n > 0 {
		b := c.bufs[0]
		if k := b.w - b.r; k <= n {
			c.bufs = c.bufs[1:]
			d.add(b)
			c.size -= k
			d.size += k
			n -= k
			continue
		}
		d.Write(b.data[b.r : b.r+n])
		c.Drop(n)
		n = 0
	}
	return d
}

// ReadLine removes a line that ends in LF from the front and returns a copy without its LF or CRLF. It returns
// false if there is no complete line.
func (c *Chain) ReadLine() (string, bool) {
	var line []byte
	for _, b := range c.bufs {
		part := b.data[b.r:b.w]
		i := bytes.IndexByte(part, '\n')
		if i < 0 {
			line = append(line, part...)
			continue
		}
		if line == nil {
			complete := string(bytes.TrimSuffix(part[:i], []byte("\r")))
			c.Drop(i + 1)
			return complete, true
		}
		line = append(line, part[:i]...)
		c.Drop(len(line) + 1)
		return string(bytes.TrimSuffix(line, []byte("\r"))), true
	}
	return "", false
}

// PeekLine returns the first line with its LF, or an empty slice if the line does not end in the first buffer.
// The slice is valid until the chain changes.
func (c *Chain) PeekLine() []byte {
	if len(c.bufs) == 0 {
		return nil
	}
	part := c.bufs[0].data[c.bufs[0].r:c.bufs[0].w]
	return part[:bytes.IndexByte(part, '\n')+1]
}

// Bytes returns a copy of the bytes in the chain.
func (c *Chain) Bytes() []byte {
	p := make([]byte, 0, c.size)
	for _, b := range c.bufs {
		p = append(p, b.data[b.r:b.w]...)
	}
	return p
}

// trim recycles the last buffer if it is empty.
func (c *Chain) trim() {
	if n := len(c.bufs); n > 0 && c.bufs[n-1].r == c.bufs[n-1].w {
		c.pool.put(c.bufs[n-1])
		c.bufs = c.bufs[:n-1]
	}
}

// NewSibling returns an empty chain that uses the same pool.
func (c *Chain) NewSibling() Chain { return c.pool.NewChain() }

// MoveFrom appends the bytes of d and empties it. Buffers that don't fit into the last one are moved without
// copying.
func (c *Chain) MoveFrom(d *Chain) {
	for _, b := range d.bufs {
		if n := len(c.bufs); n > 0 && BufferSize-c.bufs[n-1].w >= b.w-b.r {
			c.Write(b.data[b.r:b.w])
			d.pool.put(b)
		} else {
			c.add(b)
			c.size += b.w - b.r
		}
	}
	d.bufs, d.size = nil, 0
}

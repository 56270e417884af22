package transport

import "bytes"

type buffer struct {
	data [BufferSize]byte
	r, w int // bytes r to w are filled
}

// Pool hands out buffers and takes them back. It belongs to one loop.
type Pool struct {
	MaxBytes int // bytes handed out at which nothing more is read from clients; 0 for no bound

	free []*buffer
	out  int
}

// IsFull tells whether there is no room for what clients send.
func (p *Pool) IsFull() bool { return p.MaxBytes > 0 && p.UsedBytes() >= p.MaxBytes }

// UsedBytes is how many bytes are handed out.
func (p *Pool) UsedBytes() int { return p.out * BufferSize }

func (p *Pool) get() *buffer {
	p.out++
	if n := len(p.free); n > 0 {
		b := p.free[n-1]
		p.free = p.free[:n-1]
		b.r, b.w = 0, 0
		return b
	}
	return &buffer{}
}

func (p *Pool) put(b *buffer) {
	p.out--
	if len(p.free) < poolKept {
		p.free = append(p.free, b)
	}
}

// Chain is a queue of bytes in buffers of a pool.
type Chain struct {
	pool *Pool
	bufs []*buffer
	base []*buffer // where bufs began, to be filled again
	size int
}

// NewChain makes an empty chain of the pool's buffers.
func (p *Pool) NewChain() Chain { return Chain{pool: p} }

// Len is how many bytes the chain holds.
func (c *Chain) Len() int { return c.size }

// tail is the free end of the chain.
func (c *Chain) tail() *buffer {
	if n := len(c.bufs); n > 0 && c.bufs[n-1].w < BufferSize {
		return c.bufs[n-1]
	}
	b := c.pool.get()
	c.add(b)
	return b
}

func (c *Chain) add(b *buffer) {
	if len(c.bufs) == 0 {
		c.bufs = append(c.base[:0], b)
		c.base = c.bufs[:0]
		return
	}
	c.bufs = append(c.bufs, b)
}

// Write appends bytes. It never fails.
func (c *Chain) Write(p []byte) (int, error) {
	write(c, p)
	return len(p), nil
}

// WriteString appends a string.
func (c *Chain) WriteString(s string) { write(c, s) }

func write[T []byte | string](c *Chain, left T) {
	for len(left) > 0 {
		b := c.tail()
		n := copy(b.data[b.w:], left)
		b.w += n
		c.size += n
		left = left[n:]
	}
}

// AppendRange appends n bytes of what d holds, from the byte at on, and leaves d as it is.
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

// Drop takes n bytes off the front; buffers that become empty go back to the pool.
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

// Free gives all buffers back.
func (c *Chain) Free() { c.Drop(c.size) }

// SplitFront moves n bytes off the front into a chain of their own. Whole buffers move as they are.
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

// ReadLine takes a line that ends in LF off the front and returns it without its line end. It reports false
// while none is whole. The line is a copy.
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
			whole := string(bytes.TrimSuffix(part[:i], []byte("\r")))
			c.Drop(i + 1)
			return whole, true
		}
		line = append(line, part[:i]...)
		c.Drop(len(line) + 1)
		return string(bytes.TrimSuffix(line, []byte("\r"))), true
	}
	return "", false
}

// PeekLine is the line at the front with its end, where it is whole in the first buffer, or nil. It is good until the chain
// is next changed.
func (c *Chain) PeekLine() []byte {
	if len(c.bufs) == 0 {
		return nil
	}
	part := c.bufs[0].data[c.bufs[0].r:c.bufs[0].w]
	return part[:bytes.IndexByte(part, '\n')+1]
}

// Bytes returns a copy of what the chain holds.
func (c *Chain) Bytes() []byte {
	p := make([]byte, 0, c.size)
	for _, b := range c.bufs {
		p = append(p, b.data[b.r:b.w]...)
	}
	return p
}

// trim gives back an end that nothing was written to.
func (c *Chain) trim() {
	if n := len(c.bufs); n > 0 && c.bufs[n-1].r == c.bufs[n-1].w {
		c.pool.put(c.bufs[n-1])
		c.bufs = c.bufs[:n-1]
	}
}

// NewSibling makes an empty chain of the same pool.
func (c *Chain) NewSibling() Chain { return c.pool.NewChain() }

// MoveFrom appends what d holds and leaves d empty. Full buffers move as they are.
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

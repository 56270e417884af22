package feedscale

import (
	"context"
	"net"
	"sync"
	"syscall"
)

// partition simulates a network partition between a region and all others. While it is active, data across it is dropped
// and connection attempts hang. Once healed, those attempts fail with ETIMEDOUT and connections that lost data with
// ECONNRESET.
type partition struct {
	mutex  sync.Mutex
	healed chan struct{} // closed when the partition heals; nil while it is inactive
}

// begin activates the partition. It has no effect if it is active already.
func (p *partition) begin() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.healed == nil {
		p.healed = make(chan struct{})
	}
}

// heal ends the partition. It has no effect if it is inactive.
func (p *partition) heal() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.healed != nil {
		close(p.healed)
		p.healed = nil
	}
}

// healSignal returns a channel that is closed when the partition heals, or nil if it is inactive.
func (p *partition) healSignal() <-chan struct{} {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.healed
}

// dial connects to an address across the partition.
func (p *partition) dial(ctx context.Context, address string) (net.Conn, error) {
	if healed := p.healSignal(); healed != nil {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-healed: // the packets of this attempt were dropped
			return nil, syscall.ETIMEDOUT
		}
	}
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &partitionedConn{Conn: conn, partition: p, closed: make(chan struct{})}, nil
}

// partitionedConn is a connection across a partition.
type partitionedConn struct {
	net.Conn
	partition *partition
	close     sync.Once
	closed    chan struct{}

	mutex    sync.Mutex
	dataLost bool // data was dropped on this connection
}

// Read reads from the connection. If the partition is active, it blocks until the partition heals or the connection is
// closed. It returns ECONNRESET once data was dropped.
func (c *partitionedConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if healed := c.partition.healSignal(); healed != nil {
		c.markDataLost()
		select {
		case <-healed:
		case <-c.closed:
		}
	}
	if c.hasDataLoss() {
		return 0, syscall.ECONNRESET
	}
	return n, err
}

// Write writes to the connection. It drops the data and reports success while the partition is active, and returns
// ECONNRESET after that.
func (c *partitionedConn) Write(data []byte) (int, error) {
	if c.partition.healSignal() != nil {
		c.markDataLost()
		return len(data), nil
	}
	if c.hasDataLoss() {
		return 0, syscall.ECONNRESET
	}
	return c.Conn.Write(data)
}

// markDataLost records that data was dropped.
func (c *partitionedConn) markDataLost() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.dataLost = true
}

// hasDataLoss reports whether data was dropped.
func (c *partitionedConn) hasDataLoss() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.dataLost
}

// Close closes the connection and unblocks Read.
func (c *partitionedConn) Close() error {
	c.close.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

package feedscale

import (
	"context"
	"net"
	"sync"
	"syscall"
)

// partition separates a region from all others while it is on. Data that would cross it is lost, attempts to connect time
// out, and connections across it are reset once it has ended.
type partition struct {
	mutex  sync.Mutex
	healed chan struct{} // closed at the end of the partition; nil while there is none
}

func (p *partition) begin() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.healed == nil {
		p.healed = make(chan struct{})
	}
}

func (p *partition) heal() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.healed != nil {
		close(p.healed)
		p.healed = nil
	}
}

// until is closed at the end of the partition; it is nil where there is none.
func (p *partition) until() <-chan struct{} {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.healed
}

// dial connects across the partition.
func (p *partition) dial(ctx context.Context, address string) (net.Conn, error) {
	if healed := p.until(); healed != nil {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-healed: // what was sent to connect is lost all the same
			return nil, syscall.ETIMEDOUT
		}
	}
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &crossingConn{Conn: conn, partition: p, closed: make(chan struct{})}, nil
}

// crossingConn is a connection between the region and another.
type crossingConn struct {
	net.Conn
	partition *partition
	close     sync.Once
	closed    chan struct{}

	mutex sync.Mutex
	lossy bool // data was lost on it
}

// Read waits out a partition and then ends the connection, since what came meanwhile is lost.
func (c *crossingConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if healed := c.partition.until(); healed != nil {
		c.lose()
		select {
		case <-healed:
		case <-c.closed:
		}
	}
	if c.lost() {
		return 0, syscall.ECONNRESET
	}
	return n, err
}

// Write loses data during a partition.
func (c *crossingConn) Write(data []byte) (int, error) {
	if c.partition.until() != nil {
		c.lose()
		return len(data), nil
	}
	if c.lost() {
		return 0, syscall.ECONNRESET
	}
	return c.Conn.Write(data)
}

func (c *crossingConn) lose() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.lossy = true
}

func (c *crossingConn) lost() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.lossy
}

// Close closes the connection.
func (c *crossingConn) Close() error {
	c.close.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

package feedscale

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// forwardTimeout bounds a forwarder's attempt to connect to its target.
const forwardTimeout = 5 * time.Second

// forwarder forwards connections to a target across a partition and meters the traffic. It stands between a relay, which
// may be a separate process, and the publisher.
type forwarder struct {
	listener  net.Listener
	target    string
	partition *partition
	meters    *meterPair
	ctx       context.Context
	cancel    context.CancelFunc
	tasks     sync.WaitGroup
}

// meterPair holds one meter for each direction.
type meterPair struct{ fromTarget, toTarget *meter }

// startForwarder starts a forwarder to a target's address on a free loopback port.
func startForwarder(target string, partition *partition, meters *meterPair) (*forwarder, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("forwarder: %w", err)
	}
	forwarder := &forwarder{listener: listener, target: target, partition: partition, meters: meters}
	forwarder.ctx, forwarder.cancel = context.WithCancel(context.Background())
	forwarder.tasks.Go(forwarder.accept)
	return forwarder, nil
}

// address returns the address that the forwarder listens on.
func (f *forwarder) address() string { return f.listener.Addr().String() }

// close stops listening, closes all connections and waits until they have ended.
func (f *forwarder) close() {
	f.cancel()
	f.listener.Close()
	f.tasks.Wait()
}

// accept forwards connections until the listener is closed.
func (f *forwarder) accept() {
	for {
		client, err := f.listener.Accept()
		if err != nil {
			return
		}
		f.tasks.Go(func() { f.forward(client) })
	}
}

// forward connects to the target and copies data both ways until one end closes the connection.
func (f *forwarder) forward(client net.Conn) {
	defer client.Close()
	ctx, cancel := context.WithTimeout(f.ctx, forwardTimeout)
	defer cancel()
	upstream, err := f.partition.dial(ctx, f.target)
	if err != nil {
		return
	}
	metered := &meteredConn{Conn: upstream, received: []*meter{f.meters.fromTarget}, sent: f.meters.toTarget}
	defer metered.Close()
	stop := context.AfterFunc(f.ctx, func() {
		client.Close()
		metered.Close()
	})
	defer stop()
	var reverse sync.WaitGroup
	reverse.Go(func() {
		io.Copy(plainWriter{client}, metered)
		client.Close()
	})
	io.Copy(metered, plainReader{client})
	metered.Close()
	reverse.Wait()
}

// plainWriter hides a socket's other methods, so that io.Copy cannot bypass the meters with splice.
type plainWriter struct{ io.Writer }

// plainReader hides a socket's other methods, so that io.Copy cannot bypass the meters with splice.
type plainReader struct{ io.Reader }

package feedscale

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// forwardTimeout is how long a forwarder tries to connect to its target.
const forwardTimeout = 5 * time.Second

// forwarder passes connections on to a target across a partition. It stands between the publisher and a region's relays,
// which may be processes of their own, and counts what the target sends.
type forwarder struct {
	listener  net.Listener
	target    string
	partition *partition
	fromTo    *meteredPair
	ctx       context.Context
	cancel    context.CancelFunc
	tasks     sync.WaitGroup
}

// meteredPair has the meters of both directions.
type meteredPair struct{ fromTarget, toTarget *meter }

func startForwarder(target string, partition *partition, meters *meteredPair) (*forwarder, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("forwarder: %w", err)
	}
	forwarder := &forwarder{listener: listener, target: target, partition: partition, fromTo: meters}
	forwarder.ctx, forwarder.cancel = context.WithCancel(context.Background())
	forwarder.tasks.Go(forwarder.accept)
	return forwarder, nil
}

func (f *forwarder) address() string { return f.listener.Addr().String() }

func (f *forwarder) close() {
	f.cancel()
	f.listener.Close()
	f.tasks.Wait()
}

func (f *forwarder) accept() {
	for {
		near, err := f.listener.Accept()
		if err != nil {
			return
		}
		f.tasks.Go(func() { f.forward(near) })
	}
}

// forward passes a connection on until one of its ends closes it.
func (f *forwarder) forward(near net.Conn) {
	defer near.Close()
	ctx, cancel := context.WithTimeout(f.ctx, forwardTimeout)
	defer cancel()
	far, err := f.partition.dial(ctx, f.target)
	if err != nil {
		return
	}
	metered := &meteredConn{Conn: far, received: []*meter{f.fromTo.fromTarget}, sent: f.fromTo.toTarget}
	defer metered.Close()
	stop := context.AfterFunc(f.ctx, func() {
		near.Close()
		metered.Close()
	})
	defer stop()
	var back sync.WaitGroup
	back.Go(func() {
		io.Copy(onlyWriter{near}, metered)
		near.Close()
	})
	io.Copy(metered, onlyReader{near})
	metered.Close()
	back.Wait()
}

// onlyWriter and onlyReader keep io.Copy from handing the sockets to the kernel, past the meters.
type onlyWriter struct{ io.Writer }
type onlyReader struct{ io.Reader }

package feednet

import (
	"errors"
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"larchthread/internal/feed"
)

const (
	helloTimeout   = 2 * time.Second  // for the peer's first message
	writeTimeout   = 5 * time.Second  // for one write to the socket
	closeTimeout   = time.Second      // for queued frames to be written and the peer to close its end
	tcpUserTimeout = 10 * time.Second // for transmitted bytes to be acknowledged by the peer

	maxQueuedBytes    = 1 << 20  // per connection, unless a single frame is larger; a peer with more is disconnected
	sendBufferSize    = 64 << 10 // of the kernel, in bytes per connection
	maxChildFrameSize = 4 << 10  // in bytes; children send short messages only
)

// errNoHello reports a child whose first message is not a hello.
var errNoHello = errors.New("the first message is not a hello")

// connection is a connection to one peer. Its read method runs on one goroutine; send, closeGracefully and abort are safe
// for concurrent use.
type connection struct {
	peer     feed.PeerID
	socket   net.Conn
	toParent bool // dialled by this node; otherwise accepted from a child

	mu            sync.Mutex
	queue         [][]byte // frames to write
	queuedBytes   int      // size of the queued and currently written frames
	writerRunning bool     // the writer goroutine runs
	closing       bool     // no more frames are queued; the write side is closed once the queue is empty
}

// connectionHandler receives the messages and the end of a connection, on its reader goroutine.
type connectionHandler interface {
	received(peer feed.PeerID, message feed.Message)
	lost(peer feed.PeerID, err error)
}

// newConnection wraps a connected socket and, for TCP, sets its options.
func newConnection(peer feed.PeerID, socket net.Conn, toParent bool) *connection {
	if tcp, ok := socket.(*net.TCPConn); ok {
		setSocketOptions(tcp)
	}
	return &connection{peer: peer, socket: socket, toParent: toParent}
}

// setSocketOptions disables Nagle's algorithm, bounds the send buffer and sets the timeout for unacknowledged data. It
// ignores options that the system rejects: the connection works without them.
func setSocketOptions(socket *net.TCPConn) {
	_ = socket.SetNoDelay(true)
	_ = socket.SetWriteBuffer(sendBufferSize)
	raw, err := socket.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(descriptor uintptr) {
		_ = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	})
}

// read passes messages to the handler until the connection fails or closes, then closes the socket and reports the error
// to the handler.
func (c *connection) read(handler connectionHandler) {
	err := c.readMessages(handler)
	c.socket.Close()
	handler.lost(c.peer, err)
}

// readMessages passes messages to the handler until reading fails. A child's first message must be a hello.
func (c *connection) readMessages(handler connectionHandler) error {
	limit := maxChildFrameSize
	if c.toParent {
		limit = feed.DefaultFrameLimit
	}
	decoder := feed.NewDecoder(c.socket, limit)
	if err := c.socket.SetReadDeadline(time.Now().Add(helloTimeout)); err != nil {
		return err
	}
	message, err := decoder.Decode()
	if err != nil {
		return err
	}
	if _, isHello := message.(feed.Hello); !isHello && !c.toParent {
		return errNoHello
	}
	if err := c.socket.SetReadDeadline(time.Time{}); err != nil {
		return err
	}
	for {
		handler.received(c.peer, message)
		if message, err = decoder.Decode(); err != nil {
			return err
		}
	}
}

// send queues a frame. If frames are queued already and the new one would exceed maxQueuedBytes, it closes the connection
// and returns false. While the connection closes gracefully, the frame is dropped and send returns true.
func (c *connection) send(frame []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return true
	}
	if c.queuedBytes > 0 && c.queuedBytes+len(frame) > maxQueuedBytes {
		c.abort()
		return false
	}
	c.queue = append(c.queue, frame)
	c.queuedBytes += len(frame)
	c.startWriter()
	return true
}

// closeGracefully writes the queued frames, then closes the write side. It does not block. After closeTimeout the connection
// is closed in any case.
func (c *connection) closeGracefully() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return
	}
	c.closing = true
	time.AfterFunc(closeTimeout, c.abort)
	c.startWriter()
}

// abort closes the connection at once. Its reader reports the connection as lost.
func (c *connection) abort() {
	c.socket.Close()
}

// startWriter starts the writer goroutine unless it runs. The caller holds c.mu.
func (c *connection) startWriter() {
	if c.writerRunning {
		return
	}
	c.writerRunning = true
	go c.write()
}

// write writes queued frames until the queue is empty. It aborts the connection if a write fails.
func (c *connection) write() {
	for {
		frames, bytes := c.takeQueue()
		if frames == nil {
			return
		}
		if err := c.writeFrames(frames); err != nil {
			c.abort()
		}
		c.mu.Lock()
		c.queuedBytes -= bytes
		c.mu.Unlock()
	}
}

// takeQueue removes and returns the queued frames and their size in bytes. If there are none, it returns nil and the
// writer must return; a connection that closes gracefully then has its write side closed.
func (c *connection) takeQueue() (frames net.Buffers, bytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.queue) > 0 {
		frames, bytes = c.queue, c.queuedBytes
		c.queue = nil
		return frames, bytes
	}
	c.writerRunning = false
	if c.closing {
		c.closeWrite()
	}
	return nil, 0
}

// writeFrames writes frames to the socket. It fails after writeTimeout.
func (c *connection) writeFrames(frames net.Buffers) error {
	if err := c.socket.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err := frames.WriteTo(c.socket)
	return err
}

// closeWrite closes the write side of the socket. The read side stays open until the peer closes its end, because closing
// a socket with unread bytes resets the connection and drops data in flight. It aborts a connection that cannot be
// half-closed.
func (c *connection) closeWrite() {
	halfCloser, ok := c.socket.(interface{ CloseWrite() error })
	if !ok || halfCloser.CloseWrite() != nil {
		c.abort()
	}
}

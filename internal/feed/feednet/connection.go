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
	helloTimeout  = 2 * time.Second  // from a connection's begin until its peer has sent the first message
	writeTimeout  = 5 * time.Second  // for one write to be taken by the kernel
	finishTimeout = time.Second      // for what is queued to be written, and the peer to close the connection too
	unackedMax    = 10 * time.Second // until the kernel gives up on bytes that are not acknowledged

	maxQueuedBytes  = 1 << 20  // that wait to be written to one peer; beyond it the peer is disconnected
	sendBufferSize  = 64 << 10 // of the kernel, for each connection
	childFrameLimit = 4 << 10  // children send short messages alone
)

// errNoHello is why a child is disconnected that begins with another message.
var errNoHello = errors.New("the first message is not a hello")

// connection is one connection to a peer. Its reader calls the handler; all other methods are safe for concurrent use.
type connection struct {
	peer    feed.PeerID
	socket  net.Conn
	dialled bool // it is to a parent, not from a child

	mu        sync.Mutex
	queue     [][]byte // frames to write
	queued    int      // bytes of them
	writing   bool     // a goroutine is writing
	finishing bool     // nothing more is queued; the connection ends once the queue is written
}

// connectionHandler is told what happens on a connection, on its reader's goroutine.
type connectionHandler interface {
	received(peer feed.PeerID, message feed.Message)
	lost(peer feed.PeerID, err error)
}

// newConnection sets up a connected socket.
func newConnection(peer feed.PeerID, socket net.Conn, dialled bool) *connection {
	if tcp, ok := socket.(*net.TCPConn); ok {
		setSocketOptions(tcp)
	}
	return &connection{peer: peer, socket: socket, dialled: dialled}
}

// setSocketOptions has small messages sent at once, and an unreachable or stopped peer noticed. Options that the system
// does not take are left as they are: the connection works without them.
func setSocketOptions(socket *net.TCPConn) {
	_ = socket.SetNoDelay(true)
	_ = socket.SetWriteBuffer(sendBufferSize)
	raw, err := socket.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(descriptor uintptr) {
		_ = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedMax.Milliseconds()))
	})
}

// read passes messages on until the connection ends. It closes the socket.
func (c *connection) read(handler connectionHandler) {
	err := c.readMessages(handler)
	c.socket.Close()
	handler.lost(c.peer, err)
}

func (c *connection) readMessages(handler connectionHandler) error {
	limit := childFrameLimit
	if c.dialled {
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
	if _, isHello := message.(feed.Hello); !isHello && !c.dialled {
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

// send queues a frame. It returns false where the peer is too far behind; the connection is then closed.
func (c *connection) send(frame []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.finishing {
		return true
	}
	if c.queued > 0 && c.queued+len(frame) > maxQueuedBytes {
		c.abort()
		return false
	}
	c.queue = append(c.queue, frame)
	c.queued += len(frame)
	c.startWriter()
	return true
}

// finish ends the connection in good order once what is queued has been written. It returns at once; within finishTimeout
// the reader has ended.
func (c *connection) finish() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.finishing {
		return
	}
	c.finishing = true
	time.AfterFunc(finishTimeout, c.abort)
	c.startWriter()
}

// abort closes the connection at once. Its reader reports it as lost.
func (c *connection) abort() {
	c.socket.Close()
}

// startWriter starts the writing goroutine unless it runs. c.mu is held.
func (c *connection) startWriter() {
	if c.writing {
		return
	}
	c.writing = true
	go c.write()
}

// write writes what is queued, and ends when nothing is left.
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
		c.queued -= bytes
		c.mu.Unlock()
	}
}

// takeQueue returns what is queued. Where that is nothing it returns nil, and the writer has to end.
func (c *connection) takeQueue() (frames net.Buffers, bytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.queue) > 0 {
		frames, bytes = c.queue, c.queued
		c.queue = nil
		return frames, bytes
	}
	c.writing = false
	if c.finishing {
		c.closeWrite()
	}
	return nil, 0
}

func (c *connection) writeFrames(frames net.Buffers) error {
	if err := c.socket.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err := frames.WriteTo(c.socket)
	return err
}

// closeWrite tells the peer that nothing more comes. The socket stays open until the peer closes it too: closed with unread
// bytes, it would drop what is still under way.
func (c *connection) closeWrite() {
	half, ok := c.socket.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		c.abort()
	}
}

package transport

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"

	"golang.org/x/sys/unix"
)

const (
	maxPathBytes     = 107 // longest path of a Unix socket address
	maxInboxMessages = 64  // messages read in a round, so that sockets are served in between
)

// MaxMessageBytes is the largest message: the default kernel buffer of a Unix socket holds it.
const MaxMessageBytes = 128 << 10

// Message is a message between two processes on this machine, with an optional descriptor.
type Message struct {
	Data []byte
	FD   int // negative if there is none
}

// PeerHandler receives the events of a control channel.
type PeerHandler interface {
	MessageReceived(c *ControlChannel, m Message) // the handler owns the message's descriptor
	PeerLost(c *ControlChannel, unsent []Message) // the other process has ended; not called after Close
}

// ControlChannel carries messages between two processes in order, on a Unix socket.
type ControlChannel struct {
	loop    *Loop
	handler PeerHandler
	fd      int
	inbox   []Message
	queue   []Message // not sent yet
	lost    bool
}

// ControlListener accepts control channels at a path of the file system.
type ControlListener struct {
	loop   *Loop
	fd     int
	path   string
	file   os.FileInfo // of the socket at path, to tell it from a later one there
	accept func() PeerHandler
}

// withAddress calls do with the address of a Unix socket. A path that is too long for the kernel is addressed
// through a descriptor of its directory.
func withAddress(path string, do func(unix.Sockaddr) error) error {
	if len(path) > maxPathBytes {
		dir, err := unix.Open(filepath.Dir(path), unix.O_PATH|unix.O_CLOEXEC, 0)
		if err != nil {
			return err
		}
		defer unix.Close(dir)
		path = "/proc/self/fd/" + strconv.Itoa(dir) + "/" + filepath.Base(path)
	}
	return do(&unix.SockaddrUnix{Name: path})
}

// unixSocket creates a non-blocking Unix socket that keeps message boundaries.
func unixSocket() (int, error) {
	return unix.Socket(unix.AF_UNIX, unix.SOCK_SEQPACKET|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
}

// ListenControl listens for control channels at a path. It atomically replaces a socket that is already there.
// accept returns the handler of a new channel.
func (l *Loop) ListenControl(path string, accept func() PeerHandler) (*ControlListener, error) {
	fd, err := unixSocket()
	if err != nil {
		return nil, fmt.Errorf("socket: %w", err)
	}
	tempPath := path + "." + strconv.Itoa(os.Getpid())
	os.Remove(tempPath)
	var file os.FileInfo
	if err = withAddress(tempPath, func(a unix.Sockaddr) error { return unix.Bind(fd, a) }); err == nil {
		file, err = os.Lstat(tempPath)
	}
	if err == nil {
		err = unix.Listen(fd, backlog)
	}
	if err == nil {
		err = os.Rename(tempPath, path)
	}
	if err != nil {
		unix.Close(fd)
		os.Remove(tempPath)
		return nil, fmt.Errorf("listen on %s: %w", path, err)
	}
	c := &ControlListener{loop: l, fd: fd, path: path, file: file, accept: accept}
	l.controlListeners = append(l.controlListeners, c)
	return c, l.watchFD(fd, unix.EPOLLIN)
}

// Close stops listening; accepted channels stay open.
func (c *ControlListener) Close() {
	c.loop.controlListeners = slices.DeleteFunc(c.loop.controlListeners, func(x *ControlListener) bool { return x == c })
	unix.Close(c.fd)
}

// Remove removes the listener's socket from the file system, unless another process has put its own in its place.
func (c *ControlListener) Remove() {
	if file, err := os.Lstat(c.path); err == nil && os.SameFile(file, c.file) {
		os.Remove(c.path)
	}
}

// acceptOne accepts one channel; further ones follow in the next rounds.
func (c *ControlListener) acceptOne() {
	if fd, _, err := unix.Accept4(c.fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC); err == nil {
		c.loop.newControlChannel(fd).handler = c.accept()
	}
}

// DialControl opens a control channel to the process that listens at the path. It returns an error at once if
// there is none.
func (l *Loop) DialControl(path string, handler PeerHandler) (*ControlChannel, error) {
	fd, err := unixSocket()
	if err != nil {
		return nil, err
	}
	if err := withAddress(path, func(a unix.Sockaddr) error { return unix.Connect(fd, a) }); err != nil {
		unix.Close(fd)
		return nil, err
	}
	c := l.newControlChannel(fd)
	c.handler = handler
	return c, nil
}

// newControlChannel creates a channel for a connected socket. The caller sets its handler.
func (l *Loop) newControlChannel(fd int) *ControlChannel {
	c := &ControlChannel{loop: l, fd: fd}
	l.controlChannels = append(l.controlChannels, c)
	if l.watchFD(fd, unix.EPOLLIN) != nil {
		c.lost = true
	}
	return c
}

// Send sends a message at the end of the round. The channel owns the descriptor and closes it after sending; a
// negative fd means none.
func (c *ControlChannel) Send(data []byte, fd int) {
	if c.fd < 0 {
		if fd >= 0 {
			unix.Close(fd)
		}
		return
	}
	c.queue = append(c.queue, Message{data, fd})
}

// HasUnsent reports whether messages are still to be sent.
func (c *ControlChannel) HasUnsent() bool { return len(c.queue) > 0 }

// Close closes the channel and discards unsent messages.
func (c *ControlChannel) Close() {
	if c.fd < 0 {
		return
	}
	c.loop.controlChannels = slices.DeleteFunc(c.loop.controlChannels, func(x *ControlChannel) bool { return x == c })
	unix.Close(c.fd)
	c.fd = -1
	for _, m := range append(c.queue, c.inbox...) {
		if m.FD >= 0 {
			unix.Close(m.FD)
		}
	}
	c.queue, c.inbox = nil, nil
}

// read reads the messages that have arrived.
func (c *ControlChannel) read() {
	data := make([]byte, MaxMessageBytes)
	var rights [64]byte
	for len(c.inbox) < maxInboxMessages {
		n, rightsSize, flags, _, err := unix.Recvmsg(c.fd, data, rights[:], unix.MSG_CMSG_CLOEXEC)
		switch {
		case err == unix.EINTR:
			continue
		case err == unix.EAGAIN:
			return
		case err != nil || n == 0:
			c.lost = true
			return
		}
		m := Message{append([]byte(nil), data[:n]...), -1}
		for _, fd := range receivedFDs(rights[:rightsSize]) {
			if m.FD >= 0 { // senders attach at most one
				unix.Close(m.FD)
			}
			m.FD = fd
		}
		if flags&unix.MSG_TRUNC != 0 {
			m.Data = nil // not from this program: messages are never longer
		}
		c.inbox = append(c.inbox, m)
	}
}

// receivedFDs returns the descriptors that came with a message.
func receivedFDs(rights []byte) (fds []int) {
	all, err := unix.ParseSocketControlMessage(rights)
	if err != nil {
		return nil
	}
	for _, m := range all {
		if got, err := unix.ParseUnixRights(&m); err == nil {
			fds = append(fds, got...)
		}
	}
	return fds
}

// deliver passes the messages that have arrived, and the channel's end, to the handler.
func (c *ControlChannel) deliver() {
	inbox := c.inbox
	c.inbox = nil
	for _, m := range inbox {
		if c.fd < 0 { // the handler has closed the channel
			if m.FD >= 0 {
				unix.Close(m.FD)
			}
			continue
		}
		c.handler.MessageReceived(c, m)
	}
	if c.lost && c.fd >= 0 {
		unsent := c.queue
		c.queue = nil
		c.Close()
		c.handler.PeerLost(c, unsent)
	}
}

// write sends queued messages until the other process has no room.
func (c *ControlChannel) write() {
	for len(c.queue) > 0 && c.fd >= 0 {
		m := c.queue[0]
		var rights []byte
		if m.FD >= 0 {
			rights = unix.UnixRights(m.FD)
		}
		switch err := unix.Sendmsg(c.fd, m.Data, rights, nil, unix.MSG_NOSIGNAL); err {
		case nil:
		case unix.EINTR:
			continue
		case unix.EAGAIN, unix.ETOOMANYREFS, unix.ENOBUFS:
			c.loop.SetTimer(&c.loop.resendTimer, controlRetryDelay)
			return
		default:
			c.lost = true
			c.loop.SkipWait()
			return
		}
		if m.FD >= 0 {
			unix.Close(m.FD)
		}
		c.queue = c.queue[1:]
	}
}

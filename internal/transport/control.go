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
	maxPathBytes     = 107 // bytes of a Unix socket's path, as the kernel has it
	maxInboxMessages = 64  // messages read in a round, so that sockets are heard in between
)

// MaxMessageBytes is how many bytes a message may have: the kernel's usual buffer of a Unix socket takes it whole.
const MaxMessageBytes = 128 << 10

// Message is what one process sends another on this machine, perhaps with a descriptor.
type Message struct {
	Data []byte
	FD   int // below 0 for none
}

// PeerHandler is told what becomes of a control channel.
type PeerHandler interface {
	MessageReceived(c *ControlChannel, m Message) // a message has come; its descriptor is the handler's now
	PeerLost(c *ControlChannel, unsent []Message) // the other process is gone; not called after Close
}

// ControlChannel carries messages between two processes, in order.
type ControlChannel struct {
	loop    *Loop
	handler PeerHandler
	fd      int
	inbox   []Message
	queue   []Message // to be sent
	lost    bool
}

// ControlListener accepts control channels at a path in the file system.
type ControlListener struct {
	loop   *Loop
	fd     int
	accept func() PeerHandler
}

// atPath does something with a Unix socket's address, also where its path is too long for the kernel: the directory's
// descriptor stands for it then.
func atPath(path string, do func(unix.Sockaddr) error) error {
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

func unixSocket() (int, error) {
	return unix.Socket(unix.AF_UNIX, unix.SOCK_SEQPACKET|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
}

// ListenControl listens for control connections at a path. It takes the path from whoever had it, in one step.
func (l *Loop) ListenControl(path string, accept func() PeerHandler) (*ControlListener, error) {
	fd, err := unixSocket()
	if err != nil {
		return nil, fmt.Errorf("socket: %w", err)
	}
	own := path + "." + strconv.Itoa(os.Getpid())
	os.Remove(own)
	if err = atPath(own, func(a unix.Sockaddr) error { return unix.Bind(fd, a) }); err == nil {
		if err = unix.Listen(fd, backlog); err == nil {
			err = os.Rename(own, path)
		}
	}
	if err != nil {
		unix.Close(fd)
		os.Remove(own)
		return nil, fmt.Errorf("listen on %s: %w", path, err)
	}
	c := &ControlListener{loop: l, fd: fd, accept: accept}
	l.controls = append(l.controls, c)
	return c, l.look(fd, unix.EPOLLIN)
}

// Close ends the listener; channels that it has accepted stay.
func (c *ControlListener) Close() {
	c.loop.controls = slices.DeleteFunc(c.loop.controls, func(x *ControlListener) bool { return x == c })
	unix.Close(c.fd)
}

// acceptOne accepts one channel; the next round takes the next.
func (c *ControlListener) acceptOne() {
	if fd, _, err := unix.Accept4(c.fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC); err == nil {
		c.loop.newControlChannel(fd).handler = c.accept()
	}
}

// DialControl opens a control channel to the process that listens at the path. It fails at once where there is none.
func (l *Loop) DialControl(path string, handler PeerHandler) (*ControlChannel, error) {
	fd, err := unixSocket()
	if err != nil {
		return nil, err
	}
	if err := atPath(path, func(a unix.Sockaddr) error { return unix.Connect(fd, a) }); err != nil {
		unix.Close(fd)
		return nil, err
	}
	c := l.newControlChannel(fd)
	c.handler = handler
	return c, nil
}

func (l *Loop) newControlChannel(fd int) *ControlChannel {
	c := &ControlChannel{loop: l, fd: fd}
	l.channels = append(l.channels, c)
	if l.look(fd, unix.EPOLLIN) != nil {
		c.lost = true
	}
	return c
}

// Send sends a message when the round is carried out. Its descriptor is the channel's from now on.
func (c *ControlChannel) Send(data []byte, fd int) {
	if c.fd < 0 {
		if fd >= 0 {
			unix.Close(fd)
		}
		return
	}
	c.queue = append(c.queue, Message{data, fd})
}

// HasUnsent tells whether messages are still to be sent.
func (c *ControlChannel) HasUnsent() bool { return len(c.queue) > 0 }

// Close ends the channel at once; what is not sent is thrown away.
func (c *ControlChannel) Close() {
	if c.fd < 0 {
		return
	}
	c.loop.channels = slices.DeleteFunc(c.loop.channels, func(x *ControlChannel) bool { return x == c })
	unix.Close(c.fd)
	c.fd = -1
	for _, m := range append(c.queue, c.inbox...) {
		if m.FD >= 0 {
			unix.Close(m.FD)
		}
	}
	c.queue, c.inbox = nil, nil
}

// read takes the messages that have come.
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
		for _, fd := range received(rights[:rightsSize]) {
			if m.FD >= 0 { // there is never more than one
				unix.Close(m.FD)
			}
			m.FD = fd
		}
		if flags&unix.MSG_TRUNC != 0 {
			m.Data = nil // not from one of us: nobody can read it
		}
		c.inbox = append(c.inbox, m)
	}
}

// received are the descriptors that came with a message.
func received(rights []byte) (fds []int) {
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

// deliver hands on what has come.
func (c *ControlChannel) deliver() {
	inbox := c.inbox
	c.inbox = nil
	for _, m := range inbox {
		if c.fd < 0 { // closed by its handler meanwhile
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

// write sends what is in the queue, as far as the other side takes it.
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
			c.loop.SetTimer(&c.loop.resend, resendAfter)
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

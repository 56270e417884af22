package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
)

const (
	handoverNetwork         = "unixpacket" // preserves message boundaries
	maxHandoverMessageBytes = 1 << 16      // a longer message is truncated
)

// newHandoverFleet returns a fleet that is not started yet, and a function that removes its directory for hand-over sockets. The
// directory's name is the prefix and the test's process id.
func newHandoverFleet(prefix string) (f *fleet, remove func()) {
	f = &fleet{adminAddress: freeAddress(), tempDir: filepath.Join(os.TempDir(), fmt.Sprint(prefix, os.Getpid()))}
	if err := os.MkdirAll(f.tempDir, 0o700); err != nil {
		panic(err)
	}
	return f, func() { os.RemoveAll(f.tempDir) }
}

// handoverChannel is the test's end of the connection on which two processes negotiate a hand-over.
type handoverChannel struct{ net.Conn }

// dialHandover connects to the running process and sends the hello of a successor with the given protocol version. It panics
// if it cannot connect.
func (f *fleet) dialHandover(version int) handoverChannel {
	c, err := net.Dial(handoverNetwork, f.handoverSocketPath())
	if err != nil {
		panic(err)
	}
	fmt.Fprintf(c, `{"word":"hello","version":%d}`, version)
	return handoverChannel{c}
}

// listenHandover listens on the socket at which a starting process looks for the running one. It panics if it cannot listen.
func (f *fleet) listenHandover() net.Listener {
	os.Remove(f.handoverSocketPath())
	l, err := net.Listen(handoverNetwork, f.handoverSocketPath())
	if err != nil {
		panic(err)
	}
	return l
}

// receive returns the next message, or the empty string if the connection fails or is closed.
func (c handoverChannel) receive() string {
	message := make([]byte, maxHandoverMessageBytes)
	n, _ := c.Read(message)
	return string(message[:n])
}

// send sends one message and ignores errors.
func (c handoverChannel) send(message string) { io.WriteString(c, message) }

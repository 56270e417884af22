package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
)

const (
	controlNetwork = "unixpacket" // keeps messages apart
	maxMessage     = 1 << 16      // bytes that a test reads of a message
)

// newHandoverFleet returns a fleet, not started yet, whose processes find each other in a directory of their own, and what
// removes that directory.
func newHandoverFleet(directory string) (f *fleet, remove func()) {
	f = &fleet{adminAddress: freeAddress(), tempDir: filepath.Join(os.TempDir(), fmt.Sprint(directory, os.Getpid()))}
	if err := os.MkdirAll(f.tempDir, 0o700); err != nil {
		panic(err)
	}
	return f, func() { os.RemoveAll(f.tempDir) }
}

// handoverChannel is a test's end of the control channel between two processes.
type handoverChannel struct{ net.Conn }

// dialHandover opens a control channel to the running process and begins a hand-over, as a process of some version does that is
// to take over.
func (f *fleet) dialHandover(version int) handoverChannel {
	c, err := net.Dial(controlNetwork, f.handoverSocketPath())
	if err != nil {
		panic(err)
	}
	fmt.Fprintf(c, `{"word":"hello","version":%d}`, version)
	return handoverChannel{c}
}

// listenHandover takes the place at which a process that starts looks for the running one.
func (f *fleet) listenHandover() net.Listener {
	os.Remove(f.handoverSocketPath())
	l, err := net.Listen(controlNetwork, f.handoverSocketPath())
	if err != nil {
		panic(err)
	}
	return l
}

// receive returns the next message, and nothing where none comes.
func (c handoverChannel) receive() string {
	message := make([]byte, maxMessage)
	n, _ := c.Read(message)
	return string(message[:n])
}

// send sends a message.
func (c handoverChannel) send(message string) { io.WriteString(c, message) }

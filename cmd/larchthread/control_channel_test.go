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

// newHandOverFleet returns a fleet, not started yet, whose processes find each other in a directory of their own, and what
// removes that directory.
func newHandOverFleet(directory string) (f *fleet, remove func()) {
	f = &fleet{admin: freeAddress(), tmp: filepath.Join(os.TempDir(), fmt.Sprint(directory, os.Getpid()))}
	if err := os.MkdirAll(f.tmp, 0o700); err != nil {
		panic(err)
	}
	return f, func() { os.RemoveAll(f.tmp) }
}

// controlChannel is a test's end of the control channel between two processes.
type controlChannel struct{ net.Conn }

// dialControl opens a control channel to the running process and begins a hand-over, as a process of some version does that is
// to take over.
func (f *fleet) dialControl(version int) controlChannel {
	c, err := net.Dial(controlNetwork, f.controlPath())
	if err != nil {
		panic(err)
	}
	fmt.Fprintf(c, `{"word":"hello","version":%d}`, version)
	return controlChannel{c}
}

// listenControl takes the place at which a process that starts looks for the running one.
func (f *fleet) listenControl() net.Listener {
	os.Remove(f.controlPath())
	l, err := net.Listen(controlNetwork, f.controlPath())
	if err != nil {
		panic(err)
	}
	return l
}

// receive returns the next message, and nothing where none comes.
func (c controlChannel) receive() string {
	message := make([]byte, maxMessage)
	n, _ := c.Read(message)
	return string(message[:n])
}

// send sends a message.
func (c controlChannel) send(message string) { io.WriteString(c, message) }

package main

import (
	"context"
	"fmt"
	"net"
	"syscall"
	"testing"
	"time"

	"larchthread/internal/standin"
)

// These tests check the remaining time that servers are told when a connection is established late, or when a server reads a long
// value slowly.

// acceptWrite is the handler of a host that confirms each write.
func acceptWrite([]string) string { return "HD O{id} creceipt\r\n" }

// stallingListener accepts connections on which the server stops reading for a while after the first stallAfterBytes. Its receive
// buffer is small, so the last byte of a long value is not written until the server continues to read.
type stallingListener struct {
	net.Listener
	stall time.Duration
}

const (
	stallAfterBytes    = 16 << 10  // bytes that the server reads before it stalls
	stallReceiveBuffer = 128 << 10 // requested size of the receive buffer, in bytes
)

// newStallingListener listens on a free port of the loopback address.
func newStallingListener(t *testing.T, stall time.Duration) *stallingListener {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) (err error) {
		raw.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, stallReceiveBuffer)
		})
		return err
	}}
	l, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return &stallingListener{l, stall}
}

// Accept implements net.Listener.
func (l *stallingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &stallingConn{TCPConn: c.(*net.TCPConn), stall: l.stall}, nil
}

// stallingConn is a connection of a stallingListener.
type stallingConn struct {
	*net.TCPConn
	stall    time.Duration
	received int
}

// Read sleeps for the stall when it has received the first stallAfterBytes.
func (c *stallingConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b[:min(len(b), stallAfterBytes)])
	if before := c.received; before < stallAfterBytes && before+n >= stallAfterBytes {
		time.Sleep(c.stall)
	}
	c.received += n
	return n, err
}

// longWriteCommand writes a value that is too long to be sent at once.
var longWriteCommand = fmt.Sprintf("ms w %d O1 Pc=put,d=2500\r\n%s\r\n", len(longValue), longValue)

// When the origin reads a long write slowly, the time that it is told does not exceed what is left when the last byte is sent.
func TestTimeLeftOfLongWriteToOrigin(t *testing.T) {
	f := &fleet{settings: longTTLSettings()}
	f.AddHost("a", miss)
	l := newStallingListener(t, 700*time.Millisecond)
	f.Members = append(f.Members, standin.MemberJSON("log", l.Addr().String(), standin.KindOrigin, standin.InService))
	f.ServeOrigin(l, handleOrigin)
	c := startFleet(t, f)
	r := c.sendRequest(t, longWriteCommand)
	c.checkAnswer(t, "HD O1")
	f.checkServers(t, r, standin.OriginID)
	f.checkTimeLeftLimit(t, r)
}

// The same limit holds for a long write to a cache host.
func TestTimeLeftOfLongWriteToHost(t *testing.T) {
	f := &fleet{settings: longTTLSettings(`"mode":"aside",`, ``)}
	l := newStallingListener(t, 700*time.Millisecond)
	f.Members = append(f.Members, standin.MemberJSON("a", l.Addr().String(), standin.KindHost, standin.InService))
	f.ServeHost("a", l, acceptWrite)
	c := startFleet(t, f)
	r := c.sendRequest(t, longWriteCommand)
	c.checkAnswer(t, "HD O1")
	f.checkServers(t, r, "a")
	f.checkTimeLeftLimit(t, r)
}

// lateConnectSettings returns settings with a connect timeout above the kernel's SYN retransmission interval of one second.
func lateConnectSettings() string {
	return longTTLSettings(`"connectTimeoutUs":50000`, `"connectTimeoutUs":1900000`)
}

// When the connection to a host is established late, the host is told the time left at that moment.
func TestTimeLeftOnLateConnectionToHost(t *testing.T) {
	f, h := &fleet{settings: lateConnectSettings()}, newSlowConnectHost()
	f.Members = append(f.Members, standin.MemberJSON("a", h.Addr().String(), standin.KindHost, standin.InService))
	c := startFleet(t, f)
	h.fillBacklog()
	defer h.backlogConn.Close()
	r := c.sendRequest(t, "mg k v O1 Pc=once,d=2500\r\n")
	time.Sleep(300 * time.Millisecond)
	f.ServeHost("a", h, hit)
	c.checkAnswer(t, "VA 5 O1")
	f.checkServers(t, r, "a")
	f.checkTimeLeft(t, r)
}

// When the connection to the origin is established late, the origin is told the time left at that moment.
func TestTimeLeftOnLateConnectionToOrigin(t *testing.T) {
	f, h := &fleet{settings: lateConnectSettings()}, newSlowConnectHost()
	f.AddHost("a", miss)
	f.Members = append(f.Members, standin.MemberJSON("log", h.Addr().String(), standin.KindOrigin, standin.InService))
	c := startFleet(t, f)
	h.fillBacklog()
	defer h.backlogConn.Close()
	r := c.sendRequest(t, "ms k 5 O1 Pc=put,d=2500\r\nvalue\r\n")
	time.Sleep(300 * time.Millisecond)
	f.ServeOrigin(h, handleOrigin)
	c.checkAnswer(t, "HD O1")
	f.checkServers(t, r, standin.OriginID)
	f.checkTimeLeft(t, r)
}

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

// Time that passes while a connection comes up, or while a long value is on its way to a server that reads slowly.

// stored has a host keep what is written to it.
func stored([]string) string { return "HD O{id} creceipt\r\n" }

// stallingListener is the listener of a server that leaves each connection's bytes unread for a while once it has read the first.
// Little fits in between, so a long value's last byte is not written until the server reads on.
type stallingListener struct {
	net.Listener
	stall time.Duration
}

const (
	stallAt      = 16 << 10  // bytes that a stalling server reads first
	stallReceive = 128 << 10 // bytes that the kernel receives for it meanwhile, or some more
)

func newStallingListener(t *testing.T, stall time.Duration) *stallingListener {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) (err error) {
		raw.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, stallReceive)
		})
		return err
	}}
	l, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return &stallingListener{l, stall}
}

func (l *stallingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &stallingConn{TCPConn: c.(*net.TCPConn), stall: l.stall}, nil
}

// stallingConn is one of its connections.
type stallingConn struct {
	*net.TCPConn
	stall time.Duration
	got   int
}

func (c *stallingConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b[:min(len(b), stallAt)])
	if before := c.got; before < stallAt && before+n >= stallAt {
		time.Sleep(c.stall)
	}
	c.got += n
	return n, err
}

// longWrite is a write of a value that goes out by and by.
var longWrite = fmt.Sprintf("ms w %d O1 Pc=put,d=2500\r\n%s\r\n", len(longValue), longValue)

// A long write whose last byte leaves late, as the origin reads slowly, tells it no more than is left then.
func TestTimeLeftOfLongWriteToOrigin(t *testing.T) {
	f := &fleet{settings: longTTLSettings()}
	f.AddHost("a", miss)
	l := newStallingListener(t, 700*time.Millisecond)
	f.Members = append(f.Members, standin.MemberJSON("log", l.Addr().String(), standin.KindOrigin, standin.InService))
	f.ServeOrigin(l, handleOrigin)
	c := startFleet(t, f)
	r := c.sendRequest(t, longWrite)
	c.wantAnswer(t, "HD O1")
	f.checkServers(t, r, standin.OriginID)
	f.checkTimeLeftLimit(t, r)
}

// The same where writes go to cache hosts.
func TestTimeLeftOfLongWriteToHost(t *testing.T) {
	f := &fleet{settings: longTTLSettings(`"mode":"aside",`, ``)}
	l := newStallingListener(t, 700*time.Millisecond)
	f.Members = append(f.Members, standin.MemberJSON("a", l.Addr().String(), standin.KindHost, standin.InService))
	f.ServeHost("a", l, stored)
	c := startFleet(t, f)
	r := c.sendRequest(t, longWrite)
	c.wantAnswer(t, "HD O1")
	f.checkServers(t, r, "a")
	f.checkTimeLeftLimit(t, r)
}

// lateTo is the settings for servers to which a connection may come up late: the kernel asks again after a second.
func lateTo() string {
	return longTTLSettings(`"connectTimeoutUs":50000`, `"connectTimeoutUs":1900000`)
}

// A host to which a connection comes up late is told what is left by then.
func TestTimeLeftOnLateConnectionToHost(t *testing.T) {
	f, h := &fleet{settings: lateTo()}, newSlowConnectHost()
	f.Members = append(f.Members, standin.MemberJSON("a", h.Addr().String(), standin.KindHost, standin.InService))
	c := startFleet(t, f)
	h.fillBacklog()
	defer h.backlogConn.Close()
	r := c.sendRequest(t, "mg k v O1 Pc=once,d=2500\r\n")
	time.Sleep(300 * time.Millisecond)
	f.ServeHost("a", h, hit)
	c.wantAnswer(t, "VA 5 O1")
	f.checkServers(t, r, "a")
	f.checkTimeLeft(t, r)
}

// The same for the origin.
func TestTimeLeftOnLateConnectionToOrigin(t *testing.T) {
	f, h := &fleet{settings: lateTo()}, newSlowConnectHost()
	f.AddHost("a", miss)
	f.Members = append(f.Members, standin.MemberJSON("log", h.Addr().String(), standin.KindOrigin, standin.InService))
	c := startFleet(t, f)
	h.fillBacklog()
	defer h.backlogConn.Close()
	r := c.sendRequest(t, "ms k 5 O1 Pc=put,d=2500\r\nvalue\r\n")
	time.Sleep(300 * time.Millisecond)
	f.ServeOrigin(h, handleOrigin)
	c.wantAnswer(t, "HD O1")
	f.checkServers(t, r, standin.OriginID)
	f.checkTimeLeft(t, r)
}

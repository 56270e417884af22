package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"larchthread/internal/standin"
)

// busyAddress is a loopback address at which connections do not come up until accept is called.
type busyAddress struct {
	fd   int
	text string
}

// newBusyAddress listens with a full queue.
func newBusyAddress(t *testing.T) *busyAddress {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { unix.Close(fd) })
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := unix.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	name, err := unix.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	b := &busyAddress{fd, fmt.Sprintf("127.0.0.1:%d", name.(*unix.SockaddrInet4).Port)}
	filler, err := net.Dial("tcp", b.text)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { filler.Close() })
	return b
}

// accept accepts connections for a while and returns the first bytes that come on each.
func (b *busyAddress) accept(d time.Duration) (received []string) {
	unix.SetNonblock(b.fd, true)
	var fds []int
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if fd, _, err := unix.Accept4(b.fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC); err == nil {
			fds = append(fds, fd)
		}
	}
	for _, fd := range fds {
		var buffer [256]byte
		if n, err := unix.Read(fd, buffer[:]); err == nil && n > 0 {
			received = append(received, string(buffer[:n]))
		}
		unix.Close(fd)
	}
	return received
}

// Guards against work that goes to a new process at the address that a host had before: a push whose connection was still
// coming up there went on as the host got another address.
func TestPushAsHostMoves(t *testing.T) {
	f := &fleet{settings: strings.Replace(patientSettings, `"connectTimeoutUs":500000`, `"connectTimeoutUs":3000000`, 1)}
	before := newBusyAddress(t)
	after := standin.ListenLoopback()
	f.ServeHost("a", after, hit)
	f.Members = append(f.Members, standin.MemberJSON("a", before.text, standin.KindHost, standin.InService))
	f.start()
	defer f.stop()
	c := f.newClient()
	c.sendAndPrint(0, fmt.Sprintf("mg k v O1 Pc=once,d=%d\r\n", longTTL))
	time.Sleep(100 * time.Millisecond) // it has begun to connect
	f.WatchAnswers <- standin.HostListJSON(2, false, standin.MemberJSON("a", after.Addr().String(), standin.KindHost, standin.InService))
	time.Sleep(100 * time.Millisecond)
	if received := before.accept(2 * time.Second); len(received) > 0 {
		t.Errorf("at the address before: %q", received)
	}
	line, err := bufio.NewReader(c).ReadString('\n')
	if !strings.HasPrefix(line, "VA 5 ") && !strings.HasPrefix(line, "SERVER_ERROR busy") {
		t.Errorf("answer %q, %v", line, err)
	}
}

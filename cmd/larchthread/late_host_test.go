package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"time"

	"larchthread/internal/standin"
)

// slowConnectHost is a cache host to which a connection comes up late: while it is held, its queue of connections is full, and the
// kernel asks again after a second.
type slowConnectHost struct {
	net.Listener
	backlogConn net.Conn
}

func newSlowConnectHost() *slowConnectHost {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err == nil {
		err = syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})
	}
	if err == nil {
		err = syscall.Listen(fd, 0) // room for one
	}
	if err != nil {
		panic(err)
	}
	file := os.NewFile(uintptr(fd), "host")
	defer file.Close()
	l, err := net.FileListener(file)
	if err != nil {
		panic(err)
	}
	return &slowConnectHost{Listener: l}
}

// startSlowConnectFleet starts a fleet of one such host, by settings with which connections may take long to come up, and pushes are not
// called off.
func startSlowConnectFleet(sets string) (*fleet, *slowConnectHost) {
	h := newSlowConnectHost()
	f := &fleet{settings: strings.NewReplacer(`"connectTimeoutUs":50000`, `"connectTimeoutUs":2000000`, `"cancelling":true`,
		`"cancelling":false`, `"ttlUs":600000`, `"ttlUs":3000000`).Replace(sets)}
	f.Members = append(f.Members, standin.MemberJSON("a", h.Addr().String(), standin.KindHost, standin.InService))
	f.start()
	return f, h
}

// fillBacklog fills the queue.
func (h *slowConnectHost) fillBacklog() {
	c, err := net.Dial("tcp", h.Addr().String())
	if err != nil {
		panic(err)
	}
	h.backlogConn = c
}

// acceptAndPrint ends the hold, and prints what the next connection hears, if one comes.
func (h *slowConnectHost) acceptAndPrint() {
	h.Accept() // the one that fills the queue
	h.Listener.(*net.TCPListener).SetDeadline(time.Now().Add(3 * time.Second))
	var heard []string
	if late, err := h.Accept(); err == nil {
		late.SetReadDeadline(time.Now().Add(time.Second))
		all, _ := io.ReadAll(late)
		for line := range strings.Lines(string(all)) {
			heard = append(heard, strings.TrimSpace(line))
		}
	}
	fmt.Println("heard:", heard)
}

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

// slowConnectHost is a cache host whose accept queue can be filled, so that the kernel retries new connections
// after a second.
type slowConnectHost struct {
	net.Listener
	backlogConn net.Conn
}

// newSlowConnectHost listens on a free loopback address.
func newSlowConnectHost() *slowConnectHost {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err == nil {
		err = syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})
	}
	if err == nil {
		err = syscall.Listen(fd, 0) // queue for one connection
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

// startSlowConnectFleet starts a fleet of one slowConnectHost, with a long connect timeout and without
// cancelling of pushes.
func startSlowConnectFleet(settings string) (*fleet, *slowConnectHost) {
	h := newSlowConnectHost()
	f := &fleet{settings: strings.NewReplacer(`"connectTimeoutUs":50000`, `"connectTimeoutUs":2000000`, `"cancelling":true`,
		`"cancelling":false`, `"ttlUs":600000`, `"ttlUs":3000000`).Replace(settings)}
	f.Members = append(f.Members, standin.MemberJSON("a", h.Addr().String(), standin.KindHost, standin.InService))
	f.start()
	return f, h
}

// fillBacklog fills the accept queue.
func (h *slowConnectHost) fillBacklog() {
	c, err := net.Dial("tcp", h.Addr().String())
	if err != nil {
		panic(err)
	}
	h.backlogConn = c
}

// acceptAndPrint frees the accept queue, accepts the next connection if one comes within 3 s, and prints what it
// receives.
func (h *slowConnectHost) acceptAndPrint() {
	h.Accept() // the connection from fillBacklog
	h.Listener.(*net.TCPListener).SetDeadline(time.Now().Add(3 * time.Second))
	var received []string
	if late, err := h.Accept(); err == nil {
		late.SetReadDeadline(time.Now().Add(time.Second))
		all, _ := io.ReadAll(late)
		for line := range strings.Lines(string(all)) {
			received = append(received, strings.TrimSpace(line))
		}
	}
	fmt.Println("heard:", received)
}

package transport

import (
	"fmt"
	"net/netip"

	"golang.org/x/sys/unix"
)

// sockaddr is an address in the kernel's form.
func sockaddr(a netip.AddrPort) (unix.Sockaddr, int) {
	if ip := a.Addr().Unmap(); ip.Is4() {
		return &unix.SockaddrInet4{Port: int(a.Port()), Addr: ip.As4()}, unix.AF_INET
	}
	return &unix.SockaddrInet6{Port: int(a.Port()), Addr: a.Addr().As16()}, unix.AF_INET6
}

// open makes a socket for an address.
func open(a netip.AddrPort) (fd int, sa unix.Sockaddr, err error) {
	sa, family := sockaddr(a)
	fd, err = unix.Socket(family, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	return fd, sa, err
}

// listen opens a listening socket. The connections that come through it have kernel buffers of so many
// bytes: where clients are slow to read, large ones would be memory that no count here shows. A shared address may be
// listened on by several processes.
func listen(a netip.AddrPort, kernel int, shared bool) (int, error) {
	fd, sa, err := open(a)
	if err != nil {
		return -1, fmt.Errorf("socket: %w", err)
	}
	if err = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err == nil {
		if shared {
			unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
		}
		unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_SNDBUF, kernel)
		unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, kernel)
		if err = unix.Bind(fd, sa); err == nil {
			err = unix.Listen(fd, backlog)
		}
	}
	if err != nil {
		unix.Close(fd)
		return -1, fmt.Errorf("listen on %v: %w", a, err)
	}
	return fd, nil
}

// dial begins a connection.
func dial(a netip.AddrPort) (int, error) {
	if !a.IsValid() {
		return -1, unix.EADDRNOTAVAIL
	}
	fd, sa, err := open(a)
	if err != nil {
		return -1, err
	}
	unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	if err := unix.Connect(fd, sa); err != nil && err != unix.EINPROGRESS {
		unix.Close(fd)
		return -1, err
	}
	return fd, nil
}

// lastReceived is for how many ms nothing has come on a connection; 0 where the system does not tell.
func lastReceived(fd int) float64 {
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return 0
	}
	return float64(info.Last_data_recv)
}

// pending takes the error that a socket holds.
func pending(fd int) error {
	code, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ERROR)
	if err != nil {
		return err
	}
	if code != 0 {
		return unix.Errno(code)
	}
	return nil
}

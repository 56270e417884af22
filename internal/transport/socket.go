package transport

import (
	"fmt"
	"net/netip"

	"golang.org/x/sys/unix"
)

// sockaddr converts an address to the kernel's form and its address family.
func sockaddr(a netip.AddrPort) (unix.Sockaddr, int) {
	if ip := a.Addr().Unmap(); ip.Is4() {
		return &unix.SockaddrInet4{Port: int(a.Port()), Addr: ip.As4()}, unix.AF_INET
	}
	return &unix.SockaddrInet6{Port: int(a.Port()), Addr: a.Addr().As16()}, unix.AF_INET6
}

// newSocket creates a non-blocking TCP socket for an address.
func newSocket(a netip.AddrPort) (fd int, sa unix.Sockaddr, err error) {
	sa, family := sockaddr(a)
	fd, err = unix.Socket(family, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	return fd, sa, err
}

// listen opens a listening socket. Accepted connections inherit kernel buffers of bufferBytes per direction,
// which bounds memory where clients read slowly. A shared address may have listeners of several processes.
func listen(a netip.AddrPort, bufferBytes int, shared bool) (int, error) {
	fd, sa, err := newSocket(a)
	if err != nil {
		return -1, fmt.Errorf("socket: %w", err)
	}
	if err = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err == nil {
		if shared {
			unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
		}
		unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_SNDBUF, bufferBytes)
		unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, bufferBytes)
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

// dial starts to connect.
func dial(a netip.AddrPort) (int, error) {
	if !a.IsValid() {
		return -1, unix.EADDRNOTAVAIL
	}
	fd, sa, err := newSocket(a)
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

// sinceLastReceived returns for how many ms nothing has arrived on a connection; 0 if the system does not tell.
func sinceLastReceived(fd int) float64 {
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return 0
	}
	return float64(info.Last_data_recv)
}

// socketError returns and clears the socket's pending error.
func socketError(fd int) error {
	code, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ERROR)
	if err != nil {
		return err
	}
	if code != 0 {
		return unix.Errno(code)
	}
	return nil
}

package standin

import (
	"fmt"
	"net"
	"net/netip"
	"os"
)

// FreeAddress returns an unused loopback address on which a program can listen later. It uses an IP address of this process's
// own, because an outgoing connection from 127.0.0.1 could take the port in the meantime.
func FreeAddress() (netip.AddrPort, error) {
	listener, err := net.Listen("tcp", ownLoopback()+":0")
	if err != nil {
		return netip.AddrPort{}, err
	}
	defer listener.Close()
	return listener.Addr().(*net.TCPAddr).AddrPort(), nil
}

// ownLoopback returns a loopback IP address derived from the process id.
func ownLoopback() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.2", pid>>8&255, pid&255)
}

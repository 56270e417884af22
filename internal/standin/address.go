package standin

import (
	"fmt"
	"net"
	"net/netip"
	"os"
)

// FreeAddress returns an address that nobody has, for a program that is to listen there later. It lies in this process's own
// part of loopback: on the usual one a connection that is just being made may take the port first.
func FreeAddress() (netip.AddrPort, error) {
	listener, err := net.Listen("tcp", ownLoopback()+":0")
	if err != nil {
		return netip.AddrPort{}, err
	}
	defer listener.Close()
	return listener.Addr().(*net.TCPAddr).AddrPort(), nil
}

// ownLoopback is an address of loopback that other processes do not use.
func ownLoopback() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.2", pid>>8&255, pid&255)
}

package standin

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"sync"
)

// returned holds the addresses that FreeAddress has returned: the system may offer a port again before it is used.
var returned sync.Map

// FreeAddress returns an unused loopback address on which a program can listen later, another one with each call. It uses an
// IP address of this process's own, because an outgoing connection from 127.0.0.1 could take the port in the meantime.
func FreeAddress() (netip.AddrPort, error) {
	for {
		listener, err := net.Listen("tcp", ownLoopback()+":0")
		if err != nil {
			return netip.AddrPort{}, err
		}
		defer listener.Close() // only at the end, so that the system offers another port if this one is known
		address := listener.Addr().(*net.TCPAddr).AddrPort()
		if _, known := returned.LoadOrStore(address, true); !known {
			return address, nil
		}
	}
}

// ownLoopback returns a loopback IP address derived from the process id.
func ownLoopback() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.2", pid>>8&255, pid&255)
}

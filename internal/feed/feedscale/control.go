package feedscale

import (
	"context"
	"net"
	"time"
)

// controlPlane runs the publisher and the relays.
type controlPlane interface {
	// publish publishes a change and returns its position. After an error the change may or may not have been published.
	publish(ctx context.Context, change plannedChange) (position, error)
	// startPublisher starts the publisher, listening on an address.
	startPublisher(address string) error
	// startRelay starts a relay, listening on an address and connecting to the publisher's address.
	startRelay(relay int, address, publisher string) error
	// killPublisher stops the publisher at once, without notice to its peers if it is a separate process.
	killPublisher() error
	// killRelay stops a relay in the same way.
	killRelay(relay int) error
	// freezeRelay suspends a relay, which keeps its connections open. It fails if the relay is not a separate process.
	freezeRelay(relay int) error
	// usage returns the resource usage of the separate processes so far, by name. It is empty if there are none.
	usage() (map[string]processUsage, error)
	// close stops the publisher and all relays.
	close() error
}

// processUsage is the resource usage of a process since its start.
type processUsage struct {
	CPUTime          time.Duration
	MaxResidentBytes int
}

// controlIP is the IP address that the publisher and the relays listen on. It differs from the source address of outgoing
// connections, so that none of those takes the port of a listener that is being restarted.
const controlIP = "127.0.0.2"

// freeAddresses returns distinct addresses, host:port, that are free to listen on.
func freeAddresses(number int) ([]string, error) {
	var addresses []string
	for range number {
		listener, err := net.Listen("tcp", net.JoinHostPort(controlIP, "0"))
		if err != nil {
			return nil, err
		}
		defer listener.Close() // at the end only, so that no address is returned twice
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}

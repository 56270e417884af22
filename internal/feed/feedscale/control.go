package feedscale

import (
	"context"
	"net"
	"time"
)

// control runs the publisher and the relays.
type control interface {
	// publish publishes a change and returns its position.
	publish(ctx context.Context, change plannedChange) (position, error)
	// startPublisher and startRelay start what is not running.
	startPublisher(address string) error
	startRelay(relay int, address, publisher string) error
	// killPublisher and killRelay end it at once. It says goodbye to nobody where it is a process of its own.
	killPublisher() error
	killRelay(relay int) error
	// freezeRelay stops a relay without ending it: it falls silent, and its connections stay. Not all can do it.
	freezeRelay(relay int) error
	// usage tells what the processes have used so far, by name; it is empty where they share this process.
	usage() (map[string]processUsage, error)
	// close ends all.
	close() error
}

// processUsage is what a process has used.
type processUsage struct {
	Processor time.Duration
	Resident  int // bytes, at most so far
}

// controlAddress is where publisher and relays listen. It is not the one that outgoing connections come from, so that none of
// them takes a port between the death and the restart of its listener.
const controlAddress = "127.0.0.2"

// freeAddresses finds addresses for listeners.
func freeAddresses(number int) ([]string, error) {
	var addresses []string
	for range number {
		listener, err := net.Listen("tcp", net.JoinHostPort(controlAddress, "0"))
		if err != nil {
			return nil, err
		}
		defer listener.Close() // after the last one, so that no address comes twice
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}

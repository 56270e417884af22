package feedscale

import (
	"context"
	"errors"
	"sync"

	"larchthread/internal/feed"
	"larchthread/internal/feed/feednet"
)

// localControlPlane runs the publisher and the relays in the calling process.
type localControlPlane struct {
	directory string
	seed      uint64

	mutex     sync.Mutex
	publisher *feednet.Server
	relays    map[int]*feednet.Server
}

// newLocalControlPlane returns a control plane with nothing started. The directory is for the publisher's log.
func newLocalControlPlane(directory string, seed uint64) *localControlPlane {
	return &localControlPlane{directory: directory, seed: seed, relays: map[int]*feednet.Server{}}
}

// publish publishes a change. It returns feednet.ErrClosed if the publisher is not running.
func (c *localControlPlane) publish(ctx context.Context, change plannedChange) (position, error) {
	c.mutex.Lock()
	publisher := c.publisher
	c.mutex.Unlock()
	if publisher == nil {
		return position{}, feednet.ErrClosed
	}
	at, err := publisher.Publish(ctx, feed.Kind(change.Kind), change.key(), []byte(change.Value))
	return position(at), err
}

// startPublisher starts the publisher.
func (c *localControlPlane) startPublisher(address string) error {
	publisher, err := feednet.Start(feednet.Options{Feed: publisherConfig(), Listen: address, Directory: c.directory})
	if err != nil {
		return err
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.publisher = publisher
	return nil
}

// startRelay starts a relay.
func (c *localControlPlane) startRelay(relay int, address, publisher string) error {
	server, err := feednet.Start(feednet.Options{Feed: relayConfig(relay, publisher, c.seed), Listen: address})
	if err != nil {
		return err
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.relays[relay] = server
	return nil
}

// killPublisher closes the publisher, which notifies its peers.
func (c *localControlPlane) killPublisher() error {
	c.mutex.Lock()
	publisher := c.publisher
	c.publisher = nil
	c.mutex.Unlock()
	if publisher == nil {
		return nil
	}
	return publisher.Close()
}

// killRelay closes a relay, which notifies its peers.
func (c *localControlPlane) killRelay(relay int) error {
	c.mutex.Lock()
	server := c.relays[relay]
	delete(c.relays, relay)
	c.mutex.Unlock()
	if server == nil {
		return nil
	}
	return server.Close()
}

// errRelayNotProcess is returned for freezing a relay that runs in the calling process.
var errRelayNotProcess = errors.New("only a relay in a separate process can be frozen")

// freezeRelay returns errRelayNotProcess.
func (c *localControlPlane) freezeRelay(int) error { return errRelayNotProcess }

// usage returns nothing, since there are no separate processes.
func (c *localControlPlane) usage() (map[string]processUsage, error) { return nil, nil }

// close closes the publisher and all relays.
func (c *localControlPlane) close() error {
	failures := []error{c.killPublisher()}
	for relay := range c.relays {
		failures = append(failures, c.killRelay(relay))
	}
	return errors.Join(failures...)
}

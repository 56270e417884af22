package feedscale

import (
	"context"
	"errors"
	"sync"

	"larchthread/internal/feed"
	"larchthread/internal/feed/feednet"
)

// localControl runs the publisher and the relays in this process.
type localControl struct {
	directory string
	seed      uint64

	mutex     sync.Mutex
	publisher *feednet.Server
	relays    map[int]*feednet.Server
}

func newLocalControl(directory string, seed uint64) *localControl {
	return &localControl{directory: directory, seed: seed, relays: map[int]*feednet.Server{}}
}

func (c *localControl) publish(ctx context.Context, change plannedChange) (position, error) {
	c.mutex.Lock()
	publisher := c.publisher
	c.mutex.Unlock()
	if publisher == nil {
		return position{}, feednet.ErrClosed
	}
	at, err := publisher.Publish(ctx, feed.Kind(change.Kind), change.key(), []byte(change.Value))
	return position(at), err
}

func (c *localControl) startPublisher(address string) error {
	publisher, err := feednet.Start(feednet.Options{Feed: publisherConfig(), Listen: address, Directory: c.directory})
	if err != nil {
		return err
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.publisher = publisher
	return nil
}

func (c *localControl) startRelay(relay int, address, publisher string) error {
	server, err := feednet.Start(feednet.Options{Feed: relayConfig(relay, publisher, c.seed), Listen: address})
	if err != nil {
		return err
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.relays[relay] = server
	return nil
}

func (c *localControl) killPublisher() error {
	c.mutex.Lock()
	publisher := c.publisher
	c.publisher = nil
	c.mutex.Unlock()
	if publisher == nil {
		return nil
	}
	return publisher.Close()
}

func (c *localControl) killRelay(relay int) error {
	c.mutex.Lock()
	server := c.relays[relay]
	delete(c.relays, relay)
	c.mutex.Unlock()
	if server == nil {
		return nil
	}
	return server.Close()
}

// errOneProcess tells that relays of this process can't be frozen by themselves.
var errOneProcess = errors.New("only a relay that is a process of its own can be frozen")

func (c *localControl) freezeRelay(int) error { return errOneProcess }

func (c *localControl) usage() (map[string]processUsage, error) { return nil, nil }

func (c *localControl) close() error {
	failures := []error{c.killPublisher()}
	for relay := range c.relays {
		failures = append(failures, c.killRelay(relay))
	}
	return errors.Join(failures...)
}

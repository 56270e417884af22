package feedscale

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// fleet is a publisher, its relays and its subscribers.
type fleet struct {
	options          Options
	began            time.Time
	placement        placement
	partition        *partition // around cutRegion
	control          control
	publisherAddress string
	relays           []*relay
	forwarders       []*forwarder // between the publisher and each relay
	publisherSent    []*meter     // by relay
	subscribers      []*hollowSubscriber
	ledger           ledger
}

// newFleet prepares a fleet for a run of at most the given length, and starts nothing yet.
func newFleet(options Options, control control, length time.Duration) (*fleet, error) {
	addresses, err := freeAddresses(options.Relays + 1)
	if err != nil {
		return nil, err
	}
	f := &fleet{options: options, began: time.Now(), placement: newPlacement(options), partition: &partition{},
		control: control, publisherAddress: addresses[0]}
	byAddress := map[string]*relay{}
	for i, address := range addresses[1:] {
		relay := &relay{address: address, region: f.placement.relayRegions[i], sent: newMeter(f.began, length)}
		f.relays = append(f.relays, relay)
		byAddress[address] = relay
		f.publisherSent = append(f.publisherSent, newMeter(f.began, length))
	}
	for i := range options.Subscribers {
		f.subscribers = append(f.subscribers, &hollowSubscriber{index: i, began: f.began,
			received: newMeter(f.began, length), sent: newMeter(f.began, length),
			dialer: subscriberDialer{f.partition, f.placement.inCutRegion(i), byAddress}})
	}
	return f, nil
}

// startControl starts the publisher, the relays and the forwarders between them.
func (f *fleet) startControl(length time.Duration) error {
	if err := f.control.startPublisher(f.publisherAddress); err != nil {
		return fmt.Errorf("publisher: %w", err)
	}
	none := &partition{}
	for i, relay := range f.relays {
		between := none
		if relay.region == cutRegion {
			between = f.partition
		}
		meters := &meteredPair{fromTarget: f.publisherSent[i], toTarget: newMeter(f.began, length)}
		forwarder, err := startForwarder(f.publisherAddress, between, meters)
		if err != nil {
			return err
		}
		f.forwarders = append(f.forwarders, forwarder)
		if err := f.control.startRelay(i, relay.address, forwarder.address()); err != nil {
			return fmt.Errorf("relay %d: %w", i, err)
		}
	}
	return nil
}

// restartControl starts the publisher and the relays again, behind the forwarders that are there.
func (f *fleet) restartControl() error {
	failures := []error{f.control.startPublisher(f.publisherAddress)}
	for i, relay := range f.relays {
		failures = append(failures, f.control.startRelay(i, relay.address, f.forwarders[i].address()))
	}
	return errors.Join(failures...)
}

// killControl ends the publisher and all relays at once.
func (f *fleet) killControl() error {
	failures := []error{f.control.killPublisher()}
	for i := range f.relays {
		failures = append(failures, f.control.killRelay(i))
	}
	return errors.Join(failures...)
}

// startSubscribers starts all subscribers.
func (f *fleet) startSubscribers() error {
	for i, subscriber := range f.subscribers {
		var addresses []string
		for _, relay := range f.placement.parents[i] {
			addresses = append(addresses, f.relays[relay].address)
		}
		if err := subscriber.start(addresses, f.options.Seed); err != nil {
			return fmt.Errorf("subscriber %d: %w", i, err)
		}
	}
	return nil
}

// close ends everything that was started.
func (f *fleet) close() error {
	f.partition.heal()
	var failures []error
	for _, subscriber := range f.subscribers {
		if subscriber.server != nil {
			failures = append(failures, subscriber.server.Close())
		}
	}
	failures = append(failures, f.control.close())
	for _, forwarder := range f.forwarders {
		forwarder.close()
	}
	return errors.Join(failures...)
}

// fresh is the number of subscribers whose knowledge is complete and recent.
func (f *fleet) fresh() (number int) {
	for _, subscriber := range f.subscribers {
		if subscriber.history.isFresh() {
			number++
		}
	}
	return number
}

// current is the number of subscribers that have come to the last acknowledged change of each kind.
func (f *fleet) current() int { return f.have(time.Since(f.began)) }

// have is the number of subscribers that have all that had been acknowledged at a time since the run began.
func (f *fleet) have(at time.Duration) (number int) {
	var heads [kinds]uint64
	for kind := range kinds {
		heads[kind] = f.ledger.head(kind, at).Sequence
	}
	for _, subscriber := range f.subscribers {
		if subscriber.history.reached(heads) {
			number++
		}
	}
	return number
}

const pollEvery = 10 * time.Millisecond

// errTimeout tells that a condition did not come about.
var errTimeout = errors.New("gave up waiting")

// await waits until all subscribers meet a condition.
func (f *fleet) await(ctx context.Context, what string, number func() int, limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for number() < len(f.subscribers) {
		if time.Now().After(deadline) {
			return fmt.Errorf("%w: %d of %d subscribers %s after %v", errTimeout, number(), len(f.subscribers), what, limit)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pollEvery):
		}
	}
	return nil
}

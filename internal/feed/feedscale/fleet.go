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
	startTime        time.Time
	placement        placement
	partition        *partition // around cutRegion
	control          controlPlane
	publisherAddress string
	relays           []*relay
	forwarders       []*forwarder // between the publisher and each relay
	publisherSent    []*meter     // by relay
	subscribers      []*recordingSubscriber
	ledger           ledger
}

// newFleet creates a fleet for a run of at most the given length, without starting anything.
func newFleet(options Options, control controlPlane, length time.Duration) (*fleet, error) {
	addresses, err := freeAddresses(options.Relays + 1)
	if err != nil {
		return nil, err
	}
	f := &fleet{options: options, startTime: time.Now(), placement: newPlacement(options), partition: &partition{},
		control: control, publisherAddress: addresses[0]}
	byAddress := map[string]*relay{}
	for i, address := range addresses[1:] {
		relay := &relay{address: address, region: f.placement.relayRegions[i], sent: newMeter(f.startTime, length)}
		f.relays = append(f.relays, relay)
		byAddress[address] = relay
		f.publisherSent = append(f.publisherSent, newMeter(f.startTime, length))
	}
	for i := range options.Subscribers {
		f.subscribers = append(f.subscribers, &recordingSubscriber{index: i, runStart: f.startTime,
			received: newMeter(f.startTime, length), sent: newMeter(f.startTime, length),
			dialer: subscriberDialer{f.partition, f.placement.inCutRegion(i), byAddress}})
	}
	return f, nil
}

// startControl starts the publisher, the relays and the forwarders between them.
func (f *fleet) startControl(length time.Duration) error {
	if err := f.control.startPublisher(f.publisherAddress); err != nil {
		return fmt.Errorf("publisher: %w", err)
	}
	noPartition := &partition{}
	for i, relay := range f.relays {
		crossed := noPartition
		if relay.region == cutRegion {
			crossed = f.partition
		}
		meters := &meterPair{fromTarget: f.publisherSent[i], toTarget: newMeter(f.startTime, length)}
		forwarder, err := startForwarder(f.publisherAddress, crossed, meters)
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

// restartControl restarts the publisher and the relays at their old addresses; the forwarders between them stay.
func (f *fleet) restartControl() error {
	failures := []error{f.control.startPublisher(f.publisherAddress)}
	for i, relay := range f.relays {
		failures = append(failures, f.control.startRelay(i, relay.address, f.forwarders[i].address()))
	}
	return errors.Join(failures...)
}

// killControl kills the publisher and all relays.
func (f *fleet) killControl() error {
	failures := []error{f.control.killPublisher()}
	for i := range f.relays {
		failures = append(failures, f.control.killRelay(i))
	}
	return errors.Join(failures...)
}

// startSubscribers starts all subscribers, without waiting for their connections.
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

// close stops everything that was started, and returns all errors joined.
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

// countFresh returns the number of subscribers whose data is complete and recent.
func (f *fleet) countFresh() (count int) {
	for _, subscriber := range f.subscribers {
		if subscriber.history.isFresh() {
			count++
		}
	}
	return count
}

// countCurrent returns the number of subscribers that have reached the last acknowledged change of each kind.
func (f *fleet) countCurrent() int { return f.countCaughtUp(time.Since(f.startTime)) }

// countCaughtUp returns the number of subscribers that have reached all changes acknowledged up to a time, given since the
// start of the run.
func (f *fleet) countCaughtUp(at time.Duration) (count int) {
	var heads [kinds]uint64
	for kind := range kinds {
		heads[kind] = f.ledger.head(kind, at).Sequence
	}
	for _, subscriber := range f.subscribers {
		if subscriber.history.reached(heads) {
			count++
		}
	}
	return count
}

const pollInterval = 10 * time.Millisecond

// errTimeout is returned by waitForAll if not all subscribers meet the condition in time.
var errTimeout = errors.New("timed out")

// waitForAll polls until count returns the number of all subscribers. It returns an error that wraps errTimeout after the
// timeout, or the error of ctx; the name of the condition is for the error's text.
func (f *fleet) waitForAll(ctx context.Context, condition string, count func() int, timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for count() < len(f.subscribers) {
		if time.Now().After(deadline) {
			return fmt.Errorf("%w: %d of %d subscribers %s after %v", errTimeout, count(), len(f.subscribers), condition, timeout)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pollInterval):
		}
	}
	return nil
}

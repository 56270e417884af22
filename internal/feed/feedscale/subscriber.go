package feedscale

import (
	"context"
	"net"
	"time"

	"larchthread/internal/feed"
	"larchthread/internal/feed/feednet"
)

// recordingSubscriber is a subscriber that only records the events that it receives.
type recordingSubscriber struct {
	index          int
	runStart       time.Time
	server         *feednet.Server
	history        history
	received, sent *meter
	dialer         subscriberDialer
}

// subscriberDialer connects a subscriber to relays, across the partition if exactly one of them is in cutRegion.
type subscriberDialer struct {
	partition   *partition
	inCutRegion bool              // the subscriber is in cutRegion
	relays      map[string]*relay // by address
}

// relay describes a relay of the fleet.
type relay struct {
	address string
	region  int
	sent    *meter // to subscribers
}

// dial connects to the relay with the given address.
func (d subscriberDialer) dial(ctx context.Context, address string) (net.Conn, error) {
	if d.inCutRegion != (d.relays[address].region == cutRegion) {
		return d.partition.dial(ctx, address)
	}
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", address)
}

// start starts the subscriber with the addresses of its relays, preferred ones first.
func (s *recordingSubscriber) start(addresses []string, seed uint64) error {
	server, err := feednet.Start(feednet.Options{
		Feed:    subscriberConfig(s.index, addresses, seed),
		OnEvent: s.recordEvent,
		Dial:    s.dial,
	})
	s.server = server
	return err
}

// dial connects to a relay and meters the connection.
func (s *recordingSubscriber) dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := s.dialer.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return &meteredConn{Conn: conn, received: []*meter{s.received, s.dialer.relays[address].sent}, sent: s.sent}, nil
}

// recordEvent adds an event of the feed to the history.
func (s *recordingSubscriber) recordEvent(event feed.Event) {
	at := time.Since(s.runStart)
	switch event := event.(type) {
	case feed.Applied:
		s.apply(at, event.Change)
	case feed.AppliedSnapshot:
		for _, change := range event.Changes {
			s.apply(at, change)
		}
		s.history.advance(Kind(event.Kind), event.To.Sequence)
	case feed.AppliedSet:
		s.history.cover(coveredRange{At: at, Kind: Kind(event.Kind), From: position(event.From), To: position(event.To),
			PrefixBits: event.PrefixBits, Prefixes: event.Prefixes})
	case feed.Reset:
		s.history.cover(coveredRange{At: at, Kind: Kind(event.Kind), From: position(event.From), To: position(event.To), Reset: true})
	case feed.Stale:
		s.history.addFreshness(at, true)
	case feed.Fresh:
		s.history.addFreshness(at, false)
	}
}

// apply adds a change to the history. A change whose identity cannot be read gets the identity 0.
func (s *recordingSubscriber) apply(at time.Duration, change feed.Change) {
	identity, _ := identityOf(Kind(change.Kind), change.Key, change.Value)
	s.history.apply(appliedChange{At: at, Identity: identity, Sequence: uint32(change.Position.Sequence),
		Epoch: uint16(change.Position.Epoch), Kind: Kind(change.Kind)})
}

package feedscale

import (
	"context"
	"net"
	"time"

	"larchthread/internal/feed"
	"larchthread/internal/feed/feednet"
)

// hollowSubscriber is a subscriber that keeps a history of what it is told, and does nothing else with it.
type hollowSubscriber struct {
	index          int
	began          time.Time // of the run
	server         *feednet.Server
	history        history
	received, sent *meter
	dialer         subscriberDialer
}

// subscriberDialer connects a subscriber to relays, across the partition where they stand on its other side.
type subscriberDialer struct {
	partition *partition
	isolated  bool              // the subscriber stands in the region that may be cut
	relays    map[string]*relay // by address
}

// relay is what the fleet knows of a relay.
type relay struct {
	address string
	region  int
	sent    *meter // to subscribers
}

func (d subscriberDialer) dial(ctx context.Context, address string) (net.Conn, error) {
	if d.isolated != (d.relays[address].region == cutRegion) {
		return d.partition.dial(ctx, address)
	}
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", address)
}

// start has the subscriber follow the first of its relays that serves it.
func (s *hollowSubscriber) start(addresses []string, seed uint64) error {
	server, err := feednet.Start(feednet.Options{
		Feed:    subscriberConfig(s.index, addresses, seed),
		OnEvent: s.observe,
		Dial:    s.dial,
	})
	s.server = server
	return err
}

// dial connects to a relay and counts what goes over the connection.
func (s *hollowSubscriber) dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := s.dialer.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return &meteredConn{Conn: conn, received: []*meter{s.received, s.dialer.relays[address].sent}, sent: s.sent}, nil
}

// observe keeps an event.
func (s *hollowSubscriber) observe(event feed.Event) {
	at := time.Since(s.began)
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
		s.history.freshen(at, true)
	case feed.Fresh:
		s.history.freshen(at, false)
	}
}

func (s *hollowSubscriber) apply(at time.Duration, change feed.Change) {
	identity, _ := identityOf(Kind(change.Kind), change.Key, change.Value)
	s.history.apply(appliedChange{At: at, Identity: identity, Sequence: uint32(change.Position.Sequence),
		Epoch: uint16(change.Position.Epoch), Kind: Kind(change.Kind)})
}

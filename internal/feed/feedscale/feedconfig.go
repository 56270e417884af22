package feedscale

import (
	"fmt"

	"larchthread/internal/feed"
)

const (
	clusterName     = "feedscale"
	publisherEpoch  = 1
	settingsWindow  = 4096
	purgesWindow    = 30_000 // over 20 minutes at 22 a second
	maxSettingBytes = 256
)

// feedKinds are the kinds of changes, as the program's control command has them by default.
func feedKinds() []feed.KindConfig {
	return []feed.KindConfig{
		Settings: {Name: Settings.String(), Stateful: true, Window: settingsWindow, MaxValue: maxSettingBytes},
		Purges:   {Name: Purges.String(), Window: purgesWindow},
	}
}

func publisherConfig() feed.Config {
	return feed.Config{Cluster: clusterName, ID: "publisher", Role: feed.Publisher, Epoch: publisherEpoch, Kinds: feedKinds()}
}

func relayConfig(relay int, publisher string, seed uint64) feed.Config {
	return feed.Config{Cluster: clusterName, ID: fmt.Sprintf("relay-%d", relay), Role: feed.Relay, Kinds: feedKinds(),
		Parents: []string{publisher}, Seed: seed + uint64(relay)}
}

func subscriberConfig(subscriber int, relays []string, seed uint64) feed.Config {
	return feed.Config{Cluster: clusterName, ID: fmt.Sprintf("balancer-%d", subscriber), Role: feed.Subscriber, Kinds: feedKinds(),
		Parents: relays, Seed: seed + uint64(subscriber)}
}

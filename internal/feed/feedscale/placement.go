package feedscale

import "math/rand/v2"

// otherParents is the number of relays outside its own region that a subscriber may fall back to.
const otherParents = 3

// cutRegion is the region that a cut separates from all others.
const cutRegion = 0

// placement tells in which region each relay and each subscriber stands, and which relays a subscriber may follow.
type placement struct {
	regions           int
	relayRegions      []int   // by relay
	subscriberRegions []int   // by subscriber
	parents           [][]int // relays by subscriber, in order of preference
}

// newPlacement spreads relays and subscribers over the regions. A positive cutSize is the number of subscribers in the
// region that will be cut; the others share what is left.
func newPlacement(options Options) placement {
	place := placement{regions: min(options.Regions, options.Relays)}
	for relay := range options.Relays {
		place.relayRegions = append(place.relayRegions, place.regionOfRelay(relay))
	}
	for subscriber := range options.Subscribers {
		place.subscriberRegions = append(place.subscriberRegions, place.regionOfSubscriber(subscriber, options.CutSize))
	}
	random := rand.New(rand.NewPCG(options.Seed, seedOfPlacement))
	for subscriber := range options.Subscribers {
		place.parents = append(place.parents, place.choose(subscriber, random))
	}
	return place
}

// regionOfRelay gives each region one relay, and second ones to regions other than the one that may be cut.
func (p placement) regionOfRelay(relay int) int {
	if relay < p.regions || p.regions == 1 {
		return relay % p.regions
	}
	return 1 + (relay-p.regions)%(p.regions-1)
}

func (p placement) regionOfSubscriber(subscriber, cutSize int) int {
	switch {
	case cutSize == 0 || p.regions == 1:
		return subscriber % p.regions
	case subscriber < cutSize:
		return cutRegion
	default:
		return 1 + (subscriber-cutSize)%(p.regions-1)
	}
}

// choose lists the relays of the subscriber's own region in drawn order, and then some of other regions.
func (p placement) choose(subscriber int, random *rand.Rand) []int {
	var own, others []int
	for _, relay := range random.Perm(len(p.relayRegions)) {
		if p.relayRegions[relay] == p.subscriberRegions[subscriber] {
			own = append(own, relay)
		} else {
			others = append(others, relay)
		}
	}
	return append(own, others[:min(otherParents, len(others))]...)
}

// inCutRegion tells whether a subscriber stands in the region that may be cut.
func (p placement) inCutRegion(subscriber int) bool {
	return p.subscriberRegions[subscriber] == cutRegion
}

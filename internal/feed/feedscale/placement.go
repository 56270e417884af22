package feedscale

import "math/rand/v2"

// fallbackParents is the number of relays in other regions that a subscriber can fall back to.
const fallbackParents = 3

// cutRegion is the region that the partition cuts off.
const cutRegion = 0

// placement assigns relays and subscribers to regions, and relays to subscribers.
type placement struct {
	regions           int
	relayRegions      []int   // by relay
	subscriberRegions []int   // by subscriber
	parents           [][]int // relays by subscriber, in order of preference
}

// newPlacement spreads relays and subscribers evenly over the regions. If Options.CutSize is positive, cutRegion has that
// many subscribers, and the other regions share the rest.
func newPlacement(options Options) placement {
	place := placement{regions: min(options.Regions, options.Relays)}
	for relay := range options.Relays {
		place.relayRegions = append(place.relayRegions, place.regionOfRelay(relay))
	}
	for subscriber := range options.Subscribers {
		place.subscriberRegions = append(place.subscriberRegions, place.regionOfSubscriber(subscriber, options.CutSize))
	}
	random := rand.New(rand.NewPCG(options.Seed, placementStream))
	for subscriber := range options.Subscribers {
		place.parents = append(place.parents, place.chooseParents(subscriber, random))
	}
	return place
}

// regionOfRelay returns the region of a relay. Each region gets one, and additional ones go to regions other than cutRegion.
func (p placement) regionOfRelay(relay int) int {
	if relay < p.regions || p.regions == 1 {
		return relay % p.regions
	}
	return 1 + (relay-p.regions)%(p.regions-1)
}

// regionOfSubscriber returns the region of a subscriber, given the number of subscribers in cutRegion (0: an equal share).
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

// chooseParents returns the relays of the subscriber's own region and then fallbackParents ones of other regions, both in
// random order.
func (p placement) chooseParents(subscriber int, random *rand.Rand) []int {
	var own, others []int
	for _, relay := range random.Perm(len(p.relayRegions)) {
		if p.relayRegions[relay] == p.subscriberRegions[subscriber] {
			own = append(own, relay)
		} else {
			others = append(others, relay)
		}
	}
	return append(own, others[:min(fallbackParents, len(others))]...)
}

// inCutRegion reports whether a subscriber is in cutRegion.
func (p placement) inCutRegion(subscriber int) bool {
	return p.subscriberRegions[subscriber] == cutRegion
}

package balance

// Random numbers, hashes and averages.

import "math"

const (
	// Weights of a new sample in smoothed values.
	slowEWMAWeight   = 0.05 // about 20 samples
	mediumEWMAWeight = 0.1  // about 10 samples
	fastEWMAWeight   = 0.2  // about 5 samples
)

// pcg is a permuted congruential generator (PCG-XSH-RR).
type pcg uint64

// uniform returns a random number in [0, 1).
func (p *pcg) uniform() float64 {
	s := uint64(*p)
	*p = pcg(s*6364136223846793005 + 1442695040888963407)
	x := uint32(((s >> 18) ^ s) >> 27)
	r := uint(s >> 59)
	return float64(x>>r|x<<((32-r)&31)) / (1 << 32)
}

// observe adds a latency in ms to the averages.
func (l *latencyEWMA) observe(latency float64) {
	l.latencyDev += (math.Abs(latency-l.avgLatency) - l.latencyDev) * slowEWMAWeight
	l.avgLatency += (latency - l.avgLatency) * slowEWMAWeight
}

const fractionMultiplier = 0x9e3779b97f4a7c15 // odd; makes fractions independent of places on the cycle

// hashFraction maps a hash uniformly to [0, 1), independently of its place on the cycle.
func hashFraction(hash uint64) float64 { return float64(hash*fractionMultiplier>>11) / (1 << 53) }

// clamp returns x limited to the range from least to most.
func clamp(x, least, most float64) float64 { return math.Min(math.Max(x, least), most) }

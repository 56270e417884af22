package feed

import "time"

const (
	// burstShare is the part of a bound on the bytes of any second that may go out at once.
	burstShare = 5
	// minBurst is the smallest burst in which a change fits with the reserve for heartbeats.
	minBurst = heartbeatReserve + changeOverhead + MaxKeyLength
)

// budget is a token bucket: it bounds what goes out in any span of time to burst plus rate times the span.
type budget struct {
	rate    int
	burst   int
	tokens  float64
	counted time.Duration
}

// newBudget returns a full budget.
func newBudget(rate, burst int, now time.Duration) budget {
	return budget{rate: rate, burst: burst, tokens: float64(burst), counted: now}
}

// newBoundBudget returns a full budget that lets at most perSecond bytes out in any second.
func newBoundBudget(perSecond int, now time.Duration) budget {
	burst := perSecond / burstShare
	return newBudget(perSecond-burst, burst, now)
}

// available returns how many bytes may go out now.
func (b *budget) available(now time.Duration) int {
	if now > b.counted {
		b.tokens += float64(b.rate) * (now - b.counted).Seconds()
		b.tokens = min(b.tokens, float64(b.burst))
		b.counted = now
	}
	return int(b.tokens)
}

// take counts bytes that go out. The caller has seen them available.
func (b *budget) take(bytes int) {
	b.tokens -= float64(bytes)
}

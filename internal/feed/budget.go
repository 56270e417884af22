package feed

import "time"

const (
	// burstShare is the divisor that gives the burst of a per-second byte limit.
	burstShare = 5
	// minBurst is the smallest burst that fits a change without a value next to the heartbeat reserve.
	minBurst = heartbeatReserve + changeOverhead + MaxKeyLength
)

// budget is a token bucket in bytes: over any time span it allows at most burst plus rate times the span.
type budget struct {
	rate      int
	burst     int
	tokens    float64
	updatedAt time.Duration
}

// newBudget returns a full budget. rate is in bytes per second, burst in bytes.
func newBudget(rate, burst int, now time.Duration) budget {
	return budget{rate: rate, burst: burst, tokens: float64(burst), updatedAt: now}
}

// newPerSecondBudget returns a full budget that allows at most perSecond bytes in any window of one second.
func newPerSecondBudget(perSecond int, now time.Duration) budget {
	burst := perSecond / burstShare
	return newBudget(perSecond-burst, burst, now)
}

// available returns how many bytes may be sent now. It is negative after an overdraft.
func (b *budget) available(now time.Duration) int {
	if now > b.updatedAt {
		b.tokens += float64(b.rate) * (now - b.updatedAt).Seconds()
		b.tokens = min(b.tokens, float64(b.burst))
		b.updatedAt = now
	}
	return int(b.tokens)
}

// take deducts sent bytes. Unless an overdraft is intended, the caller first checks available.
func (b *budget) take(bytes int) {
	b.tokens -= float64(bytes)
}

package feed

import (
	"math/rand/v2"
	"time"
)

// backoff computes delays between attempts: exponential with full jitter, so that nodes that lost the same parent at the
// same moment do not reconnect at the same moment.
type backoff struct {
	minDelay, maxDelay time.Duration
	attempts           int
}

// next returns the delay before the next attempt: random, up to a limit that doubles with each attempt.
func (b *backoff) next(random *rand.Rand) time.Duration {
	limit := b.minDelay
	for range b.attempts {
		if limit >= b.maxDelay {
			break
		}
		limit *= 2
	}
	b.attempts++
	return jitter(random, min(limit, b.maxDelay))
}

func (b *backoff) reset() {
	b.attempts = 0
}

// jitter returns a random duration between zero and limit, inclusive.
func jitter(random *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(random.Int64N(int64(limit) + 1))
}

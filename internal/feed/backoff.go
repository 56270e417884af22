package feed

import (
	"math/rand/v2"
	"time"
)

// backoff gives the waits between attempts: exponential with full jitter, so that nodes that lost the same parent at the
// same moment don't come back at the same moment.
type backoff struct {
	least, most time.Duration
	attempts    int
}

// next returns the wait before the next attempt: anything up to a ceiling that doubles with each attempt.
func (b *backoff) next(random *rand.Rand) time.Duration {
	ceiling := b.least
	for range b.attempts {
		if ceiling >= b.most {
			break
		}
		ceiling *= 2
	}
	b.attempts++
	return jitter(random, min(ceiling, b.most))
}

func (b *backoff) reset() {
	b.attempts = 0
}

// jitter returns a random duration of zero to limit.
func jitter(random *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(random.Int64N(int64(limit) + 1))
}

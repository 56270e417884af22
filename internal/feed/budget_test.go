package feed

import (
	"math/rand/v2"
	"testing"
	"time"
)

func TestBudgetFillsUpToItsBurst(t *testing.T) {
	b := newBudget(1000, 300, 0)
	if got := b.available(0); got != 300 {
		t.Errorf("new budget: %d available", got)
	}
	b.take(300)
	for now, wanted := range map[time.Duration]int{100 * time.Millisecond: 100} {
		if got := b.available(now); got != wanted {
			t.Errorf("%d available after %s, want %d", got, now, wanted)
		}
	}
	if got := b.available(time.Minute); got != 300 {
		t.Errorf("%d available after a minute, want the burst", got)
	}
}

func TestBudgetIgnoresEarlierTimes(t *testing.T) {
	b := newBudget(1000, 300, time.Second)
	b.take(300)
	if got := b.available(0); got != 0 {
		t.Errorf("%d available at an earlier time", got)
	}
}

func TestPerSecondBudgetHoldsInAnySecond(t *testing.T) {
	const perSecond = 10_000
	random := rand.New(rand.NewPCG(1, 1))
	b := newPerSecondBudget(perSecond, 0)
	checker := newChecker(Config{})
	now := time.Duration(0)
	for range 10_000 {
		now += time.Duration(random.Int64N(int64(20 * time.Millisecond)))
		size := 1 + random.IntN(500)
		if size <= b.available(now) {
			b.take(size)
			checker.recordSent("budget", size, perSecond, now)
		}
	}
	if len(checker.violations) > 0 {
		t.Error(checker.violations[0])
	}
}

func TestBackoffDoublesWithFullJitter(t *testing.T) {
	const least, most = 100 * time.Millisecond, time.Second
	ceilings := []time.Duration{least, 2 * least, 4 * least, 8 * least, most, most}
	lowest := make([]time.Duration, len(ceilings))
	highest := make([]time.Duration, len(ceilings))
	const nodes = 500
	for seed := range uint64(nodes) {
		random := rand.New(rand.NewPCG(seed, seedStream))
		retry := backoff{minDelay: least, maxDelay: most}
		for i := range ceilings {
			wait := retry.next(random)
			if seed == 0 || wait < lowest[i] {
				lowest[i] = wait
			}
			highest[i] = max(highest[i], wait)
		}
	}
	for i, ceiling := range ceilings {
		if lowest[i] > ceiling/20 || highest[i] > ceiling || highest[i] < ceiling*19/20 {
			t.Errorf("attempt %d: delays of %s to %s, want the whole range from 0 to %s", i, lowest[i], highest[i], ceiling)
		}
	}
}

func TestBackoffRestartsAfterReset(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	retry := backoff{minDelay: time.Millisecond, maxDelay: time.Hour}
	for range 15 {
		retry.next(random)
	}
	retry.reset()
	if wait := retry.next(random); wait > time.Millisecond {
		t.Errorf("delay %s after a reset", wait)
	}
}

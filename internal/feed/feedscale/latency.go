package feedscale

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxLatency        = 10 * time.Minute
	significantDigits = 3
	bucketWidth       = 20 * time.Millisecond
	bucketCount       = 200
)

// Latency summarizes a distribution of latencies; Count is the number of samples.
type Latency struct {
	Count           int
	P50, P99, Worst time.Duration
}

// latencyHistogram collects latencies in microseconds.
type latencyHistogram struct{ times *hdrhistogram.Histogram }

// newLatencyHistogram returns an empty histogram for latencies up to maxLatency.
func newLatencyHistogram() latencyHistogram {
	return latencyHistogram{hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits)}
}

// add records a latency, limited to the range from 0 to maxLatency.
func (h latencyHistogram) add(latency time.Duration) {
	h.times.RecordValue(min(max(latency, 0), maxLatency).Microseconds())
}

// summary returns the count and quantiles of the recorded latencies.
func (h latencyHistogram) summary() Latency {
	at := func(percent float64) time.Duration {
		return time.Duration(h.times.ValueAtQuantile(percent)) * time.Microsecond
	}
	return Latency{int(h.times.TotalCount()), at(50), at(99), time.Duration(h.times.Max()) * time.Microsecond}
}

// propagation tracks how a change reached the subscribers.
type propagation struct {
	kind       Kind
	change     publishAttempt
	deliveries int             // number of times it was applied
	fullDelay  time.Duration   // from its due time until it was last applied
	delays     []time.Duration // of each subscriber, sorted; only for changes that are plotted
}

// propagations tracks each change through the histories of the counted subscribers.
type propagations struct {
	audit   *audit
	byKind  [kinds][]propagation // in order of publication
	delays  latencyHistogram
	buckets [bucketCount + 1]int // number of delays by bucketWidth; the last bucket holds all longer ones
}

// newPropagations returns a tracker of the audit's published changes, without any delivery yet.
func newPropagations(audit *audit) *propagations {
	s := &propagations{audit: audit, delays: newLatencyHistogram()}
	for kind := range kinds {
		for _, change := range audit.published[kind] {
			s.byKind[kind] = append(s.byKind[kind], propagation{kind: kind, change: change})
		}
	}
	return s
}

// add counts the changes that a subscriber applied.
func (s *propagations) add(history *history) {
	history.mutex.Lock()
	defer history.mutex.Unlock()
	for _, applied := range history.applied {
		i, known := s.audit.index[applied.Kind][applied.Identity]
		if !known {
			continue
		}
		spread := &s.byKind[applied.Kind][i]
		delay := applied.At - spread.change.Due
		spread.deliveries++
		spread.fullDelay = max(spread.fullDelay, delay)
		s.delays.add(delay)
		s.buckets[min(int(delay/bucketWidth), bucketCount)]++
	}
}

// latency summarizes how long it took until all subscribers had applied a change, over the acknowledged changes of a kind
// that were due from one time until before another. Changes that some subscriber did not apply individually are left out;
// partial is their number.
func (s *propagations) latency(kind Kind, subscribers int, from, to time.Duration) (sum Latency, partial int) {
	times := newLatencyHistogram()
	for _, spread := range s.byKind[kind] {
		switch due := spread.change.Due; {
		case due < from || due >= to || !spread.change.Acknowledged:
		case spread.deliveries < subscribers:
			partial++
		default:
			times.add(spread.fullDelay)
		}
	}
	return times.summary(), partial
}

// medianAndWorst returns the changes with the median and the longest time to reach all subscribers. Both are zero if no
// change reached all of them.
func (s *propagations) medianAndWorst(subscribers int) (median, worst propagation) {
	var complete []propagation
	for kind := range kinds {
		for _, spread := range s.byKind[kind] {
			if spread.deliveries == subscribers {
				complete = append(complete, spread)
			}
		}
	}
	if len(complete) == 0 {
		return propagation{}, propagation{}
	}
	slices.SortStableFunc(complete, func(x, y propagation) int { return int(x.fullDelay - y.fullDelay) })
	return complete[len(complete)/2], complete[len(complete)-1]
}

// collectDelays fills in the change's sorted delays from the subscribers' histories.
func (s *propagation) collectDelays(histories []*history) {
	for _, history := range histories {
		for _, applied := range history.applied {
			if applied.Kind == s.kind && applied.Identity == s.change.Identity {
				s.delays = append(s.delays, applied.At-s.change.Due)
			}
		}
	}
	slices.Sort(s.delays)
}

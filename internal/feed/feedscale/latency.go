package feedscale

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	longestLatency  = 10 * time.Minute
	latencyDigits   = 3
	spreadStep      = 20 * time.Millisecond
	spreadStepCount = 200
)

// Latency sums up times.
type Latency struct {
	Count           int
	P50, P99, Worst time.Duration
}

// latencyHistogram collects times in microseconds.
type latencyHistogram struct{ times *hdrhistogram.Histogram }

func newLatencyHistogram() latencyHistogram {
	return latencyHistogram{hdrhistogram.New(1, longestLatency.Microseconds(), latencyDigits)}
}

func (h latencyHistogram) add(latency time.Duration) {
	h.times.RecordValue(min(max(latency, 0), longestLatency).Microseconds())
}

func (h latencyHistogram) sum() Latency {
	at := func(percent float64) time.Duration {
		return time.Duration(h.times.ValueAtQuantile(percent)) * time.Microsecond
	}
	return Latency{int(h.times.TotalCount()), at(50), at(99), time.Duration(h.times.Max()) * time.Microsecond}
}

// spread tells how a change came to the subscribers.
type spread struct {
	kind       Kind
	change     publishedChange
	reached    int             // subscribers that took it
	everywhere time.Duration   // from its due time until the last of them did
	delays     []time.Duration // of each of them, for a change that is drawn
}

// spreads follows each change through the histories of those subscribers that count.
type spreads struct {
	audit   *audit
	byKind  [kinds][]spread // in the order of publishing
	each    latencyHistogram
	buckets [spreadStepCount + 1]int // of all delays; the last one is what took longer
}

func newSpreads(audit *audit) *spreads {
	s := &spreads{audit: audit, each: newLatencyHistogram()}
	for kind := range kinds {
		for _, change := range audit.published[kind] {
			s.byKind[kind] = append(s.byKind[kind], spread{kind: kind, change: change})
		}
	}
	return s
}

// add counts a subscriber's applied changes.
func (s *spreads) add(history *history) {
	history.mutex.Lock()
	defer history.mutex.Unlock()
	for _, applied := range history.applied {
		i, known := s.audit.index[applied.Kind][applied.Identity]
		if !known {
			continue
		}
		spread := &s.byKind[applied.Kind][i]
		delay := applied.At - spread.change.Due
		spread.reached++
		spread.everywhere = max(spread.everywhere, delay)
		s.each.add(delay)
		s.buckets[min(int(delay/spreadStep), spreadStepCount)]++
	}
}

// everywhere sums up, over the changes of a kind that were due between two times, how long it took until all subscribers had
// applied them. Changes that some did not apply one by one are left out, and counted.
func (s *spreads) everywhere(kind Kind, subscribers int, from, to time.Duration) (sum Latency, partial int) {
	times := newLatencyHistogram()
	for _, spread := range s.byKind[kind] {
		switch due := spread.change.Due; {
		case due < from || due >= to || !spread.change.Acknowledged:
		case spread.reached < subscribers:
			partial++
		default:
			times.add(spread.everywhere)
		}
	}
	return times.sum(), partial
}

// worst is the change that took longest to reach everybody, and median is the one in the middle.
func (s *spreads) medianAndWorst(subscribers int) (median, worst spread) {
	var complete []spread
	for kind := range kinds {
		for _, spread := range s.byKind[kind] {
			if spread.reached == subscribers {
				complete = append(complete, spread)
			}
		}
	}
	if len(complete) == 0 {
		return spread{}, spread{}
	}
	slices.SortStableFunc(complete, func(x, y spread) int { return int(x.everywhere - y.everywhere) })
	return complete[len(complete)/2], complete[len(complete)-1]
}

// follow adds the delays of one change at each subscriber, in rising order.
func (s *spread) follow(histories []*history) {
	for _, history := range histories {
		for _, applied := range history.applied {
			if applied.Kind == s.kind && applied.Identity == s.change.Identity {
				s.delays = append(s.delays, applied.At-s.change.Due)
			}
		}
	}
	slices.Sort(s.delays)
}

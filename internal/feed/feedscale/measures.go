package feedscale

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"larchthread/internal/feed"
)

// subscriberResult measures one subscriber over the time of the workload.
func (f *fleet) subscriberResult(w window) SubscriberResult {
	var result SubscriberResult
	var received, sent traffic
	for _, subscriber := range f.subscribers {
		received.add(subscriber.received.total(w.from, w.to))
		sent.add(subscriber.sent.total(w.from, w.to))
		greatest := subscriber.received.greatestSecond(w.from, w.settled)
		result.MaxBytesInSecond = max(result.MaxBytesInSecond, greatest.Bytes)
		result.MaxSegmentsInSecond = max(result.MaxSegmentsInSecond, greatest.Segments)
	}
	subscribers := float64(len(f.subscribers))
	each := subscribers * (w.to - w.from).Seconds()
	result.BytesPerSecond = float64(received.Bytes) / each
	result.SentBytesPerSecond = float64(sent.Bytes) / each
	result.SegmentsPerSecond = float64(received.Segments+sent.Segments) / each
	result.MessagesPerSecond = float64(w.counted.MessagesReceived) / each
	result.CPU = w.processor.Seconds() / each
	result.Memory = (w.memory - f.historyBytes()) / len(f.subscribers)
	return result
}

func (t *traffic) add(other traffic) {
	t.Bytes += other.Bytes
	t.Segments += other.Segments
}

// historyBytes is the memory of what is measured, which no real subscriber keeps.
func (f *fleet) historyBytes() (sum int) {
	for _, subscriber := range f.subscribers {
		sum += subscriber.history.bytes()
	}
	return sum
}

// senderResults measures what the publisher and each relay sent.
func (f *fleet) senderResults(w window) []SenderResult {
	length := (w.to - w.from).Seconds()
	publisher := newMeter(f.began, w.settled)
	for _, meter := range f.publisherSent {
		publisher.merge(meter)
	}
	results := []SenderResult{senderResult("publisher", publisher, w, length)}
	for i, relay := range f.relays {
		results = append(results, senderResult(fmt.Sprintf("relay %d", i), relay.sent, w, length))
	}
	return results
}

func senderResult(name string, sent *meter, w window, length float64) SenderResult {
	return SenderResult{Name: name, BytesPerSecond: float64(sent.total(w.from, w.to).Bytes) / length,
		MaxBytesInSecond: sent.greatestSecond(w.from, w.settled).Bytes, Limit: feed.DefaultTotalBytesPerSecond}
}

// merge adds what another meter has counted.
func (m *meter) merge(other *meter) {
	for i := range m.slices {
		m.slices[i].bytes.Add(other.slices[i].bytes.Load())
		m.slices[i].segments.Add(other.slices[i].segments.Load())
	}
}

// processResults measures the processes of publisher and relays, the busiest first. One that was restarted counts from its
// restart, one that was killed not at all.
func processResults(w window) (results []ProcessResult) {
	length := (w.to - w.from).Seconds()
	for name, after := range w.control {
		used := after.Processor
		if before, known := w.controlBefore[name]; known {
			used -= before.Processor
		}
		results = append(results, ProcessResult{name, used.Seconds() / length, after.Resident})
	}
	slices.SortFunc(results, func(x, y ProcessResult) int {
		return cmp.Or(cmp.Compare(y.CPU, x.CPU), cmp.Compare(x.Name, y.Name))
	})
	return results
}

// faultLead is how long before a fault a change may have been due that the fault still met on its way.
const faultLead = time.Second

func (f *fleet) faultResult(r *Result, w window, mark faultMark) FaultResult {
	result := FaultResult{Text: mark.Text, From: mark.From - r.From, To: mark.To - r.From}
	result.PropagationLatency, result.Partial = r.spreads.everywhere(Purges, r.Subscriber.Counted, mark.From-faultLead, mark.To+faultWindow)
	recovered := newLatencyHistogram()
	for i, subscriber := range f.subscribers {
		if mark.Isolating && !f.placement.inCutRegion(i) {
			continue
		}
		at, reached := subscriber.history.reachedAt(mark.Heads)
		if !reached {
			result.NotRecovered++
		} else {
			recovered.add(at - mark.To)
		}
		lastStale, lastFresh := subscriber.history.staleness(mark.From, w.settled)
		if lastStale > 0 {
			result.StaleSubscribers++
			result.LastStale = max(result.LastStale, lastStale-mark.From)
			result.LastFresh = max(result.LastFresh, lastFresh-mark.To)
		}
	}
	result.Recovered = recovered.sum()
	return result
}

// reachedAt is when the subscriber had come to a position of each kind.
func (h *history) reachedAt(heads [kinds]position) (at time.Duration, reached bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	var times [kinds]time.Duration
	var found [kinds]bool
	note := func(kind Kind, to position, at time.Duration) {
		if to.compare(heads[kind]) >= 0 && (!found[kind] || at < times[kind]) {
			found[kind], times[kind] = true, at
		}
	}
	for _, covered := range h.covered {
		note(covered.Kind, covered.To, covered.At)
	}
	for _, change := range h.applied {
		note(change.Kind, change.position(), change.At)
	}
	for kind := range kinds {
		if heads[kind] != (position{}) && !found[kind] {
			return 0, false
		}
		at = max(at, times[kind])
	}
	return at, true
}

// staleness is when the subscriber's knowledge last became stale between two times, and when it last became fresh.
func (h *history) staleness(from, to time.Duration) (lastStale, lastFresh time.Duration) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for _, change := range h.fresh {
		switch {
		case change.At < from || change.At > to:
		case change.Stale:
			lastStale = change.At
		default:
			lastFresh = change.At
		}
	}
	return lastStale, lastFresh
}

// secondResults measures each second of the workload.
func (f *fleet) secondResults(r *Result) []secondResult {
	results := make([]secondResult, int((r.To-r.From+time.Second-1)/time.Second))
	for i := range results {
		from := r.From + time.Duration(i)*time.Second
		purges, _ := r.spreads.everywhere(Purges, r.Subscriber.Counted, from, from+time.Second)
		results[i].median, results[i].worst = purges.P50, purges.Worst
		for _, subscriber := range f.subscribers {
			bytes := float64(subscriber.received.total(from, from+time.Second).Bytes)
			results[i].meanBytes += bytes / float64(len(f.subscribers))
			results[i].greatestBytes = max(results[i].greatestBytes, bytes)
		}
	}
	return results
}

package feedscale

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"larchthread/internal/feed"
)

// subscriberResult computes the mean and peak cost of a subscriber over the workload.
func (f *fleet) subscriberResult(m measurement) SubscriberResult {
	var result SubscriberResult
	var received, sent traffic
	for _, subscriber := range f.subscribers {
		received.add(subscriber.received.total(m.from, m.to))
		sent.add(subscriber.sent.total(m.from, m.to))
		greatest := subscriber.received.peakSecond(m.from, m.settled)
		result.MaxBytesInSecond = max(result.MaxBytesInSecond, greatest.Bytes)
		result.MaxSegmentsInSecond = max(result.MaxSegmentsInSecond, greatest.Segments)
	}
	subscribers := float64(len(f.subscribers))
	subscriberSeconds := subscribers * (m.to - m.from).Seconds()
	result.BytesPerSecond = float64(received.Bytes) / subscriberSeconds
	result.SentBytesPerSecond = float64(sent.Bytes) / subscriberSeconds
	result.SegmentsPerSecond = float64(received.Segments+sent.Segments) / subscriberSeconds
	result.MessagesPerSecond = float64(m.messages.MessagesReceived) / subscriberSeconds
	result.CPU = m.cpuTime.Seconds() / subscriberSeconds
	result.Memory = (m.memory - f.historyBytes()) / len(f.subscribers)
	return result
}

// add adds another amount of traffic.
func (t *traffic) add(other traffic) {
	t.Bytes += other.Bytes
	t.Segments += other.Segments
}

// historyBytes returns the memory of all histories, in bytes. A real subscriber has none.
func (f *fleet) historyBytes() (sum int) {
	for _, subscriber := range f.subscribers {
		sum += subscriber.history.memoryBytes()
	}
	return sum
}

// senderResults returns the traffic sent by the publisher, which comes first, and by each relay.
func (f *fleet) senderResults(m measurement) []SenderResult {
	length := (m.to - m.from).Seconds()
	publisher := newMeter(f.startTime, m.settled)
	for _, meter := range f.publisherSent {
		publisher.merge(meter)
	}
	results := []SenderResult{senderResult("publisher", publisher, m, length)}
	for i, relay := range f.relays {
		results = append(results, senderResult(fmt.Sprintf("relay %d", i), relay.sent, m, length))
	}
	return results
}

// senderResult returns the traffic of one sender over a workload of the given length in seconds.
func senderResult(name string, sent *meter, m measurement, length float64) SenderResult {
	return SenderResult{Name: name, BytesPerSecond: float64(sent.total(m.from, m.to).Bytes) / length,
		MaxBytesInSecond: sent.peakSecond(m.from, m.settled).Bytes, Limit: feed.DefaultTotalBytesPerSecond}
}

// merge adds the counts of another meter of the same length.
func (m *meter) merge(other *meter) {
	for i := range m.slices {
		m.slices[i].bytes.Add(other.slices[i].bytes.Load())
		m.slices[i].segments.Add(other.slices[i].segments.Load())
	}
}

// processResults returns the usage of the publisher's and relays' processes, sorted by CPU use, highest first. A restarted
// process counts from its restart; a killed one is missing.
func processResults(m measurement) (results []ProcessResult) {
	length := (m.to - m.from).Seconds()
	for name, after := range m.usageAfter {
		used := after.CPUTime
		if before, known := m.usageBefore[name]; known {
			used -= before.CPUTime
		}
		results = append(results, ProcessResult{name, used.Seconds() / length, after.MaxResidentBytes})
	}
	slices.SortFunc(results, func(x, y ProcessResult) int {
		return cmp.Or(cmp.Compare(y.CPU, x.CPU), cmp.Compare(x.Name, y.Name))
	})
	return results
}

// faultLead is how long before a fault a change may be due and still be affected by the fault.
const faultLead = time.Second

// faultResult computes the effect of an injected fault on purges, freshness and recovery.
func (f *fleet) faultResult(r *Result, m measurement, fault injectedFault) FaultResult {
	result := FaultResult{Text: fault.Text, From: fault.From - r.From, To: fault.To - r.From}
	result.PropagationLatency, result.Partial = r.propagations.latency(Purges, r.Subscriber.Counted,
		fault.From-faultLead, fault.To+recoveryWindow)
	recovered := newLatencyHistogram()
	for i, subscriber := range f.subscribers {
		if fault.CutRegionOnly && !f.placement.inCutRegion(i) {
			continue
		}
		at, reached := subscriber.history.reachedAt(fault.Heads)
		if !reached {
			result.NotRecovered++
		} else {
			recovered.add(at - fault.To)
		}
		lastStale, lastFresh := subscriber.history.staleness(fault.From, m.settled)
		if lastStale > 0 {
			result.StaleSubscribers++
			result.LastStale = max(result.LastStale, lastStale-fault.From)
			result.LastFresh = max(result.LastFresh, lastFresh-fault.To)
		}
	}
	result.Recovered = recovered.summary()
	return result
}

// reachedAt returns when the subscriber had reached the given position of each kind, since the start of the run. It returns
// false if the subscriber never did.
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

// staleness returns when the subscriber last became stale and last became fresh between two times; 0 means never.
func (h *history) staleness(from, to time.Duration) (lastStale, lastFresh time.Duration) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for _, change := range h.freshnessChanges {
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

// secondResults computes the latencies and received bytes for each second of the workload.
func (f *fleet) secondResults(r *Result) []secondResult {
	results := make([]secondResult, int((r.To-r.From+time.Second-1)/time.Second))
	for i := range results {
		from := r.From + time.Duration(i)*time.Second
		purges, _ := r.propagations.latency(Purges, r.Subscriber.Counted, from, from+time.Second)
		results[i].median, results[i].worst = purges.P50, purges.Worst
		for _, subscriber := range f.subscribers {
			bytes := float64(subscriber.received.total(from, from+time.Second).Bytes)
			results[i].meanBytes += bytes / float64(len(f.subscribers))
			results[i].maxBytes = max(results[i].maxBytes, bytes)
		}
	}
	return results
}

package feedscale

import (
	"time"
)

// Result holds the measurements and the audit of a run.
type Result struct {
	Options           Options
	SeparateProcesses bool          // the publisher and relays ran as separate processes
	From, To          time.Duration // of the workload, since the start of the run
	Kinds             [kinds]KindResult
	DeliveryLatency   Latency // from a change's due time until each subscriber applied it
	Subscriber        SubscriberResult
	Senders           []SenderResult
	Processes         []ProcessResult // of the publisher and relays; empty unless SeparateProcesses
	Faults            []FaultResult
	Coverage          Coverage
	Findings          []Finding
	ConvergenceError  error // why not all subscribers became current after the workload; nil if they did

	propagations  *propagations
	median, worst propagation
	seconds       []secondResult
}

// Failed reports whether the audit found a violation or a subscriber did not become current.
func (r *Result) Failed() bool { return len(r.Findings) > 0 || r.ConvergenceError != nil }

// KindResult summarizes the changes of one kind.
type KindResult struct {
	Published, Failed  int
	PropagationLatency Latency // from a change's due time until all counted subscribers applied it
	Partial            int     // acknowledged changes that some subscriber did not apply individually
}

// SubscriberResult is the cost of one subscriber.
type SubscriberResult struct {
	Counted             int     // subscribers included in latencies: all but those of a region that is cut off
	BytesPerSecond      float64 // received, on average
	MaxBytesInSecond    int     // received by any subscriber in any second
	SentBytesPerSecond  float64 // on average
	SegmentsPerSecond   float64 // both ways, on average
	MaxSegmentsInSecond int     // received by any subscriber in any second
	MessagesPerSecond   float64 // received, on average
	CPU                 float64 // cores: the CPU use of the calling process divided by the number of subscribers
	Memory              int     // bytes of heap and stacks of the calling process, divided likewise
}

// HeaderBytesPerSecond estimates the bytes per second of headers and acknowledgements both ways, assuming one
// acknowledgement per segment.
func (s SubscriberResult) HeaderBytesPerSecond() float64 {
	return 2 * headerBytesPerSegment * s.SegmentsPerSecond
}

// SenderResult is the traffic that a publisher or relay sent.
type SenderResult struct {
	Name             string
	BytesPerSecond   float64
	MaxBytesInSecond int // maximum in any second, to all children
	Limit            int
}

// ProcessResult is the resource usage of a publisher's or relay's process.
type ProcessResult struct {
	Name             string
	CPU              float64 // cores, during the workload
	MaxResidentBytes int     // peak resident memory
}

// FaultResult is the effect of an injected fault.
type FaultResult struct {
	Text               string
	From, To           time.Duration // since the start of the workload
	PropagationLatency Latency       // of purges due between shortly before the fault and some time after its end
	Partial            int
	StaleSubscribers   int           // number that became stale
	LastStale          time.Duration // from the fault's beginning until the last of them became stale
	Recovered          Latency       // from the fault's end until a subscriber had all changes acknowledged by then
	NotRecovered       int           // number of subscribers that never had them
	LastFresh          time.Duration // from the fault's end until the last of them became fresh again
}

// secondResult holds the measurements of one second of the workload.
type secondResult struct {
	worst, median time.Duration // until all subscribers had applied a purge that was due in it
	meanBytes     float64       // received, on average over the subscribers
	maxBytes      float64
}

// result audits the subscribers and computes the results of a run.
func (f *fleet) result(m measurement) *Result {
	audit := newAudit(&f.ledger)
	r := &Result{Options: f.options, SeparateProcesses: len(m.usageAfter) > 0, From: m.from, To: m.to,
		ConvergenceError: m.convergenceErr, propagations: newPropagations(audit)}
	var counted []*history
	for i, subscriber := range f.subscribers {
		findings, coverage := audit.check(i, &subscriber.history)
		r.Findings = append(r.Findings, findings...)
		r.Coverage.add(coverage)
		if f.options.CutSize > 0 && f.placement.inCutRegion(i) {
			continue
		}
		counted = append(counted, &subscriber.history)
		r.propagations.add(&subscriber.history)
	}
	r.Subscriber = f.subscriberResult(m)
	r.Subscriber.Counted = len(counted)
	r.sumLatencies(f, counted)
	r.Senders = f.senderResults(m)
	r.Processes = processResults(m)
	for _, mark := range m.faults {
		r.Faults = append(r.Faults, f.faultResult(r, m, mark))
	}
	r.seconds = f.secondResults(r)
	return r
}

// sumLatencies summarizes the latencies of the counted subscribers.
func (r *Result) sumLatencies(f *fleet, counted []*history) {
	for kind := range kinds {
		kindResult := &r.Kinds[kind]
		kindResult.Published, kindResult.Failed = f.ledger.counts(kind)
		kindResult.PropagationLatency, kindResult.Partial = r.propagations.latency(kind, len(counted), 0, r.To)
	}
	r.DeliveryLatency = r.propagations.delays.summary()
	r.median, r.worst = r.propagations.medianAndWorst(len(counted))
	r.median.collectDelays(counted)
	r.worst.collectDelays(counted)
}

// add adds the counts of another subscriber.
func (c *Coverage) add(other Coverage) {
	c.ByPrefix += other.ByPrefix
	c.ByReset += other.ByReset
	c.Superseded += other.Superseded
}

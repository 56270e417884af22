package feedscale

import (
	"time"
)

// Result is what came of a run.
type Result struct {
	Options           Options
	SeparateProcesses bool          // publisher and relays were processes of their own
	From, To          time.Duration // of the workload, since the run began
	Kinds             [kinds]KindResult
	DeliveryLatency   Latency // of each change at each subscriber
	Subscriber        SubscriberResult
	Senders           []SenderResult
	Processes         []ProcessResult // publisher and relays, where they are processes of their own
	Faults            []FaultResult
	Coverage          Coverage
	Findings          []Finding
	ConvergenceError  error // why not all subscribers became current in the end

	spreads       *spreads
	median, worst spread
	seconds       []secondResult
}

// Failed tells whether a change was lost, repeated, out of order or unknown, or a subscriber did not become current.
func (r *Result) Failed() bool { return len(r.Findings) > 0 || r.ConvergenceError != nil }

// KindResult is what came of the changes of one kind.
type KindResult struct {
	Published, Failed  int
	PropagationLatency Latency // from when a change was due until it was applied by every subscriber that counts
	Partial            int     // acknowledged changes that some subscriber did not apply one by one
}

// SubscriberResult is what one subscriber costs.
type SubscriberResult struct {
	Counted             int     // subscribers that count for latencies: those of a region that is cut off do not
	BytesPerSecond      float64 // received, in the mean of all and of the time
	MaxBytesInSecond    int     // received by any of them in any second
	SentBytesPerSecond  float64 // bytes, in the mean
	SegmentsPerSecond   float64 // both ways, in the mean
	MaxSegmentsInSecond int     // received by any of them in any second
	MessagesPerSecond   float64 // received, in the mean
	CPU                 float64 // part of a core: of this process, divided
	Memory              int     // bytes of heap and stacks of this process, divided
}

// HeaderBytesPerSecond reckons what headers and acknowledgements add both ways, with one acknowledgement for each segment.
func (s SubscriberResult) HeaderBytesPerSecond() float64 {
	return 2 * headerBytes * s.SegmentsPerSecond
}

// SenderResult is what a publisher or relay sent.
type SenderResult struct {
	Name             string
	BytesPerSecond   float64
	MaxBytesInSecond int // in any second, to all children
	Limit            int
}

// ProcessResult is what a process of publisher or relay used.
type ProcessResult struct {
	Name             string
	CPU              float64 // part of a core, during the workload
	MaxResidentBytes int     // bytes, at most
}

// FaultResult is what came of a fault.
type FaultResult struct {
	Text               string
	From, To           time.Duration // since the workload began
	PropagationLatency Latency       // of changes that were due from just before the fault until a while after its end
	Partial            int
	StaleSubscribers   int // subscribers that were told that their knowledge is stale
	LastStale          time.Duration
	Recovered          Latency // from the end until a subscriber had what was published before it
	NotRecovered       int     // subscribers that never had it
	LastFresh          time.Duration
}

// secondResult is what came of a second of the workload.
type secondResult struct {
	worst, median time.Duration // until everywhere, of the changes that were due in it
	meanBytes     float64       // received by a subscriber
	greatestBytes float64
}

// result sums up a run.
func (f *fleet) result(w window) *Result {
	audit := newAudit(&f.ledger)
	r := &Result{Options: f.options, SeparateProcesses: len(w.control) > 0, From: w.from, To: w.to, ConvergenceError: w.unsettled, spreads: newSpreads(audit)}
	var counted []*history
	for i, subscriber := range f.subscribers {
		findings, coverage := audit.check(i, &subscriber.history)
		r.Findings = append(r.Findings, findings...)
		r.Coverage.add(coverage)
		if f.options.CutSize > 0 && f.placement.inCutRegion(i) {
			continue
		}
		counted = append(counted, &subscriber.history)
		r.spreads.add(&subscriber.history)
	}
	r.Subscriber = f.subscriberResult(w)
	r.Subscriber.Counted = len(counted)
	r.sumLatencies(f, counted)
	r.Senders = f.senderResults(w)
	r.Processes = processResults(w)
	for _, mark := range w.marks {
		r.Faults = append(r.Faults, f.faultResult(r, w, mark))
	}
	r.seconds = f.secondResults(r)
	return r
}

func (r *Result) sumLatencies(f *fleet, counted []*history) {
	for kind := range kinds {
		of := &r.Kinds[kind]
		of.Published, of.Failed = f.ledger.counts(kind)
		of.PropagationLatency, of.Partial = r.spreads.everywhere(kind, len(counted), 0, r.To)
	}
	r.DeliveryLatency = r.spreads.each.sum()
	r.median, r.worst = r.spreads.medianAndWorst(len(counted))
	r.median.follow(counted)
	r.worst.follow(counted)
}

func (c *Coverage) add(other Coverage) {
	c.ByPrefix += other.ByPrefix
	c.ByReset += other.ByReset
	c.Superseded += other.Superseded
}

package trial

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result is the result of running a plan. Scripts read its JSON, so the names there stay even where those of the fields
// differ.
type Result struct {
	Plan          string           `json:"plan"`
	Name          string           `json:"name"`
	Violations    []Violation      `json:"breaks"`
	ClusterErrors []string         `json:"ground"` // failures of the cluster itself
	Injected      []string         `json:"struck"` // faults in the order of injection
	Categories    []CategoryResult `json:"categories"`
	Seconds       []SecondResult   `json:"seconds"`
	Pushes        map[string]int   `json:"pushes"`  // by host
	SendDelayP99  float64          `json:"late_ms"` // 99th percentile of the delay between schedule and sending, in ms
	FaultSpans    []FaultSpan      `json:"marks"`

	History *History             `json:"-"`
	Logs    map[string][]LogLine `json:"-"` // by balancer
}

// CategoryResult sums up the ops of one category.
type CategoryResult struct {
	Name     string          `json:"name"`
	Ops      int             `json:"asked"`
	InTime   int             `json:"in_time"`
	Outcomes map[Outcome]int `json:"answers"`
	P50      float64         `json:"p50_ms"` // latencies of acked ops, from the time at which they were scheduled
	P99      float64         `json:"p99_ms"`
	P999     float64         `json:"p999_ms"`
}

// SecondResult sums up the ops that were scheduled in one second.
type SecondResult struct {
	Ops    int     `json:"asked"`
	InTime int     `json:"in_time"`
	Nacked int     `json:"nacked"`
	P50    float64 `json:"p50_ms"`
	P99    float64 `json:"p99_ms"`
}

// FaultSpan is the time of a fault, in seconds since the start of the load.
type FaultSpan struct {
	From float64 `json:"from_s"`
	To   float64 `json:"to_s"`
	Text string  `json:"text"`
}

// InTimeShare returns the share of ops that were acked within their target latency, from 0 to 1.
func (r *Result) InTimeShare() float64 {
	ops, inTime := 0, 0
	for _, g := range r.Categories {
		ops, inTime = ops+g.Ops, inTime+g.InTime
	}
	if ops == 0 {
		return 0
	}
	return float64(inTime) / float64(ops)
}

// Failed reports whether any rule was violated.
func (r *Result) Failed() bool { return len(r.Violations) > 0 }

// BrokenRules returns the names of the violated rules, each once.
func (r *Result) BrokenRules() (all []string) {
	for _, v := range r.Violations {
		if !slices.Contains(all, v.Rule) {
			all = append(all, v.Rule)
		}
	}
	return all
}

// minTolerance is allowed for scheduling delays in times measured across processes.
const minTolerance = 100 * time.Millisecond

// tolerance returns how much the plan's links and the machine may delay what a balancer sends.
func (p Plan) tolerance() time.Duration {
	longest := minTolerance
	for _, fault := range p.Faults {
		by, err := fault.Magnitude.number()
		switch {
		case err != nil:
		case fault.Kind == "delay":
			longest = max(longest, minTolerance+time.Duration(by*2*float64(time.Millisecond)))
		case fault.Kind == "rate": // data ahead on the same connection goes first
			longest = max(longest, minTolerance+time.Duration(float64(chunkSize)/by*float64(time.Second)))
		}
	}
	return longest
}

// buildResult checks the rules and collects the result of a plan.
func (c *Cluster) buildResult(loadStart time.Duration, l *loadGenerator) *Result {
	history := &History{Calls: l.calls, Pushes: c.fleet.ReceivedPushes(), Lists: c.fleet.SentLists(),
		Bans: c.bans, Tolerance: c.plan.tolerance()}
	r := &Result{Plan: c.plan.String(), Name: c.plan.Name, Injected: c.injected, Pushes: map[string]int{}, History: history,
		Logs: map[string][]LogLine{}}
	for i, p := range c.processes {
		history.Balancers = append(history.Balancers, BalancerRecord{p.Name, c.addresses.sourceIP(i), p.Outages(), p.Crash()})
		r.Logs[p.Name] = p.Log()
	}
	for _, err := range c.errs {
		r.ClusterErrors = append(r.ClusterErrors, err.Error())
	}
	for _, push := range history.Pushes {
		r.Pushes[push.Host]++
	}
	for _, fault := range c.plan.sortedFaults() {
		r.FaultSpans = append(r.FaultSpans, FaultSpan{fault.At.d().Seconds(),
			(fault.At + fault.Duration).d().Seconds(), fault.String()})
	}
	r.SendDelayP99 = float64(l.sendDelays.ValueAtQuantile(99)) / 1000
	r.Violations = history.Check()
	r.aggregate(loadStart, c.plan.Load.Duration.d())
	return r
}

// aggregate sums up ops by category and by second.
func (r *Result) aggregate(loadStart, length time.Duration) {
	type accumulator struct {
		CategoryResult
		latencies *hdrhistogram.Histogram
	}
	categories := map[string]*accumulator{}
	seconds := make([]SecondResult, int((length+time.Second-1)/time.Second))
	latencies := make([]*hdrhistogram.Histogram, len(seconds))
	for _, c := range r.History.Calls {
		if c.ClosedInTransit {
			continue
		}
		s := categories[c.Category]
		if s == nil {
			s = &accumulator{CategoryResult{Name: c.Category, Outcomes: map[Outcome]int{}}, newHistogram()}
			categories[c.Category] = s
		}
		at := min(int((c.Due-loadStart)/time.Second), len(seconds)-1)
		if latencies[at] == nil {
			latencies[at] = newHistogram()
		}
		latency, second := c.Done-c.Due, &seconds[at]
		s.Ops++
		second.Ops++
		s.Outcomes[c.Outcome]++
		if c.Outcome == Nacked {
			second.Nacked++
		}
		if c.Outcome != Acked {
			continue
		}
		s.latencies.RecordValue(latency.Microseconds())
		latencies[at].RecordValue(latency.Microseconds())
		if latency <= targetLatency {
			s.InTime++
			second.InTime++
		}
	}
	ms := func(h *hdrhistogram.Histogram, q float64) float64 {
		if h == nil {
			return 0
		}
		return float64(h.ValueAtQuantile(q)) / 1000
	}
	for _, name := range []string{"read", "put", "once"} {
		if s := categories[name]; s != nil {
			s.P50, s.P99, s.P999 = ms(s.latencies, 50), ms(s.latencies, 99), ms(s.latencies, 99.9)
			r.Categories = append(r.Categories, s.CategoryResult)
		}
	}
	for i := range seconds {
		seconds[i].P50, seconds[i].P99 = ms(latencies[i], 50), ms(latencies[i], 99)
	}
	r.Seconds = seconds
}

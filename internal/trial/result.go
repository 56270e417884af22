package trial

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result is what came of a plan. Its names in JSON stay as they were before fields were
// renamed, for scripts that read them.
type Result struct {
	Plan          string           `json:"plan"`
	Name          string           `json:"name"`
	Violations    []Violation      `json:"breaks"`
	ClusterErrors []string         `json:"ground"` // what the cluster itself could not do
	Injected      []string         `json:"struck"` // faults, in the order of their injection
	Categories    []CategoryResult `json:"categories"`
	Seconds       []SecondResult   `json:"seconds"`
	Pushes        map[string]int   `json:"pushes"`  // by host
	SendDelayP99  float64          `json:"late_ms"` // 99 in 100 ops were sent no later than this behind their time
	FaultSpans    []FaultSpan      `json:"marks"`

	History *History             `json:"-"`
	Logs    map[string][]LogLine `json:"-"` // by balancer
}

// CategoryResult is what came of a category's ops.
type CategoryResult struct {
	Name     string          `json:"name"`
	Ops      int             `json:"asked"`
	InTime   int             `json:"in_time"`
	Outcomes map[Outcome]int `json:"answers"`
	P50      float64         `json:"p50_ms"` // of acked ops, from when they were due
	P99      float64         `json:"p99_ms"`
	P999     float64         `json:"p999_ms"`
}

// SecondResult is what came of the ops that were due in one.
type SecondResult struct {
	Ops    int     `json:"asked"`
	InTime int     `json:"in_time"`
	Nacked int     `json:"nacked"`
	P50    float64 `json:"p50_ms"`
	P99    float64 `json:"p99_ms"`
}

// FaultSpan is a fault on the time line.
type FaultSpan struct {
	From float64 `json:"from_s"`
	To   float64 `json:"to_s"`
	Text string  `json:"text"`
}

// InTimeShare is the part of all ops that were acked within their target latency.
func (r *Result) InTimeShare() float64 {
	asked, in := 0, 0
	for _, g := range r.Categories {
		asked, in = asked+g.Ops, in+g.InTime
	}
	if asked == 0 {
		return 0
	}
	return float64(in) / float64(asked)
}

// Failed tells whether a rule was broken.
func (r *Result) Failed() bool { return len(r.Violations) > 0 }

// BrokenRules are the names of the rules that were broken.
func (r *Result) BrokenRules() (all []string) {
	for _, b := range r.Violations {
		if !slices.Contains(all, b.Rule) {
			all = append(all, b.Rule)
		}
	}
	return all
}

// slackLeast is what a busy machine may add to any time that is measured across processes.
const slackLeast = 100 * time.Millisecond

// slack is by how much links may make what a balancer sends later.
func (p Plan) slack() time.Duration {
	most := slackLeast
	for _, x := range p.Faults {
		by, err := x.Magnitude.number()
		switch {
		case err != nil:
		case x.Kind == "delay":
			most = max(most, slackLeast+time.Duration(by*2*float64(time.Millisecond)))
		case x.Kind == "rate": // what stands before it on its connection goes first
			most = max(most, slackLeast+time.Duration(float64(pieceSize)/by*float64(time.Second)))
		}
	}
	return most
}

// result looks at what came of the plan.
func (c *Cluster) result(began time.Duration, l *load) *Result {
	rec := &History{Calls: l.calls, Pushes: c.fleet.ReceivedPushes(), Lists: c.fleet.SentLists(), Bans: c.bans, Tolerance: c.plan.slack()}
	r := &Result{Plan: c.plan.String(), Name: c.plan.Name, Injected: c.injected, Pushes: map[string]int{}, History: rec,
		Logs: map[string][]LogLine{}}
	for i, p := range c.processes {
		rec.Balancers = append(rec.Balancers, BalancerRecord{p.Name, c.at.source(i), p.Outages(), p.Crash()})
		r.Logs[p.Name] = p.Log()
	}
	for _, err := range c.broken {
		r.ClusterErrors = append(r.ClusterErrors, err.Error())
	}
	for _, x := range rec.Pushes {
		r.Pushes[x.Host]++
	}
	for _, x := range c.plan.ordered() {
		r.FaultSpans = append(r.FaultSpans, FaultSpan{x.At.d().Seconds(), (x.At + x.Duration).d().Seconds(), x.String()})
	}
	r.SendDelayP99 = float64(l.late.ValueAtQuantile(99)) / 1000
	r.Violations = rec.Check()
	r.count(began, c.plan.Load.Duration.d())
	return r
}

// count sums ops up by category and by second.
func (r *Result) count(began, length time.Duration) {
	type sums struct {
		CategoryResult
		took *hdrhistogram.Histogram
	}
	groups := map[string]*sums{}
	seconds := make([]SecondResult, int((length+time.Second-1)/time.Second))
	tooks := make([]*hdrhistogram.Histogram, len(seconds))
	for _, c := range r.History.Calls {
		if c.ClosedInTransit {
			continue
		}
		s := groups[c.Category]
		if s == nil {
			s = &sums{CategoryResult{Name: c.Category, Outcomes: map[Outcome]int{}}, histogram()}
			groups[c.Category] = s
		}
		at := min(int((c.Due-began)/time.Second), len(seconds)-1)
		if tooks[at] == nil {
			tooks[at] = histogram()
		}
		took, second := c.Done-c.Due, &seconds[at]
		s.Ops++
		second.Ops++
		s.Outcomes[c.Outcome]++
		if c.Outcome == Nacked {
			second.Nacked++
		}
		if c.Outcome != Acked {
			continue
		}
		s.took.RecordValue(took.Microseconds())
		tooks[at].RecordValue(took.Microseconds())
		if took <= target {
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
		if s := groups[name]; s != nil {
			s.P50, s.P99, s.P999 = ms(s.took, 50), ms(s.took, 99), ms(s.took, 99.9)
			r.Categories = append(r.Categories, s.CategoryResult)
		}
	}
	for i := range seconds {
		seconds[i].P50, seconds[i].P99 = ms(tooks[i], 50), ms(tooks[i], 99)
	}
	r.Seconds = seconds
}

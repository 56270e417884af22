package scale

import (
	"fmt"
	"strconv"
	"sync"
	"time"
)

// Scenario is one simulation of decisions: so many balancers share the whole load of the hosts evenly.
type Scenario struct {
	Name            string  `json:"name"`
	Balancers       int     `json:"balancers"`
	Hosts           int     `json:"hosts"`
	PopularShare    float64 `json:"popular"`       // part of the requests that are for one key
	SlowEvery       int     `json:"slow_every"`    // one host in so many is slow; none for 0
	ColdHost        bool    `json:"cold_host"`     // one host starts anew as the measured time begins
	OriginSlowdown  float64 `json:"origin_slower"` // factor by which the origin slows as the measured time begins
	SingleBalancer  bool    `json:"alone"`         // each balancer is told that it is the only one
	LoadReports     bool    `json:"reports"`       // hosts tell how busy they are
	AllowDuplicates bool    `json:"duplicates"`    // second copies are allowed
	MaxConnections  int     `json:"table"`         // connections that a host takes; all for 0
	NoLearnedState  bool    `json:"started"`       // the balancers have just started, and have learned nothing
	WarmUpMS        float64 `json:"warm_up_ms"`
	MeasuredMS      float64 `json:"measured_ms"`
}

// DecisionsRow is what came of one scenario, in its measured time.
type DecisionsRow struct {
	Scenario            Scenario `json:"scenario"`
	MeanInFlight        float64  `json:"in_flight"`          // mean of a host
	MaxInFlightRatio    float64  `json:"greatest_in_flight"` // of the host that has most, against the mean
	PeakInFlight        int      `json:"highest"`            // most at one host at one time
	MaxRateRatio        float64  `json:"greatest_rate"`      // of the host that is sent most, against the mean
	FirstHostRateRatio  float64  `json:"first_host_rate"`    // of the first host, which is the slow or the cold one, against the mean
	OriginInFlight      float64  `json:"origin_in_flight"`
	ServedShare         float64  `json:"served"` // part of the requests
	NackedShare         float64  `json:"nacked"`
	PushesPerRequest    float64  `json:"pushes"` // for each request
	RefusedPerRequest   float64  `json:"refused"`
	MedianMS            float64  `json:"median_ms"`
	P99MS               float64  `json:"p99_ms"`
	ElapsedUSPerRequest float64  `json:"cost_us"` // elapsed time of the simulation for each request, all of it included
}

// DecisionsResult is what came of all scenarios.
type DecisionsResult struct {
	Rows []DecisionsRow `json:"rows"`
}

// Scenarios are the ordinary ones for each number of balancers, and what is varied at the greatest number.
func Scenarios(balancers []int, hosts int, warmUp, measured float64) []Scenario {
	kinds := []Scenario{
		{Name: "even"},
		{Name: "popular key 0.1%", PopularShare: 0.001},
		{Name: "popular key 1%", PopularShare: 0.01},
		{Name: "popular key 5%", PopularShare: 0.05},
		{Name: "slow hosts, 1 in 20", SlowEvery: 20},
		{Name: "cold host", ColdHost: true},
		{Name: "origin 8 times slower", OriginSlowdown: 8},
	}
	variants := []Scenario{
		{Name: "popular key 1%, told alone", PopularShare: 0.01, SingleBalancer: true},
		{Name: "popular key 1%, reports", PopularShare: 0.01, LoadReports: true},
		{Name: "popular key 1%, second copies", PopularShare: 0.01, AllowDuplicates: true},
		{Name: "popular key 1%, second copies, reports", PopularShare: 0.01, AllowDuplicates: true, LoadReports: true},
		{Name: "popular key 5%, second copies, reports", PopularShare: 0.05, AllowDuplicates: true, LoadReports: true},
		{Name: "popular key 1%, tables of 1,000", PopularShare: 0.01, MaxConnections: 1000},
		{Name: "all balancers just started", NoLearnedState: true},
		{Name: "slow hosts, told alone", SlowEvery: 20, SingleBalancer: true},
		{Name: "slow hosts, second copies, reports", SlowEvery: 20, AllowDuplicates: true, LoadReports: true},
	}
	var all []Scenario
	for _, kind := range kinds {
		for _, n := range balancers {
			all = append(all, kind.sized(n, hosts, warmUp, measured))
		}
	}
	for _, variant := range variants {
		all = append(all, variant.sized(balancers[len(balancers)-1], hosts, warmUp, measured))
	}
	return all
}

func (s Scenario) sized(balancers, hosts int, warmUp, measured float64) Scenario {
	s.Balancers, s.Hosts, s.WarmUpMS, s.MeasuredMS = balancers, hosts, warmUp, measured
	return s
}

// MeasureDecisions plays scenarios, so many at once.
func MeasureDecisions(scenarios []Scenario, atOnce int) (*DecisionsResult, error) {
	result := &DecisionsResult{Rows: make([]DecisionsRow, len(scenarios))}
	errs := make([]error, len(scenarios))
	var all sync.WaitGroup
	places := make(chan struct{}, atOnce)
	for k, scenario := range scenarios {
		places <- struct{}{}
		all.Go(func() {
			result.Rows[k], errs[k] = measureDecisions(scenario)
			<-places
		})
	}
	all.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	return result, nil
}

func measureDecisions(s Scenario) (DecisionsRow, error) {
	x, err := newSimulation(s)
	if err != nil {
		return DecisionsRow{}, err
	}
	began := time.Now()
	x.run()
	return x.row(time.Since(began)), nil
}

// row sums up the measured time.
func (x *simulation) row(took time.Duration) DecisionsRow {
	row := DecisionsRow{Scenario: x.scenario}
	hosts := x.servers[:x.origin()]
	load, came := 0.0, 0
	for _, s := range hosts {
		load += s.load / float64(x.samples)
		came += s.came
	}
	row.MeanInFlight = load / float64(len(hosts))
	meanRate := float64(came) / float64(len(hosts))
	for _, s := range hosts {
		row.MaxInFlightRatio = max(row.MaxInFlightRatio, s.load/float64(x.samples)/row.MeanInFlight)
		row.MaxRateRatio = max(row.MaxRateRatio, float64(s.came)/meanRate)
		row.PeakInFlight = max(row.PeakInFlight, s.highest)
	}
	row.FirstHostRateRatio = float64(hosts[0].came) / meanRate
	row.OriginInFlight = x.servers[x.origin()].load / float64(x.samples)
	arrived := float64(x.figures.arrived)
	row.ServedShare = float64(x.figures.served) / arrived
	row.NackedShare = float64(x.figures.nacked) / arrived
	row.PushesPerRequest = float64(x.figures.pushes) / arrived
	row.RefusedPerRequest = float64(x.figures.refused) / arrived
	row.MedianMS = float64(x.latencies.ValueAtQuantile(50)) / 1000
	row.P99MS = float64(x.latencies.ValueAtQuantile(99)) / 1000
	row.ElapsedUSPerRequest = float64(took.Microseconds()) / arrived * x.scenario.MeasuredMS / (x.scenario.WarmUpMS + x.scenario.MeasuredMS)
	return row
}

// Tables implements Result.
func (r *DecisionsResult) Tables() []Table {
	table := Table{Title: "Decisions: the same whole load over the same hosts, shared by so many balancers",
		Columns: []string{"scenario", "balancers", "in flight a host", "greatest", "peak", "greatest rate", "first host's rate",
			"origin in flight", "served", "nacked", "pushes", "refused", "p50 ms", "p99 ms", "µs an op"},
		Notes: []string{"Greatest and rates are against the mean of the hosts; the first host is the slow or the cold one where there is one."}}
	for _, row := range r.Rows {
		table.Rows = append(table.Rows, []string{row.Scenario.Name, strconv.Itoa(row.Scenario.Balancers), fmt.Sprintf("%.0f", row.MeanInFlight),
			fmt.Sprintf("%.2f", row.MaxInFlightRatio), strconv.Itoa(row.PeakInFlight), fmt.Sprintf("%.2f", row.MaxRateRatio),
			fmt.Sprintf("%.2f", row.FirstHostRateRatio), fmt.Sprintf("%.0f", row.OriginInFlight), fmt.Sprintf("%.4f", row.ServedShare),
			fmt.Sprintf("%.4f", row.NackedShare), fmt.Sprintf("%.3f", row.PushesPerRequest), fmt.Sprintf("%.4f", row.RefusedPerRequest),
			fmt.Sprintf("%.1f", row.MedianMS), fmt.Sprintf("%.1f", row.P99MS), fmt.Sprintf("%.1f", row.ElapsedUSPerRequest)})
	}
	return []Table{table}
}

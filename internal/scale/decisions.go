package scale

import (
	"fmt"
	"strconv"
	"sync"
	"time"
)

// Scenario describes one simulation of routing decisions: Balancers evenly share a load that is proportional to
// Hosts. Times are in milliseconds of simulated time.
type Scenario struct {
	Name            string  `json:"name"`
	Balancers       int     `json:"balancers"`
	Hosts           int     `json:"hosts"`
	PopularShare    float64 `json:"popular"`       // share of the requests that read one popular key
	SlowEvery       int     `json:"slow_every"`    // one host in this many is slow; 0 means none
	ColdHost        bool    `json:"cold_host"`     // one host restarts as the measurement begins
	OriginSlowdown  float64 `json:"origin_slower"` // factor by which the origin slows down as the measurement begins
	SingleBalancer  bool    `json:"alone"`         // each balancer is configured with a group size of 1
	LoadReports     bool    `json:"reports"`       // hosts report their load
	AllowDuplicates bool    `json:"duplicates"`    // balancers may hedge an op with a second push in parallel
	MaxConnections  int     `json:"table"`         // connection limit of a host; 0 means unlimited
	NoLearnedState  bool    `json:"started"`       // balancers start without learned state
	WarmUpMS        float64 `json:"warm_up_ms"`
	MeasuredMS      float64 `json:"measured_ms"`
}

// DecisionsRow holds the result of one scenario over its measured time. Ratios are relative to the mean of the hosts,
// shares relative to the number of requests.
type DecisionsRow struct {
	Scenario            Scenario `json:"scenario"`
	MeanInFlight        float64  `json:"in_flight"`          // mean requests in flight per host
	MaxInFlightRatio    float64  `json:"greatest_in_flight"` // of the host with the most requests in flight
	PeakInFlight        int      `json:"highest"`            // highest number of requests in flight at one host
	MaxRateRatio        float64  `json:"greatest_rate"`      // of the host with the highest push rate
	FirstHostRateRatio  float64  `json:"first_host_rate"`    // of the first host, which is the slow or the cold one
	OriginInFlight      float64  `json:"origin_in_flight"`
	ServedShare         float64  `json:"served"`
	NackedShare         float64  `json:"nacked"`
	PushesPerRequest    float64  `json:"pushes"`
	RefusedPerRequest   float64  `json:"refused"`
	MedianMS            float64  `json:"median_ms"`
	P99MS               float64  `json:"p99_ms"`
	ElapsedUSPerRequest float64  `json:"cost_us"` // wall-clock time of the simulation per request, in microseconds
}

// DecisionsResult holds the results of all scenarios, in their order.
type DecisionsResult struct {
	Rows []DecisionsRow `json:"rows"`
}

// Scenarios returns the base scenarios for each number of balancers, and the variants for the last number only. balancers
// must not be empty; warmUp and measured are in milliseconds.
func Scenarios(balancers []int, hosts int, warmUp, measured float64) []Scenario {
	baseScenarios := []Scenario{
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
	var scenarios []Scenario
	for _, base := range baseScenarios {
		for _, n := range balancers {
			scenarios = append(scenarios, base.withSize(n, hosts, warmUp, measured))
		}
	}
	for _, variant := range variants {
		scenarios = append(scenarios, variant.withSize(balancers[len(balancers)-1], hosts, warmUp, measured))
	}
	return scenarios
}

// withSize returns a copy of the scenario with the given size and times.
func (s Scenario) withSize(balancers, hosts int, warmUp, measured float64) Scenario {
	s.Balancers, s.Hosts, s.WarmUpMS, s.MeasuredMS = balancers, hosts, warmUp, measured
	return s
}

// MeasureDecisions runs the scenarios, at most maxConcurrent at a time, and returns an error if one cannot be set up.
func MeasureDecisions(scenarios []Scenario, maxConcurrent int) (*DecisionsResult, error) {
	result := &DecisionsResult{Rows: make([]DecisionsRow, len(scenarios))}
	errs := make([]error, len(scenarios))
	var pending sync.WaitGroup
	semaphore := make(chan struct{}, maxConcurrent)
	for i, scenario := range scenarios {
		semaphore <- struct{}{}
		pending.Go(func() {
			result.Rows[i], errs[i] = runScenario(scenario)
			<-semaphore
		})
	}
	pending.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	return result, nil
}

// runScenario simulates one scenario and returns its result. It returns an error if the settings are invalid.
func runScenario(s Scenario) (DecisionsRow, error) {
	sim, err := newSimulation(s)
	if err != nil {
		return DecisionsRow{}, err
	}
	startedAt := time.Now()
	sim.run()
	return sim.summarize(time.Since(startedAt)), nil
}

// summarize computes the result of the measured time; elapsed is the wall-clock time of the whole run.
func (sim *simulation) summarize(elapsed time.Duration) DecisionsRow {
	row := DecisionsRow{Scenario: sim.scenario}
	hosts := sim.servers[:sim.originIndex()]
	load, received := 0.0, 0
	for _, s := range hosts {
		load += s.outstandingSum / float64(sim.samples)
		received += s.received
	}
	row.MeanInFlight = load / float64(len(hosts))
	meanRate := float64(received) / float64(len(hosts))
	for _, s := range hosts {
		row.MaxInFlightRatio = max(row.MaxInFlightRatio, s.outstandingSum/float64(sim.samples)/row.MeanInFlight)
		row.MaxRateRatio = max(row.MaxRateRatio, float64(s.received)/meanRate)
		row.PeakInFlight = max(row.PeakInFlight, s.peakOutstanding)
	}
	row.FirstHostRateRatio = float64(hosts[0].received) / meanRate
	row.OriginInFlight = sim.servers[sim.originIndex()].outstandingSum / float64(sim.samples)
	arrived := float64(sim.counts.arrived)
	row.ServedShare = float64(sim.counts.served) / arrived
	row.NackedShare = float64(sim.counts.nacked) / arrived
	row.PushesPerRequest = float64(sim.counts.pushes) / arrived
	row.RefusedPerRequest = float64(sim.counts.refused) / arrived
	row.MedianMS = float64(sim.latencies.ValueAtQuantile(50)) / 1000
	row.P99MS = float64(sim.latencies.ValueAtQuantile(99)) / 1000
	row.ElapsedUSPerRequest = float64(elapsed.Microseconds()) / arrived * sim.scenario.MeasuredMS /
		(sim.scenario.WarmUpMS + sim.scenario.MeasuredMS)
	return row
}

// Tables implements Result.
func (r *DecisionsResult) Tables() []Table {
	table := Table{Title: "Decisions: the same total load on the same hosts, shared by different numbers of balancers",
		Columns: []string{"scenario", "balancers", "in flight a host", "greatest", "peak", "greatest rate", "first host's rate",
			"origin in flight", "served", "nacked", "pushes", "refused", "p50 ms", "p99 ms", "µs an op"},
		Notes: []string{"Greatest and rates are relative to the hosts' mean; the first host is the slow or the cold one, if any."}}
	for _, row := range r.Rows {
		table.Rows = append(table.Rows, []string{row.Scenario.Name, strconv.Itoa(row.Scenario.Balancers),
			fmt.Sprintf("%.0f", row.MeanInFlight), fmt.Sprintf("%.2f", row.MaxInFlightRatio),
			strconv.Itoa(row.PeakInFlight), fmt.Sprintf("%.2f", row.MaxRateRatio),
			fmt.Sprintf("%.2f", row.FirstHostRateRatio), fmt.Sprintf("%.0f", row.OriginInFlight), fmt.Sprintf("%.4f", row.ServedShare),
			fmt.Sprintf("%.4f", row.NackedShare), fmt.Sprintf("%.3f", row.PushesPerRequest), fmt.Sprintf("%.4f", row.RefusedPerRequest),
			fmt.Sprintf("%.1f", row.MedianMS), fmt.Sprintf("%.1f", row.P99MS), fmt.Sprintf("%.1f", row.ElapsedUSPerRequest)})
	}
	return []Table{table}
}

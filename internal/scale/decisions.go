package scale

import (
	"fmt"
	"strconv"
	"sync"
	"time"
)

// Scenario is one simulation of decisions: so many balancers share the whole load of the hosts evenly.
type Scenario struct {
	Name         string  `json:"name"`
	Balancers    int     `json:"balancers"`
	Hosts        int     `json:"hosts"`
	Popular      float64 `json:"popular"`       // part of the requests that are for one key
	SlowEvery    int     `json:"slow_every"`    // one host in so many is slow; none for 0
	ColdHost     bool    `json:"cold_host"`     // one host starts anew as the measured time begins
	OriginSlower float64 `json:"origin_slower"` // factor by which the origin slows as the measured time begins
	Alone        bool    `json:"alone"`         // each balancer is told that it is the only one
	Reports      bool    `json:"reports"`       // hosts tell how busy they are
	Duplicates   bool    `json:"duplicates"`    // second copies are allowed
	Table        int     `json:"table"`         // connections that a host takes; all for 0
	Started      bool    `json:"started"`       // the balancers have just started, and have learned nothing
	WarmUp       float64 `json:"warm_up_ms"`
	Measured     float64 `json:"measured_ms"`
}

// DecisionsRow is what came of one scenario, in its measured time.
type DecisionsRow struct {
	Scenario     Scenario `json:"scenario"`
	Load         float64  `json:"in_flight"`          // mean of a host
	GreatestLoad float64  `json:"greatest_in_flight"` // of the host that has most, against the mean
	Highest      int      `json:"highest"`            // most at one host at one time
	GreatestRate float64  `json:"greatest_rate"`      // of the host that is sent most, against the mean
	FirstRate    float64  `json:"first_host_rate"`    // of the first host, which is the slow or the cold one, against the mean
	OriginLoad   float64  `json:"origin_in_flight"`
	Served       float64  `json:"served"` // part of the requests
	Nacked       float64  `json:"nacked"`
	Pushes       float64  `json:"pushes"` // for each request
	Refused      float64  `json:"refused"`
	MedianMS     float64  `json:"median_ms"`
	TailMS       float64  `json:"p99_ms"`
	CostUS       float64  `json:"cost_us"` // elapsed time of the simulation for each request, all of it included
}

// DecisionsResult is what came of all scenarios.
type DecisionsResult struct {
	Rows []DecisionsRow `json:"rows"`
}

// Scenarios are the ordinary ones for each number of balancers, and what is varied at the greatest number.
func Scenarios(balancers []int, hosts int, warmUp, measured float64) []Scenario {
	kinds := []Scenario{
		{Name: "even"},
		{Name: "popular key 0.1%", Popular: 0.001},
		{Name: "popular key 1%", Popular: 0.01},
		{Name: "popular key 5%", Popular: 0.05},
		{Name: "slow hosts, 1 in 20", SlowEvery: 20},
		{Name: "cold host", ColdHost: true},
		{Name: "origin 8 times slower", OriginSlower: 8},
	}
	variants := []Scenario{
		{Name: "popular key 1%, told alone", Popular: 0.01, Alone: true},
		{Name: "popular key 1%, reports", Popular: 0.01, Reports: true},
		{Name: "popular key 1%, second copies", Popular: 0.01, Duplicates: true},
		{Name: "popular key 1%, second copies, reports", Popular: 0.01, Duplicates: true, Reports: true},
		{Name: "popular key 5%, second copies, reports", Popular: 0.05, Duplicates: true, Reports: true},
		{Name: "popular key 1%, tables of 1,000", Popular: 0.01, Table: 1000},
		{Name: "all balancers just started", Started: true},
		{Name: "slow hosts, told alone", SlowEvery: 20, Alone: true},
		{Name: "slow hosts, second copies, reports", SlowEvery: 20, Duplicates: true, Reports: true},
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
	s.Balancers, s.Hosts, s.WarmUp, s.Measured = balancers, hosts, warmUp, measured
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
	row.Load = load / float64(len(hosts))
	meanRate := float64(came) / float64(len(hosts))
	for _, s := range hosts {
		row.GreatestLoad = max(row.GreatestLoad, s.load/float64(x.samples)/row.Load)
		row.GreatestRate = max(row.GreatestRate, float64(s.came)/meanRate)
		row.Highest = max(row.Highest, s.highest)
	}
	row.FirstRate = float64(hosts[0].came) / meanRate
	row.OriginLoad = x.servers[x.origin()].load / float64(x.samples)
	arrived := float64(x.figures.arrived)
	row.Served = float64(x.figures.served) / arrived
	row.Nacked = float64(x.figures.nacked) / arrived
	row.Pushes = float64(x.figures.pushes) / arrived
	row.Refused = float64(x.figures.refused) / arrived
	row.MedianMS = float64(x.latencies.ValueAtQuantile(50)) / 1000
	row.TailMS = float64(x.latencies.ValueAtQuantile(99)) / 1000
	row.CostUS = float64(took.Microseconds()) / arrived * x.scenario.Measured / (x.scenario.WarmUp + x.scenario.Measured)
	return row
}

// Tables implements Result.
func (r *DecisionsResult) Tables() []Table {
	table := Table{Title: "Decisions: the same whole load over the same hosts, shared by so many balancers",
		Columns: []string{"scenario", "balancers", "in flight a host", "greatest", "peak", "greatest rate", "first host's rate",
			"origin in flight", "served", "nacked", "pushes", "refused", "p50 ms", "p99 ms", "µs an op"},
		Notes: []string{"Greatest and rates are against the mean of the hosts; the first host is the slow or the cold one where there is one."}}
	for _, row := range r.Rows {
		table.Rows = append(table.Rows, []string{row.Scenario.Name, strconv.Itoa(row.Scenario.Balancers), fmt.Sprintf("%.0f", row.Load),
			fmt.Sprintf("%.2f", row.GreatestLoad), strconv.Itoa(row.Highest), fmt.Sprintf("%.2f", row.GreatestRate),
			fmt.Sprintf("%.2f", row.FirstRate), fmt.Sprintf("%.0f", row.OriginLoad), fmt.Sprintf("%.4f", row.Served),
			fmt.Sprintf("%.4f", row.Nacked), fmt.Sprintf("%.3f", row.Pushes), fmt.Sprintf("%.4f", row.Refused),
			fmt.Sprintf("%.1f", row.MedianMS), fmt.Sprintf("%.1f", row.TailMS), fmt.Sprintf("%.1f", row.CostUS)})
	}
	return []Table{table}
}

package scale

import (
	"errors"
	"fmt"
	"net/netip"
	"strconv"
	"time"

	"larchthread/internal/protocol"
	"larchthread/internal/standin"
)

const (
	settleFor   = 500 * time.Millisecond // until the first calls of all balancers are over
	awaitLimit  = 30 * time.Second
	changePause = 300 * time.Millisecond // between the changes of one replacement
	zoneHosts   = (TargetHosts + TargetZones - 1) / TargetZones
)

// WatchConfig is what is measured of the watch.
type WatchConfig struct {
	Hosts          int
	IdleDuration   time.Duration // how long the idle watch is measured
	OutageDuration time.Duration // how long discovery is away
	Program        string        // the real balancer to compare with; none if empty
	Env            []string      // of that process
}

// WatchRow is the cost of the watch for one number of balancers.
type WatchRow struct {
	Balancers       int     `json:"balancers"`
	StartBytes      float64 `json:"start_bytes"` // a balancer, with the whole list
	StartMS         float64 `json:"start_ms"`    // until all have it
	IdleCalls       float64 `json:"idle_calls"`  // a second, at discovery
	IdleBytes       float64 `json:"idle_bytes"`  // a second, both ways, at discovery
	IdleCores       float64 `json:"idle_cpu"`    // cores, balancers and discovery together
	ReplaceCalls    float64 `json:"replace_calls"`
	ReplaceBytes    float64 `json:"replace_bytes"` // of one replacement, beyond idle, at discovery
	MaxReplaceMS    float64 `json:"replace_ms"`    // the longest of its changes to reach all
	ZoneReturnBytes float64 `json:"zone_bytes"`    // of a zone's return, beyond idle
	ZoneReturnMS    float64 `json:"zone_ms"`
	ReconnectCalls  int64   `json:"storm_calls"` // in the second after discovery is back
	ReconnectBytes  int64   `json:"storm_bytes"`
	ReconnectMS     float64 `json:"storm_ms"` // until all have the current list
	RealCalls       float64 `json:"real_calls"`
	RealBytes       float64 `json:"real_bytes"`
	RealCores       float64 `json:"real_cpu"`
	RealMemory      float64 `json:"real_memory"`
	HeapPerBalancer float64 `json:"hollow_memory"` // live heap of a balancer
	idle            traffic
	idleSeconds     float64
}

// WatchResult is the cost of the watch by the number of balancers.
type WatchResult struct {
	Rows  []WatchRow `json:"rows"`
	Lines []Line     `json:"lines"`
}

// MeasureWatch measures the watch for each number of balancers.
func MeasureWatch(balancers []int, config WatchConfig) (*WatchResult, error) {
	result := &WatchResult{}
	for _, n := range balancers {
		row, err := measureWatch(n, config)
		if err != nil {
			return nil, fmt.Errorf("%d balancers: %w", n, err)
		}
		result.Rows = append(result.Rows, row)
	}
	result.fit()
	return result, nil
}

func (r *WatchResult) fit() {
	if len(r.Rows) < 2 {
		return
	}
	for _, measure := range []struct {
		name  string
		value func(WatchRow) float64
	}{
		{"idle calls a second", func(row WatchRow) float64 { return row.IdleCalls }},
		{"idle bytes a second", func(row WatchRow) float64 { return row.IdleBytes }},
		{"idle cores", func(row WatchRow) float64 { return row.IdleCores }},
		{"bytes of a replacement", func(row WatchRow) float64 { return row.ReplaceBytes }},
		{"calls in the second after an absence", func(row WatchRow) float64 { return float64(row.ReconnectCalls) }},
	} {
		var points []Point
		for _, row := range r.Rows {
			points = append(points, Point{float64(row.Balancers), measure.value(row)})
		}
		r.Lines = append(r.Lines, FitLine(measure.name, points))
	}
}

// Tables implements Result.
func (r *WatchResult) Tables() []Table {
	number := func(form string, value float64) string { return fmt.Sprintf(form, value) }
	idle := Table{Title: "The watch on discovery, idle: all balancers, and one real process beside them",
		Columns: []string{"balancers", "calls/s", "bytes/s", "cores", "bytes/s each", "real: calls/s", "bytes/s", "core", "RSS MB", "heap KB, hollow"},
		Notes:   []string{"Bytes are those of HTTP; cores are of balancers and discovery together, which share a process."}}
	change := Table{Title: "The watch on discovery: changes, and its return after an absence",
		Columns: []string{"balancers", "whole list: bytes each", "ms to all", "replacement: calls", "bytes", "ms to all", "zone: bytes", "ms to all",
			"return: calls in 1 s", "bytes in 1 s", "ms to all"}}
	for _, row := range r.Rows {
		n := float64(row.Balancers)
		idle.Rows = append(idle.Rows, []string{strconv.Itoa(row.Balancers), number("%.0f", row.IdleCalls), number("%.0f", row.IdleBytes),
			number("%.3f", row.IdleCores), number("%.0f", row.IdleBytes/n), number("%.2f", row.RealCalls), number("%.0f", row.RealBytes),
			number("%.4f", row.RealCores), number("%.1f", row.RealMemory/1e6), number("%.0f", row.HeapPerBalancer/1000)})
		change.Rows = append(change.Rows, []string{strconv.Itoa(row.Balancers), number("%.0f", row.StartBytes), number("%.0f", row.StartMS),
			number("%.0f", row.ReplaceCalls), number("%.0f", row.ReplaceBytes), number("%.0f", row.MaxReplaceMS), number("%.0f", row.ZoneReturnBytes),
			number("%.0f", row.ZoneReturnMS), strconv.FormatInt(row.ReconnectCalls, 10), strconv.FormatInt(row.ReconnectBytes, 10), number("%.0f", row.ReconnectMS)})
	}
	for _, line := range r.Lines {
		change.Notes = append(change.Notes, line.String())
	}
	return []Table{idle, change}
}

// watchRun is one size of the measurement.
type watchRun struct {
	config    WatchConfig
	fleet     *standin.Fleet
	service   *listService
	revision  uint64 // of the last change
	balancers []*hollow
	row       WatchRow
}

func measureWatch(balancers int, config WatchConfig) (row WatchRow, err error) {
	r := &watchRun{config: config, row: WatchRow{Balancers: balancers}}
	if err := r.startFleet(); err != nil {
		return row, err
	}
	defer r.fleet.Close()
	defer func() { r.service.stop() }()
	defer func() {
		for _, h := range r.balancers {
			err = errors.Join(err, h.stop())
		}
	}()
	for _, step := range []func() error{r.startBalancers, r.idle, r.replace, r.returnZone, r.returnDiscovery} {
		if err := step(); err != nil {
			return row, err
		}
	}
	return r.row, nil
}

func (r *watchRun) startFleet() (err error) {
	if r.fleet, err = standin.NewFleet(1, standin.Capacity{Slots: 1}); err != nil {
		return err
	}
	r.revision = 2 // the origin's
	for host := range r.config.Hosts {
		r.list(host, standin.InService, 0)
	}
	r.service, err = newListService(r.fleet, "hollow")
	return err
}

// list tells discovery of a host.
func (r *watchRun) list(host int, phase string, upSince time.Duration) {
	m := listed(host, protocol.Phase(phase))
	r.fleet.Discovery.SetMember(standin.Member{ID: m.ID, Zone: m.Locality, Address: m.Address.String(), Phase: phase, UpSince: upSince})
	r.revision++
}

// reached waits until all balancers have the current list, and returns how long that took from a time on.
func (r *watchRun) reached(from time.Time) (float64, error) {
	last, err := awaitRevision(r.balancers, r.revision, awaitLimit)
	return float64(last.Sub(from).Microseconds()) / 1000, err
}

func (r *watchRun) startBalancers() error {
	discovery, err := netip.ParseAddrPort(r.service.address)
	if err != nil {
		return err
	}
	heap := liveHeap()
	began := time.Now()
	for i := range r.row.Balancers {
		p, err := parameters(settings(r.row.Balancers, false))
		if err != nil {
			return err
		}
		h, err := startHollow(fmt.Sprint("b", i), discovery, uint64(i+1), p)
		if err != nil {
			return err
		}
		r.balancers = append(r.balancers, h)
	}
	if r.row.StartMS, err = r.reached(began); err != nil {
		return err
	}
	r.row.StartBytes = float64(r.service.out.Load()) / float64(r.row.Balancers)
	r.row.HeapPerBalancer = (float64(liveHeap()) - float64(heap)) / float64(r.row.Balancers)
	time.Sleep(settleFor)
	return nil
}

// idle measures the watch while nothing changes, with one real process beside the hollow ones.
func (r *watchRun) idle() error {
	beside, err := r.startReal()
	if err != nil {
		return err
	}
	defer beside.stop()
	used, err := processorTime()
	if err != nil {
		return err
	}
	before, began := r.service.traffic(), time.Now()
	if err := beside.begin(); err != nil {
		return err
	}
	time.Sleep(r.config.IdleDuration)
	r.row.idle, r.row.idleSeconds = r.service.traffic().minus(before), time.Since(began).Seconds()
	if err := beside.end(&r.row); err != nil {
		return err
	}
	after, err := processorTime()
	r.row.IdleCalls = float64(r.row.idle.Calls) / r.row.idleSeconds
	r.row.IdleBytes = float64(r.row.idle.In+r.row.idle.Out) / r.row.idleSeconds
	r.row.IdleCores = (after - used).Seconds() / r.row.idleSeconds
	return err
}

// beyondIdle is what passed since a time beyond what an idle watch costs.
func (r *watchRun) beyondIdle(before traffic, began time.Time) (calls, bytes float64) {
	passed, seconds := r.service.traffic().minus(before), time.Since(began).Seconds()
	return float64(passed.Calls) - r.row.IdleCalls*seconds, float64(passed.In+passed.Out) - r.row.IdleBytes*seconds
}

// replace has one host drain, go, and another come in its place.
func (r *watchRun) replace() error {
	before, began := r.service.traffic(), time.Now()
	for _, change := range []func(){
		func() { r.list(0, standin.Terminating, 0) },
		func() { r.list(0, standin.Terminated, 0) },
		func() { r.list(r.config.Hosts, standin.InService, r.fleet.Elapsed()) },
	} {
		changed := time.Now()
		change()
		took, err := r.reached(changed)
		if err != nil {
			return err
		}
		r.row.MaxReplaceMS = max(r.row.MaxReplaceMS, took)
		time.Sleep(changePause)
	}
	r.row.ReplaceCalls, r.row.ReplaceBytes = r.beyondIdle(before, began)
	return nil
}

// returnZone has the hosts of a zone go, and come back.
func (r *watchRun) returnZone() error {
	for host := range zoneHosts {
		r.list(1+host, standin.Terminated, 0)
	}
	if _, err := r.reached(time.Now()); err != nil {
		return err
	}
	time.Sleep(changePause)
	before, began := r.service.traffic(), time.Now()
	for host := range zoneHosts {
		r.list(1+host, standin.InService, r.fleet.Elapsed())
	}
	var err error
	if r.row.ZoneReturnMS, err = r.reached(began); err != nil {
		return err
	}
	time.Sleep(changePause)
	_, r.row.ZoneReturnBytes = r.beyondIdle(before, began)
	return nil
}

// returnDiscovery has discovery go away, and come back with a change.
func (r *watchRun) returnDiscovery() error {
	r.service.stop()
	r.list(zoneHosts+1, standin.Terminating, 0)
	time.Sleep(r.config.OutageDuration)
	before, began := r.service.traffic(), time.Now()
	if err := r.service.start(); err != nil {
		return err
	}
	time.Sleep(time.Until(began.Add(time.Second)))
	storm := r.service.traffic().minus(before)
	r.row.ReconnectCalls, r.row.ReconnectBytes = storm.Calls, storm.In+storm.Out
	var err error
	r.row.ReconnectMS, err = r.reached(began)
	return err
}

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
	settleDuration  = 500 * time.Millisecond // lets the first calls of all balancers complete
	revisionTimeout = 30 * time.Second
	changePause     = 300 * time.Millisecond // between the steps of one replacement
	zoneHosts       = (TargetHosts + TargetZones - 1) / TargetZones
)

// WatchConfig configures MeasureWatch.
type WatchConfig struct {
	Hosts          int
	IdleDuration   time.Duration // length of the idle measurement
	OutageDuration time.Duration // how long discovery is unavailable
	Program        string        // executable of a balancer to run for comparison; none if empty
	Env            []string      // additional environment of that process
}

// WatchRow is the cost of watching discovery for one number of balancers. Calls and bytes are counted at discovery and
// cover all hollow balancers, unless a comment says otherwise. The fields that begin with Real are measured for one balancer
// process: calls and bytes per second, cores, and resident memory in bytes.
type WatchRow struct {
	Balancers       int     `json:"balancers"`
	StartBytes      float64 `json:"start_bytes"`   // bytes per balancer to receive the full list
	StartMS         float64 `json:"start_ms"`      // until all balancers have the full list
	IdleCalls       float64 `json:"idle_calls"`    // per second
	IdleBytes       float64 `json:"idle_bytes"`    // per second, both directions
	IdleCores       float64 `json:"idle_cpu"`      // of balancers and discovery together
	ReplaceCalls    float64 `json:"replace_calls"` // for one replacement, beyond idle traffic
	ReplaceBytes    float64 `json:"replace_bytes"` // for one replacement, beyond idle traffic
	MaxReplaceMS    float64 `json:"replace_ms"`    // longest time until one of its steps has reached all balancers
	ZoneReturnBytes float64 `json:"zone_bytes"`    // when the hosts of one zone return, beyond idle traffic
	ZoneReturnMS    float64 `json:"zone_ms"`
	ReconnectCalls  int64   `json:"storm_calls"` // in the first second after discovery returns
	ReconnectBytes  int64   `json:"storm_bytes"`
	ReconnectMS     float64 `json:"storm_ms"` // until all balancers have the current list
	RealCalls       float64 `json:"real_calls"`
	RealBytes       float64 `json:"real_bytes"`
	RealCores       float64 `json:"real_cpu"`
	RealMemory      float64 `json:"real_memory"`
	HeapPerBalancer float64 `json:"hollow_memory"` // live heap per hollow balancer, in bytes
	idleTraffic     traffic
	idleSeconds     float64
}

// WatchResult is the cost of watching discovery by the number of balancers.
type WatchResult struct {
	Rows  []WatchRow `json:"rows"`
	Lines []Line     `json:"lines"`
}

// MeasureWatch measures the cost of watching discovery for each number of balancers.
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

// fit fits a line over the number of balancers to the main values, if there are at least two rows.
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
	format := func(verb string, value float64) string { return fmt.Sprintf(verb, value) }
	idle := Table{Title: "Idle watch on discovery: all hollow balancers, and one balancer process beside them",
		Columns: []string{"balancers", "calls/s", "bytes/s", "cores", "bytes/s each", "real: calls/s", "bytes/s", "core",
			"RSS MB", "heap KB, hollow"},
		Notes: []string{"Bytes are HTTP bytes; cores include discovery, which runs in the same process as the balancers."}}
	change := Table{Title: "Watch on discovery: list changes, and recovery after an outage",
		Columns: []string{"balancers", "whole list: bytes each", "ms to all", "replacement: calls", "bytes", "ms to all",
			"zone: bytes", "ms to all", "return: calls in 1 s", "bytes in 1 s", "ms to all"}}
	for _, row := range r.Rows {
		n := float64(row.Balancers)
		idle.Rows = append(idle.Rows, []string{strconv.Itoa(row.Balancers), format("%.0f", row.IdleCalls),
			format("%.0f", row.IdleBytes), format("%.3f", row.IdleCores), format("%.0f", row.IdleBytes/n),
			format("%.2f", row.RealCalls), format("%.0f", row.RealBytes),
			format("%.4f", row.RealCores), format("%.1f", row.RealMemory/1e6), format("%.0f", row.HeapPerBalancer/1000)})
		change.Rows = append(change.Rows, []string{strconv.Itoa(row.Balancers), format("%.0f", row.StartBytes),
			format("%.0f", row.StartMS), format("%.0f", row.ReplaceCalls), format("%.0f", row.ReplaceBytes),
			format("%.0f", row.MaxReplaceMS), format("%.0f", row.ZoneReturnBytes), format("%.0f", row.ZoneReturnMS),
			strconv.FormatInt(row.ReconnectCalls, 10), strconv.FormatInt(row.ReconnectBytes, 10),
			format("%.0f", row.ReconnectMS)})
	}
	for _, line := range r.Lines {
		change.Notes = append(change.Notes, line.String())
	}
	return []Table{idle, change}
}

// watchRun is the measurement for one number of balancers.
type watchRun struct {
	config    WatchConfig
	fleet     *standin.Fleet
	server    *discoveryServer
	revision  uint64 // list revision after the last change
	balancers []*hollowBalancer
	row       WatchRow
}

// measureWatch runs all measurements for one number of balancers.
func measureWatch(balancers int, config WatchConfig) (row WatchRow, err error) {
	r := &watchRun{config: config, row: WatchRow{Balancers: balancers}}
	if err := r.startFleet(); err != nil {
		return row, err
	}
	defer r.fleet.Close()
	defer func() { r.server.stop() }()
	defer func() {
		for _, h := range r.balancers {
			err = errors.Join(err, h.stop())
		}
	}()
	for _, step := range []func() error{r.startBalancers, r.measureIdle, r.measureReplacement, r.measureZoneReturn,
		r.measureDiscoveryReturn} {
		if err := step(); err != nil {
			return row, err
		}
	}
	return r.row, nil
}

// startFleet lists the cache hosts in discovery and starts the server that the hollow balancers watch.
func (r *watchRun) startFleet() (err error) {
	if r.fleet, err = standin.NewFleet(1, standin.Capacity{Slots: 1}); err != nil {
		return err
	}
	r.revision = 2 // NewFleet has listed the origin with revision 2
	for host := range r.config.Hosts {
		r.setHost(host, standin.InService, 0)
	}
	r.server, err = newDiscoveryServer(r.fleet, "hollow")
	return err
}

// setHost adds a host to discovery's list or changes it. upSince is the host's start time, relative to the fleet's start.
func (r *watchRun) setHost(host int, phase string, upSince time.Duration) {
	m := hostMember(host, protocol.Phase(phase))
	r.fleet.Discovery.SetMember(standin.Member{ID: m.ID, Zone: m.Locality, Address: m.Address.String(),
		Phase: phase, UpSince: upSince})
	r.revision++
}

// awaitCurrentList waits until all balancers have the current list, and returns the time from the given one until the last of
// them received it, in milliseconds. It returns an error after revisionTimeout.
func (r *watchRun) awaitCurrentList(from time.Time) (float64, error) {
	last, err := awaitRevision(r.balancers, r.revision, revisionTimeout)
	return float64(last.Sub(from).Microseconds()) / 1000, err
}

// startBalancers starts the hollow balancers and measures how they receive the full list.
func (r *watchRun) startBalancers() error {
	discovery, err := netip.ParseAddrPort(r.server.address)
	if err != nil {
		return err
	}
	heap := liveHeapBytes()
	startedAt := time.Now()
	for i := range r.row.Balancers {
		p, err := parseSettings(balancerSettings(r.row.Balancers, false))
		if err != nil {
			return err
		}
		h, err := startHollowBalancer(fmt.Sprint("b", i), discovery, uint64(i+1), p)
		if err != nil {
			return err
		}
		r.balancers = append(r.balancers, h)
	}
	if r.row.StartMS, err = r.awaitCurrentList(startedAt); err != nil {
		return err
	}
	r.row.StartBytes = float64(r.server.bytesOut.Load()) / float64(r.row.Balancers)
	r.row.HeapPerBalancer = (float64(liveHeapBytes()) - float64(heap)) / float64(r.row.Balancers)
	time.Sleep(settleDuration)
	return nil
}

// measureIdle measures the traffic and processor time of the watch while the list does not change, with one balancer process
// running beside the hollow balancers.
func (r *watchRun) measureIdle() error {
	realBalancer, err := r.startRealBalancer()
	if err != nil {
		return err
	}
	defer realBalancer.stop()
	cpuBefore, err := cpuTime()
	if err != nil {
		return err
	}
	before, startedAt := r.server.traffic(), time.Now()
	if err := realBalancer.beginMeasurement(); err != nil {
		return err
	}
	time.Sleep(r.config.IdleDuration)
	r.row.idleTraffic, r.row.idleSeconds = r.server.traffic().sub(before), time.Since(startedAt).Seconds()
	if err := realBalancer.endMeasurement(&r.row); err != nil {
		return err
	}
	after, err := cpuTime()
	r.row.IdleCalls = float64(r.row.idleTraffic.Calls) / r.row.idleSeconds
	r.row.IdleBytes = float64(r.row.idleTraffic.BytesIn+r.row.idleTraffic.BytesOut) / r.row.idleSeconds
	r.row.IdleCores = (after - cpuBefore).Seconds() / r.row.idleSeconds
	return err
}

// trafficBeyondIdle returns the traffic since the given start that exceeds the idle traffic.
func (r *watchRun) trafficBeyondIdle(before traffic, startedAt time.Time) (calls, bytes float64) {
	total, seconds := r.server.traffic().sub(before), time.Since(startedAt).Seconds()
	return float64(total.Calls) - r.row.IdleCalls*seconds, float64(total.BytesIn+total.BytesOut) - r.row.IdleBytes*seconds
}

// measureReplacement drains and removes one host and adds another, and measures each step.
func (r *watchRun) measureReplacement() error {
	before, startedAt := r.server.traffic(), time.Now()
	for _, change := range []func(){
		func() { r.setHost(0, standin.Terminating, 0) },
		func() { r.setHost(0, standin.Terminated, 0) },
		func() { r.setHost(r.config.Hosts, standin.InService, r.fleet.Elapsed()) },
	} {
		changedAt := time.Now()
		change()
		elapsed, err := r.awaitCurrentList(changedAt)
		if err != nil {
			return err
		}
		r.row.MaxReplaceMS = max(r.row.MaxReplaceMS, elapsed)
		time.Sleep(changePause)
	}
	r.row.ReplaceCalls, r.row.ReplaceBytes = r.trafficBeyondIdle(before, startedAt)
	return nil
}

// measureZoneReturn removes the hosts of one zone, returns them all at once, and measures their return.
func (r *watchRun) measureZoneReturn() error {
	for host := range zoneHosts {
		r.setHost(1+host, standin.Terminated, 0)
	}
	if _, err := r.awaitCurrentList(time.Now()); err != nil {
		return err
	}
	time.Sleep(changePause)
	before, startedAt := r.server.traffic(), time.Now()
	for host := range zoneHosts {
		r.setHost(1+host, standin.InService, r.fleet.Elapsed())
	}
	var err error
	if r.row.ZoneReturnMS, err = r.awaitCurrentList(startedAt); err != nil {
		return err
	}
	time.Sleep(changePause)
	_, r.row.ZoneReturnBytes = r.trafficBeyondIdle(before, startedAt)
	return nil
}

// measureDiscoveryReturn stops discovery, changes the list, restarts discovery and measures the reconnecting balancers.
func (r *watchRun) measureDiscoveryReturn() error {
	r.server.stop()
	r.setHost(zoneHosts+1, standin.Terminating, 0)
	time.Sleep(r.config.OutageDuration)
	before, startedAt := r.server.traffic(), time.Now()
	if err := r.server.start(); err != nil {
		return err
	}
	time.Sleep(time.Until(startedAt.Add(time.Second)))
	reconnecting := r.server.traffic().sub(before)
	r.row.ReconnectCalls, r.row.ReconnectBytes = reconnecting.Calls, reconnecting.BytesIn+reconnecting.BytesOut
	var err error
	r.row.ReconnectMS, err = r.awaitCurrentList(startedAt)
	return err
}

package scale

import (
	"time"
)

const realSettleDuration = 700 * time.Millisecond // lets the process receive its list and wait for changes

// realBalancer is one balancer process that watches the same discovery through its own server, which counts its traffic.
// Without a configured program it has no process and measures nothing.
type realBalancer struct {
	process       *balancerProcess
	server        *discoveryServer
	trafficBefore traffic
	cpuBefore     time.Duration
	startedAt     time.Time
}

// startRealBalancer starts the configured program, if there is one, and waits until it watches discovery.
func (r *watchRun) startRealBalancer() (*realBalancer, error) {
	b := &realBalancer{}
	if r.config.Program == "" {
		return b, nil
	}
	var err error
	if b.server, err = newDiscoveryServer(r.fleet, "real"); err != nil {
		return b, err
	}
	startFile := startFileJSON{Name: "real", Discovery: b.server.address, Seed: "1",
		Settings: balancerSettings(r.row.Balancers, false),
		Limits:   limitsFileJSON{Cores: 1, MemoryMB: hollowMemoryMB, Sockets: hollowSocketLimit}}
	if b.process, err = startProcess(r.config.Program, r.config.Env, startFile); err != nil {
		return b, err
	}
	time.Sleep(realSettleDuration)
	return b, nil
}

// beginMeasurement records the traffic and processor time at the start of the measured time.
func (b *realBalancer) beginMeasurement() (err error) {
	if b.process == nil {
		return nil
	}
	b.trafficBefore, b.startedAt = b.server.traffic(), time.Now()
	b.cpuBefore, err = b.process.cpuTime()
	return err
}

// endMeasurement stores what the process has used since beginMeasurement in row.
func (b *realBalancer) endMeasurement(row *WatchRow) error {
	if b.process == nil {
		return nil
	}
	total, seconds := b.server.traffic().sub(b.trafficBefore), time.Since(b.startedAt).Seconds()
	cpuAfter, err := b.process.cpuTime()
	if err != nil {
		return err
	}
	row.RealCalls = float64(total.Calls) / seconds
	row.RealBytes = float64(total.BytesIn+total.BytesOut) / seconds
	row.RealCores = (cpuAfter - b.cpuBefore).Seconds() / seconds
	row.RealMemory, err = b.process.statusBytes("VmRSS")
	return err
}

// stop stops the process and its server, if they were started.
func (b *realBalancer) stop() {
	if b.process != nil {
		b.process.stop()
	}
	if b.server != nil {
		b.server.stop()
	}
}

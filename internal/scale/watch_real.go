package scale

import (
	"time"
)

const realSettles = 700 * time.Millisecond // until the real process has its list and waits for changes

// besideHollow is one real process that watches the same discovery, through a service of its own that counts its traffic.
// Without a program to start it measures nothing.
type besideHollow struct {
	process *process
	service *listService
	before  traffic
	used    time.Duration
	began   time.Time
}

func (r *watchRun) startReal() (*besideHollow, error) {
	b := &besideHollow{}
	if r.config.Program == "" {
		return b, nil
	}
	var err error
	if b.service, err = newListService(r.fleet, "real"); err != nil {
		return b, err
	}
	form := startForm{Name: "real", Discovery: b.service.address, Seed: "1", Settings: settings(r.row.Balancers, false),
		Limits: processLimits{Cores: 1, MemoryMB: hollowMemoryMB, Sockets: hollowSockets}}
	if b.process, err = startProcess(r.config.Program, r.config.Env, form); err != nil {
		return b, err
	}
	time.Sleep(realSettles)
	return b, nil
}

// begin begins the measured time.
func (b *besideHollow) begin() (err error) {
	if b.process == nil {
		return nil
	}
	b.before, b.began = b.service.traffic(), time.Now()
	b.used, err = b.process.processorTime()
	return err
}

// end ends the measured time, and notes the figures.
func (b *besideHollow) end(row *WatchRow) error {
	if b.process == nil {
		return nil
	}
	passed, seconds := b.service.traffic().minus(b.before), time.Since(b.began).Seconds()
	used, err := b.process.processorTime()
	if err != nil {
		return err
	}
	row.RealCalls = float64(passed.Calls) / seconds
	row.RealBytes = float64(passed.In+passed.Out) / seconds
	row.RealCores = (used - b.used).Seconds() / seconds
	row.RealMemory, err = b.process.memory("VmRSS")
	return err
}

func (b *besideHollow) stop() {
	if b.process != nil {
		b.process.stop()
	}
	if b.service != nil {
		b.service.stop()
	}
}

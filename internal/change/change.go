// Package change manages inventory changes, one at a time. A change is validated and staged, then applied to all hosts at
// once and observed during a trial period. It is confirmed at the end of the trial, or undone automatically if the success
// rate of ops drops. The package does no I/O and reads no clock: a Store persists the change's record, and the caller passes
// the time and the outcomes of ops to Tick.
//
// One record holds the inventory files before and after the change, and its state tells which of them is active. The record is
// saved atomically at each step, so that after a crash either the old list or the new one is active, never a mix.
package change

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"

	"larchthread/internal/inventory"
)

const (
	gracePeriod       = 500.0   // ms after Apply that are not judged: earlier ops end, and removed hosts drain
	trialDuration     = 10000.0 // ms after Apply until a change is confirmed, given minOps ops
	maxTrialDuration  = 60000.0 // ms after Apply until a change is confirmed, however few ops there were
	minOps            = 20      // ops needed to judge a success rate
	minDrop           = 0.05    // smallest drop of the success rate that undoes a change
	minDropDeviations = 3.0     // the drop must also exceed this many standard deviations of the sampling noise
	baselineHalfLife  = 10000.0 // ms after which an op counts half in the baseline
)

// State is the state of a change.
type State string

const (
	None      State = ""          // there has been no change yet
	Staged    State = "staged"    // validated and saved; the old list is active
	Applied   State = "applied"   // the new list is active, on trial
	Confirmed State = "confirmed" // the new list is active for good
	Undone    State = "undone"    // the old list is active
)

// Record is the persisted form of a change. Changes are numbered from 1.
type Record struct {
	Number int    `json:"number"`
	State  State  `json:"state"`
	Reason string `json:"why,omitempty"` // why the change was confirmed or undone
	Before File   `json:"before"`
	After  File   `json:"after"`
}

// File is the text of an inventory file. Its name is used in errors, and the extension selects the format.
type File struct {
	Name string `json:"name"`
	Text string `json:"text"`
}

// ActiveFile returns the file whose list is active.
func (r Record) ActiveFile() File {
	if r.State == Applied || r.State == Confirmed {
		return r.After
	}
	return r.Before
}

// Store persists one record. Save replaces the record atomically, or returns an error and leaves the earlier one in place. Load
// returns nil if there is no record.
type Store interface {
	Save(record []byte) error
	Load() ([]byte, error)
}

// ErrInProgress is returned by Propose while another change is staged or on trial.
var ErrInProgress = errors.New("another change is in progress")

// errNoChange is returned if no change is in a state that allows the call.
var errNoChange = errors.New("no change is in progress")

// Manager handles the inventory changes of one installation. It is not safe for concurrent use.
type Manager struct {
	store     Store
	record    Record
	hosts     []inventory.Host // the active list
	baseline  outcomeCounts    // before the change, decaying with baselineHalfLife
	trial     outcomeCounts    // during the trial
	appliedAt float64          // ms
	lastTick  float64          // ms
}

// outcomeCounts counts the ops that ended, and those of them that were acked.
type outcomeCounts struct{ acked, ended float64 }

// successRate returns the fraction of ops that were acked; 0 if none ended.
func (o outcomeCounts) successRate() float64 { return o.acked / math.Max(o.ended, 1) }

// Open restores the state from the store, or starts with the file initial if the store is empty. A change that was staged or on
// trial is undone, as its outcome is unknown. Open returns errors of the store, of a record that cannot be decoded, and of an
// active file that cannot be parsed.
func Open(store Store, initial File) (*Manager, error) {
	m := &Manager{store: store}
	raw, err := store.Load()
	if err != nil {
		return nil, err
	}
	m.record.Before = initial
	if raw != nil {
		if err := json.Unmarshal(raw, &m.record); err != nil {
			return nil, fmt.Errorf("decode the change record: %w", err)
		}
	}
	if err := m.loadHosts(); err != nil {
		return nil, err
	}
	if m.isOpen() {
		return m, m.finish(Undone, "the balancer ended before it was confirmed")
	}
	return m, nil
}

// loadHosts parses the active file and replaces the list of hosts.
func (m *Manager) loadHosts() (err error) {
	f := m.record.ActiveFile()
	m.hosts, err = inventory.Parse(f.Name, []byte(f.Text))
	return err
}

// transition is the only place where the record changes. The new record takes effect only after it has been saved; after an
// error the old one remains.
func (m *Manager) transition(r Record) error {
	raw, err := json.Marshal(r)
	if err != nil {
		return err
	}
	if err := m.store.Save(raw); err != nil {
		return fmt.Errorf("save the change record (state remains %q): %w", m.record.State, err)
	}
	m.record = r
	return nil
}

// isOpen reports whether the current change is staged or on trial.
func (m *Manager) isOpen() bool { return m.record.State == Staged || m.record.State == Applied }

// Status returns the record of the latest change.
func (m *Manager) Status() Record { return m.record }

// Hosts returns the active list.
func (m *Manager) Hosts() []inventory.Host { return m.hosts }

// Propose parses a file, stages it as a new change, and returns the differences from the active list. It fails with
// ErrInProgress while a change is staged or on trial, with inventory.FileErrors if the file is invalid, and also if the file
// changes nothing or the record cannot be saved.
func (m *Manager) Propose(file File) ([]inventory.Change, error) {
	if m.isOpen() {
		return nil, fmt.Errorf("%w: change %d is %s", ErrInProgress, m.record.Number, m.record.State)
	}
	hosts, err := inventory.Parse(file.Name, []byte(file.Text))
	if err != nil {
		return nil, err
	}
	diff := inventory.Diff(m.hosts, hosts)
	if len(diff) == 0 {
		return nil, errors.New("the file does not change the inventory")
	}
	return diff, m.transition(Record{Number: m.record.Number + 1, State: Staged, Before: m.record.ActiveFile(), After: file})
}

// Apply makes the staged list active and starts its trial; now is the time in milliseconds, on the same clock as for Tick.
// It fails if no change is staged or the record cannot be saved.
func (m *Manager) Apply(now float64) error {
	if m.record.State != Staged {
		return errNoChange
	}
	r := m.record
	r.State = Applied
	if err := m.transition(r); err != nil {
		return err
	}
	m.appliedAt, m.trial = now, outcomeCounts{}
	return m.loadHosts()
}

// Undo ends a change that is staged or on trial, and makes the old list active. The reason is kept in the record. It fails if
// there is no such change or the record cannot be saved.
func (m *Manager) Undo(reason string) error {
	if !m.isOpen() {
		return errNoChange
	}
	return m.finish(Undone, reason)
}

// finish saves the final state of the change with the reason, and loads the list that is active then.
func (m *Manager) finish(state State, reason string) error {
	r := m.record
	r.State, r.Reason = state, reason
	if err := m.transition(r); err != nil {
		return err
	}
	return m.loadHosts()
}

// Tick takes the current time in milliseconds, and the numbers of ops that were acked and that ended in any way since the last
// call. It confirms or undoes a change on trial, so Hosts may return another list afterwards. It fails if the record cannot be
// saved.
func (m *Manager) Tick(now float64, acked, ended int) error {
	elapsed := now - m.lastTick
	m.lastTick = now
	if m.record.State != Applied {
		decay := math.Exp2(-elapsed / baselineHalfLife)
		m.baseline = outcomeCounts{m.baseline.acked*decay + float64(acked), m.baseline.ended*decay + float64(ended)}
		return nil
	}
	if now < m.appliedAt+gracePeriod {
		return nil
	}
	m.trial.acked += float64(acked)
	m.trial.ended += float64(ended)
	enoughOps := m.trial.ended >= minOps
	switch {
	case enoughOps && m.baseline.ended >= minOps && m.baseline.successRate()-m.trial.successRate() > m.tolerance():
		return m.finish(Undone, fmt.Sprintf("service fell from %.3f to %.3f", m.baseline.successRate(), m.trial.successRate()))
	case enoughOps && now >= m.appliedAt+trialDuration, now >= m.appliedAt+maxTrialDuration:
		baseline := m.baseline
		m.baseline = outcomeCounts{baseline.acked + m.trial.acked, baseline.ended + m.trial.ended}
		return m.finish(Confirmed, fmt.Sprintf("service went from %.3f to %.3f", baseline.successRate(), m.trial.successRate()))
	}
	return nil
}

// tolerance returns the largest drop of the success rate during a trial that is not blamed on the change: minDrop, or
// minDropDeviations standard deviations of the difference of the two rates if that is more.
func (m *Manager) tolerance() float64 {
	p := (m.baseline.acked + m.trial.acked) / (m.baseline.ended + m.trial.ended)
	return math.Max(minDrop, minDropDeviations*math.Sqrt(p*(1-p)*(1/m.baseline.ended+1/m.trial.ended)))
}

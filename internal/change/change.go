// Package change keeps changes of an inventory: one at a time, checked, staged, applied at once, on trial for a while, and
// undone by itself when service falls. It opens no file and reads no clock: a Store keeps its record, and Tick is told the
// time and how ops have fared.
//
// One record holds the list before and the list after, and its state says which is in force. It is saved whole at each step, so
// a death at any point leaves the old list or the new one in force, never a mix.
package change

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"

	"larchthread/internal/inventory"
)

const (
	graceFor  = 500.0   // ms behind a change that don't count: ops that were out, and hosts that drain
	trialFor  = 10000.0 // ms of trial: twice the time in which a bad change is to be undone
	trialMost = 60000.0 // ms after which a trial ends also with few ops
	opsLeast  = 20      // ops by which service is judged; of fewer each weighs too much
	fallLeast = 0.05    // part of ops by which service has to fall
	fallDevs  = 3.0     // deviations that chance brings, beside that: one calm trial in a thousand is undone
	halfLife  = 10000.0 // ms in which what was seen before counts half: some bursts
)

// State of a change.
type State string

const (
	None      State = ""          // there has never been one
	Staged    State = "staged"    // checked and kept; the list before is in force
	Applied   State = "applied"   // the new list is in force, on trial
	Confirmed State = "confirmed" // the new list is in force for good
	Undone    State = "undone"    // the list before is in force again
)

// Record is a change as it is kept.
type Record struct {
	Number int    `json:"number"`
	State  State  `json:"state"`
	Reason string `json:"why,omitempty"` // of its end
	Before File   `json:"before"`
	After  File   `json:"after"`
}

// File is an inventory file's text, with its name for faults and form.
type File struct {
	Name string `json:"name"`
	Text string `json:"text"`
}

// ActiveFile is the file whose list is in force.
func (r Record) ActiveFile() File {
	if r.State == Applied || r.State == Confirmed {
		return r.After
	}
	return r.Before
}

// Store keeps one record. Save keeps it whole or, with an error, not at all. Load gives nil where there is none.
type Store interface {
	Save(record []byte) error
	Load() ([]byte, error)
}

// ErrInProgress is the error of a change proposed while another is open.
var ErrInProgress = errors.New("another change is under way")

var errNone = errors.New("no change is under way")

// Manager are an installation's changes, the latest of which is open or over.
type Manager struct {
	store   Store
	record  Record
	hosts   []inventory.Host // in force
	share   meter            // of service before the change
	trial   meter            // and in its trial
	applied float64          // ms
	ticked  float64          // ms
}

// meter counts how ops ended.
type meter struct{ acked, ended float64 }

func (m meter) share() float64 { return m.acked / math.Max(m.ended, 1) }

// Open takes up what the store holds, or begins with a file where it holds nothing. A change whose trial a death cut short is
// undone: nobody knows how it went.
func Open(store Store, first File) (*Manager, error) {
	c := &Manager{store: store}
	raw, err := store.Load()
	if err != nil {
		return nil, err
	}
	c.record.Before = first
	if raw != nil {
		if err := json.Unmarshal(raw, &c.record); err != nil {
			return nil, fmt.Errorf("the record of changes: %w", err)
		}
	}
	if err := c.read(); err != nil {
		return nil, err
	}
	if c.open() {
		return c, c.end(Undone, "the balancer ended before it was confirmed")
	}
	return c, nil
}

// read makes the list that is in force of its text.
func (c *Manager) read() (err error) {
	f := c.record.ActiveFile()
	c.hosts, err = inventory.Parse(f.Name, []byte(f.Text))
	return err
}

// move is the one place where a change changes its state: it is kept first, and counts from then on.
func (c *Manager) move(r Record) error {
	raw, err := json.Marshal(r)
	if err != nil {
		return err
	}
	if err := c.store.Save(raw); err != nil {
		return fmt.Errorf("the change stays %q: %w", c.record.State, err)
	}
	c.record = r
	return nil
}

func (c *Manager) open() bool { return c.record.State == Staged || c.record.State == Applied }

// Status is the latest change.
func (c *Manager) Status() Record { return c.record }

// Hosts is the list in force.
func (c *Manager) Hosts() []inventory.Host { return c.hosts }

// Propose checks a file and stages its list. It returns what would change.
func (c *Manager) Propose(f File) ([]inventory.Change, error) {
	if c.open() {
		return nil, fmt.Errorf("%w: number %d is %s", ErrInProgress, c.record.Number, c.record.State)
	}
	hosts, err := inventory.Parse(f.Name, []byte(f.Text))
	if err != nil {
		return nil, err
	}
	diff := inventory.Diff(c.hosts, hosts)
	if len(diff) == 0 {
		return nil, errors.New("it changes nothing")
	}
	return diff, c.move(Record{Number: c.record.Number + 1, State: Staged, Before: c.record.ActiveFile(), After: f})
}

// Apply puts the staged list in force, on trial from now on.
func (c *Manager) Apply(now float64) error {
	if c.record.State != Staged {
		return errNone
	}
	r := c.record
	r.State = Applied
	if err := c.move(r); err != nil {
		return err
	}
	c.applied, c.trial = now, meter{}
	return c.read()
}

// Undo ends a change that is staged or on trial; the list before is in force.
func (c *Manager) Undo(why string) error {
	if !c.open() {
		return errNone
	}
	return c.end(Undone, why)
}

// end ends the change.
func (c *Manager) end(to State, why string) error {
	r := c.record
	r.State, r.Reason = to, why
	if err := c.move(r); err != nil {
		return err
	}
	return c.read()
}

// Tick is told the time, and how many ops were acked and how many ended since the last call. A trial ends here: the list in force
// may be another afterwards.
func (c *Manager) Tick(now float64, acked, ended int) error {
	span := now - c.ticked
	c.ticked = now
	if c.record.State != Applied {
		keep := math.Exp2(-span / halfLife)
		c.share = meter{c.share.acked*keep + float64(acked), c.share.ended*keep + float64(ended)}
		return nil
	}
	if now < c.applied+graceFor {
		return nil
	}
	c.trial.acked += float64(acked)
	c.trial.ended += float64(ended)
	enough := c.trial.ended >= opsLeast
	switch {
	case enough && c.share.ended >= opsLeast && c.share.share()-c.trial.share() > c.noise():
		return c.end(Undone, fmt.Sprintf("service fell from %.3f to %.3f", c.share.share(), c.trial.share()))
	case enough && now >= c.applied+trialFor, now >= c.applied+trialMost:
		before := c.share
		c.share = meter{before.acked + c.trial.acked, before.ended + c.trial.ended}
		return c.end(Confirmed, fmt.Sprintf("service went from %.3f to %.3f", before.share(), c.trial.share()))
	}
	return nil
}

// noise is by how much service may fall before the change is blamed.
func (c *Manager) noise() float64 {
	p := (c.share.acked + c.trial.acked) / (c.share.ended + c.trial.ended)
	return math.Max(fallLeast, fallDevs*math.Sqrt(p*(1-p)*(1/c.share.ended+1/c.trial.ended)))
}

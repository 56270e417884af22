package simwire

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"slices"
	"strconv"

	"larchthread/balance"
	"larchthread/internal/params"
)

// Serve answers each line of events from in with a line of actions on out, until in ends. An error in the input names
// the line and field.
func Serve(in io.Reader, out io.Writer) error {
	s := server{balancers: map[int]*simulatedBalancer{}, lists: map[int][]element{}}
	r, w := bufio.NewReaderSize(in, 1<<20), bufio.NewWriterSize(out, 1<<20)
	enc := json.NewEncoder(w)
	for n := 1; ; n++ {
		line, err := r.ReadBytes('\n')
		if len(bytes.TrimSpace(line)) > 0 {
			if err := s.answer(line); err != nil {
				return fmt.Errorf("line %d: %w", n, err)
			}
			if err := enc.Encode(struct {
				Actions []action `json:"actions"`
			}{s.actions}); err != nil {
				return err
			}
			if err := w.Flush(); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// server hosts the instances of one process.
type server struct {
	now       float64 // ms
	balancers map[int]*simulatedBalancer
	lists     map[int][]element
	actions   []action
}

// simulatedBalancer is one instance. It translates between the wire's ids and the balancer's objects, and is the
// balancer's port.
type simulatedBalancer struct {
	*server
	index      int
	balancer   *balance.Balancer
	params     params.Params
	categories map[string]*balance.Category
	tenants    map[string]*balance.Tenant
	hosts      map[uint32]*balance.Host
	ids        map[*balance.Host]uint32
	ops        map[string]*balance.Op
	pushes     map[*balance.Op][]*balance.Push // by round number
	lastTime   float64                         // ms, last time passed to the balancer
}

// answer handles a line of events and leaves the resulting actions in s.actions.
func (s *server) answer(line []byte) error {
	var b batch
	if err := json.Unmarshal(line, &b); err != nil {
		return err
	}
	if b.TimeUs == nil {
		return errors.New("simTimeUs: missing")
	}
	s.now, s.actions = float64(*b.TimeUs)/1000, []action{}
	for k, e := range b.Input {
		if err := s.handle(e); err != nil {
			if err == errUnknownEvent {
				err = fmt.Errorf("unknown event %s", eventExcerpt(line, k))
			}
			return fmt.Errorf("input[%d]: %w", k, err)
		}
	}
	return nil
}

// errUnknownEvent is the error of an event without a known name.
var errUnknownEvent = errors.New("unknown event")

// eventExcerpt returns the beginning of event k of a line, to be quoted in an error.
func eventExcerpt(line []byte, k int) string {
	var b struct {
		Input []json.RawMessage `json:"input"`
	}
	if json.Unmarshal(line, &b) != nil || k >= len(b.Input) {
		return ""
	}
	return string(b.Input[k][:min(len(b.Input[k]), 80)])
}

// handle passes one event to the balancer of its instance.
func (s *server) handle(e event) error {
	switch {
	case e.Arrival != nil:
		return s.withInstance("KNOCK", e.Arrival.Index, func(d *simulatedBalancer) error { return d.arrive(e.Arrival) })
	case e.AttemptEnd != nil:
		return s.withInstance("ATTEMPT_END", e.AttemptEnd.Index, func(d *simulatedBalancer) error { return d.attemptEnd(e.AttemptEnd) })
	case e.Headers != nil:
		return s.withInstance("HEADERS", e.Headers.Index, func(d *simulatedBalancer) error {
			if p := d.push(e.Headers); p != nil {
				d.balancer.StreamingStarted(p)
			}
			return nil
		})
	case e.ClientLeft != nil: // the op may have ended already
		return s.withInstance("CLIENT_LEFT", e.ClientLeft.Index, func(d *simulatedBalancer) error {
			if op := d.ops[e.ClientLeft.OpID]; op != nil {
				d.balancer.ClientLeft(op)
				d.forget(e.ClientLeft.OpID, op)
			}
			return nil
		})
	case e.Alarm != nil:
		return s.withInstance("ALARM", e.Alarm.Index, func(d *simulatedBalancer) error { d.balancer.TimerFired(); return nil })
	case e.DefineList != nil:
		return s.defineList(e.DefineList)
	case e.Announce != nil:
		return s.withInstance("ANNOUNCE", e.Announce.Index, func(d *simulatedBalancer) error { return d.announce(e.Announce) })
	case e.Configure != nil:
		return s.configure(e.Configure)
	case e.Shutdown != nil:
		return s.withInstance("SHUTDOWN", e.Shutdown.Index, func(d *simulatedBalancer) error {
			delete(s.balancers, d.index)
			return nil
		})
	case e.Check != nil:
		return s.withInstance("CHECK_RESULT", e.Check.Index, func(*simulatedBalancer) error { return nil })
	case e.Heard != nil:
		return s.withInstance("HEARD", e.Heard.Index, func(*simulatedBalancer) error { return nil })
	}
	return errUnknownEvent
}

// withInstance calls call with the instance of index i, whose balancer is first told the time. Errors begin with the
// event's name.
func (s *server) withInstance(name string, i *int, call func(*simulatedBalancer) error) error {
	if i == nil {
		return fmt.Errorf("%s.i: missing", name)
	}
	d := s.balancers[*i]
	if d == nil {
		return fmt.Errorf("%s.i: unknown instance %d", name, *i)
	}
	if d.lastTime < s.now {
		d.lastTime = s.now
		d.balancer.Advance(s.now)
	}
	if err := call(d); err != nil {
		return fmt.Errorf("%s.%w", name, err)
	}
	return nil
}

// configure starts an instance, in place of one with the same index.
func (s *server) configure(e *configure) error {
	if e.Index == nil {
		return errors.New("CONFIGURE.i: missing")
	}
	p, err := params.Parse(e.Params)
	if err != nil {
		return fmt.Errorf("CONFIGURE.%w", err)
	}
	d := &simulatedBalancer{server: s, index: *e.Index, params: p, hosts: map[uint32]*balance.Host{}, lastTime: s.now,
		ids: map[*balance.Host]uint32{}, ops: map[string]*balance.Op{}, pushes: map[*balance.Op][]*balance.Push{}}
	start, categories, tenants := p.ForBalancer(e.Seed)
	d.categories, d.tenants = categories, tenants
	s.balancers[*e.Index] = d
	d.balancer = balance.New(start, d, s.now)
	return nil
}

// defineList stores a host list, which ANNOUNCE events refer to by its slot.
func (s *server) defineList(e *defineList) error {
	if e.Slot == nil {
		return errors.New("DEFINE_LIST.slot: missing")
	}
	for k, x := range e.Elements {
		_, known := conditions[x.Condition]
		switch at := fmt.Sprintf("DEFINE_LIST.elements[%d]", k); {
		case x.Host == nil:
			return fmt.Errorf("%s.host: missing", at)
		case !known:
			return fmt.Errorf("%s.condition: unknown %q", at, x.Condition)
		}
	}
	s.lists[*e.Slot] = e.Elements
	return nil
}

// conditions maps the conditions of hosts to the balancer's.
var conditions = map[string]balance.Status{"SERVING": balance.Ready, "DRAINING": balance.Draining,
	"DELETED": balance.Gone}

// announce passes a stored host list, or the failure to obtain one, to the balancer.
func (d *simulatedBalancer) announce(e *announce) error {
	complete := e.Scope == "Complete" || e.Scope == "Persisted"
	switch {
	case e.Scope == "Error":
		d.balancer.HostListFailed()
		return nil
	case !complete && e.Scope != "Partial":
		return fmt.Errorf("scope: unknown %q", e.Scope)
	}
	list, known := d.lists[e.Slot]
	if !known {
		return fmt.Errorf("slot: no list %d", e.Slot)
	}
	entries := make([]balance.HostEntry, 0, len(list))
	for _, x := range list {
		h := d.hosts[*x.Host]
		if h == nil {
			h = &balance.Host{Name: strconv.FormatUint(uint64(*x.Host), 10), IsOrigin: d.params.IsOrigin(x.Kind)}
			d.hosts[*x.Host], d.ids[h] = h, *x.Host
		}
		l := balance.Listing{Zone: slices.Index(d.params.Zones, x.Zone), Cell: x.Cell, Size: x.Size,
			Status: conditions[x.Condition]}
		if !(l.Size > 0) { // no size given
			l.Size = 1
		}
		if x.UpSinceUs != nil {
			l.UpSince = float64(*x.UpSinceUs) / 1000
		}
		entries = append(entries, balance.HostEntry{Host: h, Listing: l})
	}
	d.balancer.HostsListed(entries, complete, e.Scope == "Persisted")
	return nil
}

// arrive passes a new op to the balancer.
func (d *simulatedBalancer) arrive(e *arrival) error {
	category := d.categories[e.Category]
	switch {
	case e.OpID == "":
		return errors.New("corr: missing")
	case d.ops[e.OpID] != nil:
		return fmt.Errorf("corr: %s is open already", e.OpID)
	case category == nil:
		return fmt.Errorf("qos: unknown category %q", e.Category)
	case e.DeadlineUs == nil:
		return errors.New("dropDeadUs: missing")
	}
	op := &balance.Op{Ref: e.OpID, Category: category, Deadline: float64(*e.DeadlineUs) / 1000, IsWrite: e.Write}
	if e.Key != nil {
		op.Key = *e.Key
	}
	if e.Tenant != nil {
		if op.Tenant = d.tenants[*e.Tenant]; op.Tenant == nil && len(d.tenants) > 0 {
			return fmt.Errorf("party: unknown tenant %q", *e.Tenant)
		}
	}
	d.ops[e.OpID] = op
	d.balancer.OpArrived(op)
	return nil
}

// attemptEnd passes the outcome of a push to the balancer. An unknown round is ignored.
func (d *simulatedBalancer) attemptEnd(e *attemptEnd) error {
	op := d.ops[e.OpID]
	switch {
	case op == nil:
		return fmt.Errorf("corr: unknown op %q", e.OpID)
	case e.Code == nil:
		return errors.New("code: missing")
	}
	p := d.push(&e.headers)
	if p == nil {
		return nil
	}
	outcome, known := outcomes[*e.Code]
	if !known {
		outcome = balance.UnknownOutcome
	}
	d.balancer.PushEnded(p, outcome, float64(e.SpentUs)/1000, e.Last, d.report(e.Stats))
	d.forget(e.OpID, op)
	return nil
}

// report parses the values of a host's load report. It returns nil for a malformed one, as the outcome that it came
// with still counts.
func (d *simulatedBalancer) report(row json.RawMessage) *balance.LoadReport {
	var values []*float64
	if len(row) == 0 || json.Unmarshal(row, &values) != nil || len(values) != len(d.params.LoadReport.Fields) {
		return nil
	}
	var r *balance.LoadReport
	for k, v := range values {
		if v != nil {
			r = d.params.ApplyReportValue(r, d.params.LoadReport.Fields[k], *v)
		}
	}
	return r
}

// push returns the push of a round of an op, or nil.
func (d *simulatedBalancer) push(e *headers) *balance.Push {
	if all := d.pushes[d.ops[e.OpID]]; e.Round >= 0 && e.Round < len(all) {
		return all[e.Round]
	}
	return nil
}

// forget removes an op, with its pushes, once no event can refer to it any more.
func (d *simulatedBalancer) forget(opID string, op *balance.Op) {
	if op.IsDone() {
		delete(d.ops, opID)
		delete(d.pushes, op)
	}
}

// addAction appends an action to the answer of the current line.
func (d *simulatedBalancer) addAction(a action) { d.actions = append(d.actions, a) }

// Push implements balance.Frontend, as do the methods below.
func (d *simulatedBalancer) Push(p *balance.Push, limit float64) {
	p.Ref = len(d.pushes[p.Op])
	d.pushes[p.Op] = append(d.pushes[p.Op], p)
	d.addAction(action{Send: &send{d.index, p.Op.Ref.(string), d.ids[p.Host], max(1, toMicros(limit))}})
}

func (d *simulatedBalancer) Cancel(p *balance.Push) {
	d.addAction(action{Undo: &undoSend{d.index, p.Op.Ref.(string), p.Ref.(int)}})
}

func (d *simulatedBalancer) Nack(op *balance.Op, backoff float64) {
	d.addAction(action{Reject: &reject{d.index, op.Ref.(string), toMicros(backoff)}})
	d.forget(op.Ref.(string), op)
}

func (d *simulatedBalancer) DeadLetter(op *balance.Op) {
	d.addAction(action{Error: &opError{d.index, op.Ref.(string)}})
	d.forget(op.Ref.(string), op)
}

func (d *simulatedBalancer) SetTimer(ms float64) {
	d.addAction(action{After: &wakeUp{Index: d.index, DelayUs: toMicros(ms)}})
}

func (d *simulatedBalancer) SubscribeHostList() {
	d.addAction(action{Watch: &subscribe{d.index, true}})
}

func (d *simulatedBalancer) CloseIdleConns(h *balance.Host) {
	d.addAction(action{HangUp: &hangUp{d.index, d.ids[h]}})
}

// toMicros converts milliseconds to whole microseconds.
func toMicros(ms float64) int64 { return int64(math.Round(ms * 1000)) }

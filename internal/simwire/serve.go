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

// Serve answers batches from in on out until in ends. An error names the line and field at fault.
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

// simulatedBalancer is one instance: its balancer, and the only place where its ids are known. It is the balancer's port.
type simulatedBalancer struct {
	*server
	i          int
	balancer   *balance.Balancer
	params     params.Params
	categories map[string]*balance.Category
	tenants    map[string]*balance.Tenant
	hosts      map[uint32]*balance.Host
	ids        map[*balance.Host]uint32
	ops        map[string]*balance.Op
	pushes     map[*balance.Op][]*balance.Push // by round
	looked     float64                         // ms, the time last given to the balancer
}

func (s *server) answer(line []byte) error {
	var b batch
	if err := json.Unmarshal(line, &b); err != nil {
		return err
	}
	if b.Now == nil {
		return errors.New("simTimeUs: missing")
	}
	s.now, s.actions = float64(*b.Now)/1000, []action{}
	for k, e := range b.Input {
		if err := s.take(e); err != nil {
			if err == errUnknown {
				err = fmt.Errorf("unknown event %s", nameOf(line, k))
			}
			return fmt.Errorf("input[%d]: %w", k, err)
		}
	}
	return nil
}

var errUnknown = errors.New("unknown event")

// nameOf finds what an event that has no place in event is called.
func nameOf(line []byte, k int) string {
	var b struct {
		Input []json.RawMessage `json:"input"`
	}
	if json.Unmarshal(line, &b) != nil || k >= len(b.Input) {
		return ""
	}
	return string(b.Input[k][:min(len(b.Input[k]), 80)])
}

// take turns one event into a call.
func (s *server) take(e event) error {
	switch {
	case e.Arrival != nil:
		return s.at("KNOCK", e.Arrival.I, func(d *simulatedBalancer) error { return d.arrive(e.Arrival) })
	case e.AttemptEnd != nil:
		return s.at("ATTEMPT_END", e.AttemptEnd.I, func(d *simulatedBalancer) error { return d.attemptEnd(e.AttemptEnd) })
	case e.Headers != nil:
		return s.at("HEADERS", e.Headers.I, func(d *simulatedBalancer) error {
			if p := d.push(e.Headers); p != nil {
				d.balancer.StreamingStarted(p)
			}
			return nil
		})
	case e.ClientLeft != nil: // it may name an op that has ended a moment ago
		return s.at("CLIENT_LEFT", e.ClientLeft.I, func(d *simulatedBalancer) error {
			if op := d.ops[e.ClientLeft.Corr]; op != nil {
				d.balancer.ClientLeft(op)
				d.forget(e.ClientLeft.Corr, op)
			}
			return nil
		})
	case e.Alarm != nil:
		return s.at("ALARM", e.Alarm.I, func(d *simulatedBalancer) error { d.balancer.TimerFired(); return nil })
	case e.DefineList != nil:
		return s.define(e.DefineList)
	case e.Announce != nil:
		return s.at("ANNOUNCE", e.Announce.I, func(d *simulatedBalancer) error { return d.announce(e.Announce) })
	case e.Configure != nil:
		return s.configure(e.Configure)
	case e.Shutdown != nil:
		return s.at("SHUTDOWN", e.Shutdown.I, func(d *simulatedBalancer) error { delete(s.balancers, d.i); return nil })
	case e.Check != nil:
		return s.at("CHECK_RESULT", e.Check.I, func(*simulatedBalancer) error { return nil })
	case e.Heard != nil:
		return s.at("HEARD", e.Heard.I, func(*simulatedBalancer) error { return nil })
	}
	return errUnknown
}

// at finds an event's instance, tells it the time, and makes the call.
func (s *server) at(name string, i *int, call func(*simulatedBalancer) error) error {
	if i == nil {
		return fmt.Errorf("%s.i: missing", name)
	}
	d := s.balancers[*i]
	if d == nil {
		return fmt.Errorf("%s.i: unknown instance %d", name, *i)
	}
	if d.looked < s.now {
		d.looked = s.now
		d.balancer.Advance(s.now)
	}
	if err := call(d); err != nil {
		return fmt.Errorf("%s.%w", name, err)
	}
	return nil
}

func (s *server) configure(e *configure) error {
	if e.I == nil {
		return errors.New("CONFIGURE.i: missing")
	}
	p, err := params.Parse(e.Params)
	if err != nil {
		return fmt.Errorf("CONFIGURE.%w", err)
	}
	d := &simulatedBalancer{server: s, i: *e.I, params: p, hosts: map[uint32]*balance.Host{}, looked: s.now,
		ids: map[*balance.Host]uint32{}, ops: map[string]*balance.Op{}, pushes: map[*balance.Op][]*balance.Push{}}
	begin, categories, tenants := p.ForBalancer(e.Seed)
	d.categories, d.tenants = categories, tenants
	s.balancers[*e.I] = d
	d.balancer = balance.New(begin, d, s.now)
	return nil
}

func (s *server) define(e *defineList) error {
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

var conditions = map[string]balance.Status{"SERVING": balance.Ready, "DRAINING": balance.Draining,
	"DELETED": balance.Gone}

func (d *simulatedBalancer) announce(e *announce) error {
	whole := e.Scope == "Complete" || e.Scope == "Persisted"
	switch {
	case e.Scope == "Error":
		d.balancer.HostListFailed()
		return nil
	case !whole && e.Scope != "Partial":
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
			h = &balance.Host{Name: strconv.FormatUint(uint64(*x.Host), 10), IsOrigin: d.params.IsOrigin(x.Shape)}
			d.hosts[*x.Host], d.ids[h] = h, *x.Host
		}
		l := balance.Listing{Zone: slices.Index(d.params.Zones, x.Zone), Cell: x.Cell, Size: x.Nominal,
			Status: conditions[x.Condition]}
		if !(l.Size > 0) { // a list without sizes
			l.Size = 1
		}
		if x.UpSince != nil {
			l.UpSince = float64(*x.UpSince) / 1000
		}
		entries = append(entries, balance.HostEntry{Host: h, Listing: l})
	}
	d.balancer.HostsListed(entries, whole, e.Scope == "Persisted")
	return nil
}

// arrive takes an op that arrives.
func (d *simulatedBalancer) arrive(e *arrival) error {
	category := d.categories[e.QoS]
	switch {
	case e.Corr == "":
		return errors.New("corr: missing")
	case d.ops[e.Corr] != nil:
		return fmt.Errorf("corr: %s is open already", e.Corr)
	case category == nil:
		return fmt.Errorf("qos: unknown category %q", e.QoS)
	case e.DropAt == nil:
		return errors.New("dropDeadUs: missing")
	}
	op := &balance.Op{Ref: e.Corr, Category: category, Deadline: float64(*e.DropAt) / 1000, IsWrite: e.Update}
	if e.Key != nil {
		op.Key = *e.Key
	}
	if e.Party != nil {
		if op.Tenant = d.tenants[*e.Party]; op.Tenant == nil && len(d.tenants) > 0 {
			return fmt.Errorf("party: unknown tenant %q", *e.Party)
		}
	}
	d.ops[e.Corr] = op
	d.balancer.OpArrived(op)
	return nil
}

func (d *simulatedBalancer) attemptEnd(e *attemptEnd) error {
	op := d.ops[e.Corr]
	switch {
	case op == nil:
		return fmt.Errorf("corr: unknown op %q", e.Corr)
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
	d.balancer.PushEnded(p, outcome, float64(e.Spent)/1000, e.Last, d.report(e.Stats))
	d.forget(e.Corr, op)
	return nil
}

// report reads a row of a host's load. One that is not as the start has it costs nothing but itself.
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

// push is the one of a round, or nil.
func (d *simulatedBalancer) push(e *headers) *balance.Push {
	if all := d.pushes[d.ops[e.Corr]]; e.Round >= 0 && e.Round < len(all) {
		return all[e.Round]
	}
	return nil
}

// forget drops an op of which nothing more can be heard.
func (d *simulatedBalancer) forget(corr string, op *balance.Op) {
	if op.IsDone() {
		delete(d.ops, corr)
		delete(d.pushes, op)
	}
}

func (d *simulatedBalancer) act(a action) { d.actions = append(d.actions, a) }

// Push implements balance.Port, as do the methods below.
func (d *simulatedBalancer) Push(p *balance.Push, limit float64) {
	p.Ref = len(d.pushes[p.Op])
	d.pushes[p.Op] = append(d.pushes[p.Op], p)
	d.act(action{Send: &send{d.i, p.Op.Ref.(string), d.ids[p.Host], max(1, us(limit))}})
}

func (d *simulatedBalancer) Cancel(p *balance.Push) {
	d.act(action{Undo: &undo{d.i, p.Op.Ref.(string), p.Ref.(int)}})
}

func (d *simulatedBalancer) Nack(op *balance.Op, backoff float64) {
	d.act(action{Reject: &reject{d.i, op.Ref.(string), us(backoff)}})
	d.forget(op.Ref.(string), op)
}

func (d *simulatedBalancer) DeadLetter(op *balance.Op) {
	d.act(action{Error: &ended{d.i, op.Ref.(string)}})
	d.forget(op.Ref.(string), op)
}

func (d *simulatedBalancer) SetTimer(ms float64) { d.act(action{After: &after{I: d.i, From: us(ms)}}) }

func (d *simulatedBalancer) SubscribeHostList() { d.act(action{Watch: &watch{d.i, true}}) }

func (d *simulatedBalancer) CloseIdleConns(h *balance.Host) {
	d.act(action{HangUp: &hangUp{d.i, d.ids[h]}})
}

// us turns milliseconds into the wire's whole microseconds.
func us(ms float64) int64 { return int64(math.Round(ms * 1000)) }

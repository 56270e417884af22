package standin

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"time"

	"larchthread/internal/protocol"
)

// The phases of a host in lists.
const (
	InService   = string(protocol.InService)
	Terminating = string(protocol.Terminating)
	Terminated  = string(protocol.Terminated)
)

// The kinds of machine in lists.
const (
	KindHost   = "box"
	KindOrigin = "origin"
)

const longestWatch = time.Minute

// Member is what discovery holds of a host.
type Member struct {
	ID      string
	Zone    string
	Address string
	Phase   string
	Origin  bool
	UpSince time.Duration // when it last started; 0: long ago

	changed uint64 // the revision of its last change
}

// Discovery is the list service. Each balancer has a view of its own, in which hosts have the addresses that it is to use.
type Discovery struct {
	fleet *Fleet

	mu       sync.Mutex
	revision uint64
	members  map[string][]Member // by id, what has been held of it, the last one last
	shown    uint64              // the last revision that views show, behind the newest while lists are late
	late     time.Duration
	silent   bool
	news     chan struct{} // closed with each change
	servers  []*http.Server
	ended    bool
}

// SetMember adds a member, or changes it.
func (d *Discovery) SetMember(m Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.revision++
	m.changed = d.revision
	d.members[m.ID] = append(d.members[m.ID], m)
	if d.late == 0 {
		d.show(d.revision)
		return
	}
	revision := d.revision
	time.AfterFunc(d.late, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.show(revision)
	})
}

// SetPhase changes the phase of a member, and when it started, unless that is 0.
func (d *Discovery) SetPhase(id, phase string, upSince time.Duration) error {
	d.mu.Lock()
	past := d.members[id]
	d.mu.Unlock()
	if len(past) == 0 {
		return fmt.Errorf("discovery: no member %q", id)
	}
	m := past[len(past)-1]
	m.Phase = phase
	if upSince > 0 {
		m.UpSince = upSince
	}
	d.SetMember(m)
	return nil
}

// SetDelay has changes shown so much later, from now on.
func (d *Discovery) SetDelay(by time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.late = by; by == 0 {
		d.show(d.revision)
	}
}

// SetSilent has calls taken and not answered while it is on.
func (d *Discovery) SetSilent(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.silent = on
	d.wake()
}

func (d *Discovery) show(revision uint64) {
	d.shown = max(d.shown, revision)
	d.wake()
}

func (d *Discovery) wake() {
	close(d.news)
	d.news = make(chan struct{})
}

func (d *Discovery) close() {
	d.mu.Lock()
	d.ended = true
	d.wake()
	servers := d.servers
	d.mu.Unlock()
	for _, s := range servers {
		s.Close()
	}
}

// ServeView serves a balancer's view on an address of its own, which it returns. address gives what a member's address is there.
func (d *Discovery) ServeView(name string, address func(m Member) string) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("discovery: %w", err)
	}
	s := &http.Server{Handler: d.Handler(name, address)}
	d.mu.Lock()
	d.servers = append(d.servers, s)
	d.mu.Unlock()
	go s.Serve(l)
	return l.Addr().String(), nil
}

// Handler serves a balancer's view, for a server of the caller's own.
func (d *Discovery) Handler(name string, address func(m Member) string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { d.answer(name, address, w, r) })
}

// FullList is the list as a view would show it, for a balancer's start file.
func (d *Discovery) FullList(address func(m Member) string) (json.RawMessage, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return json.Marshal(d.since(0, address))
}

func (d *Discovery) answer(name string, address func(m Member) string, w http.ResponseWriter, r *http.Request) {
	asked := r.URL.Query()
	index, _ := strconv.ParseUint(asked.Get("index"), 10, 64)
	wait, _ := strconv.Atoi(asked.Get("wait"))
	end := time.After(min(time.Duration(wait)*time.Millisecond, longestWatch))
	for over := !asked.Has("index"); ; {
		d.mu.Lock()
		if d.ended {
			d.mu.Unlock()
			return
		}
		if !d.silent && (over || d.shown > index) {
			l := d.since(index, address)
			d.mu.Unlock()
			d.write(name, w, l)
			return
		}
		news := d.news
		d.mu.Unlock()
		select {
		case <-news:
		case <-end:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

// since is what has changed behind a revision; all of it behind 0.
func (d *Discovery) since(index uint64, address func(m Member) string) *protocol.HostList {
	l := &protocol.HostList{Revision: max(d.shown, index), Complete: index == 0}
	for _, past := range d.members {
		m, found := shown(past, d.shown)
		if !found || m.changed <= index || l.Complete && m.Phase == Terminated {
			continue
		}
		at, err := netip.ParseAddrPort(address(m))
		if err != nil {
			continue
		}
		kind := KindHost
		if m.Origin {
			kind = KindOrigin
		}
		up := 0.0
		if m.UpSince > 0 {
			up = float64(d.fleet.StartTime().Add(m.UpSince).UnixMicro()) / 1000
		}
		l.Members = append(l.Members, protocol.Member{ID: m.ID, Address: at, Locality: m.Zone, Flavor: kind,
			Phase: protocol.Phase(m.Phase), Size: 1, UpSince: up})
	}
	slices.SortFunc(l.Members, func(x, y protocol.Member) int { return cmp.Compare(x.ID, y.ID) })
	return l
}

// shown is the last of what has been held of a member that views show.
func shown(past []Member, revision uint64) (m Member, found bool) {
	for _, p := range slices.Backward(past) {
		if p.changed <= revision {
			return p, true
		}
	}
	return m, false
}

func (d *Discovery) write(name string, w http.ResponseWriter, l *protocol.HostList) {
	t := SentList{View: name, Revision: l.Revision, Phases: map[string]string{}, Complete: l.Complete}
	for _, m := range l.Members {
		t.Phases[m.ID] = string(m.Phase)
	}
	w.Header().Set("Content-Type", "application/json")
	text, err := json.Marshal(l)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if _, err := w.Write(text); err != nil {
		return
	}
	d.fleet.mu.Lock()
	defer d.fleet.mu.Unlock()
	t.SentAt = d.fleet.Elapsed()
	d.fleet.told = append(d.fleet.told, t)
}

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

// Phases of a listed host.
const (
	InService   = string(protocol.InService)
	Terminating = string(protocol.Terminating)
	Terminated  = string(protocol.Terminated)
)

// Kinds of listed machines.
const (
	KindHost   = "box"
	KindOrigin = "origin"
)

const maxWatchDuration = time.Minute // longest wait for a change

// Member is a host or the origin as discovery lists it.
type Member struct {
	ID      string
	Zone    string
	Address string
	Phase   string
	Origin  bool
	UpSince time.Duration // its last start, since the start of the fleet; 0: before that

	changedIn uint64 // revision of its last change
}

// Discovery is the service that lists the hosts. Each balancer gets its own view, with the addresses that it should use.
type Discovery struct {
	fleet *Fleet

	mu              sync.Mutex
	revision        uint64
	history         map[string][]Member // all versions of each member by id, the newest last
	visibleRevision uint64              // newest revision that views show; lags behind revision by delay
	delay           time.Duration
	silent          bool          // requests are not answered
	changed         chan struct{} // closed and replaced at each change
	servers         []*http.Server
	closed          bool
}

// SetMember adds or replaces a member. Views show it after the current delay.
func (d *Discovery) SetMember(m Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.revision++
	m.changedIn = d.revision
	d.history[m.ID] = append(d.history[m.ID], m)
	if d.delay == 0 {
		d.publish(d.revision)
		return
	}
	revision := d.revision
	time.AfterFunc(d.delay, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.publish(revision)
	})
}

// SetPhase changes the phase of a member and, unless upSince is 0, its start time. It fails if there is no such member.
func (d *Discovery) SetPhase(id, phase string, upSince time.Duration) error {
	d.mu.Lock()
	versions := d.history[id]
	d.mu.Unlock()
	if len(versions) == 0 {
		return fmt.Errorf("discovery: no member %q", id)
	}
	m := versions[len(versions)-1]
	m.Phase = phase
	if upSince > 0 {
		m.UpSince = upSince
	}
	d.SetMember(m)
	return nil
}

// SetDelay delays the visibility of later changes; 0 shows all changes at once.
func (d *Discovery) SetDelay(delay time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.delay = delay; delay == 0 {
		d.publish(d.revision)
	}
}

// SetSilent makes the service accept requests without answering them while on is true.
func (d *Discovery) SetSilent(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.silent = on
	d.notifyWatchers()
}

// publish makes a revision visible. The caller holds the lock.
func (d *Discovery) publish(revision uint64) {
	d.visibleRevision = max(d.visibleRevision, revision)
	d.notifyWatchers()
}

// notifyWatchers wakes all waiting requests. The caller holds the lock.
func (d *Discovery) notifyWatchers() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// close ends all views.
func (d *Discovery) close() {
	d.mu.Lock()
	d.closed = true
	d.notifyWatchers()
	servers := d.servers
	d.mu.Unlock()
	for _, s := range servers {
		s.Close()
	}
}

// ServeView starts a server for the view of the balancer name and returns its address. The function address maps members to the
// addresses that the view shows.
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

// Handler returns a handler for the view of the balancer name; see ServeView. The caller runs the server.
func (d *Discovery) Handler(name string, address func(m Member) string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { d.serveList(name, address, w, r) })
}

// FullList returns the complete list as a view shows it, for a balancer's start file.
func (d *Discovery) FullList(address func(m Member) string) (json.RawMessage, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return json.Marshal(d.listSince(0, address))
}

// serveList answers a request with the complete list, or with what has changed after the revision in the query's index. If
// nothing has, it waits for a change for the milliseconds in the query's wait, and then answers with an empty change.
func (d *Discovery) serveList(name string, address func(m Member) string, w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	index, _ := strconv.ParseUint(query.Get("index"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait"))
	end := time.After(min(time.Duration(wait)*time.Millisecond, maxWatchDuration))
	for immediate := !query.Has("index"); ; {
		d.mu.Lock()
		if d.closed {
			d.mu.Unlock()
			return
		}
		if !d.silent && (immediate || d.visibleRevision > index) {
			l := d.listSince(index, address)
			d.mu.Unlock()
			d.writeList(name, w, l)
			return
		}
		changed := d.changed
		d.mu.Unlock()
		select {
		case <-changed:
		case <-end:
			immediate = true
		case <-r.Context().Done():
			return
		}
	}
}

// listSince returns the members that changed after revision index, or the complete list if index is 0. The caller holds the
// lock.
func (d *Discovery) listSince(index uint64, address func(m Member) string) *protocol.HostList {
	list := &protocol.HostList{Revision: max(d.visibleRevision, index), Complete: index == 0}
	for _, versions := range d.history {
		m, found := memberAt(versions, d.visibleRevision)
		if !found || m.changedIn <= index || list.Complete && m.Phase == Terminated {
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
		upSince := 0.0
		if m.UpSince > 0 {
			upSince = float64(d.fleet.StartTime().Add(m.UpSince).UnixMicro()) / 1000
		}
		list.Members = append(list.Members, protocol.Member{ID: m.ID, Address: at, Locality: m.Zone, Flavor: kind,
			Phase: protocol.Phase(m.Phase), Size: 1, UpSince: upSince})
	}
	slices.SortFunc(list.Members, func(x, y protocol.Member) int { return cmp.Compare(x.ID, y.ID) })
	return list
}

// memberAt returns the newest version of a member at a revision; found is false if it did not exist then.
func memberAt(versions []Member, revision uint64) (m Member, found bool) {
	for _, version := range slices.Backward(versions) {
		if version.changedIn <= revision {
			return version, true
		}
	}
	return m, false
}

// writeList writes a list to a balancer and records it.
func (d *Discovery) writeList(name string, w http.ResponseWriter, l *protocol.HostList) {
	sent := SentList{View: name, Revision: l.Revision, Phases: map[string]string{}, Complete: l.Complete}
	for _, m := range l.Members {
		sent.Phases[m.ID] = string(m.Phase)
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
	sent.SentAt = d.fleet.Elapsed()
	d.fleet.sentLists = append(d.fleet.sentLists, sent)
}

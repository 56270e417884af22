package protocol

import (
	"encoding/json"
	"fmt"
	"net/netip"

	"larchthread/internal/transport"
)

// Phase of a host in discovery's list.
type Phase string

const (
	InService   Phase = "in_service"
	Terminating Phase = "terminating"
	Terminated  Phase = "terminated"
)

// Member is one line of discovery's list.
type Member struct {
	ID       string
	Address  netip.AddrPort
	Locality string
	Flavor   string
	Cell     int
	Phase    Phase
	Size     float64
	UpSince  float64 // Unix ms, 0 for long ago
}

// HostList is discovery's list, or changes to it.
type HostList struct {
	Revision     uint64
	Complete     bool
	Members      []Member
	MemberErrors []error // why lines were left out
}

// listForm is a list in discovery's form.
type listForm struct {
	Revision *uint64      `json:"revision"`
	Complete bool         `json:"complete"`
	Members  []memberForm `json:"members"`
}

type memberForm struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Flavor   string  `json:"flavor"`
	Cell     int     `json:"cell"`
	Phase    Phase   `json:"phase"`
	Size     float64 `json:"size"`
	UpSince  float64 `json:"up_since_ms"`
}

// MarshalJSON writes discovery's form.
func (l *HostList) MarshalJSON() ([]byte, error) {
	form := listForm{Revision: &l.Revision, Complete: l.Complete}
	for _, m := range l.Members {
		form.Members = append(form.Members, memberForm{m.ID, m.Address.String(), m.Locality, m.Flavor, m.Cell, m.Phase,
			m.Size, m.UpSince})
	}
	return json.Marshal(form)
}

// UnmarshalJSON reads discovery's form. A line that can't be read is left out: the others still have to be heeded.
func (l *HostList) UnmarshalJSON(raw []byte) error {
	var form listForm
	if err := json.Unmarshal(raw, &form); err != nil {
		return fmt.Errorf("list: %w", err)
	}
	if form.Revision == nil {
		return fmt.Errorf("list: revision: missing")
	}
	*l = HostList{Revision: *form.Revision, Complete: form.Complete}
	for i, m := range form.Members {
		at := fmt.Sprintf("list: members[%d]", i)
		address, err := netip.ParseAddrPort(m.HostPort)
		switch {
		case m.ID == "":
			l.MemberErrors = append(l.MemberErrors, fmt.Errorf("%s: id: missing", at))
			continue
		case err != nil && m.Phase != Terminated:
			l.MemberErrors = append(l.MemberErrors, fmt.Errorf("%s: host_port: %q, want an address with a port", at, clip(m.HostPort)))
			continue
		case m.Phase != InService && m.Phase != Terminating && m.Phase != Terminated:
			l.MemberErrors = append(l.MemberErrors, fmt.Errorf("%s: phase: unknown %q", at, clip(string(m.Phase))))
			continue
		}
		l.Members = append(l.Members, Member{m.ID, address, m.Locality, m.Flavor, m.Cell, m.Phase, m.Size,
			m.UpSince})
	}
	return nil
}

// ListReader reads discovery's answers.
type ListReader struct{ responses ResponseReader }

// NewListReader makes a reader of discovery's answers.
func NewListReader() *ListReader { return &ListReader{ResponseReader{MaxBodyBytes: bodyMost}} }

// Next takes a list off the front. It returns nil while none is whole. Any answer but a list is an error.
func (r *ListReader) Next(in *transport.Chain) (*HostList, bool, error) {
	a, err := r.responses.Next(in)
	if a == nil {
		return nil, false, err
	}
	return list(a)
}

// Finish is Next for the end of the connection.
func (r *ListReader) Finish() (*HostList, bool, error) {
	if a := r.responses.Finish(); a != nil {
		return list(a)
	}
	return nil, true, nil
}

// Free gives back what an unfinished answer holds.
func (r *ListReader) Free() { r.responses.Free() }

func list(a *Response) (l *HostList, last bool, err error) {
	defer a.Body.Free()
	if a.Status != 200 {
		return nil, a.Close, fmt.Errorf("discovery answers %d", a.Status)
	}
	l = &HostList{}
	if err := json.Unmarshal(a.Body.Bytes(), l); err != nil {
		return nil, a.Close, err
	}
	return l, a.Close, nil
}

// WriteListRequest asks discovery for the whole list.
func WriteListRequest(out *transport.Chain, host string) {
	writeCall(out, host, "")
}

// WriteWatchRequest asks discovery for what is newer than a revision, within wait ms.
func WriteWatchRequest(out *transport.Chain, host string, revision uint64, wait int) {
	writeCall(out, host, fmt.Sprintf("?index=%d&wait=%d", revision, wait))
}

func writeCall(out *transport.Chain, host, query string) {
	fmt.Fprintf(out, "GET /discovery/hosts%s HTTP/1.1\r\nHost: %s\r\n\r\n", query, host)
}

package protocol

import (
	"encoding/json"
	"fmt"
	"net/netip"

	"larchthread/internal/transport"
)

// Phase is the stage of life of a host in discovery's list.
type Phase string

const (
	InService   Phase = "in_service"
	Terminating Phase = "terminating"
	Terminated  Phase = "terminated"
)

// Member is a host in discovery's list.
type Member struct {
	ID       string
	Address  netip.AddrPort
	Locality string
	Flavor   string
	Cell     int
	Phase    Phase
	Size     float64
	UpSince  float64 // start of the host in Unix ms, 0 for long ago
}

// HostList is discovery's complete list, or the changes since an earlier revision.
type HostList struct {
	Revision     uint64
	Complete     bool
	Members      []Member
	MemberErrors []error // why members were left out
}

// listForm is the JSON form of a HostList.
type listForm struct {
	Revision *uint64      `json:"revision"`
	Complete bool         `json:"complete"`
	Members  []memberForm `json:"members"`
}

// memberForm is the JSON form of a Member.
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

// MarshalJSON encodes the list in discovery's form.
func (l *HostList) MarshalJSON() ([]byte, error) {
	form := listForm{Revision: &l.Revision, Complete: l.Complete}
	for _, m := range l.Members {
		form.Members = append(form.Members, memberForm{m.ID, m.Address.String(), m.Locality, m.Flavor, m.Cell, m.Phase,
			m.Size, m.UpSince})
	}
	return json.Marshal(form)
}

// UnmarshalJSON decodes a list in discovery's form. An invalid member is left out and reported in MemberErrors, so that
// the other members still take effect.
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
			l.MemberErrors = append(l.MemberErrors, fmt.Errorf("%s: host_port: %q, want an address with a port", at, truncate(m.HostPort)))
			continue
		case m.Phase != InService && m.Phase != Terminating && m.Phase != Terminated:
			l.MemberErrors = append(l.MemberErrors, fmt.Errorf("%s: phase: unknown %q", at, truncate(string(m.Phase))))
			continue
		}
		l.Members = append(l.Members, Member{m.ID, address, m.Locality, m.Flavor, m.Cell, m.Phase, m.Size,
			m.UpSince})
	}
	return nil
}

// ListReader parses discovery's HTTP responses.
type ListReader struct{ responses ResponseReader }

// NewListReader makes a reader for the bytes of one connection.
func NewListReader() *ListReader { return &ListReader{ResponseReader{MaxBodyBytes: maxBodyBytes}} }

// Next removes the next list from in. It returns nil while the list is incomplete, and true where the connection closes
// after it. Any response but a list is an error.
func (r *ListReader) Next(in *transport.Chain) (*HostList, bool, error) {
	a, err := r.responses.Next(in)
	if a == nil {
		return nil, false, err
	}
	return parseHostList(a)
}

// Finish tells the reader that the connection has ended. It returns the list that this completes, or nil.
func (r *ListReader) Finish() (*HostList, bool, error) {
	if a := r.responses.Finish(); a != nil {
		return parseHostList(a)
	}
	return nil, true, nil
}

// Free releases the buffers of an incomplete response.
func (r *ListReader) Free() { r.responses.Free() }

// parseHostList parses the list in a response and frees the body. It returns true where the connection closes after it.
func parseHostList(response *Response) (l *HostList, last bool, err error) {
	defer response.Body.Free()
	if response.Status != 200 {
		return nil, response.Close, fmt.Errorf("discovery answers %d", response.Status)
	}
	l = &HostList{}
	if err := json.Unmarshal(response.Body.Bytes(), l); err != nil {
		return nil, response.Close, err
	}
	return l, response.Close, nil
}

// WriteListRequest requests the complete list.
func WriteListRequest(out *transport.Chain, host string) {
	writeDiscoveryRequest(out, host, "")
}

// WriteWatchRequest requests the changes since a revision. Discovery answers after wait ms at the latest.
func WriteWatchRequest(out *transport.Chain, host string, revision uint64, wait int) {
	writeDiscoveryRequest(out, host, fmt.Sprintf("?index=%d&wait=%d", revision, wait))
}

// writeDiscoveryRequest writes a GET request for the host list.
func writeDiscoveryRequest(out *transport.Chain, host, query string) {
	fmt.Fprintf(out, "GET /discovery/hosts%s HTTP/1.1\r\nHost: %s\r\n\r\n", query, host)
}

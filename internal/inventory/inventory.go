// Package inventory reads descriptions of a fleet that are kept by hand, in CSV or YAML, and tells what a change of one
// changes. Both forms give the same list. A file is taken whole or refused whole, with each line at fault named.
package inventory

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"unicode"
)

const (
	sizeMost   = 4 << 20 // bytes of a file: some tens of thousands of hosts
	hostsMost  = 20000   // hosts of a file, over ten times the largest fleet seen
	nameMost   = 128     // bytes of an id, a zone or a kind
	faultsMost = 20      // faults told of one file; more are counted
	weightMost = 1000.0  // times the usual size: more is a slip
)

// Host is one host of a fleet.
type Host struct {
	ID      string
	Address netip.AddrPort
	Zone    string
	Kind    string
	Weight  float64 // size in relation to the others
	Line    int     // where it stands
}

// FileError is something wrong in a file.
type FileError struct {
	File    string
	Line    int // 0 for the whole file
	Message string
}

func (f FileError) Error() string {
	if f.Line == 0 {
		return f.File + ": " + f.Message
	}
	return fmt.Sprintf("%s:%d: %s", f.File, f.Line, f.Message)
}

// FileErrors are why a file is refused.
type FileErrors []FileError

func (f FileErrors) Error() string {
	lines := make([]string, 0, faultsMost+1)
	for _, x := range f[:min(len(f), faultsMost)] {
		lines = append(lines, x.Error())
	}
	if len(f) > faultsMost {
		lines = append(lines, fmt.Sprintf("and %d more", len(f)-faultsMost))
	}
	return strings.Join(lines, "\n")
}

// fields are the columns of CSV and the keys of a host in YAML.
var fields = []string{"id", "address", "zone", "kind", "weight"}

// row is a host as it stands in a file, field by field.
type row struct {
	line   int
	values map[string]string
}

// reader gathers what is read of one file.
type reader struct {
	file   string
	rows   []row
	faults FileErrors
}

func (r *reader) fault(line int, form string, args ...any) {
	r.faults = append(r.faults, FileError{r.file, line, fmt.Sprintf(form, args...)})
}

// Parse reads a file's text. Its form follows from its name: .csv, .yaml or .yml. The hosts come in the order of their ids; an
// error is Faults.
func Parse(name string, text []byte) ([]Host, error) {
	r := &reader{file: name}
	text = bytes.TrimPrefix(text, []byte("\ufeff"))
	text = bytes.ReplaceAll(bytes.ReplaceAll(text, []byte("\r\n"), []byte("\n")), []byte("\r"), []byte("\n"))
	switch form := strings.ToLower(filepath.Ext(name)); {
	case len(text) > sizeMost:
		r.fault(0, "%d bytes, want %d at the most", len(text), sizeMost)
	case len(bytes.TrimSpace(text)) == 0:
		r.fault(0, "empty")
	case text[len(text)-1] != '\n': // a word cut short may still be one: a kind, a number
		r.fault(bytes.Count(text, []byte("\n"))+1, "the last line has no end: the file may be cut off")
	case form == ".csv":
		r.csv(text)
	case form == ".yaml" || form == ".yml":
		r.yaml(text)
	default:
		r.fault(0, "unknown form %q, want .csv, .yaml or .yml", form)
	}
	hosts := r.hosts()
	if len(r.faults) > 0 {
		slices.SortStableFunc(r.faults, func(x, y FileError) int { return cmp.Compare(x.Line, y.Line) })
		return nil, r.faults
	}
	return hosts, nil
}

// hosts makes hosts of the rows.
func (r *reader) hosts() []Host {
	if len(r.faults) == 0 && len(r.rows) == 0 { // a list without hosts would take all out of use: that is never meant
		r.fault(0, "no hosts")
	}
	if len(r.rows) > hostsMost {
		r.fault(0, "%d hosts, want %d at the most", len(r.rows), hostsMost)
		return nil
	}
	var all []Host
	ids, addresses := map[string]int{}, map[netip.AddrPort]int{}
	for _, w := range r.rows {
		h, ok := r.host(w)
		if !ok {
			continue
		}
		if at := ids[h.ID]; at > 0 {
			r.fault(h.Line, "id: %q stands in line %d already", h.ID, at)
		}
		if at := addresses[h.Address]; at > 0 {
			r.fault(h.Line, "address: %s stands in line %d already", h.Address, at)
		}
		ids[h.ID], addresses[h.Address] = h.Line, h.Line
		all = append(all, h)
	}
	slices.SortFunc(all, func(x, y Host) int { return cmp.Compare(x.ID, y.ID) })
	return all
}

// host makes a host of a row.
func (r *reader) host(w row) (h Host, ok bool) {
	before := len(r.faults)
	h = Host{ID: w.values["id"], Zone: w.values["zone"], Kind: w.values["kind"], Weight: 1, Line: w.line}
	for _, f := range []string{"id", "address"} {
		if w.values[f] == "" {
			r.fault(w.line, "%s: missing", f)
		}
	}
	for _, f := range []string{"id", "zone", "kind"} {
		if v := w.values[f]; len(v) > nameMost || strings.ContainsFunc(v, func(c rune) bool {
			return unicode.IsSpace(c) || !unicode.IsPrint(c)
		}) {
			r.fault(w.line, "%s: %.40q, want %d bytes at the most and no blanks", f, v, nameMost)
		}
	}
	if v := w.values["address"]; v != "" {
		a, err := netip.ParseAddrPort(v)
		if err != nil || a.Port() == 0 || a.Addr().IsUnspecified() {
			r.fault(w.line, "address: %.60q, want an IP address with a port", v)
		}
		h.Address = netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
	}
	if v := w.values["weight"]; v != "" {
		var err error
		if h.Weight, err = strconv.ParseFloat(v, 64); err != nil || !(h.Weight > 0 && h.Weight <= weightMost) {
			r.fault(w.line, "weight: %.40q, want a number above 0, %v at the most", v, weightMost)
		}
	}
	return h, len(r.faults) == before
}

// Change is what becomes of one host between two lists.
type Change struct {
	ID       string
	Old, New *Host // nil where it is not on that list
}

// String is one line: what was and what is.
func (c Change) String() string {
	switch {
	case c.Old == nil:
		return fmt.Sprintf("+ %s %s", c.ID, c.New.rest())
	case c.New == nil:
		return fmt.Sprintf("- %s %s", c.ID, c.Old.rest())
	}
	return fmt.Sprintf("~ %s %s -> %s", c.ID, c.Old.rest(), c.New.rest())
}

func (h *Host) rest() string { return fmt.Sprintf("%s %s %s %v", h.Address, h.Zone, h.Kind, h.Weight) }

// Diff tells what changes from one list to another, both as Read gives them.
func Diff(old, new []Host) (all []Change) {
	for len(old) > 0 || len(new) > 0 {
		switch {
		case len(new) == 0 || len(old) > 0 && old[0].ID < new[0].ID:
			all = append(all, Change{old[0].ID, &old[0], nil})
			old = old[1:]
		case len(old) == 0 || new[0].ID < old[0].ID:
			all = append(all, Change{new[0].ID, nil, &new[0]})
			new = new[1:]
		default:
			if old[0].rest() != new[0].rest() {
				all = append(all, Change{new[0].ID, &old[0], &new[0]})
			}
			old, new = old[1:], new[1:]
		}
	}
	return all
}

// Load reads a file. A file that can't be read is Faults too.
func Load(path string) ([]Host, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, FileErrors{{path, 0, errors.Unwrap(err).Error()}}
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, sizeMost+1))
	if err != nil {
		return nil, FileErrors{{path, 0, errors.Unwrap(err).Error()}}
	}
	return Parse(path, text)
}

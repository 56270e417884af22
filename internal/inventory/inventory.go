// Package inventory parses hand-written lists of a fleet's hosts, in CSV or YAML, compares two lists, and watches a file for
// changes. Both formats give the same list. A file with any error is rejected as a whole, with an error for each faulty line.
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
	maxFileBytes      = 4 << 20 // size of a file
	maxHosts          = 20000   // hosts in a file
	maxNameBytes      = 128     // length of an id, a zone or a kind
	maxReportedErrors = 20      // errors listed per file; further ones are only counted
	maxWeight         = 1000.0  // larger weights are taken for typing errors
)

// Host is one host of an inventory.
type Host struct {
	ID      string
	Address netip.AddrPort
	Zone    string
	Kind    string
	Weight  float64 // size relative to the other hosts; 1 by default
	Line    int     // line in the file, from 1
}

// FileError is an error in an inventory file.
type FileError struct {
	File    string
	Line    int // from 1; 0: the error concerns the whole file
	Message string
}

// Error formats the error as FILE:LINE: MESSAGE, or FILE: MESSAGE if it concerns the whole file.
func (e FileError) Error() string {
	if e.Line == 0 {
		return e.File + ": " + e.Message
	}
	return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Message)
}

// FileErrors are all errors of a rejected file, ordered by line.
type FileErrors []FileError

// Error lists the first errors, one per line, and the number of the others.
func (e FileErrors) Error() string {
	lines := make([]string, 0, maxReportedErrors+1)
	for _, x := range e[:min(len(e), maxReportedErrors)] {
		lines = append(lines, x.Error())
	}
	if len(e) > maxReportedErrors {
		lines = append(lines, fmt.Sprintf("and %d more", len(e)-maxReportedErrors))
	}
	return strings.Join(lines, "\n")
}

// fields are the names of the CSV columns and of the YAML keys of a host.
var fields = []string{"id", "address", "zone", "kind", "weight"}

// row holds the unchecked fields of one host.
type row struct {
	line   int
	values map[string]string
}

// parser collects the rows and the errors of one file.
type parser struct {
	file string
	rows []row
	errs FileErrors
}

// errorf records an error at a line; 0 stands for the whole file.
func (p *parser) errorf(line int, format string, args ...any) {
	p.errs = append(p.errs, FileError{p.file, line, fmt.Sprintf(format, args...)})
}

// Parse parses the text of an inventory file. The extension of name selects the format: .csv, .yaml or .yml. The returned hosts
// are sorted by id. An error is always of type FileErrors.
func Parse(name string, text []byte) ([]Host, error) {
	p := &parser{file: name}
	text = bytes.TrimPrefix(text, []byte("\ufeff"))
	text = bytes.ReplaceAll(bytes.ReplaceAll(text, []byte("\r\n"), []byte("\n")), []byte("\r"), []byte("\n"))
	switch extension := strings.ToLower(filepath.Ext(name)); {
	case len(text) > maxFileBytes:
		p.errorf(0, "%d bytes, want at most %d", len(text), maxFileBytes)
	case len(bytes.TrimSpace(text)) == 0:
		p.errorf(0, "empty")
	case text[len(text)-1] != '\n': // a truncated value may still be valid
		p.errorf(bytes.Count(text, []byte("\n"))+1, "no newline at the end: the file may be truncated")
	case extension == ".csv":
		p.parseCSV(text)
	case extension == ".yaml" || extension == ".yml":
		p.parseYAML(text)
	default:
		p.errorf(0, "unknown format %q, want .csv, .yaml or .yml", extension)
	}
	hosts := p.buildHosts()
	if len(p.errs) > 0 {
		slices.SortStableFunc(p.errs, func(x, y FileError) int { return cmp.Compare(x.Line, y.Line) })
		return nil, p.errs
	}
	return hosts, nil
}

// buildHosts returns the hosts of all valid rows, sorted by id. It records an error for each invalid row, for ids and addresses
// that occur twice, and for a file without hosts or with too many.
func (p *parser) buildHosts() []Host {
	if len(p.errs) == 0 && len(p.rows) == 0 { // an empty list would take every host out of service
		p.errorf(0, "no hosts")
	}
	if len(p.rows) > maxHosts {
		p.errorf(0, "%d hosts, want at most %d", len(p.rows), maxHosts)
		return nil
	}
	var all []Host
	ids, addresses := map[string]int{}, map[netip.AddrPort]int{}
	for _, r := range p.rows {
		h, ok := p.buildHost(r)
		if !ok {
			continue
		}
		if line := ids[h.ID]; line > 0 {
			p.errorf(h.Line, "id: %q is already used in line %d", h.ID, line)
		}
		if line := addresses[h.Address]; line > 0 {
			p.errorf(h.Line, "address: %s is already used in line %d", h.Address, line)
		}
		ids[h.ID], addresses[h.Address] = h.Line, h.Line
		all = append(all, h)
	}
	slices.SortFunc(all, func(x, y Host) int { return cmp.Compare(x.ID, y.ID) })
	return all
}

// buildHost converts a row to a host. It records an error for each invalid field; ok is false if there was one.
func (p *parser) buildHost(r row) (h Host, ok bool) {
	before := len(p.errs)
	h = Host{ID: r.values["id"], Zone: r.values["zone"], Kind: r.values["kind"], Weight: 1, Line: r.line}
	for _, f := range []string{"id", "address"} {
		if r.values[f] == "" {
			p.errorf(r.line, "%s: missing", f)
		}
	}
	for _, f := range []string{"id", "zone", "kind"} {
		if v := r.values[f]; len(v) > maxNameBytes || strings.ContainsFunc(v, func(c rune) bool {
			return unicode.IsSpace(c) || !unicode.IsPrint(c)
		}) {
			p.errorf(r.line, "%s: %.40q, want at most %d printable bytes without spaces", f, v, maxNameBytes)
		}
	}
	if v := r.values["address"]; v != "" {
		a, err := netip.ParseAddrPort(v)
		if err != nil || a.Port() == 0 || a.Addr().IsUnspecified() {
			p.errorf(r.line, "address: %.60q, want an IP address with a port", v)
		}
		h.Address = netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
	}
	if v := r.values["weight"]; v != "" {
		var err error
		if h.Weight, err = strconv.ParseFloat(v, 64); err != nil || !(h.Weight > 0 && h.Weight <= maxWeight) {
			p.errorf(r.line, "weight: %.40q, want a number above 0 and at most %v", v, maxWeight)
		}
	}
	return h, len(p.errs) == before
}

// Change is the difference of one host between two lists.
type Change struct {
	ID       string
	Old, New *Host // nil if the host is not in that list
}

// String describes the change in one line: "+" for an added host, "-" for a removed one, "~" for a changed one.
func (c Change) String() string {
	switch {
	case c.Old == nil:
		return fmt.Sprintf("+ %s %s", c.ID, c.New.attributes())
	case c.New == nil:
		return fmt.Sprintf("- %s %s", c.ID, c.Old.attributes())
	}
	return fmt.Sprintf("~ %s %s -> %s", c.ID, c.Old.attributes(), c.New.attributes())
}

// attributes formats what Diff compares: everything but the id and the line.
func (h *Host) attributes() string {
	return fmt.Sprintf("%s %s %s %v", h.Address, h.Zone, h.Kind, h.Weight)
}

// Diff returns the changes from one list to another, ordered by id. Both lists have to be sorted by id, as Parse returns them.
// A host that only moved to another line is unchanged.
func Diff(old, new []Host) (changes []Change) {
	for len(old) > 0 || len(new) > 0 {
		switch {
		case len(new) == 0 || len(old) > 0 && old[0].ID < new[0].ID:
			changes = append(changes, Change{old[0].ID, &old[0], nil})
			old = old[1:]
		case len(old) == 0 || new[0].ID < old[0].ID:
			changes = append(changes, Change{new[0].ID, nil, &new[0]})
			new = new[1:]
		default:
			if old[0].attributes() != new[0].attributes() {
				changes = append(changes, Change{new[0].ID, &old[0], &new[0]})
			}
			old, new = old[1:], new[1:]
		}
	}
	return changes
}

// Load reads and parses an inventory file; see Parse. An error, also of reading the file, is always of type FileErrors.
func Load(path string) ([]Host, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, FileErrors{{path, 0, errors.Unwrap(err).Error()}}
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, maxFileBytes+1))
	if err != nil {
		return nil, FileErrors{{path, 0, errors.Unwrap(err).Error()}}
	}
	return Parse(path, text)
}

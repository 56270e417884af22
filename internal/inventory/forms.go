package inventory

import (
	"bytes"
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"

	"go.yaml.in/yaml/v3"
)

const (
	nodesMost = 10 * hostsMost // values of a YAML file looked at, aliases followed: a few a host, and room
	mergeMost = 8              // merges inside each other: two are usual
)

// csv reads rows: a line that names the columns, in any order, then a line a host. Lines that start with # are left out.
func (r *reader) csv(text []byte) {
	c := csv.NewReader(bytes.NewReader(text))
	c.FieldsPerRecord, c.TrimLeadingSpace, c.Comment = -1, true, '#'
	var columns []string
	for {
		values, err := c.Read()
		if err == io.EOF {
			return
		}
		if err != nil {
			line := 0
			if p := (*csv.ParseError)(nil); errors.As(err, &p) {
				line, err = p.StartLine, p.Err
			}
			r.fault(line, "%v", err)
			return
		}
		line, _ := c.FieldPos(0)
		for i := range values {
			values[i] = strings.TrimSpace(values[i])
		}
		switch {
		case columns == nil:
			if columns = values; !r.columns(line, columns) {
				return
			}
		case len(values) != len(columns):
			r.fault(line, "%d fields, want %d", len(values), len(columns))
		default:
			w := row{line, map[string]string{}}
			for i, v := range values {
				w.values[columns[i]] = v
			}
			r.rows = append(r.rows, w)
		}
	}
}

// columns checks the line that names the columns.
func (r *reader) columns(line int, names []string) bool {
	before := len(r.faults)
	for i, n := range names {
		names[i] = strings.ToLower(n)
		r.field(line, names[i])
		if slices.Contains(names[:i], names[i]) {
			r.fault(line, "column %q stands twice", names[i])
		}
	}
	for _, n := range []string{"id", "address"} {
		if !slices.Contains(names, n) {
			r.fault(line, "column %q is missing", n)
		}
	}
	return len(r.faults) == before
}

// field checks that a field is known: one with a slip in its name would go unheeded.
func (r *reader) field(line int, name string) {
	if !slices.Contains(fields, name) {
		r.fault(line, "unknown field %.40q, want %s", name, strings.Join(fields, ", "))
	}
}

// tree walks a YAML document; aliases count each time they are followed, so that a small file can't stand for a huge one.
type tree struct {
	*reader
	left int
}

// yaml reads rows: a mapping with the key hosts, a list of mappings. Keys that begin with x- may hold what is merged in.
func (r *reader) yaml(text []byte) {
	d := yaml.NewDecoder(bytes.NewReader(text))
	var doc, more yaml.Node
	if err := d.Decode(&doc); err != nil {
		line, text := 0, strings.TrimPrefix(err.Error(), "yaml: ")
		if n, _ := fmt.Sscanf(text, "line %d: ", &line); n > 0 {
			_, text, _ = strings.Cut(text, ": ")
		}
		r.fault(line, "%s", text)
		return
	}
	if err := d.Decode(&more); err != io.EOF {
		r.fault(more.Line, "more than one document")
		return
	}
	t := &tree{r, nodesMost}
	root := doc.Content[0]
	if root.Kind != yaml.MappingNode {
		r.fault(root.Line, "want a mapping with the key hosts")
		return
	}
	found := false
	for i := 0; i < len(root.Content); i += 2 {
		key, value := root.Content[i], t.follow(root.Content[i+1])
		switch {
		case key.Value == "hosts" && found:
			r.fault(key.Line, "hosts: stands twice")
		case key.Value == "hosts" && (value == nil || value.Kind != yaml.SequenceNode):
			r.fault(key.Line, "hosts: want a list")
			found = true
		case key.Value == "hosts":
			found = true
			for _, n := range value.Content {
				t.row(n)
			}
		case !strings.HasPrefix(key.Value, "x-"):
			r.fault(key.Line, "unknown key %.40q, want hosts, or names that begin with x-", key.Value)
		}
	}
	if !found {
		r.fault(root.Line, "hosts: missing")
	}
}

// follow is what a node stands for; nil once the file has been followed too far.
func (t *tree) follow(n *yaml.Node) *yaml.Node {
	for n != nil && n.Kind == yaml.AliasNode {
		n = n.Alias
	}
	if t.left--; t.left < 0 {
		if t.left == -1 {
			t.fault(n.Line, "more than %d values, aliases followed", nodesMost)
		}
		return nil
	}
	return n
}

// row takes one host.
func (t *tree) row(n *yaml.Node) {
	line := n.Line
	w := row{line, map[string]string{}}
	if t.mapping(n, line, w.values, mergeMost) {
		t.rows = append(t.rows, w)
	}
}

// mapping takes the fields of a mapping, then those merged in that it does not have itself.
func (t *tree) mapping(n *yaml.Node, line int, values map[string]string, deep int) bool {
	if n = t.follow(n); n == nil {
		return false
	}
	if n.Kind != yaml.MappingNode || deep == 0 {
		t.fault(line, "want a mapping with the fields %s", strings.Join(fields, ", "))
		return false
	}
	good := true
	own := map[string]bool{}
	for i := 0; i < len(n.Content); i += 2 {
		key, value := n.Content[i], t.follow(n.Content[i+1])
		switch {
		case value == nil:
			return false
		case key.Tag == "!!merge":
		case own[key.Value]:
			t.fault(key.Line, "%s: stands twice", key.Value)
			good = false
		case value.Kind != yaml.ScalarNode:
			t.fault(key.Line, "%s: want one value", key.Value)
			good = false
		default:
			t.field(key.Line, key.Value)
			own[key.Value] = true
			if _, set := values[key.Value]; !set && value.Tag != "!!null" {
				values[key.Value] = strings.TrimSpace(value.Value)
			}
		}
	}
	for i := 0; i < len(n.Content); i += 2 {
		if n.Content[i].Tag != "!!merge" {
			continue
		}
		from := t.follow(n.Content[i+1])
		if from == nil {
			return false
		}
		parts := []*yaml.Node{from}
		if from.Kind == yaml.SequenceNode {
			parts = from.Content
		}
		for _, p := range parts {
			good = t.mapping(p, line, values, deep-1) && good
		}
	}
	return good
}

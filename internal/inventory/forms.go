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
	maxNodes      = 10 * maxHosts // YAML values visited, each followed alias counted again
	maxMergeDepth = 8             // nested merge keys
)

// parseCSV appends the rows of a CSV file: a header that names the columns in any order, then one line per host. Lines that
// start with # are comments. It records an error for each faulty line and stops at a syntax error or a faulty header.
func (p *parser) parseCSV(text []byte) {
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
			if parseErr := (*csv.ParseError)(nil); errors.As(err, &parseErr) {
				line, err = parseErr.StartLine, parseErr.Err
			}
			p.errorf(line, "%v", err)
			return
		}
		line, _ := c.FieldPos(0)
		for i := range values {
			values[i] = strings.TrimSpace(values[i])
		}
		switch {
		case columns == nil:
			if columns = values; !p.checkColumns(line, columns) {
				return
			}
		case len(values) != len(columns):
			p.errorf(line, "%d fields, want %d", len(values), len(columns))
		default:
			r := row{line, map[string]string{}}
			for i, v := range values {
				r.values[columns[i]] = v
			}
			p.rows = append(p.rows, r)
		}
	}
}

// checkColumns changes the header's names to lower case and records an error for each unknown, repeated or missing column. It
// reports whether there was none.
func (p *parser) checkColumns(line int, names []string) bool {
	before := len(p.errs)
	for i, n := range names {
		names[i] = strings.ToLower(n)
		p.checkField(line, names[i])
		if slices.Contains(names[:i], names[i]) {
			p.errorf(line, "duplicate column %q", names[i])
		}
	}
	for _, n := range []string{"id", "address"} {
		if !slices.Contains(names, n) {
			p.errorf(line, "column %q is missing", n)
		}
	}
	return len(p.errs) == before
}

// checkField records an error if the field is unknown; a misspelled name would otherwise be ignored.
func (p *parser) checkField(line int, name string) {
	if !slices.Contains(fields, name) {
		p.errorf(line, "unknown field %.40q, want %s", name, strings.Join(fields, ", "))
	}
}

// yamlWalker walks a YAML document and limits the number of visited values. An alias counts each time it is followed, so that a
// small file cannot expand into a huge one.
type yamlWalker struct {
	*parser
	nodesLeft int
}

// parseYAML appends the rows of a YAML file: a mapping whose key hosts is a list of mappings. Other keys have to begin with x-;
// they hold anchors to merge into hosts. It records an error for each fault and stops at a syntax error.
func (p *parser) parseYAML(text []byte) {
	d := yaml.NewDecoder(bytes.NewReader(text))
	var doc, extra yaml.Node
	if err := d.Decode(&doc); err != nil {
		line, text := 0, strings.TrimPrefix(err.Error(), "yaml: ")
		if n, _ := fmt.Sscanf(text, "line %d: ", &line); n > 0 {
			_, text, _ = strings.Cut(text, ": ")
		}
		p.errorf(line, "%s", text)
		return
	}
	if err := d.Decode(&extra); err != io.EOF {
		p.errorf(extra.Line, "more than one document")
		return
	}
	w := &yamlWalker{p, maxNodes}
	root := doc.Content[0]
	if root.Kind != yaml.MappingNode {
		p.errorf(root.Line, "want a mapping with the key hosts")
		return
	}
	found := false
	for i := 0; i < len(root.Content); i += 2 {
		key, value := root.Content[i], w.resolve(root.Content[i+1])
		switch {
		case key.Value == "hosts" && found:
			p.errorf(key.Line, "hosts: duplicate key")
		case key.Value == "hosts" && (value == nil || value.Kind != yaml.SequenceNode):
			p.errorf(key.Line, "hosts: want a list")
			found = true
		case key.Value == "hosts":
			found = true
			for _, n := range value.Content {
				w.addRow(n)
			}
		case !strings.HasPrefix(key.Value, "x-"):
			p.errorf(key.Line, "unknown key %.40q, want hosts or a key that begins with x-", key.Value)
		}
	}
	if !found {
		p.errorf(root.Line, "hosts: missing")
	}
}

// resolve follows aliases and returns the node that n stands for. It returns nil once more than maxNodes values have been
// visited, and records an error the first time.
func (w *yamlWalker) resolve(n *yaml.Node) *yaml.Node {
	for n != nil && n.Kind == yaml.AliasNode {
		n = n.Alias
	}
	if w.nodesLeft--; w.nodesLeft < 0 {
		if w.nodesLeft == -1 {
			w.errorf(n.Line, "more than %d values with aliases followed", maxNodes)
		}
		return nil
	}
	return n
}

// addRow appends the row of one host, unless its node is faulty.
func (w *yamlWalker) addRow(n *yaml.Node) {
	line := n.Line
	r := row{line, map[string]string{}}
	if w.collectFields(n, line, r.values, maxMergeDepth) {
		w.rows = append(w.rows, r)
	}
}

// collectFields adds the fields of the mapping n to values, then those of its merge keys; a field that is set already is
// kept. depth is how many more levels of merges are allowed. Errors about the mapping itself name the given line. It reports
// whether there was no error.
func (w *yamlWalker) collectFields(n *yaml.Node, line int, values map[string]string, depth int) bool {
	if n = w.resolve(n); n == nil {
		return false
	}
	if n.Kind != yaml.MappingNode || depth == 0 {
		w.errorf(line, "want a mapping with the fields %s", strings.Join(fields, ", "))
		return false
	}
	ok := true
	own := map[string]bool{}
	for i := 0; i < len(n.Content); i += 2 {
		key, value := n.Content[i], w.resolve(n.Content[i+1])
		switch {
		case value == nil:
			return false
		case key.Tag == "!!merge":
		case own[key.Value]:
			w.errorf(key.Line, "%s: duplicate key", key.Value)
			ok = false
		case value.Kind != yaml.ScalarNode:
			w.errorf(key.Line, "%s: want a single value", key.Value)
			ok = false
		default:
			w.checkField(key.Line, key.Value)
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
		from := w.resolve(n.Content[i+1])
		if from == nil {
			return false
		}
		parts := []*yaml.Node{from}
		if from.Kind == yaml.SequenceNode {
			parts = from.Content
		}
		for _, p := range parts {
			ok = w.collectFields(p, line, values, depth-1) && ok
		}
	}
	return ok
}

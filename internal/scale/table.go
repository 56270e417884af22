// Package scale measures how the costs of a balancer grow with the size of the fleet: the host list, the watch on discovery,
// routing decisions, connections, and the distribution of settings and purges. docs/CAPACITY.md lists the results; the command
// "larchthread scale" runs the measurements.
package scale

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// Result is the outcome of one measurement. It can be encoded as JSON or printed as tables.
type Result interface {
	Tables() []Table
}

// Table is a text table for the terminal.
type Table struct {
	Title   string
	Columns []string
	Rows    [][]string
	Notes   []string // printed below the rows
}

// Print writes the title, the rows with aligned columns, and the notes.
func (t Table) Print(out io.Writer) error {
	if _, err := fmt.Fprintf(out, "%s\n\n", t.Title); err != nil {
		return err
	}
	aligned := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, row := range append([][]string{t.Columns}, t.Rows...) {
		if _, err := fmt.Fprintln(aligned, strings.Join(row, "\t")); err != nil {
			return err
		}
	}
	if err := aligned.Flush(); err != nil {
		return err
	}
	for _, note := range t.Notes {
		if _, err := fmt.Fprintln(out, note); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintln(out)
	return err
}

package params

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"
)

const (
	lookUsual = 500.0   // ms between two looks at a watched file: an edit by hand is in force in a second
	lookLeast = 10.0    // ms; more often is work for nothing
	lookMost  = 60000.0 // ms
)

// OperatorFile is what the operators of an installation say in a file of their own, beside what the platform tells.
type OperatorFile struct {
	InventoryPath string        // path of the file that describes the fleet; empty where discovery does
	PollInterval  time.Duration // between two looks at it
}

// ReadOperatorFile reads an operators' own file. A path in it is taken from the file's directory. An error names every fault,
// each with its key.
func ReadOperatorFile(path string) (o OperatorFile, err error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return o, fmt.Errorf("own file: %w", err)
	}
	var form struct {
		Inventory struct {
			File string   `yaml:"file"`
			Look *float64 `yaml:"look_ms"`
		} `yaml:"inventory"`
	}
	d := yaml.NewDecoder(bytes.NewReader(text))
	d.KnownFields(true)
	at := "own file " + path
	if err := d.Decode(&form); err != nil && err != io.EOF {
		e := (*yaml.TypeError)(nil)
		if !errors.As(err, &e) {
			return o, fmt.Errorf("%s: %s", at, strings.TrimPrefix(err.Error(), "yaml: "))
		}
		var f faults
		for _, text := range e.Errors {
			text, _, _ = strings.Cut(text, " in type ") // the library names its caller's types
			f.is(true, "%s", text)
		}
		return o, each(at, f.err())
	}
	look, i := lookUsual, form.Inventory
	var f faults
	f.is(i.Look != nil && i.File == "", "inventory.file: missing, but inventory.look_ms is set")
	if i.Look != nil {
		look = *i.Look
	}
	f.is(math.IsNaN(look) || look < lookLeast || look > lookMost,
		"inventory.look_ms: %v, want %v to %v", look, lookLeast, lookMost)
	if err := f.err(); err != nil {
		return o, each(at, err)
	}
	o.PollInterval = time.Duration(look * float64(time.Millisecond))
	if o.InventoryPath = i.File; o.InventoryPath != "" && !filepath.IsAbs(o.InventoryPath) {
		o.InventoryPath = filepath.Join(filepath.Dir(path), o.InventoryPath)
	}
	return o, nil
}

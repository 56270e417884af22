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
	defaultPollMS = 500.0 // an edit takes effect within a second
	minPollMS     = 10.0  // more often wastes work
	maxPollMS     = 60000.0
)

// OperatorFile holds the settings that the operators of an installation make in a file of their own, beside the start
// file that the platform writes.
type OperatorFile struct {
	InventoryPath string        // file that describes the fleet; empty where discovery provides the hosts
	PollInterval  time.Duration // time between two checks of that file for changes
}

// ReadOperatorFile reads the operators' own file. A relative path in it starts from the file's directory. The error
// lists all that is wrong, each with its key.
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
	prefix := "own file " + path
	if err := d.Decode(&form); err != nil && err != io.EOF {
		e := (*yaml.TypeError)(nil)
		if !errors.As(err, &e) {
			return o, fmt.Errorf("%s: %s", prefix, strings.TrimPrefix(err.Error(), "yaml: "))
		}
		var f errorList
		for _, text := range e.Errors {
			text, _, _ = strings.Cut(text, " in type ") // leave out Go types that the library names
			f.addIf(true, "%s", text)
		}
		return o, prefixAll(prefix, f.join())
	}
	pollMS, section := defaultPollMS, form.Inventory
	var f errorList
	f.addIf(section.Look != nil && section.File == "", "inventory.file: missing, but inventory.look_ms is set")
	if section.Look != nil {
		pollMS = *section.Look
	}
	f.addIf(math.IsNaN(pollMS) || pollMS < minPollMS || pollMS > maxPollMS,
		"inventory.look_ms: %v, want %v to %v", pollMS, minPollMS, maxPollMS)
	if err := f.join(); err != nil {
		return o, prefixAll(prefix, err)
	}
	o.PollInterval = time.Duration(pollMS * float64(time.Millisecond))
	if o.InventoryPath = section.File; o.InventoryPath != "" && !filepath.IsAbs(o.InventoryPath) {
		o.InventoryPath = filepath.Join(filepath.Dir(path), o.InventoryPath)
	}
	return o, nil
}

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

// Own is what the operators of an installation say in a file of their own, beside what the platform tells.
type Own struct {
	Inventory string        // path of the file that describes the fleet; empty where discovery does
	Look      time.Duration // between two looks at it
}

// ReadOwn reads an operators' own file. A path in it is taken from the file's folder. An error names the key at fault.
func ReadOwn(path string) (o Own, err error) {
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
	if err := d.Decode(&form); err != nil && err != io.EOF {
		text := strings.TrimPrefix(err.Error(), "yaml: ")
		if e := (*yaml.TypeError)(nil); errors.As(err, &e) { // the library names its caller's types
			text, _, _ = strings.Cut(e.Errors[0], " in type ")
		}
		return o, fmt.Errorf("own file %s: %s", path, text)
	}
	look := lookUsual
	switch i := form.Inventory; {
	case i.Look != nil && i.File == "":
		return o, fmt.Errorf("own file %s: inventory.file: missing, but inventory.look_ms is set", path)
	case i.Look != nil:
		look = *i.Look
	}
	if math.IsNaN(look) || look < lookLeast || look > lookMost {
		return o, fmt.Errorf("own file %s: inventory.look_ms: %v, want %v to %v", path, look, lookLeast, lookMost)
	}
	o.Look = time.Duration(look * float64(time.Millisecond))
	if o.Inventory = form.Inventory.File; o.Inventory != "" && !filepath.IsAbs(o.Inventory) {
		o.Inventory = filepath.Join(filepath.Dir(path), o.Inventory)
	}
	return o, nil
}

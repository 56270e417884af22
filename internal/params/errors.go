package params

import (
	"errors"
	"fmt"
)

// faults gathers all that is wrong with what is read, so that it can be mended in one go. Each names its key.
type faults []error

// is adds a fault where there is one.
func (f *faults) is(there bool, format string, a ...any) {
	if there {
		*f = append(*f, fmt.Errorf(format, a...))
	}
}

// err is all of them, a line each, or nil.
func (f faults) err() error { return errors.Join(f...) }

// each puts a word before every fault of err.
func each(word string, err error) error {
	several, ok := err.(interface{ Unwrap() []error })
	if !ok {
		return fmt.Errorf("%s: %w", word, err)
	}
	var f faults
	for _, e := range several.Unwrap() {
		f = append(f, each(word, e))
	}
	return f.err()
}

package params

import (
	"errors"
	"fmt"
)

// errorList collects all errors of an input, so that they can be corrected together. Each error names its key.
type errorList []error

// addIf adds an error if the condition holds.
func (f *errorList) addIf(condition bool, format string, a ...any) {
	if condition {
		*f = append(*f, fmt.Errorf(format, a...))
	}
}

// join returns all errors as one, a line each, or nil where there are none.
func (f errorList) join() error { return errors.Join(f...) }

// prefixAll puts a prefix before err, or before each of the errors that it joins.
func prefixAll(prefix string, err error) error {
	several, ok := err.(interface{ Unwrap() []error })
	if !ok {
		return fmt.Errorf("%s: %w", prefix, err)
	}
	var f errorList
	for _, e := range several.Unwrap() {
		f = append(f, prefixAll(prefix, e))
	}
	return f.join()
}

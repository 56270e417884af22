package feed

import (
	"errors"
	"fmt"
)

// Errors of Publish.
var (
	ErrNotPublisher = errors.New("feed: only the publisher can publish")
	ErrFenced       = errors.New("feed: a publisher with a higher epoch has been seen")
	ErrUnknownKind  = errors.New("feed: unknown kind of change")
	ErrKeyLength    = errors.New("feed: key is empty or too long")
	ErrValueLength  = errors.New("feed: value is longer than its kind allows")
)

// Errors of decoding.
var (
	ErrFrameTooLong = errors.New("feed: frame is longer than the limit")
	ErrChecksum     = errors.New("feed: frame has a wrong checksum")
	ErrMalformed    = errors.New("feed: frame can't be read")
)

// ConfigError is a field of Config that can't be used as it stands.
type ConfigError struct {
	Field   string
	Problem string
}

// Error returns the field and what is wrong with it.
func (e *ConfigError) Error() string {
	return fmt.Sprintf("feed: %s: %s", e.Field, e.Problem)
}

// SavedChangeError is a kept record that doesn't fit the ones before it.
type SavedChangeError struct {
	Change  Change
	Problem string
}

// Error returns the record's place and what is wrong with it.
func (e *SavedChangeError) Error() string {
	return fmt.Sprintf("feed: saved change %s of kind %d: %s", e.Change.Position, e.Change.Kind, e.Problem)
}

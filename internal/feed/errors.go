package feed

import (
	"errors"
	"fmt"
)

// Errors returned by Publish. NewNode returns ErrNotPublisher if it is given saved changes for another role.
var (
	ErrNotPublisher = errors.New("feed: only the publisher can publish")
	ErrFenced       = errors.New("feed: a publisher with a higher epoch has been seen")
	ErrUnknownKind  = errors.New("feed: unknown kind of change")
	ErrKeyLength    = errors.New("feed: key is empty or too long")
	ErrValueLength  = errors.New("feed: value is longer than its kind allows")
)

// Errors returned when decoding frames.
var (
	ErrFrameTooLong = errors.New("feed: frame exceeds the length limit")
	ErrChecksum     = errors.New("feed: frame checksum mismatch")
	ErrMalformed    = errors.New("feed: malformed frame")
)

// ConfigError describes an invalid field of Config.
type ConfigError struct {
	Field   string
	Problem string
}

// Error returns the field and what is wrong with it.
func (e *ConfigError) Error() string {
	return fmt.Sprintf("feed: %s: %s", e.Field, e.Problem)
}

// SavedChangeError describes a saved change that is invalid or out of order.
type SavedChangeError struct {
	Change  Change
	Problem string
}

// Error returns the position and kind of the change and what is wrong with it.
func (e *SavedChangeError) Error() string {
	return fmt.Sprintf("feed: saved change %s of kind %d: %s", e.Change.Position, e.Change.Kind, e.Problem)
}

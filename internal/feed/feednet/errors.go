package feednet

import (
	"errors"
	"fmt"
)

// ErrClosed is returned by calls on a server that was closed.
var ErrClosed = errors.New("feednet: the server is closed")

// OptionError is a field of Options that can't be used as it stands.
type OptionError struct {
	Field   string
	Problem string
}

// Error returns the field and what is wrong with it.
func (e *OptionError) Error() string {
	return fmt.Sprintf("feednet: %s: %s", e.Field, e.Problem)
}

// DiskError is a failed write to the publisher's log. Whether the changes that were to be written are on disk is unknown
// until the log is read again, so the server ends with it.
type DiskError struct {
	Err error
}

// Error returns what failed.
func (e *DiskError) Error() string {
	return fmt.Sprintf("feednet: publisher's log: %v", e.Err)
}

// Unwrap returns the error of the disk.
func (e *DiskError) Unwrap() error {
	return e.Err
}

// LockedError tells that another process has a publisher's directory open.
type LockedError struct {
	Directory string
}

// Error returns the directory.
func (e *LockedError) Error() string {
	return fmt.Sprintf("feednet: %s: in use by another publisher", e.Directory)
}

// CorruptLogError tells that a log can't be read where it was whole before: changes that were acknowledged are lost. It is
// not returned for what a crash leaves behind, an incomplete last write.
type CorruptLogError struct {
	Path    string
	Offset  int
	Problem string
}

// Error returns the place and what is wrong there.
func (e *CorruptLogError) Error() string {
	return fmt.Sprintf("feednet: %s: byte %d: %s", e.Path, e.Offset, e.Problem)
}

// ForeignLogError tells that a log belongs to another cluster, or has other kinds of changes.
type ForeignLogError struct {
	Path       string
	Have, Want string
}

// Error returns whose the log is.
func (e *ForeignLogError) Error() string {
	return fmt.Sprintf("feednet: %s: is of %s, want %s", e.Path, e.Have, e.Want)
}

package feednet

import (
	"errors"
	"fmt"
)

// ErrClosed is returned by Publish on a closed server.
var ErrClosed = errors.New("feednet: the server is closed")

// OptionError reports an invalid field of Options.
type OptionError struct {
	Field   string
	Problem string
}

// Error returns the field's name and the problem.
func (e *OptionError) Error() string {
	return fmt.Sprintf("feednet: %s: %s", e.Field, e.Problem)
}

// DiskError reports that the publisher's log could not be opened, read, written or locked. After a failed write it is
// unknown whether the changes are on disk until the log is read again, so the server stops.
type DiskError struct {
	Err error
}

// Error returns the text of the underlying error.
func (e *DiskError) Error() string {
	return fmt.Sprintf("feednet: publisher's log: %v", e.Err)
}

// Unwrap returns the underlying error.
func (e *DiskError) Unwrap() error {
	return e.Err
}

// LockedError reports that another publisher has the directory open.
type LockedError struct {
	Directory string
}

// Error returns the directory's path and the problem.
func (e *LockedError) Error() string {
	return fmt.Sprintf("feednet: %s: in use by another publisher", e.Directory)
}

// CorruptLogError reports damage to acknowledged records of a log. An incomplete last write, as a crash leaves it, is not
// reported.
type CorruptLogError struct {
	Path    string
	Offset  int
	Problem string
}

// Error returns the path, the byte offset and the problem.
func (e *CorruptLogError) Error() string {
	return fmt.Sprintf("feednet: %s: byte %d: %s", e.Path, e.Offset, e.Problem)
}

// ForeignLogError reports a log of another format version, another cluster or other kinds of changes.
type ForeignLogError struct {
	Path       string
	Have, Want string
}

// Error returns the path and describes both the log found and the log expected.
func (e *ForeignLogError) Error() string {
	return fmt.Sprintf("feednet: %s: log belongs to %s, want %s", e.Path, e.Have, e.Want)
}

// Package machine provides durable files and the wall clock. By default it calls the operating system directly. Built with the
// tag faults, it can be told over a socket to inject disk and clock faults (see spoil.go).
package machine

import (
	"errors"
	"io"
	"os"
	"time"
)

// File is a file open for writing.
type File interface {
	io.Writer
	Sync() error // flushes what was written to stable storage
	Close() error
}

// FileSystem gives access to files that must survive a crash.
type FileSystem interface {
	ReadFile(path string) ([]byte, error)
	Create(path string) (File, error) // creates the file, or truncates an existing one
	Append(path string) (File, error) // opens an existing file for appending
	Rename(from, to string) error     // replaces to if it exists
	SyncDir(path string) error        // flushes a directory's entries to stable storage
}

// osFileSystem implements FileSystem with the operating system's files.
type osFileSystem struct{}

func (osFileSystem) ReadFile(path string) ([]byte, error) { return os.ReadFile(path) }

func (osFileSystem) Create(path string) (File, error) {
	return os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
}

func (osFileSystem) Append(path string) (File, error) {
	return os.OpenFile(path, os.O_WRONLY|os.O_APPEND, 0o600)
}

func (osFileSystem) Rename(from, to string) error { return os.Rename(from, to) }

func (osFileSystem) SyncDir(path string) error {
	dir, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(dir.Sync(), dir.Close())
}

// WriteFileAtomic replaces the file at path, which must lie in the directory dir. It writes and syncs a temporary file (path
// plus ".new"), renames it to path and syncs dir, so that a crash at any point leaves either the old content or the new one.
// It returns the first error; after an error of the final sync the new content may be in place.
func WriteFileAtomic(fs FileSystem, dir, path string, data []byte) error {
	tempPath := path + ".new"
	file, err := fs.Create(tempPath)
	if err != nil {
		return err
	}
	_, err = file.Write(data)
	if err == nil {
		err = file.Sync()
	}
	if err := errors.Join(err, file.Close()); err != nil {
		return err
	}
	if err := fs.Rename(tempPath, path); err != nil {
		return err
	}
	return fs.SyncDir(dir)
}

// WallTime returns the wall clock's time, shifted by an injected offset in builds with the tag faults. Use it for times that
// are compared with those of other machines.
func WallTime() time.Time { return time.Now().Add(clockOffset()) }

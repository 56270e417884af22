// Package machine is what a process takes from its machine and a trial may spoil: files that have to last, and the wall clock.
// The shipped build goes straight to the system. A build with the tag faults is told over a socket what to spoil (spoil.go).
package machine

import (
	"errors"
	"io"
	"os"
	"time"
)

// File is a file that is being written.
type File interface {
	io.Writer
	Sync() error // returns once the disk has what was written
	Close() error
}

// FileSystem are the ways to files that have to last.
type FileSystem interface {
	ReadFile(path string) ([]byte, error)
	Create(path string) (File, error) // empty, in place of one that is there
	Append(path string) (File, error) // what is written goes behind what one that is there holds
	Rename(from, to string) error     // in place of one that is there
	SyncDir(path string) error        // returns once the disk has the names in it
}

// disk is the system's own files.
type disk struct{}

func (disk) ReadFile(path string) ([]byte, error) { return os.ReadFile(path) }

func (disk) Create(path string) (File, error) {
	return os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
}

func (disk) Append(path string) (File, error) {
	return os.OpenFile(path, os.O_WRONLY|os.O_APPEND, 0o600)
}

func (disk) Rename(from, to string) error { return os.Rename(from, to) }

func (disk) SyncDir(path string) error {
	dir, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(dir.Sync(), dir.Close())
}

// WriteFileAtomic puts a text in place of a file, such that a process or machine that ends amid it leaves the old text or the new one:
// it is written beside, brought to the disk, and renamed over.
func WriteFileAtomic(f FileSystem, directory, path string, text []byte) error {
	beside := path + ".new"
	file, err := f.Create(beside)
	if err != nil {
		return err
	}
	_, err = file.Write(text)
	if err == nil {
		err = file.Sync()
	}
	if err := errors.Join(err, file.Close()); err != nil {
		return err
	}
	if err := f.Rename(beside, path); err != nil {
		return err
	}
	return f.SyncDir(directory)
}

// WallTime is the wall clock, for what is compared with times of other machines.
func WallTime() time.Time { return time.Now().Add(off()) }

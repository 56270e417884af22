//go:build faults

package machine

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

// This build listens on the Unix socket that LARCHTHREAD_FAULTS names. Each line is a command, answered with "ok" or an error:
//
//	disk write|sync|rename|full|hang|torn   inject this disk fault, in place of an earlier one
//	disk well                               end the disk fault
//	clock DURATION                          shift the wall clock by DURATION
//
// write, sync, rename: these calls fail. full: writes fail as on a full disk. hang: syncs block until "disk well". torn: part
// of the unsynced data is held back, so that a process that is killed leaves a torn file.
const (
	socketEnv      = "LARCHTHREAD_FAULTS"
	clockOffsetEnv = "LARCHTHREAD_WALL" // initial clock offset, as a duration
)

var errInjected = errors.New("input/output error (injected fault)")

// faults is the state that the fault commands set.
var faults = struct {
	mu           sync.Mutex
	disk         string        // the disk fault in effect; empty: none
	diskRestored chan struct{} // closed and replaced by "disk well"
	clockOffset  time.Duration
}{diskRestored: make(chan struct{})}

func init() {
	faults.clockOffset, _ = time.ParseDuration(os.Getenv(clockOffsetEnv))
	path := os.Getenv(socketEnv)
	if path == "" {
		return
	}
	os.Remove(path) // left by an earlier process
	l, err := net.Listen("unix", path)
	if err != nil {
		fmt.Fprintf(os.Stderr, "faults: %v\n", err)
		return
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				for s := bufio.NewScanner(c); s.Scan(); {
					fmt.Fprintln(c, applyFault(strings.Fields(s.Text())))
				}
			}()
		}
	}()
}

// applyFault carries out one command, given as its words. It returns "ok" or what is wrong with the command.
func applyFault(words []string) string {
	if len(words) != 2 {
		return "want two words"
	}
	faults.mu.Lock()
	defer faults.mu.Unlock()
	switch words[0] + " " + words[1] {
	case "disk well":
		close(faults.diskRestored)
		faults.disk, faults.diskRestored = "", make(chan struct{})
		return "ok"
	case "disk write", "disk sync", "disk rename", "disk full", "disk hang", "disk torn":
		faults.disk = words[1]
		return "ok"
	}
	offset, err := time.ParseDuration(words[1])
	if words[0] != "clock" || err != nil {
		return "unknown: " + strings.Join(words, " ")
	}
	faults.clockOffset = offset
	return "ok"
}

// clockOffset returns the offset that is added to the wall clock.
func clockOffset() time.Duration {
	faults.mu.Lock()
	defer faults.mu.Unlock()
	return faults.clockOffset
}

// diskFault reports whether the given disk fault is in effect. The channel is closed by the next "disk well".
func diskFault(kind string) (bool, <-chan struct{}) {
	faults.mu.Lock()
	defer faults.mu.Unlock()
	return faults.disk == kind, faults.diskRestored
}

// LocalFileSystem returns the file system of this machine, with the injected disk faults.
func LocalFileSystem() FileSystem { return faultyFileSystem{} }

// faultyFileSystem implements FileSystem with the disk faults that are in effect at each call.
type faultyFileSystem struct{ osFileSystem }

func (fs faultyFileSystem) Create(path string) (File, error) {
	f, err := fs.osFileSystem.Create(path)
	return &faultyFile{File: f}, err
}

func (fs faultyFileSystem) Append(path string) (File, error) {
	f, err := fs.osFileSystem.Append(path)
	if err != nil {
		return nil, err
	}
	return &faultyFile{File: f}, nil
}

func (fs faultyFileSystem) Rename(from, to string) error {
	if active, _ := diskFault("rename"); active {
		return &os.LinkError{Op: "rename", Old: from, New: to, Err: errInjected}
	}
	return fs.osFileSystem.Rename(from, to)
}

// faultyFile is a File with injected faults. Under the fault "torn" it writes half of the first unsynced write, and holds back
// the rest and all later writes until Sync or Close.
type faultyFile struct {
	File
	held []byte // accepted by Write but not written yet
}

func (f *faultyFile) Write(p []byte) (int, error) {
	if active, _ := diskFault("write"); active {
		return 0, errInjected
	}
	if active, _ := diskFault("full"); active {
		return 0, syscall.ENOSPC
	}
	if active, _ := diskFault("torn"); active || len(f.held) > 0 {
		written := 0
		if len(f.held) == 0 {
			written = len(p) / 2
		}
		f.held = append(f.held, p[written:]...)
		if _, err := f.File.Write(p[:written]); err != nil {
			return 0, err
		}
		return len(p), nil
	}
	return f.File.Write(p)
}

func (f *faultyFile) Sync() error {
	if active, _ := diskFault("sync"); active {
		return errInjected
	}
	if active, restored := diskFault("hang"); active {
		<-restored
	}
	if err := f.flush(); err != nil {
		return err
	}
	return f.File.Sync()
}

// flush writes the data that is held back.
func (f *faultyFile) flush() error {
	_, err := f.File.Write(f.held)
	f.held = nil
	return err
}

func (f *faultyFile) Close() error { return errors.Join(f.flush(), f.File.Close()) }

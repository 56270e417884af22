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

// In this build the socket that the environment names takes lines, and answers each with ok or what is wrong with it:
//
//	disk write|sync|rename|full|hang|torn   spoil files so, in place of what was before
//	disk well                               no more
//	clock DURATION                          the wall clock is off by so much
//
// write, sync, rename: that call fails. full: writes fail as on a full disk. hang: syncs wait until disk well. torn: what has
// not been synced when the process ends is there by half.
const (
	socketVar = "LARCHTHREAD_FAULTS"
	clockVar  = "LARCHTHREAD_WALL" // by how much the clock is off from the start
)

var errSpoilt = errors.New("input/output error (spoilt for a trial)")

var spoilt = struct {
	mu   sync.Mutex
	how  string
	well chan struct{} // closed once the disk is well again
	off  time.Duration
}{well: make(chan struct{})}

func init() {
	spoilt.off, _ = time.ParseDuration(os.Getenv(clockVar))
	path := os.Getenv(socketVar)
	if path == "" {
		return
	}
	os.Remove(path) // an earlier process's
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
					fmt.Fprintln(c, spoil(strings.Fields(s.Text())))
				}
			}()
		}
	}()
}

// spoil does what a line says.
func spoil(words []string) string {
	if len(words) != 2 {
		return "want two words"
	}
	spoilt.mu.Lock()
	defer spoilt.mu.Unlock()
	switch words[0] + " " + words[1] {
	case "disk well":
		close(spoilt.well)
		spoilt.how, spoilt.well = "", make(chan struct{})
		return "ok"
	case "disk write", "disk sync", "disk rename", "disk full", "disk hang", "disk torn":
		spoilt.how = words[1]
		return "ok"
	}
	off, err := time.ParseDuration(words[1])
	if words[0] != "clock" || err != nil {
		return "unknown: " + strings.Join(words, " ")
	}
	spoilt.off = off
	return "ok"
}

func off() time.Duration {
	spoilt.mu.Lock()
	defer spoilt.mu.Unlock()
	return spoilt.off
}

// is tells whether files are spoilt in a way, and what is closed when that ends.
func is(how string) (bool, <-chan struct{}) {
	spoilt.mu.Lock()
	defer spoilt.mu.Unlock()
	return spoilt.how == how, spoilt.well
}

// LocalFileSystem is the files of this machine, spoilt as the socket says.
func LocalFileSystem() FileSystem { return spoiltDisk{} }

type spoiltDisk struct{ disk }

func (d spoiltDisk) Create(path string) (File, error) {
	f, err := d.disk.Create(path)
	return &spoiltFile{File: f}, err
}

func (d spoiltDisk) Append(path string) (File, error) {
	f, err := d.disk.Append(path)
	if err != nil {
		return nil, err
	}
	return &spoiltFile{File: f}, nil
}

func (d spoiltDisk) Rename(from, to string) error {
	if on, _ := is("rename"); on {
		return &os.LinkError{Op: "rename", Old: from, New: to, Err: errSpoilt}
	}
	return d.disk.Rename(from, to)
}

// spoiltFile holds half of what is not synced back while a kill is to tear it.
type spoiltFile struct {
	File
	back []byte
}

func (f *spoiltFile) Write(p []byte) (int, error) {
	if on, _ := is("write"); on {
		return 0, errSpoilt
	}
	if on, _ := is("full"); on {
		return 0, syscall.ENOSPC
	}
	if on, _ := is("torn"); on || len(f.back) > 0 {
		now := 0
		if len(f.back) == 0 {
			now = len(p) / 2
		}
		f.back = append(f.back, p[now:]...)
		if _, err := f.File.Write(p[:now]); err != nil {
			return 0, err
		}
		return len(p), nil
	}
	return f.File.Write(p)
}

func (f *spoiltFile) Sync() error {
	if on, _ := is("sync"); on {
		return errSpoilt
	}
	if on, well := is("hang"); on {
		<-well
	}
	if err := f.flush(); err != nil {
		return err
	}
	return f.File.Sync()
}

func (f *spoiltFile) flush() error {
	_, err := f.File.Write(f.back)
	f.back = nil
	return err
}

func (f *spoiltFile) Close() error { return errors.Join(f.flush(), f.File.Close()) }

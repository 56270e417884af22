package feednet

import (
	"context"
	"errors"
	"testing"
	"time"

	"larchthread/internal/feed"
	"larchthread/internal/machine"
)

// A disk error fails the publish with its type, is not tried again, and nothing of the change is sent.
func TestDiskErrorFailsPublish(t *testing.T) {
	for _, call := range []string{"write", "sync"} {
		disk := &badDisk{FileSystem: machine.LocalFileSystem()}
		options := Options{Feed: testConfig(feed.Publisher, "publisher"), Directory: t.TempDir(), files: disk}
		publisher := startServer(t, options)
		f := startFollower(t, "f", publisher.Address())
		publish(t, publisher, testSettings, "first", "v")
		waitFor(t, "the first change", func() bool { return f.times("first", "v") == 1 })
		disk.fails = call
		for range 2 {
			_, err := publisher.Publish(context.Background(), testSettings, []byte("second"), []byte("v"))
			if failed := (*DiskError)(nil); !errors.As(err, &failed) || !errors.Is(err, errBadDisk) {
				t.Errorf("%s: %v", call, err)
			}
		}
		<-publisher.Done()
		if err := publisher.Close(); !errors.Is(err, errBadDisk) {
			t.Errorf("%s: closed with %v", call, err)
		}
		if disk.calls != 1 {
			t.Errorf("%s: %d calls failed, want 1", call, disk.calls)
		}
		if f.times("second", "v") != 0 {
			t.Errorf("%s: a change that may not be on disk was sent", call)
		}
		options.files, options.Listen = nil, publisher.Address()
		again := startServer(t, options)
		publish(t, again, testSettings, "third", "v")
		waitFor(t, "a change after the restart", func() bool { return f.times("third", "v") == 1 })
		if f.times("first", "v") != 1 {
			t.Errorf("%s: the first change came %d times", call, f.times("first", "v"))
		}
	}
}

// hangingDisk is a disk whose files, once it hangs, are not synced until it is let go.
type hangingDisk struct {
	machine.FileSystem
	hang    chan bool // holds one while it hangs
	release chan bool
}

func (d *hangingDisk) Append(path string) (machine.File, error) {
	file, err := d.FileSystem.Append(path)
	return &hangingFile{file, d}, err
}

type hangingFile struct {
	machine.File
	disk *hangingDisk
}

func (f *hangingFile) Sync() error {
	select {
	case <-f.disk.hang:
		<-f.disk.release
	default:
	}
	return f.File.Sync()
}

// A change is neither acknowledged nor sent before the disk has it. A caller may give up waiting.
func TestNothingIsSentBeforeTheDiskHasIt(t *testing.T) {
	disk := &hangingDisk{machine.LocalFileSystem(), make(chan bool, 1), make(chan bool)}
	publisher := startServer(t, Options{Feed: testConfig(feed.Publisher, "publisher"), Directory: t.TempDir(), files: disk})
	f := startFollower(t, "f", publisher.Address())
	disk.hang <- true
	acknowledged := make(chan error, 1)
	go func() {
		_, err := publisher.Publish(context.Background(), testSettings, []byte("key"), []byte("v"))
		acknowledged <- err
	}()
	waitFor(t, "the sync", func() bool { return len(disk.hang) == 0 })
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	if _, err := publisher.Publish(ctx, testPurges, []byte("object-1"), nil); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("a caller that gives up: %v", err)
	}
	waitFor(t, "the follower knows that it is stale", func() bool { return !f.isFresh() })
	if len(acknowledged) > 0 || f.times("key", "v") != 0 {
		t.Error("a change was acknowledged or sent before the disk had it")
	}
	disk.release <- true
	if err := <-acknowledged; err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the change", func() bool { return f.times("key", "v") == 1 })
}

package feednet

import (
	"context"
	"errors"
	"testing"
	"time"

	"larchthread/internal/feed"
	"larchthread/internal/machine"
)

// A disk error must fail the publish with a *DiskError, must not be retried, and the change must not be sent.
func TestDiskErrorFailsPublish(t *testing.T) {
	for _, operation := range []string{"write", "sync"} {
		disk := &failingDisk{FileSystem: machine.LocalFileSystem()}
		options := Options{Feed: testConfig(feed.Publisher, "publisher"), Directory: t.TempDir(), files: disk}
		publisher := startServer(t, options)
		subscriber := startSubscriber(t, "f", publisher.Address())
		publish(t, publisher, testSettings, "first", "v")
		waitFor(t, "the first change", func() bool { return subscriber.deliveries("first", "v") == 1 })
		disk.failOperation = operation
		for range 2 {
			_, err := publisher.Publish(context.Background(), testSettings, []byte("second"), []byte("v"))
			if diskErr := (*DiskError)(nil); !errors.As(err, &diskErr) || !errors.Is(err, errDiskFailure) {
				t.Errorf("%s: %v", operation, err)
			}
		}
		<-publisher.Done()
		if err := publisher.Close(); !errors.Is(err, errDiskFailure) {
			t.Errorf("%s: Close returned %v", operation, err)
		}
		if disk.failedCalls != 1 {
			t.Errorf("%s: %d calls failed, want 1", operation, disk.failedCalls)
		}
		if subscriber.deliveries("second", "v") != 0 {
			t.Errorf("%s: a change that may not be on disk was sent", operation)
		}
		options.files, options.Listen = nil, publisher.Address()
		restarted := startServer(t, options)
		publish(t, restarted, testSettings, "third", "v")
		waitFor(t, "a change after the restart", func() bool { return subscriber.deliveries("third", "v") == 1 })
		if subscriber.deliveries("first", "v") != 1 {
			t.Errorf("%s: the first change was delivered %d times", operation, subscriber.deliveries("first", "v"))
		}
	}
}

// hangingDisk is a file system on which one sync can be made to block until it is released.
type hangingDisk struct {
	machine.FileSystem
	hangNext chan bool // a value makes the next sync block
	release  chan bool
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
	case <-f.disk.hangNext:
		<-f.disk.release
	default:
	}
	return f.File.Sync()
}

// A change must not be acknowledged or sent before it is on disk. A caller may stop waiting for it.
func TestNothingIsSentBeforeTheDiskHasIt(t *testing.T) {
	disk := &hangingDisk{machine.LocalFileSystem(), make(chan bool, 1), make(chan bool)}
	publisher := startServer(t, Options{Feed: testConfig(feed.Publisher, "publisher"), Directory: t.TempDir(), files: disk})
	subscriber := startSubscriber(t, "f", publisher.Address())
	disk.hangNext <- true
	acknowledged := make(chan error, 1)
	go func() {
		_, err := publisher.Publish(context.Background(), testSettings, []byte("key"), []byte("v"))
		acknowledged <- err
	}()
	waitFor(t, "the sync", func() bool { return len(disk.hangNext) == 0 })
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	if _, err := publisher.Publish(ctx, testPurges, []byte("object-1"), nil); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("a caller with a timeout: %v", err)
	}
	waitFor(t, "the subscriber to become stale", func() bool { return !subscriber.isFresh() })
	if len(acknowledged) > 0 || subscriber.deliveries("key", "v") != 0 {
		t.Error("a change was acknowledged or sent before it was on disk")
	}
	disk.release <- true
	if err := <-acknowledged; err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the change", func() bool { return subscriber.deliveries("key", "v") == 1 })
}

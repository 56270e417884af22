package feednet

import (
	"bytes"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"larchthread/internal/feed"
	"larchthread/internal/machine"
)

var testHeader = logHeader{Version: logVersion, Cluster: "test", Kinds: []string{"settings", "purges"}}

// testChange returns a change with a unique key. Its value does not end with a zero byte, so that a truncated record padded
// with zeros differs from the intact one.
func testChange(kind feed.Kind, sequence int) feed.Change {
	return feed.Change{
		Kind:     kind,
		Position: feed.Position{Epoch: 1, Sequence: uint64(sequence)},
		Key:      fmt.Appendf(nil, "key-%d-%d", kind, sequence),
		Value:    bytes.Repeat([]byte{byte(sequence) | 1}, sequence%7+1),
	}
}

// openTestLog opens a log on the local file system.
func openTestLog(t *testing.T, directory string, logOutput *bytes.Buffer) (*changeLog, []feed.Change) {
	t.Helper()
	log, changes, err := openChangeLog(machine.LocalFileSystem(), directory, testHeader,
		slog.New(slog.NewTextHandler(logOutput, nil)))
	if err != nil {
		t.Fatal(err)
	}
	return log, changes
}

// writeTestLog appends batches of one to three changes to a log. It returns the file's content, the changes, and the number
// of acknowledged changes by file size after each append.
func writeTestLog(t *testing.T) (text []byte, changes []feed.Change, acknowledged map[int]int) {
	t.Helper()
	directory := t.TempDir()
	log, _ := openTestLog(t, directory, &bytes.Buffer{})
	acknowledged = map[int]int{log.size: 0}
	for n := range 12 {
		var batch []feed.Change
		for range n%3 + 1 {
			batch = append(batch, testChange(feed.Kind(n%2), len(changes)+len(batch)+1))
		}
		if err := log.append(batch); err != nil {
			t.Fatal(err)
		}
		changes = append(changes, batch...)
		acknowledged[log.size] = len(changes)
	}
	if err := log.close(); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(filepath.Join(directory, logName))
	if err != nil {
		t.Fatal(err)
	}
	return text, changes, acknowledged
}

func equalChanges(a, b []feed.Change) bool {
	return len(a) == 0 && len(b) == 0 || reflect.DeepEqual(a, b)
}

// Truncation at any byte must leave exactly the acknowledged changes, be logged, and allow further appends.
func TestLogCutAtEveryByte(t *testing.T) {
	text, changes, acknowledged := writeTestLog(t)
	headerSize := len(appendRecord(nil, testHeader.encode()))
	for _, tail := range []struct {
		name string
		fill func(lost []byte) []byte
	}{
		{"file truncated", func([]byte) []byte { return nil }},
		{"rest replaced by zeros", func(lost []byte) []byte { return make([]byte, len(lost)) }},
		{"last byte flipped", func(lost []byte) []byte { return nil }},
	} {
		count := 0
		for cut := headerSize; cut <= len(text); cut++ {
			want := count
			if now, ok := acknowledged[cut]; ok {
				want, count = now, now
			}
			damaged := append(bytes.Clone(text[:cut]), tail.fill(text[cut:])...)
			_, atBoundary := acknowledged[cut]
			if tail.name == "last byte flipped" {
				if atBoundary { // a crash does not damage an acknowledged record; see TestLogDamagedBeforeValidRecords
					continue
				}
				damaged[cut-1] ^= 0x40
			}
			checkRecovered(t, fmt.Sprintf("%s at %d", tail.name, cut), damaged, changes[:want], atBoundary && len(damaged) == cut)
		}
		if count != len(changes) {
			t.Fatalf("%s: %d changes in the full log, want %d", tail.name, count, len(changes))
		}
	}
}

// checkRecovered opens a log with the given content, compares its changes, appends one and compares again after reopening.
func checkRecovered(t *testing.T, name string, text []byte, want []feed.Change, intact bool) {
	t.Helper()
	directory := t.TempDir()
	path := filepath.Join(directory, logName)
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	var logOutput bytes.Buffer
	log, got := openTestLog(t, directory, &logOutput)
	if !equalChanges(got, want) {
		t.Fatalf("%s: %d changes %v, want %d", name, len(got), got, len(want))
	}
	if logged := strings.Contains(logOutput.String(), "truncated an incomplete last write"); logged == intact {
		t.Fatalf("%s: truncation logged: %t, want %t", name, logged, !intact)
	}
	next := testChange(1, 1000)
	if err := errors.Join(log.append([]feed.Change{next}), log.close()); err != nil {
		t.Fatal(name, err)
	}
	log, got = openTestLog(t, directory, &bytes.Buffer{})
	defer log.close()
	if want := append(want[:len(want):len(want)], next); !equalChanges(got, want) {
		t.Fatalf("%s: %d changes after an append, want %d", name, len(got), len(want))
	}
}

// Damage to any byte in front of intact records loses acknowledged changes, so the log must be rejected and left untouched.
func TestLogDamagedBeforeValidRecords(t *testing.T) {
	text, _, acknowledged := writeTestLog(t)
	last := 0 // size before the last append
	for size := range acknowledged {
		if size < len(text) {
			last = max(last, size)
		}
	}
	for at := range last {
		directory := t.TempDir()
		damaged := bytes.Clone(text)
		damaged[at] ^= 0x01
		if err := os.WriteFile(filepath.Join(directory, logName), damaged, 0o600); err != nil {
			t.Fatal(err)
		}
		_, _, err := openChangeLog(machine.LocalFileSystem(), directory, testHeader, slog.New(slog.DiscardHandler))
		if corrupt := (*CorruptLogError)(nil); !errors.As(err, &corrupt) {
			t.Fatalf("byte %d flipped: %v", at, err)
		}
		if left, _ := os.ReadFile(filepath.Join(directory, logName)); !bytes.Equal(left, damaged) {
			t.Fatalf("byte %d flipped: the file was changed", at)
		}
	}
}

func TestLogOfDifferentCluster(t *testing.T) {
	directory := t.TempDir()
	log, _ := openTestLog(t, directory, &bytes.Buffer{})
	log.close()
	for _, other := range []logHeader{
		{logVersion, "other", testHeader.Kinds},
		{logVersion, "test", []string{"purges", "settings"}},
		{logVersion + 1, "test", testHeader.Kinds},
	} {
		_, _, err := openChangeLog(machine.LocalFileSystem(), directory, other, slog.New(slog.DiscardHandler))
		if foreign := (*ForeignLogError)(nil); !errors.As(err, &foreign) {
			t.Errorf("%v: %v", other, err)
		}
	}
}

func TestLogIsLocked(t *testing.T) {
	directory := t.TempDir()
	log, _ := openTestLog(t, directory, &bytes.Buffer{})
	_, _, err := openChangeLog(machine.LocalFileSystem(), directory, testHeader, slog.New(slog.DiscardHandler))
	if locked := (*LockedError)(nil); !errors.As(err, &locked) {
		t.Fatalf("opened twice: %v", err)
	}
	log.close()
	log, _ = openTestLog(t, directory, &bytes.Buffer{})
	log.close()
}

// Compaction must keep the retained changes and allow further appends. A temporary file left by a crash must be ignored.
func TestLogCompaction(t *testing.T) {
	directory := t.TempDir()
	log, _ := openTestLog(t, directory, &bytes.Buffer{})
	var all []feed.Change
	for n := range 2 * changesPerRecord {
		all = append(all, testChange(1, n+1))
	}
	if err := log.append(all); err != nil {
		t.Fatal(err)
	}
	before := log.size
	retained := all[changesPerRecord/2:]
	if err := log.compact(retained); err != nil {
		t.Fatal(err)
	}
	if log.size >= before || log.compactionThreshold < compactionFactor*log.size {
		t.Errorf("size %d after compaction of %d bytes, threshold %d", log.size, before, log.compactionThreshold)
	}
	next := testChange(1, len(all)+1)
	next.Value = []byte{}
	if err := errors.Join(log.append([]feed.Change{next}), log.close()); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(directory, logName+".new"), []byte("incomplete compaction"), 0o600); err != nil {
		t.Fatal(err)
	}
	log, got := openTestLog(t, directory, &bytes.Buffer{})
	defer log.close()
	if !equalChanges(got, append(retained[:len(retained):len(retained)], next)) {
		t.Errorf("%d changes, want %d", len(got), len(retained)+1)
	}
}

// failingDisk is a file system on which one kind of operation fails.
type failingDisk struct {
	machine.FileSystem
	failOperation string // write, sync, rename; empty or none: no failure
	failedCalls   int    // number of calls that failed
}

var errDiskFailure = errors.New("disk failure")

func (d *failingDisk) shouldFail(operation string) bool {
	if d.failOperation != operation {
		return false
	}
	d.failedCalls++
	return true
}

func (d *failingDisk) Rename(from, to string) error {
	if d.shouldFail("rename") {
		return errDiskFailure
	}
	return d.FileSystem.Rename(from, to)
}

func (d *failingDisk) Append(path string) (machine.File, error) {
	file, err := d.FileSystem.Append(path)
	return &failingFile{file, d}, err
}

type failingFile struct {
	machine.File
	disk *failingDisk
}

func (f *failingFile) Write(p []byte) (int, error) {
	if f.disk.shouldFail("write") {
		n, _ := f.File.Write(p[:len(p)/2])
		return n, errDiskFailure
	}
	return f.File.Write(p)
}

func (f *failingFile) Sync() error {
	if f.disk.shouldFail("sync") {
		return errDiskFailure
	}
	return f.File.Sync()
}

// After a disk error the log must reject writes, even once the disk works again. Reopened, it must hold every acknowledged
// change.
func TestLogDiskError(t *testing.T) {
	for _, operation := range []string{"write", "sync", "rename"} {
		directory := t.TempDir()
		disk := &failingDisk{FileSystem: machine.LocalFileSystem()}
		log, _, err := openChangeLog(disk, directory, testHeader, slog.New(slog.DiscardHandler))
		if err != nil {
			t.Fatal(err)
		}
		acknowledged := []feed.Change{testChange(1, 1), testChange(1, 2)}
		if err := log.append(acknowledged); err != nil {
			t.Fatal(err)
		}
		disk.failOperation = operation
		write := func() error { return log.append([]feed.Change{testChange(1, 3)}) }
		if operation == "rename" {
			write = func() error { return log.compact(acknowledged[1:]) }
		}
		err = write()
		if diskErr := (*DiskError)(nil); !errors.As(err, &diskErr) || !errors.Is(err, errDiskFailure) {
			t.Errorf("%s: %v", operation, err)
		}
		disk.failOperation = "none"
		if again := write(); again != err || disk.failedCalls != 1 {
			t.Errorf("%s, retried: %v, %d failed calls", operation, again, disk.failedCalls)
		}
		log.close()
		log, got := openTestLog(t, directory, &bytes.Buffer{})
		if len(got) < 2 || !equalChanges(got[:2], acknowledged) {
			t.Errorf("%s: %v", operation, got)
		}
		log.close()
	}
}

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

// testChange is the change of a kind with a sequence number; no two have the same key. Its last byte is not zero, so that a
// record filled up with zeros differs from the whole one.
func testChange(kind feed.Kind, sequence int) feed.Change {
	return feed.Change{
		Kind:     kind,
		Position: feed.Position{Epoch: 1, Sequence: uint64(sequence)},
		Key:      fmt.Appendf(nil, "key-%d-%d", kind, sequence),
		Value:    bytes.Repeat([]byte{byte(sequence) | 1}, sequence%7+1),
	}
}

// openTestLog opens a log on the disk.
func openTestLog(t *testing.T, directory string, said *bytes.Buffer) (*changeLog, []feed.Change) {
	t.Helper()
	log, changes, err := openChangeLog(machine.LocalFileSystem(), directory, testHeader, slog.New(slog.NewTextHandler(said, nil)))
	if err != nil {
		t.Fatal(err)
	}
	return log, changes
}

// writtenLog writes some appends of one to three changes, and returns the log's text, its changes, and the size of the
// file after each append with the number of changes that were acknowledged by then.
func writtenLog(t *testing.T) (text []byte, changes []feed.Change, acknowledged map[int]int) {
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

func sameChanges(a, b []feed.Change) bool {
	return len(a) == 0 && len(b) == 0 || reflect.DeepEqual(a, b)
}

// A crash may leave the file cut at any byte. Every acknowledged change is there then, no other one, and none by half; the
// cut is logged, and the log goes on.
func TestLogCutAtEveryByte(t *testing.T) {
	text, changes, acknowledged := writtenLog(t)
	headerSize := len(appendRecord(nil, testHeader.encode()))
	for _, tail := range []struct {
		name string
		fill func(lost []byte) []byte
	}{
		{"cut off", func([]byte) []byte { return nil }},
		{"zeros in place of the rest", func(lost []byte) []byte { return make([]byte, len(lost)) }},
		{"its last byte flipped", func(lost []byte) []byte { return nil }},
	} {
		count := 0
		for cut := headerSize; cut <= len(text); cut++ {
			want := count
			if now, ok := acknowledged[cut]; ok {
				want, count = now, now
			}
			damaged := append(bytes.Clone(text[:cut]), tail.fill(text[cut:])...)
			_, whole := acknowledged[cut]
			if tail.name == "its last byte flipped" {
				if whole { // a damaged record that was acknowledged is not what a crash leaves: see TestLogDamagedAmid
					continue
				}
				damaged[cut-1] ^= 0x40
			}
			checkRecovered(t, fmt.Sprintf("%s at %d", tail.name, cut), damaged, changes[:want], whole && len(damaged) == cut)
		}
		if count != len(changes) {
			t.Fatalf("%s: %d changes at the end, want %d", tail.name, count, len(changes))
		}
	}
}

// checkRecovered opens a log with a text, twice, with an append in between.
func checkRecovered(t *testing.T, name string, text []byte, want []feed.Change, whole bool) {
	t.Helper()
	directory := t.TempDir()
	path := filepath.Join(directory, logName)
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	var said bytes.Buffer
	log, got := openTestLog(t, directory, &said)
	if !sameChanges(got, want) {
		t.Fatalf("%s: %d changes %v, want %d", name, len(got), got, len(want))
	}
	if logged := strings.Contains(said.String(), "cut off"); logged == whole {
		t.Fatalf("%s: the cut is logged: %t, want %t", name, logged, !whole)
	}
	next := testChange(1, 1000)
	if err := errors.Join(log.append([]feed.Change{next}), log.close()); err != nil {
		t.Fatal(name, err)
	}
	log, got = openTestLog(t, directory, &bytes.Buffer{})
	defer log.close()
	if want := append(want[:len(want):len(want)], next); !sameChanges(got, want) {
		t.Fatalf("%s: after an append %d changes, want %d", name, len(got), len(want))
	}
}

// A log that is damaged in front of whole records has lost acknowledged changes: it is refused, whichever byte it is.
func TestLogDamagedAmid(t *testing.T) {
	text, _, acknowledged := writtenLog(t)
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

func TestLogOfAnotherCluster(t *testing.T) {
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

// A compacted log holds what it was given and goes on; one that a crash left amid it is the old one or the new one.
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
	if log.size >= before || log.compactAt < compactionFactor*log.size {
		t.Errorf("%d bytes after %d, to be compacted at %d", log.size, before, log.compactAt)
	}
	next := testChange(1, len(all)+1)
	next.Value = []byte{}
	if err := errors.Join(log.append([]feed.Change{next}), log.close()); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(directory, logName+".new"), []byte("a crash amid a compaction"), 0o600); err != nil {
		t.Fatal(err)
	}
	log, got := openTestLog(t, directory, &bytes.Buffer{})
	defer log.close()
	if !sameChanges(got, append(retained[:len(retained):len(retained)], next)) {
		t.Errorf("%d changes, want %d", len(got), len(retained)+1)
	}
}

// badDisk is a disk of which one call fails.
type badDisk struct {
	machine.FileSystem
	fails string // write, sync, rename or none
	calls int    // that failed
}

var errBadDisk = errors.New("bad disk")

func (d *badDisk) failing(call string) bool {
	if d.fails != call {
		return false
	}
	d.calls++
	return true
}

func (d *badDisk) Rename(from, to string) error {
	if d.failing("rename") {
		return errBadDisk
	}
	return d.FileSystem.Rename(from, to)
}

func (d *badDisk) Append(path string) (machine.File, error) {
	file, err := d.FileSystem.Append(path)
	return &badFile{file, d}, err
}

type badFile struct {
	machine.File
	disk *badDisk
}

func (f *badFile) Write(p []byte) (int, error) {
	if f.disk.failing("write") {
		n, _ := f.File.Write(p[:len(p)/2])
		return n, errBadDisk
	}
	return f.File.Write(p)
}

func (f *badFile) Sync() error {
	if f.disk.failing("sync") {
		return errBadDisk
	}
	return f.File.Sync()
}

// After a disk error the log takes nothing more, also once the disk is well. Opened again it has all that was acknowledged.
func TestLogDiskError(t *testing.T) {
	for _, call := range []string{"write", "sync", "rename"} {
		directory := t.TempDir()
		disk := &badDisk{FileSystem: machine.LocalFileSystem()}
		log, _, err := openChangeLog(disk, directory, testHeader, slog.New(slog.DiscardHandler))
		if err != nil {
			t.Fatal(err)
		}
		acknowledged := []feed.Change{testChange(1, 1), testChange(1, 2)}
		if err := log.append(acknowledged); err != nil {
			t.Fatal(err)
		}
		disk.fails = call
		write := func() error { return log.append([]feed.Change{testChange(1, 3)}) }
		if call == "rename" {
			write = func() error { return log.compact(acknowledged[1:]) }
		}
		err = write()
		if failed := (*DiskError)(nil); !errors.As(err, &failed) || !errors.Is(err, errBadDisk) {
			t.Errorf("%s: %v", call, err)
		}
		disk.fails = "none"
		if again := write(); again != err || disk.calls != 1 {
			t.Errorf("%s, tried again: %v, %d calls that failed", call, again, disk.calls)
		}
		log.close()
		log, got := openTestLog(t, directory, &bytes.Buffer{})
		if len(got) < 2 || !sameChanges(got[:2], acknowledged) {
			t.Errorf("%s: %v", call, got)
		}
		log.close()
	}
}

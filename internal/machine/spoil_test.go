//go:build faults

package machine

import (
	"os"
	"path/filepath"
	"testing"
	"time"
)

// An atomic write that fails at any step leaves the old content; the next write succeeds once the fault has ended.
func TestSaveWithDiskFaults(t *testing.T) {
	for _, kind := range []string{"write", "sync", "rename", "full"} {
		dir := t.TempDir()
		path := filepath.Join(dir, "record")
		if err := WriteFileAtomic(LocalFileSystem(), dir, path, []byte("old")); err != nil {
			t.Fatal(err)
		}
		if answer := applyFault([]string{"disk", kind}); answer != "ok" {
			t.Fatal(answer)
		}
		if err := WriteFileAtomic(LocalFileSystem(), dir, path, []byte("new")); err == nil {
			t.Errorf("%s: no error", kind)
		}
		if got, _ := LocalFileSystem().ReadFile(path); string(got) != "old" {
			t.Errorf("%s: content is %q, want the old one", kind, got)
		}
		applyFault([]string{"disk", "well"})
		if err := WriteFileAtomic(LocalFileSystem(), dir, path, []byte("new")); err != nil {
			t.Errorf("%s, after the fault: %v", kind, err)
		}
	}
}

// Under the fault "torn", a file has half of the written data before Sync, and all of it afterwards.
func TestTornWrite(t *testing.T) {
	applyFault([]string{"disk", "torn"})
	defer applyFault([]string{"disk", "well"})
	path := filepath.Join(t.TempDir(), "record")
	f, err := LocalFileSystem().Create(path)
	if err != nil {
		t.Fatal(err)
	}
	f.Write([]byte("0123456789"))
	if got, _ := os.ReadFile(path); string(got) != "01234" {
		t.Errorf("before the sync: %q", got)
	}
	f.Sync()
	if got, _ := os.ReadFile(path); string(got) != "0123456789" {
		t.Errorf("after the sync: %q", got)
	}
}

// Under the fault "torn", half of the appended data is missing before Sync; the earlier content is intact.
func TestTornAppend(t *testing.T) {
	path := filepath.Join(t.TempDir(), "log")
	if err := os.WriteFile(path, []byte("old"), 0o600); err != nil {
		t.Fatal(err)
	}
	applyFault([]string{"disk", "torn"})
	defer applyFault([]string{"disk", "well"})
	f, err := LocalFileSystem().Append(path)
	if err != nil {
		t.Fatal(err)
	}
	f.Write([]byte("0123456789"))
	if got, _ := os.ReadFile(path); string(got) != "old01234" {
		t.Errorf("before the sync: %q", got)
	}
	f.Sync()
	if got, _ := os.ReadFile(path); string(got) != "old0123456789" {
		t.Errorf("after the sync: %q", got)
	}
}

// Under the fault "hang", a write blocks in Sync until the fault ends.
func TestHang(t *testing.T) {
	applyFault([]string{"disk", "hang"})
	dir := t.TempDir()
	done := make(chan error)
	go func() { done <- WriteFileAtomic(LocalFileSystem(), dir, filepath.Join(dir, "record"), []byte("x")) }()
	select {
	case err := <-done:
		t.Fatal("the write did not block", err)
	case <-time.After(50 * time.Millisecond):
	}
	applyFault([]string{"disk", "well"})
	if err := <-done; err != nil {
		t.Fatal(err)
	}
}

// The command "clock" shifts WallTime, and a malformed duration is refused.
func TestClock(t *testing.T) {
	applyFault([]string{"clock", "1h"})
	defer applyFault([]string{"clock", "0s"})
	if d := time.Until(WallTime()); d < 59*time.Minute || d > 61*time.Minute {
		t.Error(d)
	}
	if answer := applyFault([]string{"clock", "soon"}); answer == "ok" {
		t.Error(answer)
	}
}

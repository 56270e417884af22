//go:build faults

package machine

import (
	"os"
	"path/filepath"
	"testing"
	"time"
)

// Whatever fails amid a save, the old text stays; once the disk is well the next one counts.
func TestSpoiltSave(t *testing.T) {
	for _, how := range []string{"write", "sync", "rename", "full"} {
		dir := t.TempDir()
		path := filepath.Join(dir, "record")
		if err := WriteFileAtomic(LocalFileSystem(), dir, path, []byte("old")); err != nil {
			t.Fatal(err)
		}
		if said := spoil([]string{"disk", how}); said != "ok" {
			t.Fatal(said)
		}
		if err := WriteFileAtomic(LocalFileSystem(), dir, path, []byte("new")); err == nil {
			t.Errorf("%s: no error", how)
		}
		if got, _ := LocalFileSystem().ReadFile(path); string(got) != "old" {
			t.Errorf("%s: left %q", how, got)
		}
		spoil([]string{"disk", "well"})
		if err := WriteFileAtomic(LocalFileSystem(), dir, path, []byte("new")); err != nil {
			t.Errorf("%s, well again: %v", how, err)
		}
	}
}

// A process that ends before its sync leaves half of what it wrote; one that ends behind it leaves all.
func TestTorn(t *testing.T) {
	spoil([]string{"disk", "torn"})
	defer spoil([]string{"disk", "well"})
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
		t.Errorf("behind it: %q", got)
	}
}

// Of what is appended and not synced, half is there; what stood before stays whole.
func TestTornAppend(t *testing.T) {
	path := filepath.Join(t.TempDir(), "log")
	if err := os.WriteFile(path, []byte("old"), 0o600); err != nil {
		t.Fatal(err)
	}
	spoil([]string{"disk", "torn"})
	defer spoil([]string{"disk", "well"})
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
		t.Errorf("behind it: %q", got)
	}
}

func TestHang(t *testing.T) {
	spoil([]string{"disk", "hang"})
	dir := t.TempDir()
	done := make(chan error)
	go func() { done <- WriteFileAtomic(LocalFileSystem(), dir, filepath.Join(dir, "record"), []byte("x")) }()
	select {
	case err := <-done:
		t.Fatal("it did not hang", err)
	case <-time.After(50 * time.Millisecond):
	}
	spoil([]string{"disk", "well"})
	if err := <-done; err != nil {
		t.Fatal(err)
	}
}

func TestClock(t *testing.T) {
	spoil([]string{"clock", "1h"})
	defer spoil([]string{"clock", "0s"})
	if d := time.Until(WallTime()); d < 59*time.Minute || d > 61*time.Minute {
		t.Error(d)
	}
	if said := spoil([]string{"clock", "soon"}); said == "ok" {
		t.Error(said)
	}
}

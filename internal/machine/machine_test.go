package machine

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
)

// WriteFileAtomic replaces the content and leaves no temporary file.
func TestSave(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "record")
	for _, text := range []string{"first", "second"} {
		if err := WriteFileAtomic(LocalFileSystem(), dir, path, []byte(text)); err != nil {
			t.Fatal(err)
		}
		if got, err := LocalFileSystem().ReadFile(path); err != nil || string(got) != text {
			t.Fatalf("%q %v", got, err)
		}
	}
	if names, _ := os.ReadDir(dir); len(names) != 1 {
		t.Errorf("files after the writes: %v, want one", names)
	}
}

// Append writes behind the existing content, and fails if the file does not exist.
func TestAppend(t *testing.T) {
	path := filepath.Join(t.TempDir(), "log")
	if _, err := LocalFileSystem().Append(path); !os.IsNotExist(err) {
		t.Fatalf("append to a missing file: %v", err)
	}
	if err := os.WriteFile(path, []byte("first"), 0o600); err != nil {
		t.Fatal(err)
	}
	for range 2 {
		f, err := LocalFileSystem().Append(path)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := f.Write([]byte(" next")); err != nil {
			t.Fatal(err)
		}
		if err := errors.Join(f.Sync(), f.Close()); err != nil {
			t.Fatal(err)
		}
	}
	if got, err := LocalFileSystem().ReadFile(path); err != nil || string(got) != "first next next" {
		t.Fatalf("%q %v", got, err)
	}
}

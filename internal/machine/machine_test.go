package machine

import (
	"os"
	"path/filepath"
	"testing"
)

func TestSave(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "record")
	for _, text := range []string{"first", "second"} {
		if err := Save(Disk(), dir, path, []byte(text)); err != nil {
			t.Fatal(err)
		}
		if got, err := Disk().Read(path); err != nil || string(got) != text {
			t.Fatalf("%q %v", got, err)
		}
	}
	if names, _ := os.ReadDir(dir); len(names) != 1 {
		t.Errorf("left behind: %v", names)
	}
}

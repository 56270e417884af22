package change

import (
	"errors"
	"io/fs"
	"path/filepath"

	"larchthread/internal/machine"
)

const recordName = "change.json"

// Folder keeps the record in a folder of the file system.
type Folder string

// Load implements Store.
func (f Folder) Load() ([]byte, error) {
	raw, err := machine.Disk().Read(f.path())
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	return raw, err
}

// Save implements Store.
func (f Folder) Save(record []byte) error {
	return machine.Save(machine.Disk(), string(f), f.path(), record)
}

func (f Folder) path() string { return filepath.Join(string(f), recordName) }

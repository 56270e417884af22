package change

import (
	"errors"
	"io/fs"
	"path/filepath"

	"larchthread/internal/machine"
)

const recordName = "change.json"

// DirectoryStore keeps the record in a directory of the file system.
type DirectoryStore string

// Load implements Store.
func (d DirectoryStore) Load() ([]byte, error) {
	raw, err := machine.LocalFileSystem().ReadFile(d.path())
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	return raw, err
}

// Save implements Store.
func (d DirectoryStore) Save(record []byte) error {
	return machine.WriteFileAtomic(machine.LocalFileSystem(), string(d), d.path(), record)
}

func (d DirectoryStore) path() string { return filepath.Join(string(d), recordName) }

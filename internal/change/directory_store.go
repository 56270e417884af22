package change

import (
	"errors"
	"io/fs"
	"path/filepath"

	"larchthread/internal/machine"
)

const recordName = "change.json"

// DirectoryStore is the Store that keeps the record in the file change.json of a directory, whose path is the value.
type DirectoryStore string

// Load implements Store. It returns nil if the file does not exist.
func (d DirectoryStore) Load() ([]byte, error) {
	raw, err := machine.LocalFileSystem().ReadFile(d.path())
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	return raw, err
}

// Save implements Store. It replaces the file atomically.
func (d DirectoryStore) Save(record []byte) error {
	return machine.WriteFileAtomic(machine.LocalFileSystem(), string(d), d.path(), record)
}

func (d DirectoryStore) path() string { return filepath.Join(string(d), recordName) }

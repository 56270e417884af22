package change

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
)

const recordName = "change.json"

// Folder keeps the record in a folder of the file system: written beside, brought to the disk, and renamed over.
type Folder string

// Load implements Store.
func (f Folder) Load() ([]byte, error) {
	raw, err := os.ReadFile(filepath.Join(string(f), recordName))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	return raw, err
}

// Save implements Store.
func (f Folder) Save(record []byte) (err error) {
	beside := filepath.Join(string(f), recordName+".new")
	if err := write(beside, record); err != nil {
		return err
	}
	if err := os.Rename(beside, filepath.Join(string(f), recordName)); err != nil {
		return err
	}
	dir, err := os.Open(string(f))
	if err != nil {
		return err
	}
	return errors.Join(dir.Sync(), dir.Close())
}

// write writes a file and waits until the disk has it.
func write(path string, text []byte) error {
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	_, err = file.Write(text)
	return errors.Join(err, file.Sync(), file.Close())
}

package feednet

import (
	"errors"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"slices"

	"golang.org/x/sys/unix"

	"larchthread/internal/feed"
	"larchthread/internal/machine"
)

const (
	logName  = "changes.log"
	lockName = "lock"

	minCompactSize   = 4 << 20 // bytes; a shorter log is not compacted
	compactionFactor = 4       // a log is compacted once it is so many times as long as after its last compaction
	changesPerRecord = 4096    // of a compacted log
)

// changeLog is a publisher's durable log: the changes that it has acknowledged, in their order. It is not safe for
// concurrent use.
type changeLog struct {
	files     machine.FileSystem
	directory string
	path      string
	header    logHeader
	lock      *os.File
	file      machine.File
	size      int   // bytes of the file
	compactAt int   // size from which it is compacted
	failure   error // of the first write that failed; there are no more after it
}

// openChangeLog opens the log in a directory, or begins one, and returns the changes that it holds. What an incomplete last
// write has left behind is cut off. Another process that has it open is a *LockedError.
func openChangeLog(files machine.FileSystem, directory string, header logHeader, logger *slog.Logger) (
	*changeLog, []feed.Change, error) {
	lock, err := lockDirectory(directory)
	if err != nil {
		return nil, nil, err
	}
	log := &changeLog{files: files, directory: directory, path: filepath.Join(directory, logName), header: header, lock: lock}
	changes, err := log.load(logger)
	if err != nil {
		lock.Close()
		return nil, nil, err
	}
	return log, changes, nil
}

// lockDirectory keeps other processes out until the returned file is closed.
func lockDirectory(directory string) (*os.File, error) {
	file, err := os.OpenFile(filepath.Join(directory, lockName), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, &DiskError{err}
	}
	err = unix.Flock(int(file.Fd()), unix.LOCK_EX|unix.LOCK_NB)
	switch {
	case errors.Is(err, unix.EWOULDBLOCK):
		file.Close()
		return nil, &LockedError{directory}
	case err != nil:
		file.Close()
		return nil, &DiskError{err}
	}
	return file, nil
}

// load reads the log and opens it for appending. What it returns is on the disk, not just in the kernel's memory.
func (l *changeLog) load(logger *slog.Logger) ([]feed.Change, error) {
	data, err := l.files.ReadFile(l.path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, l.replace(nil)
	}
	if err != nil {
		return nil, &DiskError{err}
	}
	changes, whole, err := l.read(data)
	if err != nil {
		return nil, err
	}
	if whole < len(data) {
		logger.Warn("publisher's log: cut off an incomplete last write", "path", l.path, "kept", whole, "cut", len(data)-whole)
		return changes, l.replace(data[:whole])
	}
	return changes, l.open(whole)
}

// read returns the changes in a log's text, and how many bytes of it are whole records.
func (l *changeLog) read(data []byte) (changes []feed.Change, whole int, err error) {
	payload, whole, err := readRecord(data)
	if err != nil {
		return nil, 0, l.corrupt(0, err)
	}
	header, err := decodeLogHeader(payload)
	if err != nil {
		return nil, 0, l.corrupt(0, err)
	}
	if header.Version != l.header.Version || header.Cluster != l.header.Cluster || !slices.Equal(header.Kinds, l.header.Kinds) {
		return nil, 0, &ForeignLogError{l.path, header.String(), l.header.String()}
	}
	for whole < len(data) {
		payload, size, err := readRecord(data[whole:])
		if err != nil && holdsRecord(data[whole:]) {
			return nil, 0, l.corrupt(whole, err)
		}
		if err != nil {
			return changes, whole, nil
		}
		written, err := decodeChanges(payload)
		if err != nil {
			return nil, 0, l.corrupt(whole, err)
		}
		changes = append(changes, written...)
		whole += size
	}
	return changes, whole, nil
}

func (l *changeLog) corrupt(offset int, err error) error {
	return &CorruptLogError{l.path, offset, err.Error()}
}

// replace puts a text in place of the file, or an empty log where there is none, and opens it for appending.
func (l *changeLog) replace(data []byte) error {
	if data == nil {
		data = appendRecord(nil, l.header.encode())
	}
	if err := machine.WriteFileAtomic(l.files, l.directory, l.path, data); err != nil {
		return &DiskError{err}
	}
	return l.open(len(data))
}

// open opens the file for appending and brings all of it to the disk.
func (l *changeLog) open(size int) error {
	file, err := l.files.Append(l.path)
	if err != nil {
		return &DiskError{err}
	}
	if err := file.Sync(); err != nil {
		file.Close()
		return &DiskError{err}
	}
	l.file = file
	l.size = size
	l.compactAt = max(minCompactSize, compactionFactor*size)
	return nil
}

// append writes changes and returns once the disk has them. After an error all calls return it.
func (l *changeLog) append(changes []feed.Change) error {
	if l.failure != nil {
		return l.failure
	}
	record := appendRecord(nil, encodeChanges(changes))
	_, err := l.file.Write(record)
	if err == nil {
		err = l.file.Sync()
	}
	if err != nil {
		l.failure = &DiskError{err}
		return l.failure
	}
	l.size += len(record)
	return nil
}

// full tells whether the log is long enough to be compacted.
func (l *changeLog) full() bool {
	return l.size >= l.compactAt
}

// compact puts a log that holds just these changes in place of the file. A process or machine that ends amid it leaves the
// old file or the new one. After an error all calls return it.
func (l *changeLog) compact(retained []feed.Change) error {
	if l.failure != nil {
		return l.failure
	}
	data := appendRecord(nil, l.header.encode())
	for part := range slices.Chunk(retained, changesPerRecord) {
		data = appendRecord(data, encodeChanges(part))
	}
	old := l.file
	if err := l.replace(data); err != nil {
		l.failure = err
		return err
	}
	return old.Close()
}

// close closes the log and lets other processes have it.
func (l *changeLog) close() error {
	return errors.Join(l.file.Close(), l.lock.Close())
}

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

	minCompactSize   = 4 << 20 // bytes; a smaller log is not compacted
	compactionFactor = 4       // growth, relative to the size when the log was opened or compacted, that triggers compaction
	changesPerRecord = 4096    // in a compacted log
)

// changeLog is a publisher's durable log of changes, in the order of publication. It is not safe for concurrent use.
type changeLog struct {
	files               machine.FileSystem
	directory           string
	path                string
	header              logHeader
	lock                *os.File
	file                machine.File
	size                int   // of the file, in bytes
	compactionThreshold int   // file size, in bytes, at which it is compacted
	writeErr            error // of the first failed write or compaction; later calls return it
}

// openChangeLog opens the log in a directory, or creates one, and returns the changes in it. It logs and truncates an
// incomplete last write. Errors are a *LockedError, *DiskError, *CorruptLogError or *ForeignLogError.
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

// lockDirectory takes an exclusive lock on a directory, held until the returned file is closed. It returns a *LockedError
// if another publisher holds the lock, and a *DiskError for any other failure.
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

// load reads the log, creating it if missing, and opens it for appending. The changes that it returns have been synced.
func (l *changeLog) load(logger *slog.Logger) ([]feed.Change, error) {
	data, err := l.files.ReadFile(l.path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, l.replace(nil)
	}
	if err != nil {
		return nil, &DiskError{err}
	}
	changes, validSize, err := l.read(data)
	if err != nil {
		return nil, err
	}
	if validSize < len(data) {
		logger.Warn("publisher's log: truncated an incomplete last write",
			"path", l.path, "kept", validSize, "cut", len(data)-validSize)
		return changes, l.replace(data[:validSize])
	}
	return changes, l.open(validSize)
}

// read decodes a log file. It returns the changes and the size, in bytes, of the records before an incomplete last write.
// Errors are a *CorruptLogError or a *ForeignLogError.
func (l *changeLog) read(data []byte) (changes []feed.Change, validSize int, err error) {
	payload, validSize, err := readRecord(data)
	if err != nil {
		return nil, 0, l.corruptLogError(0, err)
	}
	header, err := decodeLogHeader(payload)
	if err != nil {
		return nil, 0, l.corruptLogError(0, err)
	}
	if header.Version != l.header.Version || header.Cluster != l.header.Cluster || !slices.Equal(header.Kinds, l.header.Kinds) {
		return nil, 0, &ForeignLogError{l.path, header.String(), l.header.String()}
	}
	for validSize < len(data) {
		payload, recordSize, err := readRecord(data[validSize:])
		if err != nil && containsRecord(data[validSize:]) {
			return nil, 0, l.corruptLogError(validSize, err)
		}
		if err != nil {
			return changes, validSize, nil
		}
		decoded, err := decodeChanges(payload)
		if err != nil {
			return nil, 0, l.corruptLogError(validSize, err)
		}
		changes = append(changes, decoded...)
		validSize += recordSize
	}
	return changes, validSize, nil
}

// corruptLogError returns a *CorruptLogError for the record at a byte offset.
func (l *changeLog) corruptLogError(offset int, err error) error {
	return &CorruptLogError{l.path, offset, err.Error()}
}

// replace atomically replaces the file and opens it for appending. With nil data it writes an empty log.
func (l *changeLog) replace(data []byte) error {
	if data == nil {
		data = appendRecord(nil, l.header.encode())
	}
	if err := machine.WriteFileAtomic(l.files, l.directory, l.path, data); err != nil {
		return &DiskError{err}
	}
	return l.open(len(data))
}

// open opens the file, which has size bytes, for appending and syncs it.
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
	l.compactionThreshold = max(minCompactSize, compactionFactor*size)
	return nil
}

// append writes changes as one record and syncs the file. After a *DiskError every further call returns that error.
func (l *changeLog) append(changes []feed.Change) error {
	if l.writeErr != nil {
		return l.writeErr
	}
	record := appendRecord(nil, encodeChanges(changes))
	_, err := l.file.Write(record)
	if err == nil {
		err = l.file.Sync()
	}
	if err != nil {
		l.writeErr = &DiskError{err}
		return l.writeErr
	}
	l.size += len(record)
	return nil
}

// needsCompaction reports whether the log has reached its compaction threshold.
func (l *changeLog) needsCompaction() bool {
	return l.size >= l.compactionThreshold
}

// compact atomically replaces the file with a log of the given changes; a crash leaves the old file or the new one. After
// a failed replacement every further call returns that error.
func (l *changeLog) compact(retained []feed.Change) error {
	if l.writeErr != nil {
		return l.writeErr
	}
	data := appendRecord(nil, l.header.encode())
	for part := range slices.Chunk(retained, changesPerRecord) {
		data = appendRecord(data, encodeChanges(part))
	}
	old := l.file
	if err := l.replace(data); err != nil {
		l.writeErr = err
		return err
	}
	return old.Close()
}

// close closes the file and releases the lock.
func (l *changeLog) close() error {
	return errors.Join(l.file.Close(), l.lock.Close())
}

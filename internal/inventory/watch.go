package inventory

import (
	"os"
	"time"
)

// Watcher detects changes of an inventory file by polling. A new state of the file is loaded once two successive polls have
// found it unchanged, so that a file that is being written is left alone; an invalid state is reported once.
type Watcher struct {
	path                    string
	lastSeen, lastEvaluated fileState // at the last poll; when the file was last accepted or rejected
	current                 []Host    // the last accepted list
}

// fileState identifies a state of a file by its metadata.
type fileState struct {
	exists  bool
	size    int64
	modTime time.Time
	info    os.FileInfo
}

// equal reports whether both are the same state: the file is missing in both, or it is the same file with the same size and
// modification time.
func (s fileState) equal(t fileState) bool {
	return s.exists == t.exists && (!s.exists || s.size == t.size && s.modTime.Equal(t.modTime) && os.SameFile(s.info, t.info))
}

// statFile returns the current state of a file. A file that cannot be examined counts as missing.
func statFile(path string) fileState {
	f, err := os.Stat(path)
	if err != nil {
		return fileState{}
	}
	return fileState{true, f.Size(), f.ModTime(), f}
}

// NewWatcher loads the file and returns its hosts and a watcher for later changes. If the file is invalid, it returns the error
// (FileErrors) together with a usable watcher.
func NewWatcher(path string) (*Watcher, []Host, error) {
	w := &Watcher{path: path, lastSeen: statFile(path)}
	w.lastEvaluated = w.lastSeen
	hosts, err := Load(path)
	w.current = hosts
	return w, hosts, err
}

// Poll checks the file once. It returns the hosts if the file has changed, was stable since the previous poll, and differs
// from the last accepted list; an error (FileErrors) if the new state is invalid; and nil for both otherwise.
func (w *Watcher) Poll() ([]Host, error) {
	now := statFile(w.path)
	stable := now.equal(w.lastSeen)
	w.lastSeen = now
	if !stable || now.equal(w.lastEvaluated) {
		return nil, nil
	}
	hosts, err := Load(w.path)
	if !statFile(w.path).equal(now) { // changed while it was read
		return nil, nil
	}
	w.lastEvaluated = now
	if err != nil || len(Diff(w.current, hosts)) == 0 {
		return nil, err
	}
	w.current = hosts
	return hosts, nil
}

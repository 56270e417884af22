package inventory

import (
	"os"
	"time"
)

// Watcher looks at a file now and then, and finds the lists that are put there. A file that is being written is left until
// it has been still between two looks; one that can't be used is told of once.
type Watcher struct {
	path         string
	seen, judged stamp  // of the last look; of the state that was last taken or refused
	list         []Host // last taken
}

// stamp tells two states of a file apart.
type stamp struct {
	there bool
	size  int64
	at    time.Time
	file  os.FileInfo
}

func (s stamp) same(t stamp) bool {
	return s.there == t.there && (!s.there || s.size == t.size && s.at.Equal(t.at) && os.SameFile(s.file, t.file))
}

func stampOf(path string) stamp {
	f, err := os.Stat(path)
	if err != nil {
		return stamp{}
	}
	return stamp{true, f.Size(), f.ModTime(), f}
}

// NewWatcher reads the file for the first time.
func NewWatcher(path string) (*Watcher, []Host, error) {
	w := &Watcher{path: path, seen: stampOf(path)}
	w.judged = w.seen
	hosts, err := Load(path)
	w.list = hosts
	return w, hosts, err
}

// Poll returns a list that differs from the last one, if there is one now, or why what is there can't be used. It returns neither
// where nothing is new.
func (w *Watcher) Poll() ([]Host, error) {
	now := stampOf(w.path)
	still := now.same(w.seen)
	w.seen = now
	if !still || now.same(w.judged) {
		return nil, nil
	}
	hosts, err := Load(w.path)
	if !stampOf(w.path).same(now) { // it changed while it was read
		return nil, nil
	}
	w.judged = now
	if err != nil || len(Diff(w.list, hosts)) == 0 {
		return nil, err
	}
	w.list = hosts
	return hosts, nil
}

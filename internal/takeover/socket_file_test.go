package takeover

import (
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"larchthread/internal/params"
)

// socketPath returns the path at which processes at the start file's address find each other.
func socketPath(startFile *params.StartFile, dir string) string {
	return filepath.Join(dir, "larchthread-"+strings.ReplaceAll(startFile.Listen.String(), ":", "-"))
}

// Guards against a process that listens beside a running one, since the one that it asked has ended: another had come up in
// its place meanwhile.
func TestPredecessorReplacedWhileAsked(t *testing.T) {
	dir, startFile := t.TempDir(), newStartFile(t, 1)
	path := socketPath(startFile, dir)
	running, next := newProcess(t, startFile), newProcess(t, startFile)
	running.start(t, startFile, dir)
	running.await(t, "listening")
	rename := func(from, to string) {
		if err := os.Rename(from, to); err != nil {
			t.Fatal(err)
		}
	}
	rename(path, path+".running")
	before, err := net.ListenUnix("unixpacket", &net.UnixAddr{Name: path, Net: "unixpacket"})
	if err != nil {
		t.Fatal(err)
	}
	before.SetUnlinkOnClose(false)
	next.start(t, startFile, dir)
	asked, err := before.Accept()
	if err != nil {
		t.Fatal(err)
	}
	rename(path+".running", path)
	before.Close()
	asked.Close()
	running.await(t, "handed over")
	next.await(t, "took over")
	running.stop(t)
	next.stop(t)
}

// Guards against a running process that the next one does not find: an older one removed the socket file as it ended, though
// the file was no longer its own.
func TestSocketFileOfAnotherProcess(t *testing.T) {
	dir, startFile := t.TempDir(), newStartFile(t, 1)
	path := socketPath(startFile, dir)
	older := newProcess(t, startFile)
	takeover, err := Start(older.loop, older.loop.Log, older.router, startFile.Listen, dir, func(int) {})
	if err != nil {
		t.Fatal(err)
	}
	newer, err := older.loop.ListenControl(path, nil) // in its place
	if err != nil {
		t.Fatal(err)
	}
	if err := takeover.Close(); err != nil {
		t.Fatal(err)
	}
	if _, err := os.Stat(path); err != nil {
		t.Errorf("the newer process's socket file: %v", err)
	}
	newer.Remove()
	if _, err := os.Stat(path); err == nil {
		t.Error("the process did not remove its own socket file")
	}
}

// Guards against a next process that finds an old one in place of the running one: as the process between them ended, the old
// one took the socket file back, and connections too.
func TestSecondUpgradeBeforeTheOldProcessEnds(t *testing.T) {
	dir, startFile := t.TempDir(), newStartFile(t, 1)
	var all [4]*process
	for i := range all {
		all[i] = newProcess(t, startFile)
	}
	old, between, running, next := all[0], all[1], all[2], all[3]
	old.start(t, startFile, dir)
	old.await(t, "listening")
	between.start(t, startFile, dir)
	old.await(t, "handed over")
	running.start(t, startFile, dir)
	between.await(t, "handed over")
	between.stop(t)
	between.takeover.predecessor.channel.Close() // as the end of a process does
	old.await(t, "is gone")
	next.start(t, startFile, dir)
	running.await(t, "handed over")
	next.await(t, "took over")
	old.stop(t)
	running.stop(t)
	next.stop(t)
}

//go:build faults

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"path/filepath"
	"strings"
	"testing"
)

// A publisher whose disk fails answers with an error and ends, with its exit code. Started again it has what it had
// acknowledged, and goes on.
func TestSpoiltPublisher(t *testing.T) {
	for _, how := range []string{"write", "sync", "full"} {
		c := &controlCluster{t: t, directory: t.TempDir()}
		publisher := c.newNode("publisher", freeAddress(), "role: publisher, epoch: 1, directory: "+c.directory)
		socket := filepath.Join(c.directory, "faults")
		publisher.environment = []string{"LARCHTHREAD_FAULTS=" + socket}
		publisher.start()
		answer := func(line, want string) {
			t.Helper()
			said := len(publisher.output())
			if _, err := io.WriteString(publisher.input, line+"\n"); err != nil {
				t.Fatal(err)
			}
			publisher.waitFor("an answer", func(lines []string) bool { return len(lines) > said })
			if got := publisher.output()[said]; !strings.HasPrefix(got, want) {
				t.Errorf("disk %s: %q: said %q, want %q", how, line, got, want)
			}
		}
		answer("settings key first", "ok 1/1")
		spoilDisk(t, socket, how)
		answer("settings key second", "error feednet: publisher's log: ")
		<-publisher.outputEnded
		if err := publisher.process.Wait(); err == nil || publisher.process.ProcessState.ExitCode() != exitFailure {
			t.Errorf("disk %s: it ended with %v, want exit code %d", how, err, exitFailure)
		}
		publisher.process = nil
		publisher.start()
		answer("purges object", "ok 1/1")
		publisher.terminate()
	}
}

// spoilDisk tells a process how its disk fails from here on.
func spoilDisk(t *testing.T, socket, how string) {
	t.Helper()
	conn, err := net.Dial("unix", socket)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprintln(conn, "disk", how)
	if said, err := bufio.NewReader(conn).ReadString('\n'); said != "ok\n" {
		t.Fatalf("disk %s: %q %v", how, said, err)
	}
}

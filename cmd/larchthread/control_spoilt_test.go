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

// A publisher whose disk fails answers with an error and exits with exitFailure. After a restart it still has the changes that
// it had acknowledged, and accepts new ones.
func TestSpoiltPublisher(t *testing.T) {
	for _, fault := range []string{"write", "sync", "full"} {
		c := &controlCluster{t: t, directory: t.TempDir()}
		publisher := c.newNode("publisher", freeAddress(), "role: publisher, epoch: 1, directory: "+c.directory)
		socket := filepath.Join(c.directory, "faults")
		publisher.environment = []string{"LARCHTHREAD_FAULTS=" + socket}
		publisher.start()
		checkAnswer := func(line, want string) {
			t.Helper()
			before := len(publisher.output())
			if _, err := io.WriteString(publisher.input, line+"\n"); err != nil {
				t.Fatal(err)
			}
			publisher.waitFor("an answer arrives", func(lines []string) bool { return len(lines) > before })
			if got := publisher.output()[before]; !strings.HasPrefix(got, want) {
				t.Errorf("disk %s: %q: answer %q, want prefix %q", fault, line, got, want)
			}
		}
		checkAnswer("settings key first", "ok 1/1")
		setDiskFault(t, socket, fault)
		checkAnswer("settings key second", "error feednet: publisher's log: ")
		<-publisher.outputEnded
		if err := publisher.process.Wait(); err == nil || publisher.process.ProcessState.ExitCode() != exitFailure {
			t.Errorf("disk %s: publisher exited with %v, want exit code %d", fault, err, exitFailure)
		}
		publisher.process = nil
		publisher.start()
		checkAnswer("purges object", "ok 1/1")
		publisher.terminate()
	}
}

// setDiskFault sets how a process's disk fails from now on, over the process's fault socket.
func setDiskFault(t *testing.T, socket, fault string) {
	t.Helper()
	conn, err := net.Dial("unix", socket)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprintln(conn, "disk", fault)
	if reply, err := bufio.NewReader(conn).ReadString('\n'); reply != "ok\n" {
		t.Fatalf("disk %s: reply %q, error %v", fault, reply, err)
	}
}

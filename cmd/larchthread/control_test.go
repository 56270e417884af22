package main

import (
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"larchthread/internal/trial"
)

// settingsKeyCount is the number of distinct settings that the tests change repeatedly.
const settingsKeyCount = 7

// testChange is a change that a test publishes: a setting, or a purge, which has no value.
type testChange struct {
	kind, key, value string
}

// inputLine returns the change as a line of the publisher's standard input.
func (c testChange) inputLine() string {
	return strings.TrimSpace(c.kind+" "+c.key+" "+c.value) + "\n"
}

// testChanges returns count changes, of which every fourth is a setting and the others are purges. A label that is unique within
// the test keeps them distinct.
func testChanges(label string, count int) []testChange {
	var changes []testChange
	for n := range count {
		change := testChange{kind: "purges", key: fmt.Sprintf("object-%s-%d", label, n)}
		if n%4 == 0 {
			change = testChange{"settings", fmt.Sprint("key", n/4%settingsKeyCount), fmt.Sprintf("%s-%d", label, n)}
		}
		changes = append(changes, change)
	}
	return changes
}

// publication is a sequence of changes being written to the publisher's standard input.
type publication struct {
	cluster     *controlCluster
	changes     []testChange
	firstAnswer int           // index of the first answer in the publisher's output
	written     chan struct{} // closed when all changes are written, or writing has failed
}

// startPublishing writes changes to the publisher in the background, without waiting for its answers.
func (c *controlCluster) startPublishing(changes []testChange) *publication {
	p := &publication{cluster: c, changes: changes, firstAnswer: len(c.publisher.output()), written: make(chan struct{})}
	for _, change := range changes {
		c.published.addRequested(change.kind, change.key, change.value)
	}
	input := c.publisher.input
	go func() {
		defer close(p.written)
		for _, change := range changes {
			if _, err := io.WriteString(input, change.inputLine()); err != nil {
				return // the publisher was killed
			}
		}
	}()
	return p
}

// answers returns the publisher's answers so far.
func (p *publication) answers() []string {
	return p.cluster.publisher.output()[p.firstAnswer:]
}

// waitAnswers waits until at least count answers have arrived.
func (p *publication) waitAnswers(count int) {
	p.cluster.t.Helper()
	p.cluster.publisher.waitFor("answers arrive", func([]string) bool { return len(p.answers()) >= count })
}

// acknowledgeAnswers waits until writing has ended, and records the answers that have arrived. Some are missing if the publisher
// was killed.
func (p *publication) acknowledgeAnswers() {
	p.cluster.t.Helper()
	<-p.written
	for n, answer := range p.answers() {
		change := p.changes[n]
		if err := p.cluster.published.acknowledge(change.kind, change.key, change.value, answer); err != nil {
			p.cluster.t.Fatal(err)
		}
	}
}

// publish publishes changes, and waits for all answers and records them.
func (c *controlCluster) publish(changes []testChange) {
	c.t.Helper()
	p := c.startPublishing(changes)
	p.waitAnswers(len(changes))
	p.acknowledgeAnswers()
}

// checkComplete checks that the named followers received every acknowledged change as a single change.
func (c *controlCluster) checkComplete(names ...string) {
	c.t.Helper()
	for _, name := range names {
		if missing := c.checkOutput(name).countMissing(); missing > 0 {
			c.t.Errorf("%s: %d changes did not arrive as single changes", name, missing)
		}
	}
}

// checkSettings checks that every follower has the latest acknowledged value of each setting.
func (c *controlCluster) checkSettings() {
	c.t.Helper()
	want := c.published.latestSettings()
	for name := range c.followers {
		if got := c.checkOutput(name).settings; !maps.Equal(got, want) {
			c.t.Errorf("%s has the settings %v, want %v", name, got, want)
		}
	}
}

// When a relay is killed during publishing, followers with a second relay miss no change. A follower with that relay alone
// catches up after the restart.
func TestControlRelayKilled(t *testing.T) {
	c := startControlCluster(t)
	c.publish(testChanges("before", 40))
	c.waitCurrent()
	concurrent := c.startPublishing(testChanges("amid", 100))
	concurrent.waitAnswers(30)
	c.relays["a"].kill()
	concurrent.waitAnswers(100)
	concurrent.acknowledgeAnswers()
	c.publish(testChanges("without", 40))
	c.waitCurrent("f1", "f2", "f3", "f4", "onlyb")
	c.checkComplete("f1", "f2", "f3", "f4", "onlyb")
	c.relays["a"].start()
	c.waitCurrent()
	c.checkSettings()
}

// When a relay loses its link to the publisher, by resets or by dropped packets, a follower with that relay alone reports that it
// is stale, and followers with a second relay stay current. Once the link works again all become current.
func TestControlRelayCutOff(t *testing.T) {
	c := startControlCluster(t)
	link := c.links["a"]
	setHole := func(on bool) {
		link.SetImpairment(trial.Out, trial.Impairment{Blackhole: on})
		link.SetImpairment(trial.Back, trial.Impairment{Blackhole: on})
	}
	for _, fault := range []struct {
		name string
		set  func(on bool)
	}{{"cut", link.SetCut}, {"hole", setHole}} {
		staleCount := c.checkOutput("onlya").staleCount
		fault.set(true)
		c.publish(testChanges(fault.name, 100))
		c.waitFollowers("follower is stale", func(checker *eventChecker) bool {
			return !checker.fresh && checker.staleCount > staleCount
		}, "onlya")
		c.waitCurrent("f1", "f2", "f3", "f4", "onlyb")
		fault.set(false)
		c.waitCurrent()
	}
	c.checkComplete("f1", "f2", "f3", "f4", "onlyb")
	c.checkSettings()
}

// A follower too far behind to get single changes gets sets of purge prefixes that cover all that it missed.
func TestControlFarBehind(t *testing.T) {
	c := startControlCluster(t)
	c.publish(testChanges("before", 40)) // a follower without any state would get a reset instead of sets
	c.waitCurrent()
	c.links["a"].SetCut(true)
	c.publish(testChanges("cut", 1200))
	c.waitCurrent("f1", "f2", "f3", "f4", "onlyb")
	c.links["a"].SetCut(false)
	c.waitCurrent()
	c.checkSettings()
	if checker := c.checkOutput("onlya"); checker.prefixSetCount == 0 || checker.resetCount > 0 {
		t.Errorf("the follower behind the cut got %d sets of prefixes, want some, and %d resets, want none",
			checker.prefixSetCount, checker.resetCount)
	}
}

// When a relay is suspended during publishing, followers with a second relay stay current, and the one without reports that it is
// stale. All become current after the relay resumes.
func TestControlRelayFrozen(t *testing.T) {
	c := startControlCluster(t)
	c.publish(testChanges("before", 40))
	c.waitCurrent()
	c.relays["a"].signal(syscall.SIGSTOP)
	c.publish(testChanges("frozen", 100))
	c.waitCurrent("f1", "f2", "f3", "f4", "onlyb")
	c.waitFollowers("follower is stale", func(checker *eventChecker) bool { return !checker.fresh }, "onlya")
	c.relays["a"].signal(syscall.SIGCONT)
	c.waitCurrent()
	c.publish(testChanges("woken", 40))
	c.waitCurrent()
	c.checkComplete("f1", "f2", "f3", "f4", "onlyb")
	c.checkSettings()
}

// When the publisher is killed during publishing and restarted from its log, every acknowledged change reaches all followers
// exactly once, over slow links of which one breaks in the middle of a message.
func TestControlPublisherKilled(t *testing.T) {
	c := startControlCluster(t)
	slow := trial.Impairment{Delay: milliseconds(30), Jitter: milliseconds(10)}
	for _, name := range controlRelays {
		c.links[name].SetImpairment(trial.Back, slow)
	}
	for round := range 2 {
		concurrent := c.startPublishing(testChanges(fmt.Sprint("amid", round), 2000))
		concurrent.waitAnswers(40)
		c.publisher.kill()
		concurrent.acknowledgeAnswers()
		c.publisher.start()
		c.breakConnectionMidMessage("b")
		c.publish(testChanges(fmt.Sprint("after", round), 4*settingsKeyCount))
		c.links["b"].SetImpairment(trial.Back, slow)
		c.waitCurrent()
	}
	c.checkSettings()
}

// breakConnectionMidMessage makes each connection from a relay to the publisher break after a number of bytes, and waits until
// one has broken.
func (c *controlCluster) breakConnectionMidMessage(relay string) {
	c.t.Helper()
	const severAfterBytes = 300
	lostConnections := func() int { return strings.Count(c.relays[relay].log.String(), "connection lost") }
	before := lostConnections()
	c.links[relay].SetImpairment(trial.Back, trial.Impairment{ResetAfter: severAfterBytes})
	waitUntil(c.t, "a connection is lost", func() bool { return lostConnections() > before }, c.relays[relay].log.String)
}

// After an orderly restart of all processes, followers first, the settings are restored and new changes arrive.
func TestControlAllRestarted(t *testing.T) {
	c := startControlCluster(t)
	c.publish(testChanges("before", 60))
	c.waitCurrent()
	var nodes []*controlNode
	for _, node := range c.followers {
		nodes = append(nodes, node)
	}
	nodes = append(nodes, c.relays["a"], c.relays["b"], c.publisher)
	for _, node := range nodes {
		node.terminate()
	}
	for _, node := range nodes {
		node.start()
	}
	c.waitCurrent()
	c.checkSettings()
	c.publish(testChanges("after", 60))
	c.waitCurrent()
	c.checkSettings()
}

// A publisher with a higher epoch continues from a copy of the log. When the old publisher returns, nodes that know the new one
// reject it, and it can publish nothing more.
func TestControlPublisherReplaced(t *testing.T) {
	c := startControlCluster(t)
	c.publish(testChanges("first", 40))
	c.waitCurrent()
	old := c.publisher
	old.kill()
	directory := t.TempDir()
	log, err := os.ReadFile(filepath.Join(c.directory, "changes.log"))
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(directory, "changes.log"), log, 0o600); err != nil {
		t.Fatal(err)
	}
	c.publisher = c.newNode("second", freeAddress(), "role: publisher, epoch: 2, directory: "+directory)
	c.publisher.start()
	for _, target := range c.linkTargets {
		target.Store(&c.publisher.address)
	}
	c.publish(testChanges("second", 40))
	c.waitCurrent()
	c.linkTargets["a"].Store(&old.address)
	old.start()
	c.links["a"].SetCut(true)
	c.links["a"].SetCut(false)
	old.waitFor("old publisher is fenced", func(answers []string) bool {
		if _, err := io.WriteString(old.input, "purges never\n"); err != nil {
			t.Fatal(err)
		}
		return strings.HasPrefix(answers[len(answers)-1], "error feed: a publisher with a higher epoch")
	})
	c.publish(testChanges("third", 40))
	c.waitCurrent("f1", "f2", "f3", "f4", "onlyb")
	c.linkTargets["a"].Store(&c.publisher.address)
	c.waitCurrent()
	c.checkComplete("f1", "f2", "f3", "f4", "onlyb")
	c.checkSettings()
}

// The publisher answers every line of input, invalid ones too. A second publisher with the same directory does not start.
func TestControlPublisherAnswersEachLine(t *testing.T) {
	c := &controlCluster{t: t, directory: t.TempDir()}
	publisher := c.newNode("publisher", freeAddress(), "role: publisher, epoch: 3, directory: "+c.directory)
	publisher.start()
	lines := []string{"settings limit 5 per host", "purges object", "settings limit", "purges two words", "fly", "",
		"settings limit " + strings.Repeat("x", 1000), "settings limit 6"}
	if _, err := io.WriteString(publisher.input, strings.Join(lines, "\n")+"\n"); err != nil {
		t.Fatal(err)
	}
	publisher.waitFor("every line is answered", func(output []string) bool { return len(output) == 1+len(lines) })
	want := []string{"ok 3/1", "ok 3/1", `error "settings limit", want`, `error "purges two words", want`, `error "fly", want`,
		`error "", want`, "error feed: value is longer", "ok 3/2"}
	for n, answer := range publisher.output()[1:] {
		if !strings.HasPrefix(answer, want[n]) {
			t.Errorf("%q: answer %q, want prefix %q", lines[n], answer, want[n])
		}
	}
	second := c.newNode("second", freeAddress(), "role: publisher, epoch: 4, directory: "+c.directory)
	if output, err := second.runToFailure(); !strings.Contains(output, "in use by another publisher") {
		t.Errorf("a second publisher: %v\n%s", err, output)
	}
	if err := publisher.input.Close(); err != nil { // the publisher has to keep running, as with /dev/null as its input
		t.Fatal(err)
	}
	publisher.terminate()
}

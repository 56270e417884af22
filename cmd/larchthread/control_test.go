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

// settingsKeys is how many settings the tests change, over and over.
const settingsKeys = 7

// testChange is a change that a test publishes.
type testChange struct {
	kind, key, value string
}

// line is what the publisher reads.
func (c testChange) line() string {
	return strings.TrimSpace(c.kind+" "+c.key+" "+c.value) + "\n"
}

// testChanges are changes that differ from all others of a test by their label: a setting, then three purges, and so on.
func testChanges(label string, number int) []testChange {
	var changes []testChange
	for n := range number {
		change := testChange{kind: "purges", key: fmt.Sprintf("object-%s-%d", label, n)}
		if n%4 == 0 {
			change = testChange{"settings", fmt.Sprint("key", n/4%settingsKeys), fmt.Sprintf("%s-%d", label, n)}
		}
		changes = append(changes, change)
	}
	return changes
}

// publishing is changes on their way through the publisher's standard input.
type publishing struct {
	control *controlCluster
	changes []testChange
	first   int // of its answers among the publisher's lines
	written chan struct{}
}

// startPublishing sends the publisher changes without waiting for its answers.
func (c *controlCluster) startPublishing(changes []testChange) *publishing {
	p := &publishing{control: c, changes: changes, first: len(c.publisher.output()), written: make(chan struct{})}
	for _, change := range changes {
		c.published.addRequested(change.kind, change.key, change.value)
	}
	input := c.publisher.input
	go func() {
		defer close(p.written)
		for _, change := range changes {
			if _, err := io.WriteString(input, change.line()); err != nil {
				return // the publisher was killed
			}
		}
	}()
	return p
}

// answers are those that have come.
func (p *publishing) answers() []string {
	return p.control.publisher.output()[p.first:]
}

// waitAnswers waits until so many answers have come.
func (p *publishing) waitAnswers(number int) {
	p.control.t.Helper()
	p.control.publisher.waitFor("its answers", func([]string) bool { return len(p.answers()) >= number })
}

// finish notes the answers that have come. Where the publisher was killed they are not all.
func (p *publishing) finish() {
	p.control.t.Helper()
	<-p.written
	for n, answer := range p.answers() {
		change := p.changes[n]
		if err := p.control.published.acknowledge(change.kind, change.key, change.value, answer); err != nil {
			p.control.t.Fatal(err)
		}
	}
}

// publish publishes changes and waits for all answers.
func (c *controlCluster) publish(changes []testChange) {
	c.t.Helper()
	p := c.startPublishing(changes)
	p.waitAnswers(len(changes))
	p.finish()
}

// checkComplete has no acknowledged change missing at followers that were never too far behind for single changes.
func (c *controlCluster) checkComplete(names ...string) {
	c.t.Helper()
	for _, name := range names {
		if missing := c.checker(name).countMissing(); missing > 0 {
			c.t.Errorf("%s: %d changes did not come by themselves", name, missing)
		}
	}
}

// checkSettings compares what all followers have of settings with the latest that were acknowledged.
func (c *controlCluster) checkSettings() {
	c.t.Helper()
	want := c.published.latestSettings()
	for name := range c.followers {
		if got := c.checker(name).settings; !maps.Equal(got, want) {
			c.t.Errorf("%s has the settings %v, want %v", name, got, want)
		}
	}
}

// A relay is killed while changes flow: its followers go on with the other one, and miss nothing. Once it is back its
// other follower has caught up, too.
func TestControlRelayKilled(t *testing.T) {
	c := startControlCluster(t)
	c.publish(testChanges("before", 40))
	c.waitCurrent()
	amid := c.startPublishing(testChanges("amid", 100))
	amid.waitAnswers(30)
	c.relays["a"].kill()
	amid.waitAnswers(100)
	amid.finish()
	c.publish(testChanges("without", 40))
	c.waitCurrent("f1", "f2", "f3", "f4", "onlyb")
	c.checkComplete("f1", "f2", "f3", "f4", "onlyb")
	c.relays["a"].start()
	c.waitCurrent()
	c.checkSettings()
}

// The link between a relay and the publisher fails, by resets and by silence. A follower that has this relay alone knows
// that it is stale, though the relay lives; those with a second one are current by it. After the heal all are.
func TestControlRelayCutOff(t *testing.T) {
	c := startControlCluster(t)
	link := c.links["a"]
	hole := func(on bool) {
		link.SetImpairment(trial.Out, trial.Impairment{Blackhole: on})
		link.SetImpairment(trial.Back, trial.Impairment{Blackhole: on})
	}
	for _, fault := range []struct {
		name string
		set  func(on bool)
	}{{"cut", link.SetCut}, {"hole", hole}} {
		stales := c.checker("onlya").staleCount
		fault.set(true)
		c.publish(testChanges(fault.name, 100))
		c.waitAll("it is stale", func(checker *eventChecker) bool { return !checker.fresh && checker.staleCount > stales }, "onlya")
		c.waitCurrent("f1", "f2", "f3", "f4", "onlyb")
		fault.set(false)
		c.waitCurrent()
	}
	c.checkComplete("f1", "f2", "f3", "f4", "onlyb")
	c.checkSettings()
}

// More is published during a cut than a follower is sent one by one. What it gets instead covers all of it.
func TestControlFarBehind(t *testing.T) {
	c := startControlCluster(t)
	c.publish(testChanges("before", 40)) // who knows nothing gets a reset in place of sets
	c.waitCurrent()
	c.links["a"].SetCut(true)
	c.publish(testChanges("cut", 1200))
	c.waitCurrent("f1", "f2", "f3", "f4", "onlyb")
	c.links["a"].SetCut(false)
	c.waitCurrent()
	c.checkSettings()
	if checker := c.checker("onlya"); checker.setCount == 0 || checker.resetCount > 0 {
		t.Errorf("the follower that was cut off got %d sets of prefixes, want some, and %d resets, want none", checker.setCount, checker.resetCount)
	}
}

// A relay is stopped and woken again, with changes meanwhile.
func TestControlRelayFrozen(t *testing.T) {
	c := startControlCluster(t)
	c.publish(testChanges("before", 40))
	c.waitCurrent()
	c.relays["a"].signal(syscall.SIGSTOP)
	c.publish(testChanges("frozen", 100))
	c.waitCurrent("f1", "f2", "f3", "f4", "onlyb")
	c.waitAll("it is stale", func(checker *eventChecker) bool { return !checker.fresh }, "onlya")
	c.relays["a"].signal(syscall.SIGCONT)
	c.waitCurrent()
	c.publish(testChanges("woken", 40))
	c.waitCurrent()
	c.checkComplete("f1", "f2", "f3", "f4", "onlyb")
	c.checkSettings()
}

// The publisher is killed amid publishing, twice, and goes on from its log: each change that it has acknowledged comes to
// all followers, none twice. Links to it are slow, and one breaks amid a message.
func TestControlPublisherKilled(t *testing.T) {
	c := startControlCluster(t)
	slow := trial.Impairment{Delay: milliseconds(30), Jitter: milliseconds(10)}
	for _, name := range controlRelays {
		c.links[name].SetImpairment(trial.Back, slow)
	}
	for round := range 2 {
		amid := c.startPublishing(testChanges(fmt.Sprint("amid", round), 2000))
		amid.waitAnswers(40)
		c.publisher.kill()
		amid.finish()
		c.publisher.start()
		c.breakAmidMessage("b")
		c.publish(testChanges(fmt.Sprint("after", round), 4*settingsKeys))
		c.links["b"].SetImpairment(trial.Back, slow)
		c.waitCurrent()
	}
	c.checkSettings()
}

// breakAmidMessage has connections from a relay to the publisher break some bytes after their begin, and waits until one has.
func (c *controlCluster) breakAmidMessage(relay string) {
	c.t.Helper()
	const bytes = 300
	lost := func() int { return strings.Count(c.relays[relay].log.String(), "connection lost") }
	before := lost()
	c.links[relay].SetImpairment(trial.Back, trial.Impairment{ResetAfter: bytes})
	waitUntil(c.t, "a connection breaks", func() bool { return lost() > before }, c.relays[relay].log.String)
}

// All processes end in good order and are started again, followers first. The settings are there again, and changes flow.
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

// Another publisher with a higher epoch goes on from a copy of the log. The old one, back again, is refused by whoever knows
// the new one, and can publish nothing more.
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
	old.waitFor("it is fenced", func(said []string) bool {
		if _, err := io.WriteString(old.input, "purges never\n"); err != nil {
			t.Fatal(err)
		}
		return strings.HasPrefix(said[len(said)-1], "error feed: a publisher with a higher epoch")
	})
	c.publish(testChanges("third", 40))
	c.waitCurrent("f1", "f2", "f3", "f4", "onlyb")
	c.linkTargets["a"].Store(&c.publisher.address)
	c.waitCurrent()
	c.checkComplete("f1", "f2", "f3", "f4", "onlyb")
	c.checkSettings()
}

// The publisher answers each line, also those that it can't use, and a second one does not start on its log.
func TestControlPublisherLines(t *testing.T) {
	c := &controlCluster{t: t, directory: t.TempDir()}
	publisher := c.newNode("publisher", freeAddress(), "role: publisher, epoch: 3, directory: "+c.directory)
	publisher.start()
	lines := []string{"settings limit 5 per host", "purges object", "settings limit", "purges two words", "fly", "",
		"settings limit " + strings.Repeat("x", 1000), "settings limit 6"}
	if _, err := io.WriteString(publisher.input, strings.Join(lines, "\n")+"\n"); err != nil {
		t.Fatal(err)
	}
	publisher.waitFor("its answers", func(said []string) bool { return len(said) == 1+len(lines) })
	want := []string{"ok 3/1", "ok 3/1", `error "settings limit", want`, `error "purges two words", want`, `error "fly", want`,
		`error "", want`, "error feed: value is longer", "ok 3/2"}
	for n, said := range publisher.output()[1:] {
		if !strings.HasPrefix(said, want[n]) {
			t.Errorf("%q: said %q, want %q", lines[n], said, want[n])
		}
	}
	second := c.newNode("second", freeAddress(), "role: publisher, epoch: 4, directory: "+c.directory)
	if said, err := second.runToFailure(); !strings.Contains(said, "in use by another publisher") {
		t.Errorf("a second publisher: %v\n%s", err, said)
	}
	if err := publisher.input.Close(); err != nil { // as where standard input is /dev/null
		t.Fatal(err)
	}
	publisher.terminate()
}

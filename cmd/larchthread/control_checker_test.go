package main

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"sync"

	"larchthread/internal/feed"
)

// publishedChanges is what has been published, from the publisher's answers.
type publishedChanges struct {
	mu      sync.Mutex
	asked   map[string]bool                     // lines that were sent to the publisher
	changes map[string]map[feed.Position]string // that it has acknowledged: what they say, by kind and position
	last    map[string]feed.Position            // the highest of these, by kind
}

func newPublishedChanges() *publishedChanges {
	return &publishedChanges{
		asked:   make(map[string]bool),
		changes: map[string]map[feed.Position]string{"settings": {}, "purges": {}},
		last:    make(map[string]feed.Position),
	}
}

// addRequested notes that a change is about to be published.
func (p *publishedChanges) addRequested(kind, key, value string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.asked[kind+" "+changeText(kind, key, value)] = true
}

// acknowledge notes the publisher's answer. A position that was given before is an error.
func (p *publishedChanges) acknowledge(kind, key, value, answer string) error {
	text, ok := strings.CutPrefix(answer, "ok ")
	if !ok {
		return fmt.Errorf("publish %s %s: %s", kind, key, answer)
	}
	position, err := parsePosition(text)
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if before, taken := p.changes[kind][position]; taken {
		return fmt.Errorf("%s %v is %s, and was given to %s before", kind, position, key, before)
	}
	p.changes[kind][position] = changeText(kind, key, value)
	if position.Compare(p.last[kind]) > 0 {
		p.last[kind] = position
	}
	return nil
}

// changeText is a change as a follower prints it.
func changeText(kind, key, value string) string {
	if kind == "purges" {
		return fmt.Sprintf("%x", purgeKey(key))
	}
	return fmt.Sprintf("%q %q", key, value)
}

// eventChecker goes through a follower's lines from its start on. It finds versions that are lost, come twice, come out of
// order, or differ from what was published.
type eventChecker struct {
	published  *publishedChanges
	at         map[string]feed.Position          // by kind: how far it has come
	applied    map[string]map[feed.Position]bool // by kind: versions that came by themselves
	seen       map[string]feed.Position          // by kind and text: no two changes of a test are alike
	settings   map[string]string                 // settings by key, quoted as they were printed
	setCount   int                               // of prefixes that have come
	resetCount int                               // that have come
	fresh      bool
	staleCount int // how often it became stale
}

func newEventChecker(published *publishedChanges) *eventChecker {
	return &eventChecker{
		published: published,
		at:        make(map[string]feed.Position),
		applied:   map[string]map[feed.Position]bool{"settings": {}, "purges": {}},
		seen:      make(map[string]feed.Position),
		settings:  make(map[string]string),
	}
}

// checkLine takes a line.
func (c *eventChecker) checkLine(line string) error {
	c.published.mu.Lock()
	defer c.published.mu.Unlock()
	words := strings.SplitN(line, " ", 4)
	var err error
	switch words[0] {
	case "ready":
	case "fresh":
		c.fresh = true
	case "stale":
		c.fresh = false
		c.staleCount++
	case "applied":
		err = c.takeApplied(words[1], words[2], words[3])
	case "snapshot", "set", "reset":
		err = c.takeRange(words[0], words[1], words[2], words[3])
	default:
		err = errors.New("unknown")
	}
	if err != nil {
		return fmt.Errorf("line %q: %w", line, err)
	}
	return nil
}

// takeApplied takes a version that has to be the next one of its kind.
func (c *eventChecker) takeApplied(kind, at, text string) error {
	position, err := parsePosition(at)
	if err != nil {
		return err
	}
	if want := c.at[kind].Sequence + 1; position.Sequence != want || position.Epoch < c.at[kind].Epoch {
		return fmt.Errorf("comes after %v", c.at[kind])
	}
	c.at[kind] = position
	c.applied[kind][position] = true
	return c.takeContent(kind, position, text)
}

// takeContent compares a version with what was published, and keeps it where it is a setting.
func (c *eventChecker) takeContent(kind string, position feed.Position, text string) error {
	if acknowledged, is := c.published.changes[kind][position]; is && acknowledged != text {
		return fmt.Errorf("%v was published as %s", position, acknowledged)
	}
	if !c.published.asked[kind+" "+text] {
		return errors.New("nobody published it")
	}
	if before, is := c.seen[kind+" "+text]; is {
		return fmt.Errorf("came before, as %v", before)
	}
	c.seen[kind+" "+text] = position
	if kind == "settings" {
		key, value, _ := strings.Cut(text, " ")
		c.settings[key] = value
	}
	return nil
}

// takeRange takes an event that stands for all versions between two positions.
func (c *eventChecker) takeRange(what, kind, from, rest string) error {
	to, rest, _ := strings.Cut(rest, " ")
	first, err := parsePosition(from)
	if err != nil {
		return err
	}
	last, err := parsePosition(to)
	if err != nil {
		return err
	}
	if first != c.at[kind] || last.Compare(first) < 0 {
		return fmt.Errorf("comes at %v", c.at[kind])
	}
	c.at[kind] = last
	switch what {
	case "snapshot":
		return c.takeSnapshot(kind, first, last, rest)
	case "set":
		return c.takeSet(kind, first, last, rest)
	case "reset":
		c.resetCount++
	}
	return nil
}

// takeSnapshot takes a part of the latest settings.
func (c *eventChecker) takeSnapshot(kind string, first, last feed.Position, rest string) error {
	for _, entry := range strings.Fields(rest) {
		words := strings.SplitN(entry, ",", 3)
		position, err := parsePosition(words[0])
		if err != nil {
			return err
		}
		if position.Compare(first) <= 0 || position.Compare(last) > 0 {
			return fmt.Errorf("%v is not in it", position)
		}
		if err := c.takeContent(kind, position, words[1]+" "+words[2]); err != nil {
			return err
		}
	}
	return nil
}

// takeSet takes a set of prefixes: it has to cover all purges that were acknowledged in between.
func (c *eventChecker) takeSet(kind string, first, last feed.Position, rest string) error {
	c.setCount++
	bits, list, _ := strings.Cut(rest, " ")
	width, err := strconv.Atoi(bits)
	if err != nil {
		return err
	}
	covered := make(map[string]bool)
	for _, prefix := range strings.Split(list, ",") {
		covered[prefix] = true
	}
	for position, hash := range c.published.changes[kind] {
		within := position.Compare(first) > 0 && position.Compare(last) <= 0
		if within && !covered[hash[:width/4]] {
			return fmt.Errorf("%v %s is not covered", position, hash)
		}
	}
	return nil
}

// isCurrent tells whether all that was acknowledged has come.
func (c *eventChecker) isCurrent() bool {
	c.published.mu.Lock()
	defer c.published.mu.Unlock()
	for kind, last := range c.published.last {
		if c.at[kind].Compare(last) < 0 {
			return false
		}
	}
	return true
}

// countMissing counts the acknowledged changes that have not come by themselves.
func (c *eventChecker) countMissing() int {
	c.published.mu.Lock()
	defer c.published.mu.Unlock()
	count := 0
	for kind, changes := range c.published.changes {
		for position := range changes {
			if !c.applied[kind][position] {
				count++
			}
		}
	}
	return count
}

// latestSettings is the latest acknowledged value of each setting, quoted as a follower prints them.
func (p *publishedChanges) latestSettings() map[string]string {
	p.mu.Lock()
	defer p.mu.Unlock()
	latest := make(map[string]string)
	at := make(map[string]feed.Position)
	for position, text := range p.changes["settings"] {
		key, value, _ := strings.Cut(text, " ")
		if position.Compare(at[key]) > 0 {
			at[key], latest[key] = position, value
		}
	}
	return latest
}

func parsePosition(text string) (position feed.Position, err error) {
	_, err = fmt.Sscanf(text, "%d/%d", &position.Epoch, &position.Sequence)
	return position, err
}

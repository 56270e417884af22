package main

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"sync"

	"larchthread/internal/feed"
)

// publishedChanges records the changes sent to the publisher and its acknowledgements.
type publishedChanges struct {
	mu        sync.Mutex
	requested map[string]bool                     // changes sent to the publisher, as "KIND TEXT"
	changes   map[string]map[feed.Position]string // text of the acknowledged changes, by kind and position
	highest   map[string]feed.Position            // highest acknowledged position, by kind
}

func newPublishedChanges() *publishedChanges {
	return &publishedChanges{
		requested: make(map[string]bool),
		changes:   map[string]map[feed.Position]string{"settings": {}, "purges": {}},
		highest:   make(map[string]feed.Position),
	}
}

// addRequested records a change that is about to be sent to the publisher.
func (p *publishedChanges) addRequested(kind, key, value string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.requested[kind+" "+changeText(kind, key, value)] = true
}

// acknowledge records the publisher's answer to a change. It returns an error if the publisher refused the change, or assigned
// a position that another change already has.
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
	if previous, exists := p.changes[kind][position]; exists {
		return fmt.Errorf("%s position %v assigned to %s is already taken by %s", kind, position, key, previous)
	}
	p.changes[kind][position] = changeText(kind, key, value)
	if position.Compare(p.highest[kind]) > 0 {
		p.highest[kind] = position
	}
	return nil
}

// changeText returns a change as a follower prints it.
func changeText(kind, key, value string) string {
	if kind == "purges" {
		return fmt.Sprintf("%x", purgeKey(key))
	}
	return fmt.Sprintf("%q %q", key, value)
}

// eventChecker checks the event lines that a follower prints from its start on. It detects versions that are missing, duplicated,
// out of order, or different from what was published.
type eventChecker struct {
	published      *publishedChanges
	positions      map[string]feed.Position          // position reached, by kind
	applied        map[string]map[feed.Position]bool // versions that arrived as single changes, by kind
	seen           map[string]feed.Position          // by "KIND TEXT", which is unique within a test
	settings       map[string]string                 // current values by key, both quoted as printed
	prefixSetCount int                               // sets of purge prefixes
	resetCount     int                               // resets of any kind
	fresh          bool
	staleCount     int // transitions to stale
}

func newEventChecker(published *publishedChanges) *eventChecker {
	return &eventChecker{
		published: published,
		positions: make(map[string]feed.Position),
		applied:   map[string]map[feed.Position]bool{"settings": {}, "purges": {}},
		seen:      make(map[string]feed.Position),
		settings:  make(map[string]string),
	}
}

// checkLine checks the next line of output.
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
		err = c.checkApplied(words[1], words[2], words[3])
	case "snapshot", "set", "reset":
		err = c.checkRange(words[0], words[1], words[2], words[3])
	default:
		err = errors.New("unknown")
	}
	if err != nil {
		return fmt.Errorf("line %q: %w", line, err)
	}
	return nil
}

// checkApplied checks a single change: its version has to be the next one of its kind.
func (c *eventChecker) checkApplied(kind, positionText, text string) error {
	position, err := parsePosition(positionText)
	if err != nil {
		return err
	}
	if want := c.positions[kind].Sequence + 1; position.Sequence != want || position.Epoch < c.positions[kind].Epoch {
		return fmt.Errorf("not the successor of %v", c.positions[kind])
	}
	c.positions[kind] = position
	c.applied[kind][position] = true
	return c.checkContent(kind, position, text)
}

// checkContent compares a version with what was published, and stores its value if it is a setting.
func (c *eventChecker) checkContent(kind string, position feed.Position, text string) error {
	if acknowledged, ok := c.published.changes[kind][position]; ok && acknowledged != text {
		return fmt.Errorf("%v was published as %s", position, acknowledged)
	}
	if !c.published.requested[kind+" "+text] {
		return errors.New("it was never published")
	}
	if previous, ok := c.seen[kind+" "+text]; ok {
		return fmt.Errorf("duplicate of %v", previous)
	}
	c.seen[kind+" "+text] = position
	if kind == "settings" {
		key, value, _ := strings.Cut(text, " ")
		c.settings[key] = value
	}
	return nil
}

// checkRange checks an event that covers all versions between two positions. It has to begin where the last event ended.
func (c *eventChecker) checkRange(event, kind, from, rest string) error {
	to, rest, _ := strings.Cut(rest, " ")
	first, err := parsePosition(from)
	if err != nil {
		return err
	}
	last, err := parsePosition(to)
	if err != nil {
		return err
	}
	if first != c.positions[kind] || last.Compare(first) < 0 {
		return fmt.Errorf("does not continue from %v", c.positions[kind])
	}
	c.positions[kind] = last
	switch event {
	case "snapshot":
		return c.checkSnapshot(kind, first, last, rest)
	case "set":
		return c.checkPrefixSet(kind, first, last, rest)
	case "reset":
		c.resetCount++
	}
	return nil
}

// checkSnapshot checks a batch of current settings: each position has to be within the batch's range.
func (c *eventChecker) checkSnapshot(kind string, first, last feed.Position, rest string) error {
	for _, entry := range strings.Fields(rest) {
		words := strings.SplitN(entry, ",", 3)
		position, err := parsePosition(words[0])
		if err != nil {
			return err
		}
		if position.Compare(first) <= 0 || position.Compare(last) > 0 {
			return fmt.Errorf("position %v is outside the snapshot's range", position)
		}
		if err := c.checkContent(kind, position, words[1]+" "+words[2]); err != nil {
			return err
		}
	}
	return nil
}

// checkPrefixSet checks a set of purge prefixes: it has to cover every acknowledged purge within its range.
func (c *eventChecker) checkPrefixSet(kind string, first, last feed.Position, rest string) error {
	c.prefixSetCount++
	bitsText, list, _ := strings.Cut(rest, " ")
	prefixBits, err := strconv.Atoi(bitsText)
	if err != nil {
		return err
	}
	covered := make(map[string]bool)
	for _, prefix := range strings.Split(list, ",") {
		covered[prefix] = true
	}
	for position, hash := range c.published.changes[kind] {
		inRange := position.Compare(first) > 0 && position.Compare(last) <= 0
		if inRange && !covered[hash[:prefixBits/4]] {
			return fmt.Errorf("purge at %v with hash %s is not covered", position, hash)
		}
	}
	return nil
}

// isCurrent reports whether the follower has reached the highest acknowledged position of each kind.
func (c *eventChecker) isCurrent() bool {
	c.published.mu.Lock()
	defer c.published.mu.Unlock()
	for kind, last := range c.published.highest {
		if c.positions[kind].Compare(last) < 0 {
			return false
		}
	}
	return true
}

// countMissing returns the number of acknowledged changes that did not arrive as single changes.
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

// latestSettings returns the latest acknowledged value of each setting, by key. Both are quoted as a follower prints them.
func (p *publishedChanges) latestSettings() map[string]string {
	p.mu.Lock()
	defer p.mu.Unlock()
	latest := make(map[string]string)
	positions := make(map[string]feed.Position)
	for position, text := range p.changes["settings"] {
		key, value, _ := strings.Cut(text, " ")
		if position.Compare(positions[key]) > 0 {
			positions[key], latest[key] = position, value
		}
	}
	return latest
}

// parsePosition parses a position written as EPOCH/SEQUENCE.
func parsePosition(text string) (position feed.Position, err error) {
	_, err = fmt.Sscanf(text, "%d/%d", &position.Epoch, &position.Sequence)
	return position, err
}

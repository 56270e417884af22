package feed

import (
	"bytes"
	"fmt"
	"slices"
	"time"
)

// checker verifies what nodes report against what was published, independently of the implementation.
type checker struct {
	kinds []KindConfig
	// coarseAfter is Config.CoarseAfter.
	coarseAfter int
	published   [][]publication
	views       map[string]*view
	traffic     map[string]*trafficWindow
	violations  []string
}

// publication is a change and the time at which it was published.
type publication struct {
	change Change
	at     time.Duration
}

// view is what a node has reported since its start, by kind.
type view struct {
	role  Role
	kinds []kindView
}

// kindView is what a node has reported of one kind.
type kindView struct {
	position Position
	// applied holds the sequence of the latest applied change of each key.
	applied map[string]uint64
	// skipped holds changes left out by a snapshot, while the changes that supersede them have not arrived.
	skipped []publication
	// catchingUp: the latest event was part of a catch-up that is not complete.
	catchingUp bool
}

func newChecker(config Config) *checker {
	return &checker{
		kinds:       config.Kinds,
		coarseAfter: config.CoarseAfter,
		published:   make([][]publication, len(config.Kinds)),
		views:       make(map[string]*view),
		traffic:     make(map[string]*trafficWindow),
	}
}

func (c *checker) addViolation(format string, arguments ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, arguments...))
}

// recordPublication records a published change.
func (c *checker) recordPublication(change Change, now time.Duration) {
	list := c.published[change.Kind]
	if change.Position.Sequence != uint64(len(list))+1 {
		c.addViolation("%s: publication %s of kind %d does not follow the %d before it", now, change.Position,
			change.Kind, len(list))
	}
	c.published[change.Kind] = append(list, publication{change: change, at: now})
}

// recordStart records that a node has started without any data.
func (c *checker) recordStart(node string, role Role) {
	v := &view{role: role, kinds: make([]kindView, len(c.kinds))}
	for i := range v.kinds {
		v.kinds[i].applied = make(map[string]uint64)
	}
	c.views[node] = v
}

// checkEvent verifies an event of a node.
func (c *checker) checkEvent(node string, event Event, now time.Duration) {
	var problem string
	v := c.views[node]
	switch e := event.(type) {
	case Applied:
		problem = c.checkApplied(&v.kinds[e.Change.Kind], e.Change)
	case AppliedSet:
		problem = c.checkAppliedSet(v, e)
	case AppliedSnapshot:
		problem = c.checkAppliedSnapshot(&v.kinds[e.Kind], e)
	case Reset:
		problem = c.checkReset(&v.kinds[e.Kind], e)
	}
	if problem != "" {
		c.addViolation("%s: %s: %T %s", now, node, event, problem)
	}
}

func (c *checker) checkApplied(k *kindView, change Change) string {
	position := change.Position
	switch {
	case position.Compare(k.position) <= 0:
		return fmt.Sprintf("%s is repeated or out of order after %s", position, k.position)
	case position.Sequence != k.position.Sequence+1:
		return fmt.Sprintf("%s comes after %s: changes are lost", position, k.position)
	case !c.wasPublished(change):
		return fmt.Sprintf("%s differs from what was published", position)
	}
	k.position = position
	k.applied[string(change.Key)] = position.Sequence
	k.catchingUp = false
	return ""
}

func (c *checker) wasPublished(change Change) bool {
	list := c.published[change.Kind]
	sequence := change.Position.Sequence
	if sequence == 0 || sequence > uint64(len(list)) {
		return false
	}
	original := list[sequence-1].change
	return original.Position == change.Position && bytes.Equal(original.Key, change.Key) &&
		bytes.Equal(original.Value, change.Value)
}

// span returns the publications after from up to and including to, or a description of what is wrong with the span.
func (c *checker) span(k *kindView, kind Kind, from, to Position) ([]publication, string) {
	list := c.published[kind]
	switch {
	case from != k.position:
		return nil, fmt.Sprintf("begins at %s, the node was at %s", from, k.position)
	case to.Sequence <= from.Sequence || to.Sequence > uint64(len(list)) || list[to.Sequence-1].change.Position != to:
		return nil, fmt.Sprintf("ends at %s, which is not a later position", to)
	}
	return list[from.Sequence:to.Sequence], ""
}

// behind returns the number of published changes after a position.
func (c *checker) behind(kind Kind, at Position) int {
	return len(c.published[kind]) - int(at.Sequence)
}

func (c *checker) checkAppliedSet(v *view, e AppliedSet) string {
	k := &v.kinds[e.Kind]
	span, problem := c.span(k, e.Kind, e.From, e.To)
	if problem != "" {
		return problem
	}
	if v.role != Subscriber || c.kinds[e.Kind].Stateful {
		return "is not allowed for this node or kind"
	}
	if !k.catchingUp && c.behind(e.Kind, e.From) <= c.coarseAfter {
		return fmt.Sprintf("is not needed: %d behind", c.behind(e.Kind, e.From))
	}
	var wanted []uint64
	for _, publication := range span {
		key := publication.change.Key
		wanted = append(wanted, uint64(key[0])<<16|uint64(key[1])<<8|uint64(key[2]))
	}
	slices.Sort(wanted)
	if e.PrefixBits != 24 || !slices.Equal(slices.Compact(wanted), e.Prefixes) {
		return fmt.Sprintf("from %s to %s does not match the prefixes of the changes", e.From, e.To)
	}
	k.position = e.To
	k.catchingUp = true
	return ""
}

func (c *checker) checkAppliedSnapshot(k *kindView, e AppliedSnapshot) string {
	span, problem := c.span(k, e.Kind, e.From, e.To)
	if problem != "" {
		return problem
	}
	if problem := c.beyondWindow(e.Kind, e.From); problem != "" && !k.catchingUp {
		return problem
	}
	present := make(map[uint64]bool)
	last := e.From
	for _, change := range e.Changes {
		if change.Position.Compare(last) <= 0 || change.Position.Compare(e.To) > 0 || !c.wasPublished(change) {
			return fmt.Sprintf("has an invalid entry at %s", change.Position)
		}
		present[change.Position.Sequence] = true
		k.applied[string(change.Key)] = change.Position.Sequence
		last = change.Position
	}
	for _, publication := range span {
		if present[publication.change.Position.Sequence] {
			continue
		}
		if !c.superseded(publication.change) {
			return fmt.Sprintf("leaves out %s, the latest change of its key", publication.change.Position)
		}
		k.skipped = append(k.skipped, publication)
	}
	k.position = e.To
	k.catchingUp = !e.Last
	return ""
}

// superseded reports whether a later change of the same key is published.
func (c *checker) superseded(change Change) bool {
	later := c.published[change.Kind][change.Position.Sequence:]
	return slices.ContainsFunc(later, func(p publication) bool { return bytes.Equal(p.change.Key, change.Key) })
}

// beyondWindow returns "" if the changes after a position exceed the window or the node is new, otherwise a problem.
func (c *checker) beyondWindow(kind Kind, at Position) string {
	if behind := c.behind(kind, at); !at.IsZero() && behind <= c.kinds[kind].Window {
		return fmt.Sprintf("is not needed: %d behind, the window is %d", behind, c.kinds[kind].Window)
	}
	return ""
}

func (c *checker) checkReset(k *kindView, e Reset) string {
	if _, problem := c.span(k, e.Kind, e.From, e.To); problem != "" {
		return problem
	}
	if c.kinds[e.Kind].Stateful {
		return "is not allowed for a stateful kind"
	}
	if problem := c.beyondWindow(e.Kind, e.From); problem != "" {
		return problem
	}
	k.position = e.To
	k.catchingUp = false
	return ""
}

// checkAge verifies that a node does not understate its age.
func (c *checker) checkAge(node string, reported, now time.Duration) {
	missing, ok := c.oldestMissing(node)
	if !ok {
		return
	}
	if actual := now - missing.at; reported < actual {
		c.addViolation("%s: %s reports an age of %s, but has lacked %s of kind %d for %s", now, node, reported,
			missing.change.Position, missing.change.Kind, actual)
	}
}

// oldestMissing returns the publication, of those that a node lacks, that was published first.
func (c *checker) oldestMissing(node string) (publication, bool) {
	var oldest publication
	found := false
	consider := func(p publication) {
		if !found || p.at < oldest.at {
			oldest, found = p, true
		}
	}
	v := c.views[node]
	for kind := range v.kinds {
		k := &v.kinds[kind]
		if at := int(k.position.Sequence); at < len(c.published[kind]) {
			consider(c.published[kind][at])
		}
		k.skipped = slices.DeleteFunc(k.skipped, func(p publication) bool {
			return k.applied[string(p.change.Key)] > p.change.Position.Sequence
		})
		for _, publication := range k.skipped {
			consider(publication)
		}
	}
	return oldest, found
}

// requireCurrent requires that a node has all changes published up to a given time.
func (c *checker) requireCurrent(node string, until, now time.Duration) {
	if missing, ok := c.oldestMissing(node); ok && missing.at <= until {
		c.addViolation("%s: %s is not current: it lacks %s of kind %d, published at %s", now, node, missing.change.Position,
			missing.change.Kind, missing.at)
	}
}

// requireLatestState requires that a node has the latest change of each key.
func (c *checker) requireLatestState(node string, now time.Duration) {
	for kind, config := range c.kinds {
		if !config.Stateful {
			continue
		}
		latest := make(map[string]uint64)
		for _, publication := range c.published[kind] {
			latest[string(publication.change.Key)] = publication.change.Position.Sequence
		}
		for key, sequence := range latest {
			if got := c.views[node].kinds[kind].applied[key]; got != sequence {
				c.addViolation("%s: %s has change %d of key %q, the latest is %d", now, node, got, key, sequence)
			}
		}
	}
}

// trafficWindow sums the bytes of the last second.
type trafficWindow struct {
	sent []sentBytes
	sum  int
}

type sentBytes struct {
	at    time.Duration
	bytes int
}

// recordSent records bytes sent under a name and requires that they stay within limit in any second.
func (c *checker) recordSent(name string, bytes, limit int, now time.Duration) {
	window := c.traffic[name]
	if window == nil {
		window = &trafficWindow{}
		c.traffic[name] = window
	}
	for len(window.sent) > 0 && now-window.sent[0].at >= time.Second {
		window.sum -= window.sent[0].bytes
		window.sent = window.sent[1:]
	}
	window.sent = append(window.sent, sentBytes{at: now, bytes: bytes})
	window.sum += bytes
	if window.sum > limit {
		c.addViolation("%s: %s: %d bytes within a second, the limit is %d", now, name, window.sum, limit)
	}
}

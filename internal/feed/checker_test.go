package feed

import (
	"bytes"
	"fmt"
	"slices"
	"time"
)

// checker judges what nodes report by what was published, and by nothing of the mechanism.
type checker struct {
	kinds []KindConfig
	// coarseAfter is the setting of that name.
	coarseAfter int
	published   [][]publication
	views       map[string]*view
	traffic     map[string]*trafficWindow
	violations  []string
}

// publication is a change and when it was published.
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
	// applied is the sequence of the latest change that was applied, by key. Kinds with a latest state only.
	applied map[string]uint64
	// skipped are changes that a snapshot left out, whose keys are still to come.
	skipped []publication
	// catchingUp: the latest event was a part of a catch-up that goes on.
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

func (c *checker) fail(format string, arguments ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, arguments...))
}

// publish takes a change that was acknowledged.
func (c *checker) publish(change Change, now time.Duration) {
	list := c.published[change.Kind]
	if change.Position.Sequence != uint64(len(list))+1 {
		c.fail("%s: publication %s of kind %d doesn't follow %d others", now, change.Position, change.Kind, len(list))
	}
	c.published[change.Kind] = append(list, publication{change: change, at: now})
}

// start takes the start of a node, or its start anew with nothing kept.
func (c *checker) start(node string, role Role) {
	v := &view{role: role, kinds: make([]kindView, len(c.kinds))}
	for i := range v.kinds {
		v.kinds[i].applied = make(map[string]uint64)
	}
	c.views[node] = v
}

// event takes what a node reports.
func (c *checker) event(node string, event Event, now time.Duration) {
	var problem string
	v := c.views[node]
	switch e := event.(type) {
	case Applied:
		problem = c.applied(&v.kinds[e.Change.Kind], e.Change)
	case AppliedSet:
		problem = c.appliedSet(v, e)
	case AppliedSnapshot:
		problem = c.appliedSnapshot(&v.kinds[e.Kind], e)
	case Reset:
		problem = c.reset(&v.kinds[e.Kind], e)
	}
	if problem != "" {
		c.fail("%s: %s: %T %s", now, node, event, problem)
	}
}

func (c *checker) applied(k *kindView, change Change) string {
	position := change.Position
	switch {
	case position.Compare(k.position) <= 0:
		return fmt.Sprintf("%s is repeated or out of order after %s", position, k.position)
	case position.Sequence != k.position.Sequence+1:
		return fmt.Sprintf("%s comes after %s: changes are lost", position, k.position)
	case !c.wasPublished(change):
		return fmt.Sprintf("%s was not published like that", position)
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

// span returns the publications after from up to to, or what is wrong with these.
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

// behind tells by how many changes a node is behind what is published.
func (c *checker) behind(kind Kind, at Position) int {
	return len(c.published[kind]) - int(at.Sequence)
}

func (c *checker) appliedSet(v *view, e AppliedSet) string {
	k := &v.kinds[e.Kind]
	span, problem := c.span(k, e.Kind, e.From, e.To)
	if problem != "" {
		return problem
	}
	if v.role != Subscriber || c.kinds[e.Kind].Stateful {
		return "is not for this node or kind"
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
		return fmt.Sprintf("of %s to %s has not the prefixes of the changes there", e.From, e.To)
	}
	k.position = e.To
	k.catchingUp = true
	return ""
}

func (c *checker) appliedSnapshot(k *kindView, e AppliedSnapshot) string {
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
			return fmt.Sprintf("has a wrong entry at %s", change.Position)
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
			return fmt.Sprintf("leaves out %s, the latest of its key", publication.change.Position)
		}
		k.skipped = append(k.skipped, publication)
	}
	k.position = e.To
	k.catchingUp = !e.Last
	return ""
}

// superseded tells whether a later change of the same key is published.
func (c *checker) superseded(change Change) bool {
	later := c.published[change.Kind][change.Position.Sequence:]
	return slices.ContainsFunc(later, func(p publication) bool { return bytes.Equal(p.change.Key, change.Key) })
}

// beyondWindow returns "" where changes after a position are beyond the window, or the node is a newcomer.
func (c *checker) beyondWindow(kind Kind, at Position) string {
	if behind := c.behind(kind, at); !at.IsZero() && behind <= c.kinds[kind].Window {
		return fmt.Sprintf("is not needed: %d behind, the window is %d", behind, c.kinds[kind].Window)
	}
	return ""
}

func (c *checker) reset(k *kindView, e Reset) string {
	if _, problem := c.span(k, e.Kind, e.From, e.To); problem != "" {
		return problem
	}
	if c.kinds[e.Kind].Stateful {
		return "is not for a kind with a latest state"
	}
	if problem := c.beyondWindow(e.Kind, e.From); problem != "" {
		return problem
	}
	k.position = e.To
	k.catchingUp = false
	return ""
}

// age takes the age that a node states.
func (c *checker) age(node string, stated, now time.Duration) {
	missing, ok := c.oldestMissing(node)
	if !ok {
		return
	}
	if truth := now - missing.at; stated < truth {
		c.fail("%s: %s states an age of %s, it lacks %s of kind %d since %s", now, node, stated,
			missing.change.Position, missing.change.Kind, truth)
	}
}

// oldestMissing returns the first published of the changes that a node lacks.
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

// current requires that a node has all that was published until a moment.
func (c *checker) current(node string, until, now time.Duration) {
	if missing, ok := c.oldestMissing(node); ok && missing.at <= until {
		c.fail("%s: %s is not current: it lacks %s of kind %d, published at %s", now, node, missing.change.Position,
			missing.change.Kind, missing.at)
	}
}

// latestState requires that a node has the latest change of each key.
func (c *checker) latestState(node string, now time.Duration) {
	for kind, config := range c.kinds {
		if !config.Stateful {
			continue
		}
		truth := make(map[string]uint64)
		for _, publication := range c.published[kind] {
			truth[string(publication.change.Key)] = publication.change.Position.Sequence
		}
		for key, sequence := range truth {
			if got := c.views[node].kinds[kind].applied[key]; got != sequence {
				c.fail("%s: %s has change %d of key %q, the latest is %d", now, node, got, key, sequence)
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

// sent takes bytes that went out under a name, of which at most limit may in any second.
func (c *checker) sent(name string, bytes, limit int, now time.Duration) {
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
		c.fail("%s: %s: %d bytes within a second, the bound is %d", now, name, window.sum, limit)
	}
}

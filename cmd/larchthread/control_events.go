package main

import (
	"fmt"
	"strings"

	"larchthread/internal/feed"
)

// formatEvent returns the output line of a follower for an event, without the line feed:
//
//	applied settings EPOCH/SEQUENCE KEY VALUE
//	applied purges EPOCH/SEQUENCE HASH
//	set KIND FROM TO BITS PREFIX,PREFIX,...
//	snapshot KIND FROM TO EPOCH/SEQUENCE,KEY,VALUE EPOCH/SEQUENCE,KEY,VALUE ...
//	reset KIND FROM TO
//	stale AGE
//	fresh
//
// Keys and values are quoted as Go strings. Hashes, and prefixes of BITS bits, are hexadecimal.
func formatEvent(event feed.Event) string {
	switch event := event.(type) {
	case feed.Applied:
		return formatApplied(event.Change)
	case feed.AppliedSet:
		prefixes := make([]string, len(event.Prefixes))
		for i, prefix := range event.Prefixes {
			prefixes[i] = fmt.Sprintf("%0*x", event.PrefixBits/4, prefix)
		}
		return fmt.Sprintf("set %s %v %v %d %s", kindName(event.Kind), event.From, event.To, event.PrefixBits,
			strings.Join(prefixes, ","))
	case feed.AppliedSnapshot:
		var entries strings.Builder
		for _, change := range event.Changes {
			fmt.Fprintf(&entries, " %v,%q,%q", change.Position, change.Key, change.Value)
		}
		return fmt.Sprintf("snapshot %s %v %v%s", kindName(event.Kind), event.From, event.To, &entries)
	case feed.Reset:
		return fmt.Sprintf("reset %s %v %v", kindName(event.Kind), event.From, event.To)
	case feed.Stale:
		return fmt.Sprintf("stale %v", event.Age)
	case feed.Fresh:
		return "fresh"
	}
	return fmt.Sprintf("unknown %T", event)
}

// formatApplied returns the line for a single change.
func formatApplied(change feed.Change) string {
	head := fmt.Sprintf("applied %s %v", kindName(change.Kind), change.Position)
	if change.Kind == purgesKind {
		return fmt.Sprintf("%s %x", head, change.Key)
	}
	return fmt.Sprintf("%s %q %q", head, change.Key, change.Value)
}

// kindName returns the name of a kind in input and output lines.
func kindName(kind feed.Kind) string {
	switch kind {
	case settingsKind:
		return "settings"
	case purgesKind:
		return "purges"
	}
	return fmt.Sprintf("kind-%d", kind)
}

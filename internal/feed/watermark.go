package feed

import "time"

// watermark is a moment on a node's steady clock: all that was published before it is known. The zero watermark is that of
// a node that has never known all.
type watermark struct {
	known bool
	at    time.Duration
}

// age returns how old knowledge with this watermark is, in whole milliseconds rounded up, or AgeUnknown.
func (w watermark) age(now time.Duration) time.Duration {
	if !w.known {
		return AgeUnknown
	}
	age := max(now-w.at, 0)
	if rest := age % time.Millisecond; rest > 0 {
		age += time.Millisecond - rest
	}
	return age
}

// later returns the later of two watermarks. Both hold, so the later one does.
func (w watermark) later(other watermark) watermark {
	if !w.known || other.known && other.at > w.at {
		return other
	}
	return w
}

// earlier returns the earlier of two watermarks, where only what both say holds.
func (w watermark) earlier(other watermark) watermark {
	if !w.known || other.known && w.at < other.at {
		return w
	}
	return other
}

// stampAt returns the time stamp of a moment, rounded down.
func stampAt(now time.Duration) Stamp {
	return Stamp(now/time.Millisecond) + 1
}

// watermarkFrom returns what a parent's message says: it was sent after the child had sent the echoed stamp, and what the
// child knows with it is no older than age at that time.
func watermarkFrom(echo Stamp, age, now time.Duration) watermark {
	if echo == 0 || age == AgeUnknown {
		return watermark{}
	}
	sent := time.Duration(echo-1) * time.Millisecond
	if sent > now {
		return watermark{}
	}
	return watermark{known: true, at: sent - age}
}

package feed

import "time"

// watermark is a time on a node's monotonic clock: all changes published before it are known. The zero watermark means that
// the data has never been complete.
type watermark struct {
	known bool
	at    time.Duration
}

// age returns the age of data with this watermark, rounded up to whole milliseconds, or AgeUnknown.
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

// later returns the later of two watermarks that both hold for the same data.
func (w watermark) later(other watermark) watermark {
	if !w.known || other.known && other.at > w.at {
		return other
	}
	return w
}

// earlier returns the earlier of two watermarks of different parts of the data, which holds for all of it.
func (w watermark) earlier(other watermark) watermark {
	if !w.known || other.known && w.at < other.at {
		return w
	}
	return other
}

// stampAt returns the timestamp for a time, rounded down to milliseconds.
func stampAt(now time.Duration) Stamp {
	return Stamp(now/time.Millisecond) + 1
}

// watermarkFrom returns the watermark that a parent's message states: the parent sent the message after the child had sent
// the echoed timestamp, and the child's data was at most age old at that time.
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

package transport

import "larchthread/internal/timerqueue"

// Timer calls back once when its time has come. The zero Timer with its Fire set is ready for use.
type Timer struct {
	Fire func()
	timerqueue.Timer
}

// SetTimer lets t fire after that many ms; an earlier setting of t is void.
func (l *Loop) SetTimer(t *Timer, after float64) { l.timers.Set(t, l.now+max(after, 0)) }

// StopTimer voids the setting of t, if there is one.
func (l *Loop) StopTimer(t *Timer) { l.timers.Stop(t) }

// fire calls back the timers that are due. One set meanwhile waits for the next round.
func (l *Loop) fire() {
	last := l.timers.LastSeq()
	for t, due := l.timers.PopDueUpTo(l.now, last); due; t, due = l.timers.PopDueUpTo(l.now, last) {
		t.Fire()
	}
}

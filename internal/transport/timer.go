package transport

import "larchthread/internal/timerqueue"

// Timer calls Fire once when it is due, on the loop's goroutine. The zero value with Fire set is ready for use.
type Timer struct {
	Fire func()
	timerqueue.Timer
}

// SetTimer schedules t in delay ms and replaces an earlier schedule.
func (l *Loop) SetTimer(t *Timer, delay float64) { l.timers.Set(t, l.now+max(delay, 0)) }

// StopTimer cancels t if it is scheduled.
func (l *Loop) StopTimer(t *Timer) { l.timers.Stop(t) }

// fireDue fires the timers that are due. Timers set meanwhile wait for the next round.
func (l *Loop) fireDue() {
	last := l.timers.LastSeq()
	for t, due := l.timers.PopDueUpTo(l.now, last); due; t, due = l.timers.PopDueUpTo(l.now, last) {
		t.Fire()
	}
}

package transport

import "container/heap"

// Timer calls back once when its time has come. The zero Timer with its Fire set is ready for use.
type Timer struct {
	Fire  func()
	at    float64 // ms
	seq   uint64
	place int // in the order, from 1; 0 while it is not set
}

// timers is the one ordered structure of due times.
type timers struct {
	all []*Timer
	seq uint64
}

func (t *timers) Len() int { return len(t.all) }
func (t *timers) Less(i, j int) bool {
	a, b := t.all[i], t.all[j]
	return a.at < b.at || a.at == b.at && a.seq < b.seq
}
func (t *timers) Swap(i, j int) {
	t.all[i], t.all[j] = t.all[j], t.all[i]
	t.all[i].place, t.all[j].place = i+1, j+1
}
func (t *timers) Push(x any) {
	m := x.(*Timer)
	t.all = append(t.all, m)
	m.place = len(t.all)
}
func (t *timers) Pop() any {
	last := t.all[len(t.all)-1]
	t.all[len(t.all)-1] = nil
	t.all = t.all[:len(t.all)-1]
	last.place = 0
	return last
}

// Set lets t fire after that many ms; an earlier setting of t is void.
func (l *Loop) Set(t *Timer, after float64) {
	l.Stop(t)
	l.timers.seq++
	t.at, t.seq = l.now+max(after, 0), l.timers.seq
	heap.Push(&l.timers, t)
}

// Stop voids the setting of t, if there is one.
func (l *Loop) Stop(t *Timer) {
	if t.place > 0 {
		heap.Remove(&l.timers, t.place-1)
	}
}

// fire calls back the timers that are due. One set meanwhile waits for the next round.
func (l *Loop) fire() {
	last := l.timers.seq
	for len(l.timers.all) > 0 {
		t := l.timers.all[0]
		if t.at > l.now || t.seq > last {
			return
		}
		heap.Pop(&l.timers)
		t.Fire()
	}
}

// Package timerqueue implements a priority queue of timers, ordered by due time. The balancer uses it for ops and pushes, and
// the event loop for its timers. Times are numbers in a unit that the caller chooses.
package timerqueue

import (
	"container/heap"
	"math"
)

// Timer is the queue's state of one item. Items embed it, so that setting a timer does not allocate. The zero Timer is not set.
type Timer struct {
	dueAt   float64
	setSeq  uint64
	heapPos int // index in the heap plus 1; 0 while the timer is not set
}

func (t *Timer) timer() *Timer { return t }

// DueAt returns the time for which the timer was last set, also after it was stopped or taken from the queue.
func (t *Timer) DueAt() float64 { return t.dueAt }

// Item is implemented by pointers to types that embed Timer.
type Item interface{ timer() *Timer }

// Queue is a heap of items, ordered by due time; items with the same due time are ordered by when they were set. Stopped
// items are removed at once: ops last about 100 µs and have TTLs of seconds, so stale entries would soon outnumber the
// others. The zero Queue is empty and ready to use.
type Queue[T Item] struct {
	items   timerHeap[T]
	lastSeq uint64
}

// Set schedules x for the time at, in place of an earlier time.
func (q *Queue[T]) Set(x T, at float64) {
	q.Stop(x)
	q.lastSeq++
	t := x.timer()
	t.dueAt, t.setSeq = at, q.lastSeq
	heap.Push(&q.items, x)
}

// Stop removes x from the queue. It does nothing if x is not set.
func (q *Queue[T]) Stop(x T) {
	if pos := x.timer().heapPos; pos > 0 {
		heap.Remove(&q.items, pos-1)
	}
}

// NextDue returns the earliest due time, or positive infinity if the queue is empty.
func (q *Queue[T]) NextDue() float64 {
	if len(q.items) == 0 {
		return math.Inf(1)
	}
	return q.items[0].timer().dueAt
}

// PopDue removes and returns the first item if its due time is now or earlier; due is false if there is none.
func (q *Queue[T]) PopDue(now float64) (x T, due bool) { return q.PopDueUpTo(now, q.lastSeq) }

// LastSeq returns the sequence number of the last call of Set; calls are numbered from 1.
func (q *Queue[T]) LastSeq() uint64 { return q.lastSeq }

// PopDueUpTo is PopDue, but also returns false if the first item was set after call maxSeq of Set. A loop that passes the
// LastSeq of its start does not take items that are set while it runs.
func (q *Queue[T]) PopDueUpTo(now float64, maxSeq uint64) (x T, due bool) {
	if q.NextDue() > now || q.items[0].timer().setSeq > maxSeq {
		return x, false
	}
	return heap.Pop(&q.items).(T), true
}

// timerHeap implements heap.Interface and keeps each timer's heapPos up to date.
type timerHeap[T Item] []T

func (h timerHeap[T]) Len() int { return len(h) }

func (h timerHeap[T]) Less(i, j int) bool {
	a, b := h[i].timer(), h[j].timer()
	return a.dueAt < b.dueAt || a.dueAt == b.dueAt && a.setSeq < b.setSeq
}

func (h timerHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].timer().heapPos, h[j].timer().heapPos = i+1, j+1
}

func (h *timerHeap[T]) Push(x any) {
	*h = append(*h, x.(T))
	x.(T).timer().heapPos = len(*h)
}

func (h *timerHeap[T]) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	clear((*h)[last:])
	*h = (*h)[:last]
	x.timer().heapPos = 0
	return x
}

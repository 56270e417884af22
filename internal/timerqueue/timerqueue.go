// Package timerqueue orders timers by when they are due: the balancer's looks at ops and pushes, and the loop's timers.
package timerqueue

import (
	"container/heap"
	"math"
)

// Timer is the part of an item that stands in a queue. It lies in the item, so that setting it allocates nothing. The zero
// Timer is not set.
type Timer struct {
	at    float64
	seq   uint64
	place int // in the heap, from 1; 0 while it is not set
}

func (t *Timer) timer() *Timer { return t }

// DueAt is when the item falls due, or last fell due.
func (t *Timer) DueAt() float64 { return t.at }

// Item is a pointer to what has a Timer in it.
type Item interface{ timer() *Timer }

// Queue is a heap of what is due, of one time in the order of setting. It holds nothing that has become void: where ops
// last some 100 µs and their TTL is seconds, nearly all of it would be.
type Queue[T Item] struct {
	all order[T]
	seq uint64
}

// Set has x fall due at a time; an earlier setting is void.
func (q *Queue[T]) Set(x T, at float64) {
	q.Stop(x)
	q.seq++
	t := x.timer()
	t.at, t.seq = at, q.seq
	heap.Push(&q.all, x)
}

// Stop voids the setting of x, if there is one.
func (q *Queue[T]) Stop(x T) {
	if place := x.timer().place; place > 0 {
		heap.Remove(&q.all, place-1)
	}
}

// NextDue is when the first falls due, infinity where nothing is set.
func (q *Queue[T]) NextDue() float64 {
	if len(q.all) == 0 {
		return math.Inf(1)
	}
	return q.all[0].timer().at
}

// PopDue takes out the first, if it is due by now.
func (q *Queue[T]) PopDue(now float64) (x T, due bool) { return q.PopDueUpTo(now, q.seq) }

// LastSeq tells how many settings there have been.
func (q *Queue[T]) LastSeq() uint64 { return q.seq }

// PopDueUpTo does as Due, if the first is of the settings up to the last one given.
func (q *Queue[T]) PopDueUpTo(now float64, last uint64) (x T, due bool) {
	if q.NextDue() > now || q.all[0].timer().seq > last {
		return x, false
	}
	return heap.Pop(&q.all).(T), true
}

// order implements heap.Interface.
type order[T Item] []T

func (o order[T]) Len() int { return len(o) }

func (o order[T]) Less(i, j int) bool {
	a, b := o[i].timer(), o[j].timer()
	return a.at < b.at || a.at == b.at && a.seq < b.seq
}

func (o order[T]) Swap(i, j int) {
	o[i], o[j] = o[j], o[i]
	o[i].timer().place, o[j].timer().place = i+1, j+1
}

func (o *order[T]) Push(x any) {
	*o = append(*o, x.(T))
	x.(T).timer().place = len(*o)
}

func (o *order[T]) Pop() any {
	n := len(*o) - 1
	x := (*o)[n]
	clear((*o)[n:])
	*o = (*o)[:n]
	x.timer().place = 0
	return x
}

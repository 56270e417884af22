// Package agenda orders what is due by time: the balancer's looks at ops and pushes, and the loop's timers.
package agenda

import (
	"container/heap"
	"math"
)

// Mark is the part of a thing that stands on an agenda. It lies in the thing, so that setting it makes nothing. The zero
// Mark is not set.
type Mark struct {
	at    float64
	seq   uint64
	place int // in the heap, from 1; 0 while it is not set
}

func (m *Mark) mark() *Mark { return m }

// At is when the thing falls due, or last fell due.
func (m *Mark) At() float64 { return m.at }

// Marked is a pointer to what has a Mark in it.
type Marked interface{ mark() *Mark }

// Queue is a heap of what is due, of one time in the order of setting. It holds nothing that has become void: where ops
// last some 100 µs and their TTL is seconds, nearly all of it would be.
type Queue[T Marked] struct {
	all order[T]
	seq uint64
}

// Set has x fall due at a time; an earlier setting is void.
func (q *Queue[T]) Set(x T, at float64) {
	q.Stop(x)
	q.seq++
	m := x.mark()
	m.at, m.seq = at, q.seq
	heap.Push(&q.all, x)
}

// Stop voids the setting of x, if there is one.
func (q *Queue[T]) Stop(x T) {
	if place := x.mark().place; place > 0 {
		heap.Remove(&q.all, place-1)
	}
}

// Next is when the first falls due, infinity where nothing is set.
func (q *Queue[T]) Next() float64 {
	if len(q.all) == 0 {
		return math.Inf(1)
	}
	return q.all[0].mark().at
}

// Due takes out the first, if it is due by now.
func (q *Queue[T]) Due(now float64) (x T, due bool) { return q.DueOf(now, q.seq) }

// Seq tells how many settings there have been.
func (q *Queue[T]) Seq() uint64 { return q.seq }

// DueOf does as Due, if the first is of the settings up to the last one given.
func (q *Queue[T]) DueOf(now float64, last uint64) (x T, due bool) {
	if q.Next() > now || q.all[0].mark().seq > last {
		return x, false
	}
	return heap.Pop(&q.all).(T), true
}

// order implements heap.Interface.
type order[T Marked] []T

func (o order[T]) Len() int { return len(o) }

func (o order[T]) Less(i, j int) bool {
	a, b := o[i].mark(), o[j].mark()
	return a.at < b.at || a.at == b.at && a.seq < b.seq
}

func (o order[T]) Swap(i, j int) {
	o[i], o[j] = o[j], o[i]
	o[i].mark().place, o[j].mark().place = i+1, j+1
}

func (o *order[T]) Push(x any) {
	*o = append(*o, x.(T))
	x.(T).mark().place = len(*o)
}

func (o *order[T]) Pop() any {
	n := len(*o) - 1
	x := (*o)[n]
	clear((*o)[n:])
	*o = (*o)[:n]
	x.mark().place = 0
	return x
}

package balance

import (
	"container/heap"
	"math"
)

// due is a time at which something is looked at: an op at its end, a push, or a key's ordered ops. It lies in
// what it belongs to, so that setting it makes nothing.
type due struct {
	op    *Op   // one of the three is set
	push  *Push //
	turn  *turn //
	at    float64
	seq   uint64
	place int // in the heap, from 1; 0 while it is not set
}

// dues is a heap of what is due, of one time in the order of setting. It holds nothing that has become void:
// where ops last some 100 µs and their TTL is seconds, nearly all of it would be.
type dues struct {
	all []*due
	seq uint64
}

// set has d fall due at a time; an earlier setting is void.
func (q *dues) set(d *due, at float64) {
	q.stop(d)
	q.seq++
	d.at, d.seq = at, q.seq
	heap.Push(q, d)
}

// stop voids the setting of d, if there is one.
func (q *dues) stop(d *due) {
	if d.place > 0 {
		heap.Remove(q, d.place-1)
	}
}

// due takes out the first that is due by now, or returns nil.
func (q *dues) due(now float64) *due {
	if q.next() > now {
		return nil
	}
	return heap.Pop(q).(*due)
}

// next is when the first falls due.
func (q *dues) next() float64 {
	if len(q.all) == 0 {
		return math.Inf(1)
	}
	return q.all[0].at
}

// Len implements heap.Interface, as do the methods below.
func (q *dues) Len() int { return len(q.all) }

func (q *dues) Less(i, j int) bool {
	a, b := q.all[i], q.all[j]
	return a.at < b.at || a.at == b.at && a.seq < b.seq
}

func (q *dues) Swap(i, j int) {
	q.all[i], q.all[j] = q.all[j], q.all[i]
	q.all[i].place, q.all[j].place = i+1, j+1
}

func (q *dues) Push(x any) {
	d := x.(*due)
	q.all = append(q.all, d)
	d.place = len(q.all)
}

func (q *dues) Pop() any {
	n := len(q.all) - 1
	d := q.all[n]
	q.all[n] = nil
	q.all = q.all[:n]
	d.place = 0
	return d
}

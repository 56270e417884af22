package balance

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// cycle is where hosts stand for the walk: their places, in order.
type cycle struct {
	points []point
	slots  []*Host // hosts that stand on it, or have and are still listed
}

// point is a host's place on the cycle. It holds no pointer, for there are tens of thousands.
type point struct {
	hash uint64
	slot int32 // the host's place in slots
	nth  int32 // it counts while the host has more than nth active
}

func byHash(p point, hash uint64) int { return cmp.Compare(p.hash, hash) }

// from is the first point from a hash on, or past the last.
func (c *cycle) from(hash uint64) int {
	i, _ := slices.BinarySearchFunc(c.points, hash, byHash)
	return i
}

// lay gives each host so many places. Only what has changed is hashed and sorted: a thousand balancers that sorted
// all points took most of their CPU.
func (c *cycle) lay(hosts []*Host, places func(*Host) int) {
	left := false
	var added []point
	for _, h := range hosts {
		n := places(h)
		if h.moved = h.placed != n; !h.moved {
			continue
		}
		left = left || h.placed > 0
		if h.points == nil { // it has no slot yet, or was gone
			if h.slot = int32(slices.Index(c.slots, nil)); h.slot < 0 {
				h.slot = int32(len(c.slots))
				c.slots = append(c.slots, nil)
			}
			c.slots[h.slot] = h
		}
		if h.placed = n; n > 0 && len(h.points) != n {
			h.points = h.points[:0]
			for i := range n {
				h.points = append(h.points, xxhash.Sum64String(h.Name+"/"+strconv.Itoa(i)))
			}
		}
		for i, p := range h.points[:n] {
			added = append(added, point{p, h.slot, int32(i)})
		}
	}
	if left {
		c.points = slices.DeleteFunc(c.points, func(p point) bool { return c.slots[p.slot].moved })
	}
	for _, h := range hosts { // gone for good, as far as is known: its slot is the next one's
		if h.Status == Gone && h.points != nil {
			c.slots[h.slot], h.points = nil, nil
		}
	}
	c.merge(added)
}

// merge adds points, from the back and in runs.
func (c *cycle) merge(added []point) {
	slices.SortFunc(added, func(x, y point) int { return cmp.Compare(x.hash, y.hash) })
	end := len(c.points)
	c.points = append(c.points, added...)
	for j := len(added) - 1; j >= 0; j-- {
		from, _ := slices.BinarySearchFunc(c.points[:end], added[j].hash, byHash)
		copy(c.points[from+j+1:], c.points[from:end])
		c.points[from+j], end = added[j], from
	}
}

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
	hosts  []*Host // hosts that stand on it, or have and are still listed
}

// point is a host's place on the cycle. It holds no pointer, for there are tens of thousands.
type point struct {
	hash      uint64
	hostIndex int32 // the host's place in slots
	ordinal   int32 // it counts while the host has more than nth active
}

func comparePointHash(p point, hash uint64) int { return cmp.Compare(p.hash, hash) }

// search is the first point from a hash on, or past the last.
func (c *cycle) search(hash uint64) int {
	i, _ := slices.BinarySearchFunc(c.points, hash, comparePointHash)
	return i
}

// update gives each host so many places. Only what has changed is hashed and sorted: a thousand balancers that sorted
// all points took most of their CPU.
func (c *cycle) update(hosts []*Host, places func(*Host) int) {
	left := false
	var added []point
	for _, h := range hosts {
		n := places(h)
		if h.pointsChanged = h.pointCount != n; !h.pointsChanged {
			continue
		}
		left = left || h.pointCount > 0
		if h.pointHashes == nil { // it has no slot yet, or was gone
			if h.cycleIndex = int32(slices.Index(c.hosts, nil)); h.cycleIndex < 0 {
				h.cycleIndex = int32(len(c.hosts))
				c.hosts = append(c.hosts, nil)
			}
			c.hosts[h.cycleIndex] = h
		}
		if h.pointCount = n; n > 0 && len(h.pointHashes) != n {
			h.pointHashes = h.pointHashes[:0]
			for i := range n {
				h.pointHashes = append(h.pointHashes, xxhash.Sum64String(h.Name+"/"+strconv.Itoa(i)))
			}
		}
		for i, p := range h.pointHashes[:n] {
			added = append(added, point{p, h.cycleIndex, int32(i)})
		}
	}
	if left {
		c.points = slices.DeleteFunc(c.points, func(p point) bool { return c.hosts[p.hostIndex].pointsChanged })
	}
	for _, h := range hosts { // gone for good, as far as is known: its slot is the next one's
		if h.Status == Gone && h.pointHashes != nil {
			c.hosts[h.cycleIndex], h.pointHashes = nil, nil
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
		from, _ := slices.BinarySearchFunc(c.points[:end], added[j].hash, comparePointHash)
		copy(c.points[from+j+1:], c.points[from:end])
		c.points[from+j], end = added[j], from
	}
}

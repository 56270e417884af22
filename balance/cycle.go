package balance

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// cycle is the consistent-hashing ring: the points of all ready hosts, ordered by hash.
type cycle struct {
	points []point
	hosts  []*Host // by Host.cycleIndex; nil where a host is gone
}

// point is one of a host's places on the cycle. It holds no pointer, which spares the garbage collector tens
// of thousands of them.
type point struct {
	hash      uint64
	hostIndex int32 // in cycle.hosts
	ordinal   int32 // the point is active while the host has more than this many active points
}

// comparePointHash orders a point relative to a hash as cmp.Compare does, for a binary search.
func comparePointHash(p point, hash uint64) int { return cmp.Compare(p.hash, hash) }

// search returns the index of the first point at or after hash, or len(c.points).
func (c *cycle) search(hash uint64) int {
	i, _ := slices.BinarySearchFunc(c.points, hash, comparePointHash)
	return i
}

// update gives each host as many points as pointCount returns for it. Only points of hosts whose count has
// changed are hashed and sorted: a thousand balancers that sorted all points took most of their CPU for it.
func (c *cycle) update(hosts []*Host, pointCount func(*Host) int) {
	anyRemoved := false
	var added []point
	for _, h := range hosts {
		n := pointCount(h)
		if h.pointsChanged = h.pointCount != n; !h.pointsChanged {
			continue
		}
		anyRemoved = anyRemoved || h.pointCount > 0
		if h.pointHashes == nil { // it has no index yet, or was gone
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
		for i, hash := range h.pointHashes[:n] {
			added = append(added, point{hash, h.cycleIndex, int32(i)})
		}
	}
	if anyRemoved {
		c.points = slices.DeleteFunc(c.points, func(p point) bool { return c.hosts[p.hostIndex].pointsChanged })
	}
	for _, h := range hosts { // free the indexes of hosts that are gone
		if h.Status == Gone && h.pointHashes != nil {
			c.hosts[h.cycleIndex], h.pointHashes = nil, nil
		}
	}
	c.merge(added)
}

// merge inserts points in order. It works from the back, so that each existing point moves once at most.
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

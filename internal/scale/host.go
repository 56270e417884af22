package scale

import (
	"container/heap"
	"math"
	"math/rand/v2"
)

// server simulates a cache host or the origin: a fixed number of slots serve requests at once, and further requests queue in
// order of arrival. Times are in milliseconds.
type server struct {
	slots       slotHeap // when each slot is next free
	serviceTime float64  // mean per request, evenly distributed from 0.5 to 1.5 times this value
	maxWait     float64  // requests that would queue for longer are rejected

	coldSince float64 // start of the last cold start; infinite if there was none

	outstanding int // requests queued or in service
	connections int

	received        int     // requests received during the measured time
	outstandingSum  float64 // sum of all samples of outstanding
	peakOutstanding int     // highest sample of outstanding
}

// newServer returns an idle server with full capacity.
func newServer(slots int, serviceTime, maxWait float64) *server {
	return &server{slots: make(slotHeap, slots), serviceTime: serviceTime, maxWait: maxWait, coldSince: math.Inf(1)}
}

// serve queues a request and returns when it will be done. accepted is false if the request is rejected because its wait
// would exceed maxWait.
func (s *server) serve(now float64, rng *rand.Rand) (done float64, accepted bool) {
	start := math.Max(now, s.slots[0])
	if start-now > s.maxWait {
		return 0, false
	}
	s.outstanding++
	done = start + s.serviceTime*(0.5+rng.Float64())/s.availableCapacity(now)
	s.slots[0] = done
	heap.Fix(&s.slots, 0)
	return done, true
}

// availableCapacity returns the share of its full capacity that the server has at a time; it is below 1 after a cold start.
func (s *server) availableCapacity(now float64) float64 {
	age := now - s.coldSince
	if age < 0 || age >= coldDurationMS || math.IsInf(s.coldSince, 1) {
		return 1
	}
	return coldCapacity + (1-coldCapacity)*age/coldDurationMS
}

// utilization returns the share of the slots that are in use.
func (s *server) utilization() float64 {
	return math.Min(float64(s.outstanding)/float64(len(s.slots)), 1)
}

// sample records the number of outstanding requests.
func (s *server) sample() {
	s.outstandingSum += float64(s.outstanding)
	s.peakOutstanding = max(s.peakOutstanding, s.outstanding)
}

// resetMeasurements clears the recorded values at the start of the measured time.
func (s *server) resetMeasurements() { s.received, s.outstandingSum, s.peakOutstanding = 0, 0, 0 }

// slotHeap is a min-heap of the times at which slots become free; it implements heap.Interface.
type slotHeap []float64

func (h slotHeap) Len() int           { return len(h) }
func (h slotHeap) Less(i, j int) bool { return h[i] < h[j] }
func (h slotHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *slotHeap) Push(x any)        { *h = append(*h, x.(float64)) }
func (h *slotHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}

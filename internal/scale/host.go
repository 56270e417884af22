package scale

import (
	"container/heap"
	"math"
	"math/rand/v2"
)

// server is a cache host or the origin in a simulation of decisions: so many requests are at work at once, the others wait
// in the order in which they came.
type server struct {
	free    freeTimes // when each slot is free
	takes   float64   // ms of one request; spread evenly over half to one and a half of it
	patient float64   // ms that a request may wait for a slot; one that would wait longer is turned away

	coldFrom float64 // ms, when a cold start began; never for infinity

	outstanding int // requests that have come and are not done
	connections int

	came    int     // requests in the measured time
	load    float64 // sum of the samples of outstanding
	highest int     // greatest sample
}

func newServer(slots int, takes, patient float64) *server {
	return &server{free: make(freeTimes, slots), takes: takes, patient: patient, coldFrom: math.Inf(1)}
}

// serve takes a request, and tells when it is done; not taken, it is turned away.
func (s *server) serve(now float64, random *rand.Rand) (done float64, taken bool) {
	start := math.Max(now, s.free[0])
	if start-now > s.patient {
		return 0, false
	}
	s.outstanding++
	done = start + s.takes*(0.5+random.Float64())/s.warmth(now)
	s.free[0] = done
	heap.Fix(&s.free, 0)
	return done, true
}

// warmth is the part of its capacity that the server has.
func (s *server) warmth(now float64) float64 {
	age := now - s.coldFrom
	if age < 0 || age >= coldFor || math.IsInf(s.coldFrom, 1) {
		return 1
	}
	return coldShare + (1-coldShare)*age/coldFor
}

// busy is the part of the slots that are at work.
func (s *server) busy() float64 { return math.Min(float64(s.outstanding)/float64(len(s.free)), 1) }

// sample notes how many requests are outstanding.
func (s *server) sample() {
	s.load += float64(s.outstanding)
	s.highest = max(s.highest, s.outstanding)
}

// forget begins the measured time.
func (s *server) forget() { s.came, s.load, s.highest = 0, 0, 0 }

// freeTimes implements heap.Interface.
type freeTimes []float64

func (f freeTimes) Len() int           { return len(f) }
func (f freeTimes) Less(i, j int) bool { return f[i] < f[j] }
func (f freeTimes) Swap(i, j int)      { f[i], f[j] = f[j], f[i] }
func (f *freeTimes) Push(x any)        { *f = append(*f, x.(float64)) }
func (f *freeTimes) Pop() any {
	last := len(*f) - 1
	x := (*f)[last]
	*f = (*f)[:last]
	return x
}

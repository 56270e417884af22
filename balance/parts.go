package balance

// point is a host's place on the cycle. It holds no pointer, for there are tens of thousands.
type point struct {
	hash uint64
	slot int32 // the host's place in slots
	nth  int32 // it counts while the host has more than nth active
}

// fetch is a key on its way from the origin for the op that leads it; others of the key wait for it.
type fetch struct {
	waiters []*Op
	value   float64 // benefit that hangs on it
}

// turn keeps a key's ordered ops apart: only the first in line is on its way, the others are fresh. It outlives them
// while the key rests.
type turn struct {
	line  []*Op
	quiet float64 // ms, when a push that may still run has had its time
	rest  due     // then
}

// strand is what is known of a key's or a tenant's ops together.
type strand struct {
	vain float64 // smoothed part of them that came to nothing at hosts that served others
	out  int     // pushes that are out
}

// gate lets a learned number of pushes out at once and holds the rest.
type gate struct {
	goal, limit float64
	step        float64 // weight of a new latency in pain
	floor       float64 // least that limit may sink to
	latency
	out   int
	pain  float64 // smoothed latency over target
	cutAt float64
	told  float64 // ms, when an outcome last came
	worth float64 // smoothed benefit of an op that comes to it
	line  []*Op
}

// pcg is a permuted congruential generator (PCG-XSH-RR).
type pcg uint64

func (p *pcg) float() float64 {
	s := uint64(*p)
	*p = pcg(s*6364136223846793005 + 1442695040888963407)
	x := uint32(((s >> 18) ^ s) >> 27)
	r := uint(s >> 59)
	return float64(x>>r|x<<((32-r)&31)) / (1 << 32)
}

// count adds n to the pushes that are out, of all of op's strands.
func (op *Op) count(n int) {
	for _, s := range op.strands {
		if s != nil {
			s.out += n
		}
	}
}

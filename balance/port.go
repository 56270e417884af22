package balance

// Port is what the module asks of the front it runs behind. A front answers nothing: what comes of a
// request reaches the Balancer later, through its methods.
type Port interface {
	Push(p *Push, limit float64)  // send p.Op to p.Host; give the push up after limit ms
	Cancel(p *Push)               // call a push off; its outcome still comes
	Nack(op *Op, backoff float64) // end op unserved, safe to repeat, in backoff ms at the earliest
	DeadLetter(op *Op)            // end op unserved, with no word on whether it ran
	Wake(after float64)           // call Woke after that many ms
	Watch()                       // subscribe to the host list; List or ListFailed answers
	HangUp(h *Host)               // close the connections to h that carry nothing now
}

// Start is what an instance is told as it comes up.
type Start struct {
	Seed       uint64
	Categories []*Category
	Tenants    []*Tenant
	Group      int     // balancers in the group, this one included
	Quantum    float64 // ms, the shortest time between two looks at the input

	Aside     bool // misses come back and are fetched from the origin here; else hosts fetch
	OnRequest bool // the host list has to be asked for
	ByWork    bool // benefit counts for each unit of work, not for each op

	MostPushes   int
	MayCancel    bool
	MayDuplicate bool    // two pushes of an op may be out at once
	ConnIdle     float64 // ms after which an idle connection closes by itself
	MaxBackoff   float64 // ms, the longest advice a client heeds; 0 where none is given

	ColdShare   float64 // share of its capacity at which a host starts
	ColdFor     float64 // ms until it is warm
	TipMultiple float64 // sent this many times what it can do
	TipFor      float64 // for this many ms, a cold host falls over

	Zone, Zones int     // this balancer's zone, below 0 where it is in none, and how many there are
	CrossCost   float64 // price of a push into another zone
	FetchCost   float64 // price of a fetch from the origin

	ExcessBenefit float64 // part of its benefit that an op over its tenant's share keeps

	KeyRest      float64 // ms that a key of ordered ops rests after a push that may still run
	LeftOff      float64 // ms by which an op's Due may be off, either way
	StampDoubt   float64 // ms by which a host's UpSince may be off, either way
	GoneIsAdvice bool    // a host listed as gone that was never draining may be sent to; not used yet
	KeptPromises bool    // an op nacked within its target is no miss, a late answer is one; not used yet
	ReplySlots   int     // answers that can be held while clients read them; 0 where that is no matter
}

// Repeat tells whether an op may run again.
type Repeat uint8

const (
	Redeliverable Repeat = iota
	Deduplicated
	AtMostOnce
)

// Group names the hosts among which repeats of a deduplicated op are dropped.
type Group uint8

const (
	AllHosts Group = iota
	ZoneHosts
	CellHosts
)

// Category is a row of the table of what differs by category. The lower part is learned.
type Category struct {
	Target  float64 // ms, target latency
	Benefit float64
	Tardy   float64 // part of the benefit left for an answer after the target
	Repeat  Repeat
	Group   Group
	Window  float64 // ms for which repeats are dropped
	Ordered bool    // ops of one key run one at a time, in the order they came

	latency // of hits
}

// latency is a smoothed latency and its mean deviation.
type latency struct{ lat, dev float64 } // ms

// Tenant is one of those who share the fleet.
type Tenant struct {
	Quota float64 // ops a second within its share, over all balancers

	tokens float64 // ops left of its part of what this balancer gets acked
	part   float64 // of all quotas
	filled int     // ops acked when tokens was reckoned
	strand strand  // what is known of its ops together
}

// Status of a host as the list tells it.
type Status uint8

const (
	Ready Status = iota
	Draining
	Gone
)

// Host is one cache host, or the origin. The front fills the upper part before it first names the host.
type Host struct {
	Ref    any    // the front's own handle; never read here
	Name   string // the same at every balancer; it places the host on the cycle
	Origin bool

	Listing      // as last listed
	Banned  bool // taken out of use by hand, whatever is listed

	points           []uint64 // hashes of all its places on the cycle
	slot             int32    // its place among those that stand on the cycle
	placed           int      // so many of them it has there
	moved            bool     // that has changed with the last list
	active           int      // so many of them stand on the cycle now
	out              int      // own pushes out
	pushed           float64  // ms, time of the last push
	open, fresh      bool     // a connection may be open; it was opened for a push not answered yet
	walked           int      // the last walk that came by
	slow             float64  // smoothed latency against the category's usual
	fail             float64  // smoothed share of failures
	rest, restUntil  float64  // ms of the last rest, and when it ends
	shutWait         float64  // ms, the last wait after a new connection was turned away
	shutUntil        float64  // ms, its end
	answered         float64  // ms, time of the last answer
	passed           float64  // ms, when the last sent of the pushes that it has answered was sent
	budget, budgeted float64  // pushes left to a cold host in the span that began then
}

// Usable tells whether new ops may go to the host.
func (h *Host) Usable() bool { return h.Status == Ready && !h.Banned }

// Listing is what a list says of a host.
type Listing struct {
	Zone, Cell int
	Size       float64 // size in relation to the others
	UpSince    float64 // ms, 0 for long ago
	Status     Status
}

// Entry is one line of a list.
type Entry struct {
	Host *Host
	Listing
}

// Outcome is how a push ended.
type Outcome uint8

const (
	Served    Outcome = iota
	Failed            // the host answered with an error
	Refused           // turned away unseen
	TimedOut          // no answer in time
	NoConn            // no connection could be made
	Broken            // the connection broke
	Spoilt            // an answer came that can't be believed; it may have run
	Stale             // the connection, kept from before, ended with no word on the push; it may have run
	Rejected          // the host holds the op itself for wrong; it may have run
	Cancelled         // called off
	NotSent           // the push never left
	Missed            // the host does not hold the key
	Shut              // turned away with its new connection, as the host holds no more of them
	Unknown           // an outcome not on this list: it may have run
)

// Op is one request. The front fills the upper part before Arrive.
type Op struct {
	Ref      any // the front's own handle; never read here
	Category *Category
	Tenant   *Tenant // nil where there are none
	Key      string
	Due      float64 // ms, when the client stops waiting; Arrive puts it off where clocks may differ
	Write    bool

	state   state
	hash    uint64
	arrived float64
	value   float64
	tried   []*Push    // all its pushes, the first in front
	first   [1]*Push   // room for that: most have one
	out     int        // pushes that are out: one, or two
	failed  *Host      // last host that failed it
	wrong   *Host      // host that held the op itself for wrong, or failed it
	bound   *Push      // the push whose answer flows
	fetch   *fetch     // led by this op
	until   float64    // ms, when it is given up
	strands [2]*strand // its key's and its tenant's
	acked   bool       // an answer of it was taken
	paid    bool       // it counts as within its tenant's share
	ends    due        // until
	turn    *turn      // its key's, where it is in order; nil once nothing more can come of it
}

// Push is one attempt at an op. The front gets it with the word to send and hands it back with its outcome.
type Push struct {
	Ref    any // the front's own handle; never read here
	Op     *Op
	Host   *Host
	Before float64 // ms, when its last byte has to be on its way, or the push is over, NotSent

	sent   float64 // ms
	waited float64 // ms that it had to wait for its own process, not yet reckoned with
	gate   *gate   // whose place it takes
	look   due
	made   bool // a connection was made for it
	looked bool // it has been looked at, and left
	called bool // it has been called off
	over   bool // its outcome has come
	never  bool // that proves that it never ran
}

// Report is what a host tells of its load with an answer, old and not exact; below 0 what it does not.
type Report struct {
	Busy float64 // share of its cores' time
}

// Over tells that nothing more can come of the op: it is settled and no push is out.
func (op *Op) Over() bool { return op.state == settled && op.out == 0 }

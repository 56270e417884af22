package balance

// Frontend is what the module asks of the front it runs behind. A front answers nothing: what comes of a
// request reaches the Balancer later, through its methods.
type Frontend interface {
	Push(p *Push, limit float64)  // send p.Op to p.Host; give the push up after limit ms
	Cancel(p *Push)               // call a push off; its outcome still comes
	Nack(op *Op, backoff float64) // end op unserved, safe to repeat, in backoff ms at the earliest
	DeadLetter(op *Op)            // end op unserved, with no word on whether it ran
	SetTimer(after float64)       // call Woke after that many ms
	SubscribeHostList()           // subscribe to the host list; List or ListFailed answers
	CloseIdleConns(h *Host)       // close the connections to h that carry nothing now
}

// Config is what an instance is told as it comes up.
type Config struct {
	Seed       uint64
	Categories []*Category
	Tenants    []*Tenant
	GroupSize  int     // balancers in the group, this one included
	Quantum    float64 // ms, the shortest time between two looks at the input

	CacheAside     bool // misses come back and are fetched from the origin here; else hosts fetch
	ListOnRequest  bool // the host list has to be asked for
	BenefitPerWork bool // benefit counts for each unit of work, not for each op

	MaxPushes       int
	AllowCancel     bool
	AllowHedging    bool    // two pushes of an op may be out at once
	ConnIdleTimeout float64 // ms after which an idle connection closes by itself
	MaxBackoff      float64 // ms, the longest advice a client heeds; 0 where none is given

	ColdCapacity     float64 // share of its capacity at which a host starts
	WarmupTime       float64 // ms until it is warm
	OverloadMultiple float64 // sent this many times what it can do
	OverloadTime     float64 // for this many ms, a cold host falls over

	Zone, ZoneCount int     // this balancer's zone, below 0 where it is in none, and how many there are
	CrossZoneCost   float64 // price of a push into another zone
	FetchCost       float64 // price of a fetch from the origin

	ExcessBenefit float64 // part of its benefit that an op over its tenant's share keeps

	KeyQuietTime          float64 // ms that a key of ordered ops rests after a push that may still run
	DeadlineSkew          float64 // ms by which an op's Due may be off, either way
	UpSinceSkew           float64 // ms by which a host's UpSince may be off, either way
	GoneIsAdvisory        bool    // a host listed as gone that was never draining may be sent to; not used yet
	TimelyNackMeetsTarget bool    // an op nacked within its target is no miss, a late answer is one; not used yet
	ReplySlots            int     // answers that can be held while clients read them; 0 where that is no matter
}

// RepeatPolicy tells whether an op may run again.
type RepeatPolicy uint8

const (
	Redeliverable RepeatPolicy = iota
	Deduplicated
	AtMostOnce
)

// DedupScope names the hosts among which repeats of a deduplicated op are dropped.
type DedupScope uint8

const (
	DedupAllHosts DedupScope = iota
	DedupZone
	DedupCell
)

// Category is a row of the table of what differs by category. The lower part is learned.
type Category struct {
	Target      float64 // ms, target latency
	Benefit     float64
	LateBenefit float64 // part of the benefit left for an answer after the target
	Repeat      RepeatPolicy
	DedupScope  DedupScope
	DedupWindow float64 // ms for which repeats are dropped
	Ordered     bool    // ops of one key run one at a time, in the order they came

	latencyEWMA // of hits
}

// latencyEWMA is a smoothed latency and its mean deviation.
type latencyEWMA struct{ avgLatency, latencyDev float64 } // ms

// Tenant is one of those who share the fleet.
type Tenant struct {
	Quota float64 // ops a second within its share, over all balancers

	tokens        float64   // ops left of its part of what this balancer gets acked
	quotaShare    float64   // of all quotas
	ackedAtRefill int       // ops acked when tokens was reckoned
	flow          flowStats // what is known of its ops together
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
	Ref      any    // the front's own handle; never read here
	Name     string // the same at every balancer; it places the host on the cycle
	IsOrigin bool

	Listing      // as last listed
	Banned  bool // taken out of use by hand, whatever is listed

	pointHashes                 []uint64 // hashes of all its places on the cycle
	cycleIndex                  int32    // its place among those that stand on the cycle
	pointCount                  int      // so many of them it has there
	pointsChanged               bool     // that has changed with the last list
	activePoints                int      // so many of them stand on the cycle now
	inFlight                    int      // own pushes out
	lastPush                    float64  // ms, time of the last push
	connOpen, connUnproven      bool     // a connection may be open; it was opened for a push not answered yet
	lastWalk                    int      // the last walk that came by
	slowdown                    float64  // smoothed latency against the category's usual
	failRate                    float64  // smoothed share of failures
	ejectTime, ejectedUntil     float64  // ms of the last rest, and when it ends
	connBackoff                 float64  // ms, the last wait after a new connection was turned away
	connBackoffUntil            float64  // ms, its end
	lastAnswer                  float64  // ms, time of the last answer
	newestAnsweredPush          float64  // ms, when the last sent of the pushes that it has answered was sent
	coldBudget, coldBudgetSince float64  // pushes left to a cold host in the span that began then
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

// HostEntry is one line of a list.
type HostEntry struct {
	Host *Host
	Listing
}

// Outcome is how a push ended.
type Outcome uint8

const (
	Served         Outcome = iota
	Failed                 // the host answered with an error
	Overloaded             // turned away unseen
	TimedOut               // no answer in time
	ConnectFailed          // no connection could be made
	ConnBroken             // the connection broke
	InvalidAnswer          // an answer came that can't be believed; it may have run
	StaleConn              // the connection, kept from before, ended with no word on the push; it may have run
	InvalidOp              // the host holds the op itself for wrong; it may have run
	Cancelled              // called off
	NotSent                // the push never left
	CacheMiss              // the host does not hold the key
	ConnLimited            // turned away with its new connection, as the host holds no more of them
	UnknownOutcome         // an outcome not on this list: it may have run
)

// Op is one request. The front fills the upper part before Arrive.
type Op struct {
	Ref      any // the front's own handle; never read here
	Category *Category
	Tenant   *Tenant // nil where there are none
	Key      string
	Deadline float64 // ms, when the client stops waiting; Arrive puts it off where clocks may differ
	IsWrite  bool

	state         opState
	keyHash       uint64
	arrivedAt     float64
	priority      float64
	pushes        []*Push       // all its pushes, the first in front
	pushBuf       [1]*Push      // room for that: most have one
	inFlight      int           // pushes that are out: one, or two
	failedHost    *Host         // last host that failed it
	errorHost     *Host         // host that held the op itself for wrong, or failed it
	streamingPush *Push         // the push whose answer flows
	fetch         *fetch        // led by this op
	giveUpAt      float64       // ms, when it is given up
	flows         [2]*flowStats // its key's and its tenant's
	acked         bool          // an answer of it was taken
	withinQuota   bool          // it counts as within its tenant's share
	giveUpTimer   timer         // until
	keyQueue      *keyQueue     // its key's, where it is in order; nil once nothing more can come of it
}

// Push is one attempt at an op. The front gets it with the word to send and hands it back with its outcome.
type Push struct {
	Ref    any // the front's own handle; never read here
	Op     *Op
	Host   *Host
	SendBy float64 // ms, when its last byte has to be on its way, or the push is over, NotSent

	sentAt     float64  // ms
	localWait  float64  // ms that it had to wait for its own process, not yet reckoned with
	limiter    *limiter // whose place it takes
	checkTimer timer
	newConn    bool // a connection was made for it
	rechecked  bool // it has been looked at, and left
	cancelled  bool // it has been called off
	ended      bool // its outcome has come
	neverRan   bool // that proves that it never ran
}

// LoadReport is what a host tells of its load with an answer, old and not exact; below 0 what it does not.
type LoadReport struct {
	Busy float64 // share of its cores' time
}

// IsDone tells that nothing more can come of the op: it is settled and no push is out.
func (op *Op) IsDone() bool { return op.state == stateSettled && op.inFlight == 0 }

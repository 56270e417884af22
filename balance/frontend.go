package balance

// Frontend carries out the Balancer's decisions: it owns the connections, the timer and the clients. Its
// methods return nothing; results reach the Balancer later, through the Balancer's methods.
type Frontend interface {
	Push(p *Push, timeout float64) // send p.Op to p.Host; the push times out after timeout ms
	Cancel(p *Push)                // cancel a push; its outcome is still reported
	Nack(op *Op, backoff float64)  // end op unserved, safe to repeat after backoff ms at the earliest
	DeadLetter(op *Op)             // end op unserved; it may or may not have run
	SetTimer(delay float64)        // call TimerFired after delay ms
	SubscribeHostList()            // subscribe to the host list; HostsListed or HostListFailed follows
	CloseIdleConns(h *Host)        // close the connections to h that carry nothing
}

// Config holds the settings of a Balancer. They stay the same for its lifetime.
type Config struct {
	Seed       uint64
	Categories []*Category
	Tenants    []*Tenant
	GroupSize  int     // balancers that share the fleet, this one included
	Quantum    float64 // ms, shortest time between two reads of the input
	LongestTTL float64 // ms, of all categories; 0 where one has no limit

	CacheAside     bool // a miss is fetched from the origin by the balancer; otherwise hosts fetch themselves
	ListOnRequest  bool // the host list has to be subscribed to; otherwise it is pushed
	BenefitPerWork bool // an op's benefit counts per unit of work, not per op

	MaxPushes       int     // pushes of one op
	AllowCancel     bool    // pushes can be cancelled
	AllowHedging    bool    // two pushes of an op may be in flight at once
	ConnIdleTimeout float64 // ms after which an idle connection closes by itself
	MaxBackoff      float64 // ms, longest backoff that clients respect; 0 where they take none

	ColdCapacity     float64 // share of its capacity that a host has when it starts
	WarmupTime       float64 // ms until a host has its full capacity
	OverloadMultiple float64 // a cold host crashes when it is sent this many times its capacity ...
	OverloadTime     float64 // ... for this many ms

	// The balancer's own zone (below 0: none) and the number of zones.
	Zone, ZoneCount int
	CrossZoneCost   float64 // cost of a push into another zone
	FetchCost       float64 // cost of a fetch from the origin

	ExcessBenefit float64 // factor on the benefit of an op beyond its tenant's quota

	KeyQuietTime          float64 // ms that a key's ordered ops wait after a push that may still run
	DeadlineSkew          float64 // ms by which an op's Deadline may be off, either way
	UpSinceSkew           float64 // ms by which a host's UpSince may be off, either way
	GoneIsAdvisory        bool    // hosts that go without draining may still be used; not used yet
	TimelyNackMeetsTarget bool    // a nack within the target is no miss, a late answer is one; not used yet
	ReplySlots            int     // answers that can be buffered for slow clients; 0: not limited
}

// RepeatPolicy says whether an op may run more than once.
type RepeatPolicy uint8

const (
	Redeliverable RepeatPolicy = iota // any number of times
	Deduplicated                      // hosts of the category's DedupScope drop repeats within its DedupWindow
	AtMostOnce                        // never again once it may have run
)

// DedupScope is the set of hosts among which repeats of a deduplicated op are dropped.
type DedupScope uint8

const (
	DedupAllHosts DedupScope = iota
	DedupZone
	DedupCell
)

// Category holds the settings of one category of ops, and the learned latency of its cache hits.
type Category struct {
	Target      float64 // ms, target latency
	Benefit     float64
	LateBenefit float64 // share of the benefit that an answer after the target still has
	Repeat      RepeatPolicy
	DedupScope  DedupScope
	DedupWindow float64 // ms for which repeats are dropped
	Ordered     bool    // ops of one key run one at a time, in order of arrival

	latencyEWMA // of hits
}

// latencyEWMA is a smoothed latency with its smoothed mean deviation, in ms.
type latencyEWMA struct{ avgLatency, latencyDev float64 }

// Tenant is a project that shares the fleet with others.
type Tenant struct {
	Quota float64 // ops per second, over all balancers

	tokens        float64   // ops left of the tenant's share of what this balancer gets acked
	quotaShare    float64   // share of the sum of all quotas
	ackedAtRefill int       // Balancer.ackedCount when tokens was last refilled
	flow          flowStats // of all its ops
}

// Status is a host's status in the host list.
type Status uint8

const (
	Ready Status = iota
	Draining
	Gone
)

// Host is a cache host or the origin. The frontend fills in the exported fields before it first passes the
// host to the Balancer.
type Host struct {
	Ref      any    // the frontend's handle; not read here
	Name     string // the same at every balancer; determines the places on the cycle
	IsOrigin bool

	Listing      // as last listed
	Banned  bool // taken out of use by an operator, whatever the list says

	pointHashes   []uint64 // hashes of its points on the cycle
	cycleIndex    int32    // index in cycle.hosts
	pointCount    int      // points that it has on the cycle
	pointsChanged bool     // pointCount has changed with the last update
	activePoints  int      // points in use; fewer than pointCount while the host is cold
	inFlight      int      // pushes of this balancer that the host has not answered
	lastPush      float64  // ms, time of the last push
	// A connection may be open; it was opened for a push that has not been answered yet.
	connOpen, connUnproven bool
	lastWalk               int     // number of the last walk that has seen the host
	slowdown               float64 // smoothed latency, as a multiple of the category's usual one
	stalledPushes          int     // late pushes of which only the head of the answer has come
	stallRate              float64 // smoothed share of answers that have not come in time behind their heads
	failRate               float64 // smoothed share of failures
	// Length of the last ejection (0 once the host is well again) and when it ends, in ms.
	ejectTime, ejectedUntil float64
	connBackoff             float64 // ms, last wait after the host's connection limit was reached
	connBackoffUntil        float64 // ms, when that wait ends
	lastAnswer              float64 // ms, time of the last answer
	newestAnsweredPush      float64 // ms, latest send time among the pushes that it has answered
	// Pushes left to a cold host in the current window of OverloadTime, and the start of that window in ms.
	coldBudget, coldBudgetSince float64
}

// Usable tells whether new ops may go to the host.
func (h *Host) Usable() bool { return h.Status == Ready && !h.Banned }

// Listing is what the host list says about a host.
type Listing struct {
	Zone, Cell int
	Size       float64 // capacity in relation to the other hosts
	UpSince    float64 // ms; 0: long ago
	Status     Status
}

// HostEntry is one entry of a host list.
type HostEntry struct {
	Host *Host
	Listing
}

// Outcome says how a push ended.
type Outcome uint8

const (
	Served         Outcome = iota
	Failed                 // the host answered with an error
	Overloaded             // turned away without being processed
	TimedOut               // no answer in time
	ConnectFailed          // no connection could be made
	ConnBroken             // the connection broke
	InvalidAnswer          // the answer is malformed; the op may have run
	StaleConn              // a kept-alive connection ended without an answer; the op may have run
	InvalidOp              // the host considers the op itself invalid; it may have run
	Cancelled              // by Frontend.Cancel
	NotSent                // the push never left
	CacheMiss              // the host does not hold the key
	ConnLimited            // the host turned the new connection away, for it holds no more of them
	UnknownOutcome         // anything else; the op may have run
)

// String returns the outcome's name in the log.
func (o Outcome) String() string {
	return [...]string{"served", "failed", "overloaded", "timed-out", "connect-failed", "conn-broken",
		"invalid-answer", "stale-conn", "invalid-op", "cancelled", "not-sent", "cache-miss", "conn-limited",
		"unknown"}[o]
}

// Op is one request. The frontend fills in the exported fields before it calls OpArrived.
type Op struct {
	Ref      any // the frontend's handle; not read here
	Category *Category
	Tenant   *Tenant // nil without tenants
	Client   uint64  // identifies the connection of its client; 0 where that is not known
	Key      string
	Deadline float64 // ms, when the client stops waiting; OpArrived extends it by Config.DeadlineSkew at most
	IsWrite  bool

	state         opState
	keyHash       uint64
	arrivedAt     float64       // ms
	priority      float64       // the benefit of serving it, weighed by its cost and its tenant's quota
	pushes        []*Push       // in order of sending
	pushBuf       [1]*Push      // backs pushes: most ops have one
	inFlight      int           // pushes without an outcome: at most two
	failedHost    *Host         // last host that failed it
	errorHost     *Host         // cache host that answered it with an error (Failed or InvalidOp)
	streamingPush *Push         // push whose answer is being streamed, or waits for its turn
	fetch         *fetch        // led by this op
	giveUpAt      float64       // ms
	flows         [2]*flowStats // of its key and of its tenant
	acked         bool          // it was answered
	withinQuota   bool          // it has taken one of its tenant's tokens
	// A push of which only the head had come was given up for another one, or kept for want of a better one.
	abandonedStalled, keptStalled bool
	giveUpTimer                   timer     // for giveUpAt
	keyQueue                      *keyQueue // of an ordered op's key; nil once the op is done
}

// Push is one attempt at an op. The frontend gets it with Frontend.Push and hands it back with its outcome.
type Push struct {
	Ref    any // the frontend's handle; not read here
	Op     *Op
	Host   *Host
	SendBy float64 // ms; a push that is not wholly sent by then ends as NotSent

	sentAt     float64  // ms
	repeatBy   float64  // ms; until when hosts drop it as a repeat; +Inf if it is none
	localWait  float64  // ms that it waited in this process, not yet added to checkTimer
	limiter    *limiter // that admitted it
	checkTimer timer
	// When the first bytes of the answer arrived (0: not yet), and the latest ones, in ms.
	firstByteAt, progressAt float64
	checkedAt               float64 // ms; when it was last checked and had shown progress
	abandonAt               float64 // ms; when it is given up for another push; 0 until it is checked
	arrivedShare            float64 // share of its answer that has arrived; 0 if not known
	bodyAt, bodyShare       float64 // when that share was first known, in ms, and the share then
	sending                 sending // of a large request

	waitsForTurn   bool // a part of its answer waits behind earlier answers to the client
	passedOn       bool // a part of its answer has been passed on to the client
	countedStalled bool // it counts in its host's stalledPushes
	placesReleased bool // it no longer counts as in flight at its host and its limiter

	newConn   bool // a connection was made for it
	rechecked bool // its check was put off once
	cancelled bool // Frontend.Cancel was called
	ended     bool // its outcome is known
	neverRan  bool // the outcome proves that the op did not run
}

// LoadReport is the load that a host reports with an answer. Fields below 0 are not reported.
type LoadReport struct {
	Busy float64 // share of its cores' time in use
}

// IsDone tells whether the op is settled and none of its pushes is in flight.
func (op *Op) IsDone() bool { return op.state == stateSettled && op.inFlight == 0 }

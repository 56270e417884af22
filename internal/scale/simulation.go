package scale

import (
	"math"
	"math/rand/v2"
	"strconv"

	"github.com/HdrHistogram/hdrhistogram-go"

	"larchthread/balance"
	"larchthread/internal/timerqueue"
)

const (
	hostTakes    = 50.0 // ms of a request at a cache host: 6,500 a second are 325 at work, 0.2 for each of 1,700 balancers
	hostSlots    = 520  // a host is 62% busy at 6,500 a second
	hostPatience = 150.0
	originTakes  = 50.0
	originLoad   = 0.625 // part of its slots that fetches keep busy in ordinary times
	roundTrip    = 1.0   // ms
	missPart     = 0.05  // part of the reads that the hosts lack, but for the popular key
	ordinaryKeys = 1_000_000
	startTime    = 1e6  // ms; at a time near zero a module would take hosts for just told of
	sampleEvery  = 10.0 // ms
	gateRoom     = 2.0  // gates of balancers that have served for long let out so many times what they need
	slowFactor   = 4.0  // by which a slow host takes longer
	popularKey   = "popular"
)

// counts are what became of the requests of a simulation in its measured time.
type counts struct {
	arrived, served, nacked, deadLettered, pushes, refused int
}

// simulation plays requests, balancers, cache hosts and the origin in simulated time, without sockets.
type simulation struct {
	scenario  Scenario
	random    *rand.Rand
	now       float64 // ms
	instances []*instance
	servers   []*server // the cache hosts, then the origin
	attempts  timerqueue.Queue[*attempt]
	timers    timerqueue.Queue[*instance]
	figures   counts
	latencies *hdrhistogram.Histogram // µs, of served requests
	samples   int
}

func newSimulation(s Scenario) (*simulation, error) {
	x := &simulation{scenario: s, now: startTime, random: rand.New(rand.NewPCG(1, uint64(s.Balancers))), latencies: hdrhistogram.New(1, 10_000_000, 3)}
	for host := range s.Hosts {
		takes := hostTakes
		if s.SlowEvery > 0 && host%s.SlowEvery == 0 {
			takes *= slowFactor
		}
		x.servers = append(x.servers, newServer(hostSlots, takes, hostPatience))
	}
	slots := int(math.Ceil(x.rate() * missPart * originTakes / originLoad))
	x.servers = append(x.servers, newServer(slots, originTakes, math.Inf(1)))
	group := s.Balancers
	if s.SingleBalancer {
		group = 1
	}
	parameters, err := parameters(settings(group, s.AllowDuplicates))
	if err != nil {
		return nil, err
	}
	for seed := range s.Balancers {
		start, _, _ := parameters.ForBalancer(uint64(seed + 1))
		start.ListOnRequest = false
		start.Zone = seed % TargetZones
		i := &instance{simulation: x}
		if s.MaxConnections > 0 {
			i.idle = make([]uint8, len(x.servers))
		}
		i.balancer = balance.New(start, i, x.now)
		for place := range x.servers {
			i.hosts = append(i.hosts, &balance.Host{Ref: place, Name: hostName(place), IsOrigin: place == s.Hosts})
		}
		x.instances = append(x.instances, i)
		x.list(i, nil)
		if !s.NoLearnedState {
			i.balancer.Restore(x.learned())
		}
	}
	return x, nil
}

// origin is the origin's place among the servers.
func (x *simulation) origin() int { return len(x.servers) - 1 }

// list tells a balancer its hosts; restarted are those that have just started anew.
func (x *simulation) list(i *instance, restarted []int) {
	entries := make([]balance.HostEntry, 0, len(i.hosts))
	for place, host := range i.hosts {
		listing := balance.Listing{Zone: place % TargetZones, Size: 1, UpSince: host.UpSince}
		for _, r := range restarted {
			if r == place {
				listing.UpSince = x.now
			}
		}
		entries = append(entries, balance.HostEntry{Host: host, Listing: listing})
	}
	i.balancer.Advance(x.now)
	i.balancer.HostsListed(entries, true, false)
}

// learned is what a balancer knows that has served its part for long: the gates open by one in a latency, which takes minutes
// where few balancers carry the whole load.
func (x *simulation) learned() balance.Learned {
	part := x.rate() / float64(x.scenario.Balancers)
	fetches := part * missPart
	return balance.Learned{
		Rate:   part / float64(x.scenario.Hosts),
		Usual:  1,
		Fleet:  balance.LimiterState{Limit: gateRoom * math.Max(part*hostTakes, 1), Pain: hostTakes / (targetLatency / 1000), Lat: hostTakes, Dev: hostTakes / 4},
		Origin: balance.LimiterState{Limit: gateRoom * math.Max(fetches*originTakes, 1), Lat: originTakes, Dev: originTakes / 4},
		Rows:   []balance.CategoryState{{Target: targetLatency / 1000, Lat: hostTakes, Dev: hostTakes / 4}},
	}
}

// rate is how many requests a ms come to all balancers.
func (x *simulation) rate() float64 {
	return TargetRequestRate / TargetHosts * float64(x.scenario.Hosts) / 1000
}

// run plays the warm-up and the measured time.
func (x *simulation) run() {
	x.advance(startTime + x.scenario.WarmUpMS)
	x.strike()
	for _, s := range x.servers {
		s.forget()
	}
	x.figures, x.samples = counts{}, 0
	x.latencies.Reset()
	x.advance(startTime + x.scenario.WarmUpMS + x.scenario.MeasuredMS)
}

// strike begins what the scenario has happen with the measured time.
func (x *simulation) strike() {
	if x.scenario.OriginSlowdown > 1 {
		x.servers[x.origin()].takes *= x.scenario.OriginSlowdown
	}
	if x.scenario.ColdHost {
		x.servers[0].coldFrom = x.now
		for _, i := range x.instances {
			x.list(i, []int{0})
		}
	}
}

// advance plays events in order of their time.
func (x *simulation) advance(end float64) {
	rate := x.rate()
	arrival := x.now + x.random.ExpFloat64()/rate
	sample := x.now + sampleEvery
	for {
		next := min(arrival, sample, x.attempts.NextDue(), x.timers.NextDue())
		if next > end {
			x.now = end
			return
		}
		x.now = math.Max(x.now, next)
		switch next {
		case arrival:
			x.arrive()
			arrival = x.now + x.random.ExpFloat64()/rate
		case x.attempts.NextDue():
			a, _ := x.attempts.PopDue(x.now)
			x.finish(a)
		case x.timers.NextDue():
			i, _ := x.timers.PopDue(x.now)
			i.balancer.Advance(x.now)
			i.balancer.TimerFired()
		default:
			x.sample()
			sample = x.now + sampleEvery
		}
	}
}

func (x *simulation) sample() {
	x.samples++
	for _, s := range x.servers {
		s.sample()
	}
}

// arrive has a request come to a balancer drawn evenly.
func (x *simulation) arrive() {
	i := x.instances[x.random.IntN(len(x.instances))]
	key := popularKey
	if x.random.Float64() >= x.scenario.PopularShare {
		key = strconv.Itoa(x.random.IntN(ordinaryKeys))
	}
	x.figures.arrived++
	i.balancer.Advance(x.now)
	i.balancer.OpArrived(&balance.Op{Ref: &request{arrived: x.now}, Category: i.balancer.Categories[0], Key: key, Deadline: x.now + timeToLive/1000})
}

// send takes a push to its server and reckons its outcome, and when that comes.
func (x *simulation) send(i *instance, p *balance.Push, limit float64) {
	place := p.Host.Ref.(int)
	a := &attempt{instance: i, server: x.servers[place], place: place, push: p, sent: x.now}
	p.Ref = a
	x.figures.pushes++
	if !x.connect(a) {
		a.outcome = balance.ConnLimited
		x.attempts.Set(a, x.now+roundTrip)
		return
	}
	a.server.came++
	done, taken := a.server.serve(x.now, x.random)
	if !taken {
		x.figures.refused++
		a.outcome = balance.Overloaded
		x.attempts.Set(a, x.now+roundTrip)
		return
	}
	a.working, a.done = true, done
	a.outcome = x.answer(a)
	if done+roundTrip > x.now+limit {
		a.outcome = balance.TimedOut
	}
	x.attempts.Set(a, math.Min(done+roundTrip, x.now+limit))
}

// answer draws what a server answers.
func (x *simulation) answer(a *attempt) balance.Outcome {
	if a.place != x.origin() && a.push.Op.Key != popularKey && x.random.Float64() < missPart {
		return balance.CacheMiss
	}
	return balance.Served
}

// connect finds an idle connection, or opens one where the server's table has room.
func (x *simulation) connect(a *attempt) bool {
	idle := a.instance.idle
	switch {
	case idle == nil || a.place == x.origin():
	case idle[a.place] > 0:
		idle[a.place]--
	case a.server.connections >= x.scenario.MaxConnections:
		return false
	default:
		a.server.connections++
	}
	return true
}

// finish hands a push's outcome to its balancer, and its place to the server once that is done.
func (x *simulation) finish(a *attempt) {
	if a.working && x.now >= a.done {
		a.working = false
		a.server.outstanding--
	}
	if !a.over {
		a.over = true
		x.disconnect(a)
		x.tell(a)
	}
	if a.working {
		x.attempts.Set(a, a.done)
	}
}

// disconnect gives a connection back, or closes it where its push was given up.
func (x *simulation) disconnect(a *attempt) {
	idle := a.instance.idle
	switch {
	case idle == nil || a.place == x.origin() || a.outcome == balance.ConnLimited:
	case a.outcome == balance.TimedOut || a.outcome == balance.Cancelled:
		a.server.connections--
	case idle[a.place] < math.MaxUint8:
		idle[a.place]++
	}
}

func (x *simulation) tell(a *attempt) {
	var report *balance.LoadReport
	if x.scenario.LoadReports && a.place != x.origin() {
		report = &balance.LoadReport{Busy: a.server.busy()}
	}
	if r := a.push.Op.Ref.(*request); a.outcome == balance.Served && !r.ended {
		r.ended = true
		x.figures.served++
		x.latencies.RecordValue(int64((x.now - r.arrived) * 1000))
	}
	a.instance.balancer.Advance(x.now)
	a.instance.balancer.PushEnded(a.push, a.outcome, x.now-a.sent, a.outcome == balance.Served, report)
}

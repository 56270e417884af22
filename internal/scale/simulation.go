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
	hostServiceTime   = 50.0  // ms; at 6,500 requests/s a host has 325 in service, 0.2 per balancer with 1,700 balancers
	hostSlots         = 520   // 62% utilization at 6,500 requests/s
	hostMaxWait       = 150.0 // ms
	originServiceTime = 50.0  // ms
	originUtilization = 0.625 // of the origin's slots under normal load
	roundTrip         = 1.0   // ms
	missRate          = 0.05  // share of reads that miss, except for the popular key
	ordinaryKeys      = 1_000_000
	startTime         = 1e6  // ms; with a start near zero, balancers would consider all hosts as just announced
	sampleInterval    = 10.0 // ms
	limiterHeadroom   = 2.0  // limits of balancers with learned state, relative to the concurrency that they need
	slowHostFactor    = 4.0  // service time of a slow host, relative to a normal one
	popularKey        = "popular"
)

// requestCounts counts the requests of the measured time by outcome, and their pushes.
type requestCounts struct {
	arrived, served, nacked, deadLettered, pushes, refused int
}

// simulation is a discrete-event simulation of requests, balancers, cache hosts and the origin, without sockets.
type simulation struct {
	scenario  Scenario
	rng       *rand.Rand
	now       float64 // ms
	instances []*balancerInstance
	servers   []*server // cache hosts, followed by the origin
	attempts  timerqueue.Queue[*attempt]
	timers    timerqueue.Queue[*balancerInstance]
	counts    requestCounts
	latencies *hdrhistogram.Histogram // of served requests, in microseconds
	samples   int
}

// newSimulation sets up a scenario at startTime, with all hosts listed. It returns an error if the settings are invalid.
func newSimulation(s Scenario) (*simulation, error) {
	sim := &simulation{scenario: s, now: startTime, rng: rand.New(rand.NewPCG(1, uint64(s.Balancers))),
		latencies: hdrhistogram.New(1, 10_000_000, 3)}
	for host := range s.Hosts {
		serviceTime := hostServiceTime
		if s.SlowEvery > 0 && host%s.SlowEvery == 0 {
			serviceTime *= slowHostFactor
		}
		sim.servers = append(sim.servers, newServer(hostSlots, serviceTime, hostMaxWait))
	}
	slots := int(math.Ceil(sim.requestsPerMS() * missRate * originServiceTime / originUtilization))
	sim.servers = append(sim.servers, newServer(slots, originServiceTime, math.Inf(1)))
	group := s.Balancers
	if s.SingleBalancer {
		group = 1
	}
	parameters, err := parseSettings(balancerSettings(group, s.AllowDuplicates))
	if err != nil {
		return nil, err
	}
	for seed := range s.Balancers {
		config, _, _ := parameters.ForBalancer(uint64(seed + 1))
		config.ListOnRequest = false
		config.Zone = seed % TargetZones
		i := &balancerInstance{simulation: sim}
		if s.MaxConnections > 0 {
			i.idleConnections = make([]uint8, len(sim.servers))
		}
		i.balancer = balance.New(config, i, sim.now)
		for index := range sim.servers {
			i.hosts = append(i.hosts, &balance.Host{Ref: index, Name: hostName(index), IsOrigin: index == s.Hosts})
		}
		sim.instances = append(sim.instances, i)
		sim.listHosts(i, nil)
		if !s.NoLearnedState {
			i.balancer.Restore(sim.learnedState())
		}
	}
	return sim, nil
}

// originIndex returns the origin's index in servers.
func (sim *simulation) originIndex() int { return len(sim.servers) - 1 }

// listHosts sends a balancer the complete host list; the hosts with the indexes in restarted have just restarted.
func (sim *simulation) listHosts(i *balancerInstance, restarted []int) {
	entries := make([]balance.HostEntry, 0, len(i.hosts))
	for index, host := range i.hosts {
		listing := balance.Listing{Zone: index % TargetZones, Size: 1, UpSince: host.UpSince}
		for _, restartedIndex := range restarted {
			if restartedIndex == index {
				listing.UpSince = sim.now
			}
		}
		entries = append(entries, balance.HostEntry{Host: host, Listing: listing})
	}
	i.balancer.Advance(sim.now)
	i.balancer.HostsListed(entries, true, false)
}

// learnedState returns the state that a balancer has learned after serving its share of the load for a long time. Limits open
// by one per latency, so learning them takes minutes of simulated time when few balancers carry the load.
func (sim *simulation) learnedState() balance.Learned {
	requestRate := sim.requestsPerMS() / float64(sim.scenario.Balancers)
	originRate := requestRate * missRate
	return balance.Learned{
		Rate:  requestRate / float64(sim.scenario.Hosts),
		Usual: 1,
		Fleet: balance.LimiterState{Limit: limiterHeadroom * math.Max(requestRate*hostServiceTime, 1),
			Pain: hostServiceTime / (targetLatencyUS / 1000), Lat: hostServiceTime, Dev: hostServiceTime / 4},
		Origin: balance.LimiterState{Limit: limiterHeadroom * math.Max(originRate*originServiceTime, 1),
			Lat: originServiceTime, Dev: originServiceTime / 4},
		Rows: []balance.CategoryState{{Target: targetLatencyUS / 1000, Lat: hostServiceTime, Dev: hostServiceTime / 4}},
	}
}

// requestsPerMS returns the request rate of the whole fleet, in requests per millisecond.
func (sim *simulation) requestsPerMS() float64 {
	return TargetRequestRate / TargetHosts * float64(sim.scenario.Hosts) / 1000
}

// run runs the warm-up and then the measured time.
func (sim *simulation) run() {
	sim.advance(startTime + sim.scenario.WarmUpMS)
	sim.applyDisturbance()
	for _, s := range sim.servers {
		s.resetMeasurements()
	}
	sim.counts, sim.samples = requestCounts{}, 0
	sim.latencies.Reset()
	sim.advance(startTime + sim.scenario.WarmUpMS + sim.scenario.MeasuredMS)
}

// applyDisturbance makes the changes that the scenario specifies for the start of the measured time.
func (sim *simulation) applyDisturbance() {
	if sim.scenario.OriginSlowdown > 1 {
		sim.servers[sim.originIndex()].serviceTime *= sim.scenario.OriginSlowdown
	}
	if sim.scenario.ColdHost {
		sim.servers[0].coldSince = sim.now
		for _, i := range sim.instances {
			sim.listHosts(i, []int{0})
		}
	}
}

// advance processes events in time order until the given simulated time, in milliseconds.
func (sim *simulation) advance(end float64) {
	rate := sim.requestsPerMS()
	arrival := sim.now + sim.rng.ExpFloat64()/rate
	sample := sim.now + sampleInterval
	for {
		next := min(arrival, sample, sim.attempts.NextDue(), sim.timers.NextDue())
		if next > end {
			sim.now = end
			return
		}
		sim.now = math.Max(sim.now, next)
		switch next {
		case arrival:
			sim.receiveRequest()
			arrival = sim.now + sim.rng.ExpFloat64()/rate
		case sim.attempts.NextDue():
			a, _ := sim.attempts.PopDue(sim.now)
			sim.handleAttempt(a)
		case sim.timers.NextDue():
			i, _ := sim.timers.PopDue(sim.now)
			i.balancer.Advance(sim.now)
			i.balancer.TimerFired()
		default:
			sim.sample()
			sample = sim.now + sampleInterval
		}
	}
}

// sample records the outstanding requests of all servers.
func (sim *simulation) sample() {
	sim.samples++
	for _, s := range sim.servers {
		s.sample()
	}
}

// receiveRequest passes a new request to a randomly chosen balancer.
func (sim *simulation) receiveRequest() {
	i := sim.instances[sim.rng.IntN(len(sim.instances))]
	key := popularKey
	if sim.rng.Float64() >= sim.scenario.PopularShare {
		key = strconv.Itoa(sim.rng.IntN(ordinaryKeys))
	}
	sim.counts.arrived++
	i.balancer.Advance(sim.now)
	i.balancer.OpArrived(&balance.Op{Ref: &request{arrivedAt: sim.now}, Category: i.balancer.Categories[0],
		Key: key, Deadline: sim.now + ttlUS/1000})
}

// sendPush sends a push to its server and schedules its outcome. The push times out after limit milliseconds.
func (sim *simulation) sendPush(i *balancerInstance, p *balance.Push, limit float64) {
	serverIndex := p.Host.Ref.(int)
	a := &attempt{instance: i, server: sim.servers[serverIndex], serverIndex: serverIndex, push: p, sentAt: sim.now}
	p.Ref = a
	sim.counts.pushes++
	if !sim.acquireConnection(a) {
		a.outcome = balance.ConnLimited
		sim.attempts.Set(a, sim.now+roundTrip)
		return
	}
	a.server.received++
	done, accepted := a.server.serve(sim.now, sim.rng)
	if !accepted {
		sim.counts.refused++
		a.outcome = balance.Overloaded
		sim.attempts.Set(a, sim.now+roundTrip)
		return
	}
	a.atServer, a.serverDoneAt = true, done
	a.outcome = sim.drawOutcome(a)
	if done+roundTrip > sim.now+limit {
		a.outcome = balance.TimedOut
	}
	sim.attempts.Set(a, math.Min(done+roundTrip, sim.now+limit))
}

// drawOutcome draws the outcome of a request that its server accepts.
func (sim *simulation) drawOutcome(a *attempt) balance.Outcome {
	if a.serverIndex != sim.originIndex() && a.push.Op.Key != popularKey && sim.rng.Float64() < missRate {
		return balance.CacheMiss
	}
	return balance.Served
}

// acquireConnection takes an idle connection or opens a new one. It returns false if the server's connection limit is reached.
func (sim *simulation) acquireConnection(a *attempt) bool {
	idle := a.instance.idleConnections
	switch {
	case idle == nil || a.serverIndex == sim.originIndex():
	case idle[a.serverIndex] > 0:
		idle[a.serverIndex]--
	case a.server.connections >= sim.scenario.MaxConnections:
		return false
	default:
		a.server.connections++
	}
	return true
}

// handleAttempt handles an attempt's timer: it reports the outcome to the balancer, and releases the server's slot once the
// server is done.
func (sim *simulation) handleAttempt(a *attempt) {
	if a.atServer && sim.now >= a.serverDoneAt {
		a.atServer = false
		a.server.outstanding--
	}
	if !a.reported {
		a.reported = true
		sim.releaseConnection(a)
		sim.reportOutcome(a)
	}
	if a.atServer {
		sim.attempts.Set(a, a.serverDoneAt)
	}
}

// releaseConnection makes a connection idle, or closes it if its push timed out or was cancelled.
func (sim *simulation) releaseConnection(a *attempt) {
	idle := a.instance.idleConnections
	switch {
	case idle == nil || a.serverIndex == sim.originIndex() || a.outcome == balance.ConnLimited:
	case a.outcome == balance.TimedOut || a.outcome == balance.Cancelled:
		a.server.connections--
	case idle[a.serverIndex] < math.MaxUint8:
		idle[a.serverIndex]++
	}
}

// reportOutcome reports an attempt's outcome to its balancer, and records the latency of the first success of its request.
func (sim *simulation) reportOutcome(a *attempt) {
	var report *balance.LoadReport
	if sim.scenario.LoadReports && a.serverIndex != sim.originIndex() {
		report = &balance.LoadReport{Busy: a.server.utilization()}
	}
	if r := a.push.Op.Ref.(*request); a.outcome == balance.Served && !r.completed {
		r.completed = true
		sim.counts.served++
		sim.latencies.RecordValue(int64((sim.now - r.arrivedAt) * 1000))
	}
	a.instance.balancer.Advance(sim.now)
	a.instance.balancer.PushEnded(a.push, a.outcome, sim.now-a.sentAt, a.outcome == balance.Served, report)
}

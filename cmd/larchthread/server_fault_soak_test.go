package main

import (
	"bufio"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	soakSeedsVariable = "LARCHTHREAD_SOAK_SEEDS" // as FIRST-LAST, for a longer run by hand
	firstSoakSeed     = 1
	lastSoakSeed      = 12

	soakLoadTime   = 2 * time.Second // from the first op to the signal at the latest
	stallSlack     = 300 * time.Millisecond
	shortestStall  = 500 * time.Millisecond // for which a value may stand still behind its op's time
	stallBound     = time.Second            // at which it is ended at the latest
	pushSlack      = 150 * time.Millisecond
	timeLeftSlack  = 150 * time.Millisecond
	connectingTime = 400 * time.Millisecond // behind SIGTERM in which new connections come
	crossingTime   = 250 * time.Millisecond // in which a command may cross the end of its connection
	idleTime       = 1900 * time.Millisecond
)

// soakEvent is what happens to the process amid the load.
type soakEvent string

const (
	noEvent      soakEvent = "none"
	terminate    soakEvent = "SIGTERM"
	upgradeEvent soakEvent = "upgrade"
	signalSeries soakEvent = "signals in series"
)

// faultKind is what a faulty server does.
type faultKind string

var faultKinds = []faultKind{"head", "half head", "part", "byte by byte", "slow to write", "slow to read", "silent", "close",
	"reset", "late", "last byte late", "stops within", "answers twice", "any"}

// soakPlan is what a seed draws.
type soakPlan struct {
	seed        uint64
	hosts       int
	faultyHosts int // the first of them
	faultyShare float64
	originFault bool
	kind        faultKind
	framing     bodyFraming // of the origin; empty for any
	missShare   float64
	writeShare  float64
	pipelined   bool
	clients     int
	memoryMB    int
	ttl         time.Duration // longest
	aside       bool          // misses and writes go to the origin
	hedging     bool
	event       soakEvent
	eventAt     time.Duration
}

// pick returns one of the choices.
func pick[T any](rng *rand.Rand, choices ...T) T { return choices[rng.IntN(len(choices))] }

// drawSoakPlan draws a plan.
func drawSoakPlan(seed uint64) soakPlan {
	rng := rand.New(rand.NewPCG(seed, 63))
	p := soakPlan{seed: seed, hosts: pick(rng, 3, 6, 12), faultyShare: pick(rng, 0.2, 0.6, 1), originFault: rng.IntN(2) == 0,
		kind: pick(rng, "any", pick(rng, faultKinds...)), framing: pick(rng, "", lengthFraming, chunkedFraming, closeFraming),
		missShare: pick(rng, 0, 0.3, 1), writeShare: pick(rng, 0, 0.3, 0.8), pipelined: rng.IntN(2) == 0,
		clients: pick(rng, 8, 16, 30), memoryMB: pick(rng, 64, 192), ttl: pick(rng, 600*time.Millisecond, 3*time.Second),
		aside: rng.IntN(4) > 0, hedging: rng.IntN(3) == 0, event: pick(rng, noEvent, terminate, upgradeEvent, signalSeries)}
	p.faultyHosts = pick(rng, 0, 1, p.hosts)
	if p.faultyHosts == 0 {
		p.originFault = true
	}
	if p.originFault && p.missShare == 0 {
		p.missShare = 0.5
	}
	if rng.IntN(5) == 0 { // a crowd
		p.clients = 150
	}
	p.eventAt = soakLoadTime/4 + time.Duration(rng.Int64N(int64(soakLoadTime*3/4)))
	return p
}

// drawFault returns the reply of a faulty server to a request for a value of that many bytes.
func (p soakPlan) drawFault(rng *rand.Rand, valueBytes int) serverReply {
	reply := wholeReply(valueBytes)
	kind := p.kind
	if kind == "any" {
		kind = pick(rng, faultKinds[:len(faultKinds)-1]...)
	}
	switch kind {
	case "head":
		reply.end, reply.sentBytes = silentReply, 0
	case "half head":
		reply.end, reply.headBytes = silentReply, 1+rng.IntN(12)
	case "part":
		reply.end, reply.sentBytes = silentReply, rng.IntN(valueBytes)
	case "byte by byte":
		reply.pieces, reply.pause = 40+rng.IntN(260), time.Duration(2+rng.IntN(8))*time.Millisecond
	case "slow to write":
		reply.pieces, reply.pause = 10+rng.IntN(25), time.Duration(20+rng.IntN(130))*time.Millisecond
	case "slow to read":
		reply.readPause = time.Duration(5+rng.IntN(120)) * time.Millisecond
	case "silent":
		reply.end, reply.headBytes = silentReply, -1
	case "close", "reset":
		reply.end = map[faultKind]replyEnd{"close": closedReply, "reset": resetReply}[kind]
		switch rng.IntN(3) {
		case 0:
			reply.headBytes = pick(rng, -1, 3)
		case 1:
			reply.sentBytes = 0
		default:
			reply.sentBytes = rng.IntN(valueBytes)
		}
		reply.delay = time.Duration(rng.IntN(300)) * time.Millisecond
	case "late":
		reply.delay = time.Duration(20+rng.IntN(700)) * time.Millisecond
	case "stops within":
		reply.stop = time.Duration(50+rng.IntN(1500)) * time.Millisecond
	case "answers twice":
		reply.twice, reply.pause = true, time.Duration(rng.IntN(30))*time.Millisecond
	case "last byte late":
		reply.lastAlone, reply.pause = true, time.Duration(5+rng.IntN(200))*time.Millisecond
	}
	return reply
}

// valueSizes are those of the values that are read, and written.
var valueSizes = []int{5, 30, 20_000, 65_000, 70_000, 200_000, 700_000}

const hugeWriteBytes = 2_000_000

// drawReply returns the reply to a request, which depends on the seed, the server and the op alone.
func (p soakPlan) drawReply(r receivedRequest) serverReply {
	digest := fnv.New64a()
	fmt.Fprint(digest, p.seed, r.server, r.id)
	rng := rand.New(rand.NewPCG(p.seed, digest.Sum64()))
	number, _ := strconv.Atoi(strings.TrimLeft(r.key, "abcdefghijklmnopqrstuvwxyz"))
	valueBytes := valueSizes[number%len(valueSizes)]
	isOrigin := r.server == "origin"
	if !isOrigin && p.aside && !r.isWrite && strings.HasPrefix(r.key, "far") {
		return serverReply{miss: true, end: completeReply}
	}
	host, _ := strconv.Atoi(strings.TrimPrefix(r.server, "host"))
	isFaulty := isOrigin && p.originFault || !isOrigin && host < p.faultyHosts
	reply := wholeReply(valueBytes)
	if isFaulty && rng.Float64() < p.faultyShare {
		reply = p.drawFault(rng, valueBytes)
	}
	if isOrigin {
		if reply.framing = p.framing; reply.framing == "" {
			reply.framing = pick(rng, lengthFraming, chunkedFraming, closeFraming)
		}
	}
	return reply
}

// settings returns the settings of the process.
func (p soakPlan) settings() string {
	s := strings.ReplaceAll(defaultSettings, `"ttlUs":600000`, fmt.Sprintf(`"ttlUs":%d`, p.ttl.Microseconds()))
	if !p.aside {
		s = strings.Replace(s, `"mode":"aside"`, `"mode":"through"`, 1)
	}
	if p.hedging {
		s = strings.Replace(s, `"cancelling":true`, `"cancelling":true,"mayDuplicate":true`, 1)
	}
	return s
}

// soakOp is an op that a client has sent, and what became of it.
type soakOp struct {
	id, category string
	isWrite      bool
	ttl          time.Duration
	sentAt       time.Time
	dueFrom      time.Time // its time counts from here: behind the answer before it, if that came later than it was due
	answer       clientAnswer
	behindCut    bool // an earlier value on its connection was cut off
	idleBefore   time.Duration
}

// soakRun is a run of a plan.
type soakRun struct {
	soakPlan
	faultyFleet
	mu       sync.Mutex
	ops      []*soakOp
	endingAt time.Time // of the first SIGTERM; zero before
	killedAt time.Time // zero before
	old      *exec.Cmd // the process that is ended
	stop     chan struct{}
}

// record adds ops that are over.
func (run *soakRun) record(ops []*soakOp) {
	run.mu.Lock()
	defer run.mu.Unlock()
	run.ops = append(run.ops, ops...)
}

// isOver reports whether clients are to stop.
func (run *soakRun) isOver() bool {
	select {
	case <-run.stop:
		return true
	default:
		return false
	}
}

// mayConnect reports whether new connections still come.
func (run *soakRun) mayConnect() bool {
	run.mu.Lock()
	defer run.mu.Unlock()
	return run.event == upgradeEvent || run.endingAt.IsZero() || time.Since(run.endingAt) < connectingTime
}

// end sends SIGTERM.
func (run *soakRun) end() {
	run.mu.Lock()
	defer run.mu.Unlock()
	if run.endingAt.IsZero() {
		run.endingAt = time.Now()
	}
	run.old.Process.Signal(syscall.SIGTERM)
}

// runClient sends ops one batch after another, on one connection as long as that is open.
func (run *soakRun) runClient(number int) {
	rng := rand.New(rand.NewPCG(run.seed, uint64(1000+number)))
	for n := 0; !run.isOver() && run.mayConnect(); {
		conn, err := net.Dial("tcp", run.listenAddress)
		if err != nil {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		conn.(*net.TCPConn).SetWriteBuffer(16 << 10) // what is written has reached the process's socket
		conn.SetDeadline(time.Now().Add(30 * time.Second))
		c := &client{conn, bufio.NewReader(conn)}
		usedAt := time.Now()
		for open := true; open && !run.isOver(); n++ {
			var batch []*soakOp
			batch, open = run.sendBatch(c, rng, fmt.Sprintf("%d-%d", number, n), usedAt)
			run.record(batch)
			usedAt = time.Now()
			time.Sleep(time.Duration(rng.IntN(40)) * time.Millisecond)
		}
		c.Close()
	}
}

// sendBatch sends some commands at once and reads their answers. It reports whether the connection is open.
func (run *soakRun) sendBatch(c *client, rng *rand.Rand, prefix string, usedAt time.Time) (batch []*soakOp, open bool) {
	commands := 1
	if run.pipelined {
		commands += rng.IntN(3)
	}
	var text strings.Builder
	idleBefore := time.Since(usedAt)
	for n := range commands {
		o := &soakOp{id: fmt.Sprintf("%s-%d", prefix, n), isWrite: rng.Float64() < run.writeShare, idleBefore: idleBefore}
		o.ttl = min(run.ttl, pick(rng, 150*time.Millisecond, 400*time.Millisecond, 600*time.Millisecond, run.ttl))
		key := fmt.Sprintf("key%d", rng.IntN(40))
		if rng.Float64() < run.missShare {
			key = fmt.Sprintf("far%d", rng.IntN(1000))
		}
		if o.isWrite {
			o.category = pick(rng, "put", "once")
			size := pick(rng, valueSizes...)
			if rng.IntN(10) == 0 && run.clients < 100 {
				size = hugeWriteBytes
			}
			fmt.Fprintf(&text, "ms %s %d O%s Pc=%s,d=%d\r\n%s\r\n", key, size, o.id, o.category, o.ttl.Milliseconds(), longValue[:size])
		} else {
			o.category = pick(rng, "read", "read", "once")
			fmt.Fprintf(&text, "mg %s v O%s Pc=%s,d=%d\r\n", key, o.id, o.category, o.ttl.Milliseconds())
		}
		batch = append(batch, o)
	}
	written := make(chan error, 1)
	var sentAt time.Time
	go func() {
		_, err := io.WriteString(c, text.String())
		sentAt = time.Now()
		written <- err
	}()
	open = true
	var answers []clientAnswer
	for _, o := range batch {
		o.answer.end = noAnswer
		if !open {
			o.behindCut = answers[len(answers)-1].end == cutOff
			answers = append(answers, answers[len(answers)-1])
			o.answer.endsAt = answers[len(answers)-1].endsAt
			continue
		}
		o.answer = c.receiveAnswer(o.id)
		answers = append(answers, o.answer)
		open = o.answer.end != noAnswer && o.answer.end != cutOff && o.answer.end != wrong
	}
	if !open {
		c.Close()
	}
	if err := <-written; err != nil { // the last bytes never arrived
		for _, o := range batch {
			if o.answer.end == noAnswer {
				o.answer.end = notSent
			}
		}
	}
	for i, o := range batch {
		o.sentAt = sentAt
		if o.dueFrom = sentAt.Add(o.ttl); i > 0 && answers[i-1].endsAt.After(o.dueFrom) {
			o.dueFrom = answers[i-1].endsAt
		}
	}
	return batch, open
}

// notSent is the end of an op whose last byte the process's socket did not take.
const notSent answerEnd = "not sent"

// play runs the plan.
func (run *soakRun) play() {
	run.addFaultyHosts(run.hosts)
	run.addFaultyOrigin()
	run.limits = fmt.Sprintf(`{"cores":1,"memory_mb":%d,"sockets":1024}`, run.memoryMB)
	run.fleet.settings, run.adminAddress = run.soakPlan.settings(), freeAddress()
	run.faultyFleet.drawReply = run.soakPlan.drawReply
	run.start()
	var all sync.WaitGroup
	for i := range run.clients {
		all.Go(func() { run.runClient(i) })
	}
	time.Sleep(run.eventAt)
	run.playEvent()
	close(run.stop)
	all.Wait()
}

// playEvent brings the event about, and returns once clients may stop.
func (run *soakRun) playEvent() {
	run.old = run.process
	switch run.event {
	case noEvent:
		time.Sleep(soakLoadTime - run.eventAt + run.ttl)
		return
	case terminate:
		run.end()
	case signalSeries:
		for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM} {
			if s == syscall.SIGTERM {
				run.end()
			} else {
				run.old.Process.Signal(s)
			}
			time.Sleep(50 * time.Millisecond)
		}
	case upgradeEvent:
		run.process = run.startSuccessor()
		run.end()
	}
	time.Sleep(time.Until(run.endingAt.Add(run.ttl + 700*time.Millisecond)))
	run.killedAt = time.Now()
	run.old.Process.Kill()
	run.old.Wait()
	if run.event == upgradeEvent {
		time.Sleep(run.ttl)
	}
}

// checkOp returns what is wrong with an op, or nil.
func (run *soakRun) checkOp(o *soakOp) error {
	requests := run.requestsOf(o.id)
	a := o.answer
	due := o.dueFrom.Add(lostAfter + limitSlack)
	if a.end == notSent {
		return nil
	}
	for _, r := range requests {
		switch {
		case o.answer.end != noAnswer && o.answer.end != cutOff && r.headAt.After(a.endsAt.Add(pushSlack)):
			return fmt.Errorf("pushed to %s %v behind its answer", r.server, r.headAt.Sub(a.endsAt))
		case r.headAt.Add(r.timeLeft).After(o.sentAt.Add(o.ttl + timeLeftSlack)):
			return fmt.Errorf("%s was told %v, %v behind its sending", r.server, r.timeLeft, r.headAt.Sub(o.sentAt))
		}
	}
	if err := checkRuns(o, requests); err != nil {
		return err
	}
	wasKilled := !run.killedAt.IsZero() && a.endsAt.After(run.killedAt.Add(-limitSlack))
	switch a.end {
	case wrong:
		return errors.New("a wrong answer")
	case noAnswer:
		return run.checkUnanswered(o, requests)
	case cutOff:
		moves := allComplete(requests)
		switch {
		case moves && !(wasKilled && a.endsAt.After(run.killedAt.Add(-limitSlack))):
			return errors.New("cut off, though no server ended its value early")
		case !moves && a.firstAt.After(due):
			return fmt.Errorf("its value began %v behind its time", a.firstAt.Sub(o.dueFrom))
		case !moves && a.endsAt.After(due) && a.endsAt.Sub(a.lastAt) > stallBound+stallSlack:
			return fmt.Errorf("its value stood still for %v", a.endsAt.Sub(a.lastAt))
		}
	case served:
		if a.firstAt.After(due) {
			return fmt.Errorf("its answer began %v behind its time", a.firstAt.Sub(o.dueFrom))
		}
	default:
		if a.endsAt.After(due) {
			return fmt.Errorf("answered %v behind its time", a.endsAt.Sub(o.dueFrom))
		}
	}
	return nil
}

// checkUnanswered returns an error if an op with no answer is lost.
func (run *soakRun) checkUnanswered(o *soakOp, requests []receivedRequest) error {
	a := o.answer
	switch {
	case o.behindCut: // the connection's end is the only sign of a value that is not whole
		return nil
	case len(requests) > 0, strings.Contains(run.log.String(), `msg="op abandoned" name=n1 op=`+o.id+" "):
		return errors.New("read, and never answered")
	case a.endsAt.Sub(o.sentAt) < crossingTime && (o.idleBefore > idleTime || !run.endingAt.IsZero()):
		return nil
	}
	return errors.New("never answered")
}

// allComplete reports whether all replies to an op were or are being written whole.
func allComplete(requests []receivedRequest) bool {
	for _, r := range requests {
		if r.reply.end != completeReply || r.reply.twice || r.reply.stop > shortestStall-stallSlack {
			return false
		}
	}
	return true
}

// checkRuns returns an error if an op that must run once may have run twice.
func checkRuns(o *soakOp, requests []receivedRequest) error {
	if o.category != "once" {
		return nil
	}
	runs := 0
	for _, r := range requests {
		if !r.completeAt.IsZero() && !r.reply.miss {
			runs++
		}
	}
	if runs > 1 {
		return fmt.Errorf("ran %d times", runs)
	}
	return nil
}

// check reports the ops that broke a rule, and what the ops came to.
func (run *soakRun) check(t *testing.T) {
	counts, faults := map[answerEnd]int{}, 0
	for _, o := range run.ops {
		counts[o.answer.end]++
		err := run.checkOp(o)
		if err == nil {
			continue
		}
		if faults++; faults > 5 {
			continue
		}
		text := fmt.Sprintf("op %s (%s, write %t, %v, sent %v, due %v, first byte %v, last %v, end %v, %s): %v\n", o.id, o.category, o.isWrite,
			o.ttl, clock(o.sentAt), clock(o.dueFrom), clock(o.answer.firstAt), clock(o.answer.lastAt), clock(o.answer.endsAt), o.answer.end, err)
		for _, r := range run.requestsOf(o.id) {
			text += fmt.Sprintf("  %s head %s complete %s told %v: %v\n", r.server, clock(r.headAt), clock(r.completeAt), r.timeLeft, r.reply)
		}
		t.Error(text + run.logOf(o.id))
	}
	if faults > 0 {
		t.Errorf("%d of %d ops broke a rule; ending at %s, killed at %s", faults, len(run.ops), clock(run.endingAt), clock(run.killedAt))
	}
	t.Logf("%+v: %v, %v", run.soakPlan, counts, run.endReasons())
}

// clock returns a time within its minute.
func clock(at time.Time) string { return at.Format("05.000") }

// Guards against ops that get no answer, a late one or a second effect, and values that are cut off, while servers fail in
// any way that is drawn.
func TestServerFaultSoak(t *testing.T) {
	first, last := uint64(firstSoakSeed), uint64(lastSoakSeed)
	if text := os.Getenv(soakSeedsVariable); text != "" {
		if _, err := fmt.Sscanf(text, "%d-%d", &first, &last); err != nil {
			t.Fatalf("%s: %q, want FIRST-LAST", soakSeedsVariable, text)
		}
	}
	for seed := first; seed <= last; seed++ {
		playSoak(t, seed)
	}
}

// Guards against commands that are forwarded with more time than their clients have left: they waited unread behind long
// writes of a crowd, with little memory.
func TestServerFaultSoakOfLongWritesInCrowd(t *testing.T) {
	for _, seed := range []uint64{64, 104} {
		playSoak(t, seed)
	}
}

// playSoak plays a seed's plan and checks what came of it.
func playSoak(t *testing.T, seed uint64) {
	t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
		run := &soakRun{soakPlan: drawSoakPlan(seed), stop: make(chan struct{})}
		run.play()
		defer run.fleet.stop()
		if peak := run.peakMemoryMB(); peak > run.memoryMB {
			t.Errorf("%d MB of %d", peak, run.memoryMB)
		}
		run.check(t)
	})
}

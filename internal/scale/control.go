package scale

import (
	"fmt"
	"math"
	"strconv"
)

// What the arithmetic of control messages assumes.
const (
	purgeBytes   = 64.0   // of one purge: a key of 40 bytes, a version, lengths and a checksum
	changeBytes  = 2048.0 // of one change of configuration
	requestBytes = 120.0  // of a poll's request line and headers
	answerBytes  = 150.0  // of the head of a poll's answer
	frameBytes   = 24.0   // of the head of a batch: sender, first and last version, age, checksum
	segmentHead  = 52.0   // TCP with time stamps, and IP, in each segment and each acknowledgement
	segmentBody  = 1448.0 // bytes that a segment carries
	oneWay       = 0.1    // seconds between regions
	pollEvery    = 1.0    // seconds
	batchEvery   = 0.25   // seconds between two batches
	gossipEvery  = 0.25   // seconds between two rounds
	gossipFanOut = 3.0    // peers told in each round
	digestBytes  = 12.0   // of one item of a digest: a version and a hash
	treeRelays   = 18.0   // and one publisher: the machines set aside for control
	changeRate   = TargetConfigChangesPerDay / float64(secondsPerDay)
	newsBytes    = TargetPurgeRate*purgeBytes + changeRate*changeBytes // a second
)

// Strategy is one way to carry settings and purges to all balancers.
type Strategy struct {
	Name                   string  `json:"name"`
	BalancerMessages       float64 `json:"balancer_messages"` // a second, both ways, acknowledgements left out
	BalancerBytes          float64 `json:"balancer_bytes"`    // a second, both ways, all headers and acknowledgements counted
	BusiestMachineMessages float64 `json:"busiest_messages"`  // a second, at the control machine that has most
	BusiestMachineBytes    float64 `json:"busiest_bytes"`
	PropagationSeconds     float64 `json:"seconds"` // until a purge is everywhere, without a fault
}

// fits tells whether a way keeps to what a balancer may spend and to the time a purge may take.
func (w Strategy) fits() bool {
	return w.BalancerBytes <= TargetControlBytes && w.PropagationSeconds <= TargetPurgeTime
}

// ControlResult compares the ways to carry settings and purges, by arithmetic alone.
type ControlResult struct {
	Strategies []Strategy `json:"ways"`
}

// CompareControl reckons what each way costs at so many balancers.
func CompareControl(balancers int) *ControlResult {
	n := float64(balancers)
	return &ControlResult{Strategies: []Strategy{poll(n), pushEach(n), pushBatches(n), tree(n), gossipWhole(n), gossipDigests(n)}}
}

// wireBytes is what a message costs on the wire: its segments, and an acknowledgement for every second one, one at the least.
func wireBytes(body float64) float64 {
	segments := math.Ceil(body / segmentBody)
	return body + segmentHead*(segments+math.Ceil(segments/2))
}

// poll has each balancer ask one of the control machines in turn, on a connection that is kept.
func poll(n float64) Strategy {
	asked := 1 / pollEvery
	bytes := asked * (wireBytes(requestBytes) + wireBytes(answerBytes+newsBytes*pollEvery))
	part := n / TargetControlMachines
	return Strategy{"each balancer asks, once a second", 2 * asked, bytes, 2 * asked * part, bytes * part, pollEvery + 3*oneWay}
}

// pushEach sends each change in a message of its own; each machine has its part of the balancers.
func pushEach(n float64) Strategy {
	messages := TargetPurgeRate + changeRate
	bytes := TargetPurgeRate*wireBytes(frameBytes+purgeBytes) + changeRate*wireBytes(frameBytes+changeBytes)
	part := n/TargetControlMachines + TargetControlMachines - 1 // each hands what reaches it first to the others
	return Strategy{"19 machines push, each change by itself", messages, bytes, messages * part, bytes * part, 2 * oneWay}
}

// batches is what one receiver of batches costs.
func batches() (messages, bytes float64) {
	messages = 1 / batchEvery
	return messages, messages * wireBytes(frameBytes+newsBytes*batchEvery)
}

func pushBatches(n float64) Strategy {
	messages, bytes := batches()
	part := n/TargetControlMachines + TargetControlMachines - 1
	return Strategy{"19 machines push, in batches of 250 ms", messages, bytes, messages * part, bytes * part, 2 * (batchEvery + oneWay)}
}

// tree has one publisher send batches to relays, and each relay to its part of the balancers.
func tree(n float64) Strategy {
	messages, bytes := batches()
	children := math.Max(treeRelays, math.Ceil(n/treeRelays)+1) // and its own parent
	return Strategy{"tree: 1 publisher, 18 relays, batches of 250 ms", messages, bytes, messages * children, bytes * children,
		2 * (batchEvery + oneWay)}
}

// gossipRounds is how many rounds it takes until all are expected to know, where those who know tell others in each round.
func gossipRounds(n float64) float64 {
	return math.Ceil(math.Log(n)/math.Log(1+gossipFanOut) + math.Log(n)/gossipFanOut)
}

// gossipWhole has each balancer pass each change on to three others once.
func gossipWhole(n float64) Strategy {
	peers := 2 * gossipFanOut // told, and heard from
	messages := peers / gossipEvery
	bytes := messages * wireBytes(frameBytes+newsBytes*gossipEvery)
	return Strategy{"gossip to 3, changes as they are", messages, bytes, messages, bytes, gossipRounds(n) * (gossipEvery + oneWay)}
}

// gossipDigests has balancers tell others which versions they have; what is missing is asked for and sent once.
func gossipDigests(n float64) Strategy {
	peers := 2 * gossipFanOut
	changes := TargetPurgeRate + changeRate
	digests := peers / gossipEvery
	bytes := digests*wireBytes(frameBytes+changes*gossipEvery*digestBytes) + 2*changes*wireBytes(frameBytes+digestBytes) +
		2/gossipEvery*wireBytes(frameBytes+newsBytes*gossipEvery)
	return Strategy{"gossip to 3, digests first", digests + 2*changes + 2/gossipEvery, bytes, digests + 2*changes, bytes,
		gossipRounds(n) * (gossipEvery + 3*oneWay)}
}

// Tables implements Result.
func (r *ControlResult) Tables() []Table {
	table := Table{Title: fmt.Sprintf("Ways to carry %v purges a second and %v changes a day to all balancers, reckoned", TargetPurgeRate, TargetConfigChangesPerDay),
		Columns: []string{"way", "messages/s a balancer", "bytes/s a balancer", "of 3 KB/s", "messages/s, busiest machine", "KB/s, busiest machine",
			"s to all", "fits"},
		Notes: []string{
			fmt.Sprintf("A purge has %v bytes and a change %v; %v bytes of headers a segment and acknowledgement; %v ms between regions.",
				purgeBytes, changeBytes, segmentHead, oneWay*1000),
			"Fits: at most 3 KB a second at a balancer, and a purge everywhere within 2.2 s, both without faults or repeats."}}
	for _, w := range r.Strategies {
		table.Rows = append(table.Rows, []string{w.Name, fmt.Sprintf("%.1f", w.BalancerMessages), fmt.Sprintf("%.0f", w.BalancerBytes),
			fmt.Sprintf("%.0f%%", 100*w.BalancerBytes/TargetControlBytes), fmt.Sprintf("%.0f", w.BusiestMachineMessages),
			fmt.Sprintf("%.1f", w.BusiestMachineBytes/1000), fmt.Sprintf("%.2f", w.PropagationSeconds), strconv.FormatBool(w.fits())})
	}
	return []Table{table}
}

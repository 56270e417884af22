package scale

import (
	"fmt"
	"math"
	"strconv"
)

// Assumptions of the estimate. Sizes are in bytes, times in seconds.
const (
	purgeBytes            = 64.0   // one purge: a key of 40 bytes, a version, lengths and a checksum
	configChangeBytes     = 2048.0 // one configuration change
	pollRequestBytes      = 120.0  // request line and headers of a poll
	pollResponseHeadBytes = 150.0  // status line and headers of a poll's response
	batchHeaderBytes      = 24.0   // batch header: sender, first and last version, age, checksum
	segmentOverheadBytes  = 52.0   // TCP and IP headers, TCP time stamps included, of each segment and acknowledgement
	segmentPayloadBytes   = 1448.0
	oneWayLatency         = 0.1 // between regions
	pollInterval          = 1.0
	batchInterval         = 0.25 // between two batches
	gossipInterval        = 0.25 // between two gossip rounds
	gossipFanOut          = 3.0  // peers notified per round
	digestEntryBytes      = 12.0 // one digest entry: a version and a hash
	treeRelays            = 18.0 // with the publisher, these use all TargetControlMachines
	configChangeRate      = TargetConfigChangesPerDay / float64(secondsPerDay)
	updateBytesPerSecond  = TargetPurgeRate*purgeBytes + configChangeRate*configChangeBytes
)

// Strategy is the estimated cost of one way to distribute settings and purges to all balancers. Rates are per second and
// cover both directions.
type Strategy struct {
	Name                   string  `json:"name"`
	BalancerMessages       float64 `json:"balancer_messages"` // acknowledgements excluded
	BalancerBytes          float64 `json:"balancer_bytes"`    // headers and acknowledgements included
	BusiestMachineMessages float64 `json:"busiest_messages"`  // at the most loaded control machine
	BusiestMachineBytes    float64 `json:"busiest_bytes"`
	PropagationSeconds     float64 `json:"seconds"` // until a purge has reached every balancer, without failures
}

// meetsTargets reports whether the strategy stays within TargetControlBytes per balancer and TargetPurgeTime.
func (s Strategy) meetsTargets() bool {
	return s.BalancerBytes <= TargetControlBytes && s.PropagationSeconds <= TargetPurgeTime
}

// ControlResult compares strategies for distributing settings and purges by calculation; nothing is measured.
type ControlResult struct {
	Strategies []Strategy `json:"ways"`
}

// CompareControl estimates the cost of each strategy for a fleet with the given number of balancers.
func CompareControl(balancers int) *ControlResult {
	n := float64(balancers)
	return &ControlResult{Strategies: []Strategy{poll(n), pushIndividually(n), pushBatches(n), relayTree(n), gossipUpdates(n),
		gossipDigests(n)}}
}

// wireBytes returns the bytes that a message with the given body size takes on the wire: its segments, and one acknowledgement
// for every two of them, rounded up.
func wireBytes(body float64) float64 {
	segments := math.Ceil(body / segmentPayloadBytes)
	return body + segmentOverheadBytes*(segments+math.Ceil(segments/2))
}

// poll estimates a strategy in which each balancer polls one of the control machines over a persistent connection.
func poll(n float64) Strategy {
	pollRate := 1 / pollInterval
	bytes := pollRate * (wireBytes(pollRequestBytes) + wireBytes(pollResponseHeadBytes+updateBytesPerSecond*pollInterval))
	balancersPerMachine := n / TargetControlMachines
	return Strategy{"each balancer asks, once a second", 2 * pollRate, bytes, 2 * pollRate * balancersPerMachine,
		bytes * balancersPerMachine, pollInterval + 3*oneWayLatency}
}

// pushIndividually estimates a strategy in which the control machines share the balancers and push each change in its own
// message.
func pushIndividually(n float64) Strategy {
	messages := TargetPurgeRate + configChangeRate
	bytes := TargetPurgeRate*wireBytes(batchHeaderBytes+purgeBytes) + configChangeRate*wireBytes(batchHeaderBytes+configChangeBytes)
	receivers := n/TargetControlMachines + TargetControlMachines - 1 // each machine also forwards its changes to the other machines
	return Strategy{"19 machines push, each change by itself", messages, bytes, messages * receivers, bytes * receivers,
		2 * oneWayLatency}
}

// batchCost returns the messages and bytes per second that a receiver of batches costs.
func batchCost() (messages, bytes float64) {
	messages = 1 / batchInterval
	return messages, messages * wireBytes(batchHeaderBytes+updateBytesPerSecond*batchInterval)
}

// pushBatches estimates a strategy in which the control machines share the balancers and push changes in batches.
func pushBatches(n float64) Strategy {
	messages, bytes := batchCost()
	receivers := n/TargetControlMachines + TargetControlMachines - 1
	return Strategy{"19 machines push, in batches of 250 ms", messages, bytes, messages * receivers, bytes * receivers,
		2 * (batchInterval + oneWayLatency)}
}

// relayTree estimates a strategy in which one publisher sends batches to relays, and each relay to its share of the balancers.
func relayTree(n float64) Strategy {
	messages, bytes := batchCost()
	// The publisher serves all relays; a relay serves its share of the balancers and receives from the publisher.
	children := math.Max(treeRelays, math.Ceil(n/treeRelays)+1)
	return Strategy{"tree: 1 publisher, 18 relays, batches of 250 ms", messages, bytes, messages * children, bytes * children,
		2 * (batchInterval + oneWayLatency)}
}

// gossipRounds returns the expected number of rounds until all n balancers are informed, when every informed balancer tells
// gossipFanOut others in each round.
func gossipRounds(n float64) float64 {
	return math.Ceil(math.Log(n)/math.Log(1+gossipFanOut) + math.Log(n)/gossipFanOut)
}

// gossipUpdates estimates a strategy in which each balancer forwards each change once, to gossipFanOut others.
func gossipUpdates(n float64) Strategy {
	peers := 2 * gossipFanOut // peers sent to and received from
	messages := peers / gossipInterval
	bytes := messages * wireBytes(batchHeaderBytes+updateBytesPerSecond*gossipInterval)
	return Strategy{"gossip to 3, changes as they are", messages, bytes, messages, bytes,
		gossipRounds(n) * (gossipInterval + oneWayLatency)}
}

// gossipDigests estimates a strategy in which balancers exchange digests of versions, and request only the changes they lack.
func gossipDigests(n float64) Strategy {
	peers := 2 * gossipFanOut
	updateRate := TargetPurgeRate + configChangeRate
	digestRate := peers / gossipInterval
	bytes := digestRate*wireBytes(batchHeaderBytes+updateRate*gossipInterval*digestEntryBytes) +
		2*updateRate*wireBytes(batchHeaderBytes+digestEntryBytes) +
		2/gossipInterval*wireBytes(batchHeaderBytes+updateBytesPerSecond*gossipInterval)
	return Strategy{"gossip to 3, digests first", digestRate + 2*updateRate + 2/gossipInterval, bytes,
		digestRate + 2*updateRate, bytes, gossipRounds(n) * (gossipInterval + 3*oneWayLatency)}
}

// Tables implements Result.
func (r *ControlResult) Tables() []Table {
	table := Table{
		Title: fmt.Sprintf("Strategies to distribute %v purges/s and %v configuration changes/day, estimated",
			TargetPurgeRate, TargetConfigChangesPerDay),
		Columns: []string{"way", "messages/s a balancer", "bytes/s a balancer", "of 3 KB/s", "messages/s, busiest machine",
			"KB/s, busiest machine", "s to all", "fits"},
		Notes: []string{
			fmt.Sprintf("A purge has %v bytes, a change %v; headers per segment and acknowledgement: %v bytes; %v ms between regions.",
				purgeBytes, configChangeBytes, segmentOverheadBytes, oneWayLatency*1000),
			"Fits: at most 3 KB/s per balancer, and purges everywhere within 2.2 s, without failures or retransmissions."}}
	for _, s := range r.Strategies {
		table.Rows = append(table.Rows, []string{s.Name, fmt.Sprintf("%.1f", s.BalancerMessages), fmt.Sprintf("%.0f", s.BalancerBytes),
			fmt.Sprintf("%.0f%%", 100*s.BalancerBytes/TargetControlBytes), fmt.Sprintf("%.0f", s.BusiestMachineMessages),
			fmt.Sprintf("%.1f", s.BusiestMachineBytes/1000), fmt.Sprintf("%.2f", s.PropagationSeconds),
			strconv.FormatBool(s.meetsTargets())})
	}
	return []Table{table}
}

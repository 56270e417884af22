package scale

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"larchthread/internal/standin"
)

const (
	connectionSocketLimit  = 4096
	warmUpClients          = 64
	warmUpKeysPerHost      = 40 // average number of keys read per host; enough for every host to receive some
	inFlightClients        = 400
	readsPerInFlightClient = 20                    // spread over about one second at hostResponseTime each
	hostResponseTime       = 50 * time.Millisecond // delay of each response of a simulated host
	largeClients           = 8
	readsPerLargeClient    = 50
	connectionCloseWait    = 100 * time.Millisecond // lets the balancer close the connections of clients that have disconnected
	clientTimeout          = 20 * time.Second
	smallValue             = "value"
	largeKeyPrefix         = "large"
)

// ConnectionsConfig configures MeasureConnections.
type ConnectionsConfig struct {
	Hosts   int
	Program string   // path of the balancer's executable
	Env     []string // additional environment of the balancer
}

// ConnectionsResult holds the measured cost of one balancer's connections and the values derived from it for a fleet of
// the target size. Memory is in bytes.
type ConnectionsResult struct {
	Hosts                  int     `json:"hosts"`
	IdleConnections        int     `json:"resting"`        // idle connections to hosts
	IdleConnectionBytes    float64 `json:"resting_memory"` // resident memory per idle connection
	InFlightDescriptors    int     `json:"used"`           // additional descriptors with one request in flight per client
	InFlightRequests       int     `json:"used_clients"`
	InFlightRequestBytes   float64 `json:"used_memory"` // resident memory per request in flight
	InitialMemory          float64 `json:"start_memory"`
	LargeAnswers           int     `json:"large_answers"` // responses of TargetAnswerBytes
	LargeFailed            int     `json:"large_failed"`  // reads of such values that were answered without a value
	LargeCPU               float64 `json:"large_cpu_ms"`  // processor time per large response, in milliseconds
	PeakMemory             float64 `json:"large_peak"`    // highest resident memory of the process
	HostConnections        int     `json:"host_connections"`
	FleetConnections       int     `json:"fleet_connections"`
	FirstSecondHandshakes  float64 `json:"return_first"` // handshakes at a host in the first second after its return
	ReconnectSeconds       float64 `json:"return_all"`   // time until 99% of the balancers have reconnected to that host
	CoresAtTarget          float64 `json:"core_at_target"`
	BandwidthGbit          float64 `json:"bandwidth_gbit"`
	RequestsPerSecond      float64 `json:"requests_per_second"`
	HandshakesPerZone      float64 `json:"handshakes_per_zone"`
	PushesPerHostPerSecond float64 `json:"pushes_each_per_second"` // from one balancer to one host
}

// MeasureConnections starts one balancer process with simulated hosts and measures its descriptors, memory and processor
// time. It returns an error if the process cannot be started or read, or if a client's connection fails.
func MeasureConnections(config ConnectionsConfig) (*ConnectionsResult, error) {
	fleet := &standin.ScriptedFleet{WatchAnswers: make(chan string, 1)}
	defer fleet.Close()
	large := strings.Repeat("x", TargetAnswerBytes)
	for host := range config.Hosts {
		fleet.AddHost(hostName(host), func(words []string) string { return hostResponse(words[1], large) })
	}
	startFile := startFileJSON{Name: "connections", Discovery: fleet.ServeDiscovery("discovery"), Seed: "1",
		Settings: balancerSettings(1, false),
		Limits:   limitsFileJSON{Cores: 1, MemoryMB: hollowMemoryMB, Sockets: connectionSocketLimit},
		Known:    json.RawMessage(standin.HostListJSON(1, true, fleet.Members...))}
	p, err := startProcess(config.Program, config.Env, startFile)
	if err != nil {
		return nil, err
	}
	defer p.stop()
	result := &ConnectionsResult{Hosts: config.Hosts, InFlightRequests: inFlightClients}
	for _, step := range []func(*balancerProcess) error{result.measureIdleConnections, result.measureRequestsInFlight,
		result.measureLargeAnswers} {
		if err := step(p); err != nil {
			return nil, err
		}
	}
	result.extrapolate()
	return result, nil
}

// hostResponse returns a simulated host's response to a read of key, after hostResponseTime. The value is large for keys
// with largeKeyPrefix.
func hostResponse(key, large string) string {
	value := smallValue
	if strings.HasPrefix(key, largeKeyPrefix) {
		value = large
	}
	time.Sleep(hostResponseTime)
	return fmt.Sprintf("VA %d O{id}\r\n%s\r\n", len(value), value)
}

// measureIdleConnections has the balancer open connections to the hosts, and measures the descriptors and memory that they
// take once they are idle.
func (r *ConnectionsResult) measureIdleConnections(p *balancerProcess) (err error) {
	if r.InitialMemory, err = p.statusBytes("VmRSS"); err != nil {
		return err
	}
	before, err := p.countDescriptors()
	if err != nil {
		return err
	}
	if _, err := readConcurrently(p.listen, "small", warmUpClients, warmUpKeysPerHost*r.Hosts/warmUpClients+1); err != nil {
		return err
	}
	time.Sleep(connectionCloseWait)
	after, err := p.countDescriptors()
	if err != nil {
		return err
	}
	memory, err := p.statusBytes("VmRSS")
	r.IdleConnections = after - before
	r.IdleConnectionBytes = (memory - r.InitialMemory) / math.Max(float64(r.IdleConnections), 1)
	return err
}

// measureRequestsInFlight measures descriptors and memory while inFlightClients requests are in flight.
func (r *ConnectionsResult) measureRequestsInFlight(p *balancerProcess) error {
	before, err := p.countDescriptors()
	if err != nil {
		return err
	}
	memory, err := p.statusBytes("VmRSS")
	if err != nil {
		return err
	}
	done := make(chan error, 1)
	go func() {
		_, err := readConcurrently(p.listen, "used", inFlightClients, readsPerInFlightClient)
		done <- err
	}()
	time.Sleep(readsPerInFlightClient * hostResponseTime / 2)
	during, err := p.countDescriptors()
	if err != nil {
		return err
	}
	peak, err := p.statusBytes("VmRSS")
	if err != nil {
		return err
	}
	r.InFlightDescriptors = during - before
	r.InFlightRequestBytes = (peak - memory) / inFlightClients
	return <-done
}

// measureLargeAnswers reads responses of TargetAnswerBytes through the balancer and measures the processor time per response.
func (r *ConnectionsResult) measureLargeAnswers(p *balancerProcess) error {
	before, err := p.cpuTime()
	if err != nil {
		return err
	}
	if r.LargeAnswers, err = readConcurrently(p.listen, largeKeyPrefix, largeClients, readsPerLargeClient); err != nil {
		return err
	}
	r.LargeFailed = largeClients*readsPerLargeClient - r.LargeAnswers
	after, err := p.cpuTime()
	if err != nil {
		return err
	}
	r.LargeCPU = milliseconds(after-before) / math.Max(float64(r.LargeAnswers), 1)
	r.PeakMemory, err = p.statusBytes("VmHWM")
	return err
}

// extrapolate derives the values for a fleet of the target size from the measured ones.
func (r *ConnectionsResult) extrapolate() {
	r.RequestsPerSecond = TargetRequestRate / TargetBalancers
	r.BandwidthGbit = r.RequestsPerSecond * TargetAnswerBytes * 8 / 1e9
	r.CoresAtTarget = r.RequestsPerSecond * r.LargeCPU / 1000
	r.HostConnections = TargetBalancers
	r.FleetConnections = TargetBalancers * TargetHosts
	r.PushesPerHostPerSecond = r.RequestsPerSecond / TargetHosts
	// A returning host gets only coldCapacity of its usual push rate, and the first push of each balancer opens a connection.
	firstPushRate := r.PushesPerHostPerSecond * coldCapacity
	r.FirstSecondHandshakes = TargetBalancers * (1 - math.Exp(-firstPushRate))
	r.ReconnectSeconds = math.Log(100) / firstPushRate
	r.HandshakesPerZone = TargetBalancers * zoneHosts
}

// readConcurrently reads keys with the given number of clients at once, reads keys each, and returns how many reads
// returned a value. The error joins the errors of all clients.
func readConcurrently(address, prefix string, clients, reads int) (int, error) {
	var readers sync.WaitGroup
	errs, served := make([]error, clients), make([]int, clients)
	for i := range clients {
		readers.Go(func() { served[i], errs[i] = readKeys(address, fmt.Sprint(prefix, i, "-"), reads) })
	}
	readers.Wait()
	total := 0
	for _, n := range served {
		total += n
	}
	return total, errors.Join(errs...)
}

// readKeys reads n keys, one after the other, over one connection and returns how many reads returned a value.
func readKeys(address, prefix string, n int) (served int, err error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(clientTimeout)); err != nil {
		return 0, err
	}
	reader := bufio.NewReader(conn)
	for i := range n {
		if _, err := fmt.Fprintf(conn, "mg %s%d v O%s%d Pc=%s,d=590\r\n", prefix, i, prefix, i, category); err != nil {
			return served, err
		}
		isValue, err := readResponse(reader)
		if err != nil {
			return served, err
		}
		if isValue {
			served++
		}
	}
	return served, nil
}

// readResponse reads one response and reports whether it carried a value.
func readResponse(r *bufio.Reader) (bool, error) {
	line, err := r.ReadString('\n')
	if err != nil {
		return false, err
	}
	fields := strings.Fields(line)
	if len(fields) < 2 || fields[0] != "VA" {
		return false, nil
	}
	length, err := strconv.Atoi(fields[1])
	if err != nil {
		return false, err
	}
	_, err = io.CopyN(io.Discard, r, int64(length+len("\r\n")))
	return err == nil, err
}

// Tables implements Result.
func (r *ConnectionsResult) Tables() []Table {
	kilobytes := func(bytes float64) string { return fmt.Sprintf("%.1f KB", bytes/1000) }
	measured := Table{Title: "Connections of one balancer process, measured", Columns: []string{"what", "figure"}, Rows: [][]string{
		{"cache hosts", strconv.Itoa(r.Hosts)},
		{"resident memory at the start", kilobytes(r.InitialMemory)},
		{"resting connections to hosts, a descriptor each", strconv.Itoa(r.IdleConnections)},
		{"resident memory of each, answers of some bytes read on them included", kilobytes(r.IdleConnectionBytes)},
		{fmt.Sprintf("descriptors for %d requests in flight, beyond those", r.InFlightRequests), strconv.Itoa(r.InFlightDescriptors)},
		{"resident memory for each request in flight", kilobytes(r.InFlightRequestBytes)},
		{"answers of 385 KB read, and not served", fmt.Sprintf("%d, %d", r.LargeAnswers, r.LargeFailed)},
		{"processor time of one", fmt.Sprintf("%.3f ms", r.LargeCPU)},
		{"greatest resident memory of the process", kilobytes(r.PeakMemory)},
	}}
	derived := Table{Title: "Extrapolated to the target size of the fleet", Columns: []string{"what", "figure"}, Rows: [][]string{
		{"requests a second at a balancer", fmt.Sprintf("%.0f", r.RequestsPerSecond)},
		{"answers at a balancer", fmt.Sprintf("%.2f Gbit/s", r.BandwidthGbit)},
		{"core of a balancer for that", fmt.Sprintf("%.2f", r.CoresAtTarget)},
		{"pushes a second from one balancer to one host", fmt.Sprintf("%.1f", r.PushesPerHostPerSecond)},
		{"resting connections at a host", strconv.Itoa(r.HostConnections)},
		{"resting connections of the fleet", strconv.Itoa(r.FleetConnections)},
		{"handshakes at a host in the first second after its return", fmt.Sprintf("%.0f", r.FirstSecondHandshakes)},
		{"seconds until 99 in 100 balancers have a connection to it", fmt.Sprintf("%.1f", r.ReconnectSeconds)},
		{fmt.Sprintf("handshakes after a zone's return, %d hosts", zoneHosts), fmt.Sprintf("%.0f", r.HandshakesPerZone)},
	}}
	return []Table{measured, derived}
}

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
	connectionSockets = 4096
	reachClients      = 64
	reachKeys         = 40 // keys asked for, for each host: each host has some of them
	usedClients       = 400
	usedReads         = 20                    // of each of these clients: a second
	hostAnswers       = 50 * time.Millisecond // until a host answers
	largeClients      = 8
	largeReads        = 50                     // of each of these clients
	clientsClose      = 100 * time.Millisecond // until the connections of clients that have left are closed
	clientLimit       = 20 * time.Second
	smallValue        = "value"
	largePrefix       = "large"
)

// ConnectionsConfig is what is measured of connections.
type ConnectionsConfig struct {
	Hosts   int
	Program string // the balancer
	Env     []string
}

// ConnectionsResult is what connections cost one real balancer, and what follows for the fleet.
type ConnectionsResult struct {
	Hosts                  int     `json:"hosts"`
	IdleConnections        int     `json:"resting"`        // connections to hosts that carry nothing
	IdleConnectionBytes    float64 `json:"resting_memory"` // resident bytes of the process, each
	InFlightDescriptors    int     `json:"used"`           // descriptors beyond that, with a request in flight for each of its clients
	InFlightRequests       int     `json:"used_clients"`
	InFlightRequestBytes   float64 `json:"used_memory"` // resident bytes for each request in flight
	InitialMemory          float64 `json:"start_memory"`
	LargeAnswers           int     `json:"large_answers"`
	LargeFailed            int     `json:"large_failed"`
	LargeCPU               float64 `json:"large_cpu_ms"` // processor time of an answer of 385 KB
	PeakMemory             float64 `json:"large_peak"`   // most resident bytes of the process until then
	HostConnections        int     `json:"host_connections"`
	FleetConnections       int     `json:"fleet_connections"`
	FirstSecondHandshakes  float64 `json:"return_first"` // handshakes at a host in the first second after its return
	ReconnectSeconds       float64 `json:"return_all"`   // seconds until 99 in 100 balancers have one
	CoresAtTarget          float64 `json:"core_at_target"`
	BandwidthGbit          float64 `json:"bandwidth_gbit"`
	RequestsPerSecond      float64 `json:"requests_per_second"`
	HandshakesPerZone      float64 `json:"handshakes_per_zone"`
	PushesPerHostPerSecond float64 `json:"pushes_each_per_second"` // from one balancer to one host
}

// MeasureConnections starts one real balancer before simulated hosts, and counts its descriptors, memory and processor time.
func MeasureConnections(config ConnectionsConfig) (*ConnectionsResult, error) {
	fleet := &standin.ScriptedFleet{WatchAnswers: make(chan string, 1)}
	defer fleet.Close()
	large := strings.Repeat("x", TargetAnswerBytes)
	for host := range config.Hosts {
		fleet.AddHost(hostName(host), func(words []string) string { return cannedAnswer(words[1], large) })
	}
	form := startForm{Name: "connections", Discovery: fleet.ServeDiscovery("discovery"), Seed: "1", Settings: settings(1, false),
		Limits: processLimits{Cores: 1, MemoryMB: hollowMemoryMB, Sockets: connectionSockets},
		Known:  json.RawMessage(standin.HostListJSON(1, true, fleet.Members...))}
	p, err := startProcess(config.Program, config.Env, form)
	if err != nil {
		return nil, err
	}
	defer p.stop()
	result := &ConnectionsResult{Hosts: config.Hosts, InFlightRequests: usedClients}
	for _, step := range []func(*process) error{result.resting, result.used, result.largeAnswers} {
		if err := step(p); err != nil {
			return nil, err
		}
	}
	result.reckon()
	return result, nil
}

// cannedAnswer is what a simulated host answers for a key.
func cannedAnswer(key, large string) string {
	value := smallValue
	if strings.HasPrefix(key, largePrefix) {
		value = large
	}
	time.Sleep(hostAnswers)
	return fmt.Sprintf("VA %d O{id}\r\n%s\r\n", len(value), value)
}

// resting opens a connection to each host, and lets all rest.
func (r *ConnectionsResult) resting(p *process) (err error) {
	if r.InitialMemory, err = p.memory("VmRSS"); err != nil {
		return err
	}
	before, err := p.descriptors()
	if err != nil {
		return err
	}
	if _, err := readAtOnce(p.listen, "small", reachClients, reachKeys*r.Hosts/reachClients+1); err != nil {
		return err
	}
	time.Sleep(clientsClose)
	after, err := p.descriptors()
	if err != nil {
		return err
	}
	memory, err := p.memory("VmRSS")
	r.IdleConnections = after - before
	r.IdleConnectionBytes = (memory - r.InitialMemory) / math.Max(float64(r.IdleConnections), 1)
	return err
}

// used has many requests in flight at once.
func (r *ConnectionsResult) used(p *process) error {
	before, err := p.descriptors()
	if err != nil {
		return err
	}
	memory, err := p.memory("VmRSS")
	if err != nil {
		return err
	}
	ended := make(chan error, 1)
	go func() {
		_, err := readAtOnce(p.listen, "used", usedClients, usedReads)
		ended <- err
	}()
	time.Sleep(usedReads * hostAnswers / 2)
	during, err := p.descriptors()
	if err != nil {
		return err
	}
	peak, err := p.memory("VmRSS")
	if err != nil {
		return err
	}
	r.InFlightDescriptors = during - before
	r.InFlightRequestBytes = (peak - memory) / usedClients
	return <-ended
}

// largeAnswers reads answers of the mean size through the balancer.
func (r *ConnectionsResult) largeAnswers(p *process) error {
	before, err := p.processorTime()
	if err != nil {
		return err
	}
	if r.LargeAnswers, err = readAtOnce(p.listen, largePrefix, largeClients, largeReads); err != nil {
		return err
	}
	r.LargeFailed = largeClients*largeReads - r.LargeAnswers
	after, err := p.processorTime()
	if err != nil {
		return err
	}
	r.LargeCPU = milliseconds(after-before) / math.Max(float64(r.LargeAnswers), 1)
	r.PeakMemory, err = p.memory("VmHWM")
	return err
}

// reckon derives what follows at the size that the fleet is designed for.
func (r *ConnectionsResult) reckon() {
	r.RequestsPerSecond = TargetRequestRate / TargetBalancers
	r.BandwidthGbit = r.RequestsPerSecond * TargetAnswerBytes * 8 / 1e9
	r.CoresAtTarget = r.RequestsPerSecond * r.LargeCPU / 1000
	r.HostConnections = TargetBalancers
	r.FleetConnections = TargetBalancers * TargetHosts
	r.PushesPerHostPerSecond = r.RequestsPerSecond / TargetHosts
	// A host that is back stands on the cycle with a part of its points, so each balancer sends it that part of the usual
	// rate; the first push of each opens a connection.
	first := r.PushesPerHostPerSecond * coldShare
	r.FirstSecondHandshakes = TargetBalancers * (1 - math.Exp(-first))
	r.ReconnectSeconds = math.Log(100) / first
	r.HandshakesPerZone = TargetBalancers * zoneHosts
}

// readAtOnce has so many clients read so many keys each, and returns how many reads were served.
func readAtOnce(address, prefix string, clients, reads int) (int, error) {
	var all sync.WaitGroup
	errs, served := make([]error, clients), make([]int, clients)
	for i := range clients {
		all.Go(func() { served[i], errs[i] = readKeys(address, fmt.Sprint(prefix, i, "-"), reads) })
	}
	all.Wait()
	sum := 0
	for _, n := range served {
		sum += n
	}
	return sum, errors.Join(errs...)
}

// readKeys reads so many keys one after the other on one connection, and returns how many were served.
func readKeys(address, prefix string, n int) (served int, err error) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(clientLimit)); err != nil {
		return 0, err
	}
	reader := bufio.NewReader(c)
	for i := range n {
		if _, err := fmt.Fprintf(c, "mg %s%d v O%s%d Pc=%s,d=590\r\n", prefix, i, prefix, i, category); err != nil {
			return served, err
		}
		ok, err := readAnswer(reader)
		if err != nil {
			return served, err
		}
		if ok {
			served++
		}
	}
	return served, nil
}

// readAnswer reads one answer, and tells whether it was a value.
func readAnswer(r *bufio.Reader) (bool, error) {
	line, err := r.ReadString('\n')
	if err != nil {
		return false, err
	}
	words := strings.Fields(line)
	if len(words) < 2 || words[0] != "VA" {
		return false, nil
	}
	length, err := strconv.Atoi(words[1])
	if err != nil {
		return false, err
	}
	_, err = io.CopyN(io.Discard, r, int64(length+len("\r\n")))
	return err == nil, err
}

// Tables implements Result.
func (r *ConnectionsResult) Tables() []Table {
	kilobytes := func(bytes float64) string { return fmt.Sprintf("%.1f KB", bytes/1000) }
	measured := Table{Title: "Connections of one real balancer, measured", Columns: []string{"what", "figure"}, Rows: [][]string{
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
	reckoned := Table{Title: "What follows at the designed size, reckoned", Columns: []string{"what", "figure"}, Rows: [][]string{
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
	return []Table{measured, reckoned}
}

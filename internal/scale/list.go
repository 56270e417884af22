package scale

import (
	"encoding/json"
	"fmt"
	"net/http"
	"runtime"
	"strconv"

	"larchthread/balance"
	"larchthread/internal/protocol"
	"larchthread/internal/transport"
)

const (
	fullListRepeats = 20  // full lists read per measurement
	changeRepeats   = 400 // changes applied per measurement
	heapReaders     = 8   // readers held in memory per heap measurement
)

// ListRow is the cost of a host list of one length.
type ListRow struct {
	Hosts       int     `json:"hosts"`
	WholeMS     float64 `json:"whole_ms"`  // processor time to read and apply a full list
	ChangeMS    float64 `json:"change_ms"` // processor time to read and apply one change
	HeapBytes   float64 `json:"heap_bytes"`
	WholeBytes  int     `json:"whole_bytes"`
	ChangeBytes int     `json:"change_bytes"`
}

// ListResult is the cost of host lists by their length.
type ListResult struct {
	Rows  []ListRow `json:"rows"`
	Lines []Line    `json:"lines"`
}

// MeasureList measures, for each list length in hosts, the cost of parsing discovery's responses and applying them to the
// balancer module.
func MeasureList(hosts []int) (*ListResult, error) {
	result := &ListResult{}
	for _, n := range hosts {
		row, err := measureList(n)
		if err != nil {
			return nil, err
		}
		result.Rows = append(result.Rows, row)
	}
	result.fit()
	return result, nil
}

// fit fits a line over the number of hosts to each measured value.
func (r *ListResult) fit() {
	for _, measure := range []struct {
		name  string
		value func(ListRow) float64
	}{
		{"whole list, ms", func(row ListRow) float64 { return row.WholeMS }},
		{"one change, ms", func(row ListRow) float64 { return row.ChangeMS }},
		{"heap, bytes", func(row ListRow) float64 { return row.HeapBytes }},
		{"whole list, bytes", func(row ListRow) float64 { return float64(row.WholeBytes) }},
	} {
		var points []Point
		for _, row := range r.Rows {
			points = append(points, Point{float64(row.Hosts), measure.value(row)})
		}
		r.Lines = append(r.Lines, FitLine(measure.name, points))
	}
}

// Tables implements Result.
func (r *ListResult) Tables() []Table {
	table := Table{Title: "Host list of one balancer: processor time, heap and bytes by the number of hosts",
		Columns: []string{"hosts", "whole list, ms", "one change, ms", "heap, KB", "whole list, bytes", "one change, bytes"}}
	for _, row := range r.Rows {
		table.Rows = append(table.Rows, []string{strconv.Itoa(row.Hosts), fmt.Sprintf("%.2f", row.WholeMS),
			fmt.Sprintf("%.3f", row.ChangeMS), fmt.Sprintf("%.0f", row.HeapBytes/1000), strconv.Itoa(row.WholeBytes),
			strconv.Itoa(row.ChangeBytes)})
	}
	for _, line := range r.Lines {
		table.Notes = append(table.Notes, line.String())
	}
	return []Table{table}
}

// measureList measures the costs of a list of one length.
func measureList(hosts int) (ListRow, error) {
	response, err := listResponse(fullList(hosts))
	if err != nil {
		return ListRow{}, err
	}
	row := ListRow{Hosts: hosts, WholeBytes: len(response)}
	if row.WholeMS, err = measureFullList(response); err != nil {
		return row, err
	}
	if row.HeapBytes, err = measureListHeap(response); err != nil {
		return row, err
	}
	row.ChangeMS, row.ChangeBytes, err = measureChange(response, hosts)
	return row, err
}

// fullList returns a complete list of the given number of hosts.
func fullList(hosts int) *protocol.HostList {
	list := &protocol.HostList{Revision: 1, Complete: true}
	for host := range hosts {
		list.Members = append(list.Members, hostMember(host, protocol.InService))
	}
	return list
}

// listResponse encodes a list as an HTTP response of discovery.
func listResponse(list *protocol.HostList) ([]byte, error) {
	body, err := json.Marshal(list)
	if err != nil {
		return nil, fmt.Errorf("encode host list: %w", err)
	}
	header := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n",
		http.StatusOK, http.StatusText(http.StatusOK), len(body))
	return append([]byte(header), body...), nil
}

// measureFullList returns the mean processor time, in milliseconds, of reading a full list into an empty balancer.
func measureFullList(response []byte) (float64, error) {
	var readers []*listReader
	for range fullListRepeats {
		reader, err := newListReader()
		if err != nil {
			return 0, err
		}
		readers = append(readers, reader)
	}
	before, err := cpuTime()
	if err != nil {
		return 0, err
	}
	for _, reader := range readers {
		if err := reader.apply(response); err != nil {
			return 0, err
		}
	}
	after, err := cpuTime()
	return milliseconds(after-before) / fullListRepeats, err
}

// measureListHeap returns the mean heap size, in bytes, of a balancer that has read a full list.
func measureListHeap(response []byte) (float64, error) {
	before := liveHeapBytes()
	var readers []*listReader
	for range heapReaders {
		reader, err := newListReader()
		if err != nil {
			return 0, err
		}
		if err := reader.apply(response); err != nil {
			return 0, err
		}
		readers = append(readers, reader)
	}
	after := liveHeapBytes()
	runtime.KeepAlive(readers)
	return (float64(after) - float64(before)) / heapReaders, nil
}

// measureChange returns the mean processor time of applying one change, in milliseconds, and the size of the first change in
// bytes. The changes take one host after the other out of service and back.
func measureChange(fullResponse []byte, hosts int) (cost float64, bytes int, err error) {
	reader, err := newListReader()
	if err != nil {
		return 0, 0, err
	}
	if err := reader.apply(fullResponse); err != nil {
		return 0, 0, err
	}
	var responses [][]byte
	for i := range changeRepeats {
		phase := protocol.Terminating
		if i%2 == 1 {
			phase = protocol.InService
		}
		change := &protocol.HostList{Revision: uint64(i + 2), Members: []protocol.Member{hostMember(i/2%hosts, phase)}}
		response, err := listResponse(change)
		if err != nil {
			return 0, 0, err
		}
		responses = append(responses, response)
	}
	before, err := cpuTime()
	if err != nil {
		return 0, 0, err
	}
	for _, response := range responses {
		if err := reader.apply(response); err != nil {
			return 0, 0, err
		}
	}
	after, err := cpuTime()
	return milliseconds(after-before) / changeRepeats, len(responses[0]), err
}

// listReader is the part of a balancer that handles host lists: the parser of discovery's responses and the balancer module.
type listReader struct {
	balancer *balance.Balancer
	hosts    map[string]*balance.Host
	pool     *transport.Pool
	parser   *protocol.ListReader
	zones    map[string]int
}

// newListReader returns a reader with an empty host list.
func newListReader() (*listReader, error) {
	settings := balancerSettings(TargetBalancers, false)
	parameters, err := parseSettings(settings)
	if err != nil {
		return nil, err
	}
	config, _, _ := parameters.ForBalancer(1)
	reader := &listReader{hosts: map[string]*balance.Host{}, pool: &transport.Pool{}, parser: protocol.NewListReader(),
		zones: map[string]int{}}
	for i, zone := range settings.Zones {
		reader.zones[zone] = i
	}
	reader.balancer = balance.New(config, noopFrontend{}, 0)
	return reader, nil
}

// apply parses a response of discovery and passes its list to the balancer module. It returns an error if the response does
// not hold a valid list.
func (r *listReader) apply(response []byte) error {
	chain := r.pool.NewChain()
	if _, err := chain.Write(response); err != nil {
		return err
	}
	list, _, err := r.parser.Next(&chain)
	if err != nil {
		return err
	}
	if list == nil || len(list.MemberErrors) > 0 {
		return fmt.Errorf("discovery response does not hold a complete and valid list")
	}
	entries := make([]balance.HostEntry, 0, len(list.Members))
	for _, member := range list.Members {
		host := r.hosts[member.ID]
		if host == nil {
			host = &balance.Host{Name: member.ID}
			r.hosts[member.ID] = host
		}
		entries = append(entries, balance.HostEntry{Host: host, Listing: balance.Listing{Zone: r.zones[member.Locality],
			Size: member.Size, UpSince: member.UpSince, Status: statusByPhase[member.Phase]}})
	}
	r.balancer.HostsListed(entries, list.Complete, false)
	return nil
}

// statusByPhase maps discovery's phases to the balancer module's statuses.
var statusByPhase = map[protocol.Phase]balance.Status{protocol.InService: balance.Ready, protocol.Terminating: balance.Draining,
	protocol.Terminated: balance.Gone}

// noopFrontend is the front end of a balancer that receives no requests.
type noopFrontend struct{}

func (noopFrontend) Push(*balance.Push, float64)  {}
func (noopFrontend) Cancel(*balance.Push)         {}
func (noopFrontend) Nack(*balance.Op, float64)    {}
func (noopFrontend) DeadLetter(*balance.Op)       {}
func (noopFrontend) SetTimer(float64)             {}
func (noopFrontend) SubscribeHostList()           {}
func (noopFrontend) CloseIdleConns(*balance.Host) {}

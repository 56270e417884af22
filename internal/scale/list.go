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
	wholeRepeats  = 20  // whole lists read for one mean
	changeRepeats = 400 // changes read for one mean
	heapReaders   = 8   // list readers held for one mean of the heap
)

// ListRow is the cost of the host list at one size.
type ListRow struct {
	Hosts       int     `json:"hosts"`
	WholeMS     float64 `json:"whole_ms"`  // processor time of reading a whole list
	ChangeMS    float64 `json:"change_ms"` // processor time of taking one change
	HeapBytes   float64 `json:"heap_bytes"`
	WholeBytes  int     `json:"whole_bytes"`
	ChangeBytes int     `json:"change_bytes"`
}

// ListResult is the cost of the host list by its length.
type ListResult struct {
	Rows  []ListRow `json:"rows"`
	Lines []Line    `json:"lines"`
}

// MeasureList reads lists of each length with the real reader, and hands them to the real balancer module.
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
	table := Table{Title: "One balancer's host list: processor time, heap and bytes by the number of hosts",
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

func measureList(hosts int) (ListRow, error) {
	whole, err := listAnswer(wholeList(hosts))
	if err != nil {
		return ListRow{}, err
	}
	row := ListRow{Hosts: hosts, WholeBytes: len(whole)}
	if row.WholeMS, err = wholeCost(whole); err != nil {
		return row, err
	}
	if row.HeapBytes, err = listHeap(whole); err != nil {
		return row, err
	}
	row.ChangeMS, row.ChangeBytes, err = changeCost(whole, hosts)
	return row, err
}

// wholeList is a complete list of so many hosts.
func wholeList(hosts int) *protocol.HostList {
	list := &protocol.HostList{Revision: 1, Complete: true}
	for host := range hosts {
		list.Members = append(list.Members, listed(host, protocol.InService))
	}
	return list
}

// listAnswer is a list as discovery's answer brings it.
func listAnswer(list *protocol.HostList) ([]byte, error) {
	body, err := json.Marshal(list)
	if err != nil {
		return nil, fmt.Errorf("list: %w", err)
	}
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n",
		http.StatusOK, http.StatusText(http.StatusOK), len(body))
	return append([]byte(head), body...), nil
}

// wholeCost is the processor time of one whole list in a balancer that has none, in ms.
func wholeCost(answer []byte) (float64, error) {
	var readers []*listReader
	for range wholeRepeats {
		reader, err := newListReader()
		if err != nil {
			return 0, err
		}
		readers = append(readers, reader)
	}
	before, err := processorTime()
	if err != nil {
		return 0, err
	}
	for _, reader := range readers {
		if err := reader.read(answer); err != nil {
			return 0, err
		}
	}
	after, err := processorTime()
	return milliseconds(after-before) / wholeRepeats, err
}

// listHeap is the heap that a balancer with a list holds, in bytes.
func listHeap(answer []byte) (float64, error) {
	before := liveHeap()
	var readers []*listReader
	for range heapReaders {
		reader, err := newListReader()
		if err != nil {
			return 0, err
		}
		if err := reader.read(answer); err != nil {
			return 0, err
		}
		readers = append(readers, reader)
	}
	after := liveHeap()
	runtime.KeepAlive(readers)
	return (float64(after) - float64(before)) / heapReaders, nil
}

// changeCost is the processor time of one change, in ms, and its bytes: hosts leave service and come back in turn.
func changeCost(whole []byte, hosts int) (cost float64, bytes int, err error) {
	reader, err := newListReader()
	if err != nil {
		return 0, 0, err
	}
	if err := reader.read(whole); err != nil {
		return 0, 0, err
	}
	var answers [][]byte
	for i := range changeRepeats {
		phase := protocol.Terminating
		if i%2 == 1 {
			phase = protocol.InService
		}
		list := &protocol.HostList{Revision: uint64(i + 2), Members: []protocol.Member{listed(i/2%hosts, phase)}}
		answer, err := listAnswer(list)
		if err != nil {
			return 0, 0, err
		}
		answers = append(answers, answer)
	}
	before, err := processorTime()
	if err != nil {
		return 0, 0, err
	}
	for _, answer := range answers {
		if err := reader.read(answer); err != nil {
			return 0, 0, err
		}
	}
	after, err := processorTime()
	return milliseconds(after-before) / changeRepeats, len(answers[0]), err
}

// listReader is the part of a balancer that takes lists: the reader of discovery's answers and the module.
type listReader struct {
	balancer *balance.Balancer
	hosts    map[string]*balance.Host
	pool     *transport.Pool
	lists    *protocol.ListReader
	zones    map[string]int
}

func newListReader() (*listReader, error) {
	form := settings(TargetBalancers, false)
	parameters, err := parameters(form)
	if err != nil {
		return nil, err
	}
	start, _, _ := parameters.ForBalancer(1)
	reader := &listReader{hosts: map[string]*balance.Host{}, pool: &transport.Pool{}, lists: protocol.NewListReader(),
		zones: map[string]int{}}
	for i, zone := range form.Zones {
		reader.zones[zone] = i
	}
	reader.balancer = balance.New(start, silentPort{}, 0)
	return reader, nil
}

// read takes an answer of discovery from its bytes to the module.
func (r *listReader) read(answer []byte) error {
	chain := r.pool.NewChain()
	if _, err := chain.Write(answer); err != nil {
		return err
	}
	list, _, err := r.lists.Next(&chain)
	if err != nil {
		return err
	}
	if list == nil || len(list.MemberErrors) > 0 {
		return fmt.Errorf("list: not read whole")
	}
	entries := make([]balance.HostEntry, 0, len(list.Members))
	for _, member := range list.Members {
		host := r.hosts[member.ID]
		if host == nil {
			host = &balance.Host{Name: member.ID}
			r.hosts[member.ID] = host
		}
		entries = append(entries, balance.HostEntry{Host: host, Listing: balance.Listing{Zone: r.zones[member.Locality],
			Size: member.Size, UpSince: member.UpSince, Status: statuses[member.Phase]}})
	}
	r.balancer.HostsListed(entries, list.Complete, false)
	return nil
}

var statuses = map[protocol.Phase]balance.Status{protocol.InService: balance.Ready, protocol.Terminating: balance.Draining,
	protocol.Terminated: balance.Gone}

// silentPort is the port of a balancer that has no requests.
type silentPort struct{}

func (silentPort) Push(*balance.Push, float64)  {}
func (silentPort) Cancel(*balance.Push)         {}
func (silentPort) Nack(*balance.Op, float64)    {}
func (silentPort) DeadLetter(*balance.Op)       {}
func (silentPort) SetTimer(float64)             {}
func (silentPort) SubscribeHostList()           {}
func (silentPort) CloseIdleConns(*balance.Host) {}

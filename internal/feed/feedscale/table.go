package feedscale

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

const findingsShown = 20

// Table writes a result for people.
func (r *Result) Table(w io.Writer) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	row := func(format string, values ...any) { fmt.Fprintf(table, format+"\n", values...) }
	row("fleet\t%d subscribers, %d relays, %s, %.0f s of changes", r.Options.Subscribers, r.Options.Relays, r.place(), r.length())
	for kind := range kinds {
		of := r.Kinds[kind]
		row("%v\t%d published, %d attempts failed, %.1f a second", kind, of.Published, of.Failed, float64(of.Published)/r.length())
		row("  until applied by all %d\t%v%s", r.Subscriber.Counted, of.PropagationLatency, partial(of.Partial))
	}
	row("each change at each subscriber\t%v", r.DeliveryLatency)
	r.subscriberRows(row)
	r.controlRows(row)
	for _, fault := range r.Faults {
		faultRows(row, fault)
	}
	r.auditRows(row)
	table.Flush()
	for _, finding := range r.Findings[:min(findingsShown, len(r.Findings))] {
		fmt.Fprintln(w, "  "+finding.String())
	}
}

// rowFunc writes a row of the table.
type rowFunc func(format string, values ...any)

func (r *Result) place() string {
	if r.SeparateProcesses {
		return "publisher and relays in processes of their own"
	}
	return "all in one process"
}

func (r *Result) length() float64 { return (r.To - r.From).Seconds() }

// String is the latency in milliseconds.
func (l Latency) String() string {
	ms := func(time time.Duration) int64 { return time.Milliseconds() }
	return fmt.Sprintf("p50 %d ms, p99 %d ms, worst %d ms (%d)", ms(l.P50), ms(l.P99), ms(l.Worst), l.Count)
}

func partial(number int) string {
	if number == 0 {
		return ""
	}
	return fmt.Sprintf("; %d more came to some as a part of a snapshot or set", number)
}

func (r *Result) subscriberRows(row rowFunc) {
	s := r.Subscriber
	row("one subscriber receives\t%.0f B/s in %.1f messages, %.1f%% of %d B/s; at most %d B in any second (%.0f%%)", s.BytesPerSecond,
		s.MessagesPerSecond, percent(s.BytesPerSecond, BytesPerSecondBudget), BytesPerSecondBudget, s.MaxBytesInSecond,
		percent(float64(s.MaxBytesInSecond), BytesPerSecondBudget))
	row("  it sends\t%.0f B/s", s.SentBytesPerSecond)
	row("  headers and acknowledgements\t%.0f B/s reckoned, both ways, at %d B a segment and acknowledgement (%.1f segments a second)",
		s.HeaderBytesPerSecond(), headerBytes, s.SegmentsPerSecond)
	all := s.BytesPerSecond + s.SentBytesPerSecond + s.HeaderBytesPerSecond()
	row("  all together\t%.0f B/s, %.1f%% of %d B/s", all, percent(all, BytesPerSecondBudget), BytesPerSecondBudget)
	note := ""
	if !r.SeparateProcesses {
		note = ", with its part of the publisher and relays"
	}
	row("  processor\t%.3f%% of a core, %.1f%% of %.1f%%%s", 100*s.CPU, percent(s.CPU, CPUBudget), 100*CPUBudget, note)
	row("  heap and stacks\t%.0f KB, %.2f%% of %d MB%s", float64(s.Memory)/1024, percent(float64(s.Memory), MemoryBudget),
		MemoryBudget>>20, note)
}

func percent(part, whole float64) float64 { return 100 * part / whole }

func (r *Result) controlRows(row rowFunc) {
	if len(r.Senders) > 0 {
		publisher, busiest := r.Senders[0], r.Senders[0]
		for _, sender := range r.Senders[1:] {
			if busiest.Name == publisher.Name || sender.MaxBytesInSecond > busiest.MaxBytesInSecond {
				busiest = sender
			}
		}
		for _, sender := range []SenderResult{publisher, busiest} {
			row("%s sends\t%.0f B/s; at most %d B in any second, %.1f%% of its bound of %d", sender.Name, sender.BytesPerSecond,
				sender.MaxBytesInSecond, percent(float64(sender.MaxBytesInSecond), float64(sender.Limit)), sender.Limit)
		}
	}
	if len(r.Processes) == 0 {
		return
	}
	busiest, largest := r.Processes[0], r.Processes[0]
	for _, process := range r.Processes {
		if process.MaxResidentBytes > largest.MaxResidentBytes {
			largest = process
		}
	}
	row("busiest control process\t%s: %.2f%% of a core, %.0f%% of %.1f%%", busiest.Name, 100*busiest.CPU,
		percent(busiest.CPU, CPUBudget), 100*CPUBudget)
	row("largest control process\t%s: %d MB resident, %.0f%% of %d MB", largest.Name, largest.MaxResidentBytes>>20,
		percent(float64(largest.MaxResidentBytes), MemoryBudget), MemoryBudget>>20)
}

func faultRows(row rowFunc, fault FaultResult) {
	row("fault: %s\tfrom %.1f s to %.1f s", fault.Text, fault.From.Seconds(), fault.To.Seconds())
	row("  purges of that time, until applied by all\t%v%s", fault.PropagationLatency, partial(fault.Partial))
	row("  stale subscribers\t%d, the last %.1f s after the beginning; fresh again %.1f s after the end", fault.StaleSubscribers,
		fault.LastStale.Seconds(), fault.LastFresh.Seconds())
	row("  from its end until current\t%v, %d never", fault.Recovered, fault.NotRecovered)
}

func (r *Result) auditRows(row rowFunc) {
	row("covered otherwise\t%d purges by prefix, %d changes by reset, %d settings by a later value", r.Coverage.ByPrefix,
		r.Coverage.ByReset, r.Coverage.Superseded)
	if r.ConvergenceError != nil {
		row("not settled\t%v", r.ConvergenceError)
	}
	if len(r.Findings) == 0 {
		row("audit\tnone lost, none twice, none out of order")
		return
	}
	row("audit\t%d faults found", len(r.Findings))
}

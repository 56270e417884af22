package trial

import (
	"bytes"
	"fmt"
	"html/template"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/wcharczuk/go-chart/v2"
	"github.com/wcharczuk/go-chart/v2/drawing"
)

// WriteTable writes the result as text.
func (r *Result) WriteTable(w io.Writer) {
	fmt.Fprintf(w, "%s: %.1f%% of the ops acked within %v\n\n", r.Name, 100*r.InTimeShare(), targetLatency)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "category\tops\tin time\tacked\tnacked\tfailed\tcut\tsilent\tuntaken\tp50 ms\tp99\tp99.9\t")
	for _, g := range r.Categories {
		fmt.Fprintf(table, "%s\t%d\t%d", g.Name, g.Ops, g.InTime)
		for _, a := range []Outcome{Acked, Nacked, Failed, Disconnected, TimedOut, NotAccepted} {
			fmt.Fprintf(table, "\t%d", g.Outcomes[a])
		}
		fmt.Fprintf(table, "\t%.1f\t%.1f\t%.1f\t\n", g.P50, g.P99, g.P999)
	}
	table.Flush()
	fmt.Fprintf(w, "\npushes by host:")
	for _, h := range r.sortedHosts() {
		fmt.Fprintf(w, " %s %d", h, r.Pushes[h])
	}
	fmt.Fprintf(w, "\ndelay of the load generator, p99: %.1f ms\n", r.SendDelayP99)
	for _, text := range r.ClusterErrors {
		fmt.Fprintf(w, "trial cluster: %s\n", text)
	}
	if len(r.Violations) == 0 {
		fmt.Fprintf(w, "all rules kept\n")
		return
	}
	fmt.Fprintf(w, "\nrules broken: %s\n", strings.Join(r.BrokenRules(), ", "))
	for _, v := range r.Violations {
		fmt.Fprintf(w, "  %8.3fs  %-8s  %s\n", v.At.Seconds(), v.Rule, v.Text)
	}
}

// sortedHosts returns the hosts that received pushes, h2 before h10.
func (r *Result) sortedHosts() (all []string) {
	for h := range r.Pushes {
		all = append(all, h)
	}
	slices.SortFunc(all, func(x, y string) int {
		if len(x) != len(y) {
			return len(x) - len(y)
		}
		return strings.Compare(x, y)
	})
	return all
}

// series is a line of a plot with one value per second.
type series struct {
	name   string
	values func(s SecondResult) float64
	color  drawing.Color
}

var (
	blue  = drawing.ColorFromHex("1f5fa8")
	red   = drawing.ColorFromHex("b03030")
	shade = drawing.ColorFromHex("d0a060").WithAlpha(0x50)
)

// WriteHTML writes the result as a self-contained HTML page. It returns an error if a plot can't be drawn or w fails.
func (r *Result) WriteHTML(w io.Writer) error {
	service, err := r.plot("ops acked in time, % of each second", 100,
		series{"in time", func(s SecondResult) float64 { return 100 * ratio(s.InTime, s.Ops) }, blue},
		series{"nacked", func(s SecondResult) float64 { return 100 * ratio(s.Nacked, s.Ops) }, red})
	if err != nil {
		return err
	}
	latency, err := r.plot("latency of acked ops since their scheduled time, ms", 0,
		series{"half", func(s SecondResult) float64 { return s.P50 }, blue},
		series{"99 in 100", func(s SecondResult) float64 { return s.P99 }, red})
	if err != nil {
		return err
	}
	hosts, err := r.hostBars()
	if err != nil {
		return err
	}
	var text bytes.Buffer
	r.WriteTable(&text)
	return reportTemplate.Execute(w, map[string]any{"Name": r.Name, "Table": text.String(), "Plan": r.Plan,
		"Injected": strings.Join(r.Injected, "\n"), "Plots": []template.HTML{service, latency, hosts}})
}

// ratio returns n/of, or 0 if of is 0.
func ratio(n, of int) float64 {
	if of == 0 {
		return 0
	}
	return float64(n) / float64(of)
}

// plot draws one value per second, with the faults as shaded areas behind it.
func (r *Result) plot(title string, top float64, lines ...series) (template.HTML, error) {
	c := newChart(title)
	var plotted []chart.Series
	for _, l := range lines {
		var at, values []float64
		for i, s := range r.Seconds {
			at, values = append(at, float64(i)+0.5), append(values, l.values(s))
			top = max(top, l.values(s))
		}
		plotted = append(plotted, chart.ContinuousSeries{Name: l.name, XValues: at, YValues: values,
			Style: chart.Style{StrokeColor: l.color, StrokeWidth: 2}})
	}
	top = max(top*1.05, 1)
	for _, span := range r.FaultSpans {
		to := max(span.To, span.From+0.05)
		c.Series = append(c.Series, chart.ContinuousSeries{XValues: []float64{span.From, to}, YValues: []float64{top, top},
			Style: chart.Style{StrokeColor: shade, FillColor: shade}})
	}
	c.Series = append(c.Series, plotted...)
	c.XAxis = chart.XAxis{Name: "s", Range: &chart.ContinuousRange{Min: 0, Max: float64(len(r.Seconds))}}
	c.YAxis = chart.YAxis{Range: &chart.ContinuousRange{Min: 0, Max: top}}
	var legend []string
	for _, l := range lines {
		legend = append(legend, fmt.Sprintf(`<span style="color:#%02x%02x%02x">%s</span>`, l.color.R, l.color.G, l.color.B, l.name))
	}
	plotHTML, err := svg(c.Render)
	return plotHTML + template.HTML("<br>"+strings.Join(legend, ", ")), err
}

// newChart returns an empty chart with a title, in the size of all plots.
func newChart(title string) chart.Chart {
	return chart.Chart{Title: title, TitleStyle: chart.Style{FontSize: 11}, Width: plotWidth, Height: plotHeight,
		Background: chart.Style{Padding: chart.Box{Top: 40, Left: 10, Right: 10, Bottom: 10}}}
}

// hostBars draws the number of pushes to each host, and returns nothing if there were none.
func (r *Result) hostBars() (template.HTML, error) {
	c := chart.BarChart{Title: "pushes by host", TitleStyle: chart.Style{FontSize: 11}, Width: plotWidth, Height: plotHeight,
		Background: chart.Style{Padding: chart.Box{Top: 40, Left: 10, Right: 10, Bottom: 10}}}
	maxPushes := 1.0
	for _, h := range r.sortedHosts() {
		n := float64(r.Pushes[h])
		maxPushes = max(maxPushes, n)
		c.Bars = append(c.Bars, chart.Value{Label: h, Value: n, Style: chart.Style{FillColor: blue, StrokeColor: blue}})
	}
	if len(c.Bars) == 0 {
		return "", nil
	}
	c.BarWidth = min(40, plotWidth/2/len(c.Bars)+1)
	c.YAxis = chart.YAxis{Range: &chart.ContinuousRange{Min: 0, Max: maxPushes * 1.05}}
	return svg(c.Render)
}

const plotWidth, plotHeight = 900, 280 // size of a plot in pixels

// svg renders a chart as inline SVG.
func svg(render func(chart.RendererProvider, io.Writer) error) (template.HTML, error) {
	var b bytes.Buffer
	if err := render(chart.SVG, &b); err != nil {
		return "", fmt.Errorf("report: %w", err)
	}
	return template.HTML(b.String()), nil
}

var reportTemplate = template.Must(template.New("report").Parse(`<!doctype html>
<html lang="en"><meta charset="utf-8"><title>{{.Name}}</title>
<style>body{font:14px sans-serif;margin:2em auto;max-width:62em}pre{background:#f4f4f4;padding:1em;overflow:auto}svg{max-width:100%;height:auto}</style>
<h1>{{.Name}}</h1>
<p>Shaded areas are faults, in the order below. All hosts are simulated.</p>
{{range .Plots}}<p>{{.}}</p>
{{end}}
<h2>Result</h2><pre>{{.Table}}</pre>
<h2>Injected faults</h2><pre>{{.Injected}}</pre>
<h2>The plan</h2><p>To run it again, save it as plan.yaml: <code>larchthread trial plan.yaml</code></p><pre>{{.Plan}}</pre>
</html>
`))

package feedscale

import (
	"bytes"
	"fmt"
	"html/template"
	"io"
	"strings"
	"time"

	"github.com/wcharczuk/go-chart/v2"
	"github.com/wcharczuk/go-chart/v2/drawing"
)

const plotWidth, plotHeight = 900, 280 // in pixels

var (
	blue  = drawing.ColorFromHex("1f5fa8")
	red   = drawing.ColorFromHex("b03030")
	green = drawing.ColorFromHex("2f7a3f")
	shade = drawing.ColorFromHex("d0a060").WithAlpha(0x50)
)

// line is a line of a plot.
type line struct {
	name  string
	color drawing.Color
	x, y  []float64
}

func (l *line) add(x, y float64) {
	l.x = append(l.x, x)
	l.y = append(l.y, y)
}

// plot is a picture of lines, with faults as shades behind them.
type plot struct {
	title, xName string
	lines        []*line
	shades       []FaultResult
}

// HTML writes the report: one file with everything in it.
func (r *Result) HTML(w io.Writer) error {
	var pictures []template.HTML
	for _, plot := range []plot{r.spreadPlot(), r.latencyPlot(), r.bytesPlot()} {
		picture, err := plot.render()
		if err != nil {
			return fmt.Errorf("report: %w", err)
		}
		pictures = append(pictures, picture)
	}
	var table bytes.Buffer
	r.Table(&table)
	return page.Execute(w, reportPage{r.Options.Subscribers, r.Options.Relays, pictures, table.String()})
}

// reportPage is what the page shows.
type reportPage struct {
	Subscribers, Relays int
	Pictures            []template.HTML
	Table               string
}

// spreadPlot shows which part of the fleet has a change so long after it was due.
func (r *Result) spreadPlot() plot {
	every := &line{name: "all changes", color: blue}
	sum, total := 0, max(r.DeliveryLatency.Count, 1)
	for i, number := range r.spreads.buckets[:spreadStepCount] {
		every.add(float64(i)*seconds(spreadStep), 100*float64(sum)/float64(total))
		sum += number
		if sum == total {
			every.add(float64(i+1)*seconds(spreadStep), 100)
			break
		}
	}
	lines := []*line{every, r.changeLine("the median change", green, r.median), r.changeLine("the slowest change", red, r.worst)}
	return plot{title: "how a change spreads: % of subscribers that have it", xName: "s since it was due", lines: lines}
}

func (r *Result) changeLine(name string, color drawing.Color, spread spread) *line {
	drawn := &line{name: fmt.Sprintf("%s (%s, due at %.1f s)", name, spread.kind, seconds(spread.change.Due-r.From)), color: color}
	reached := 0.0
	drawn.add(0, reached)
	for i, delay := range spread.delays {
		drawn.add(seconds(delay), reached) // a step
		reached = 100 * float64(i+1) / float64(len(spread.delays))
		drawn.add(seconds(delay), reached)
	}
	return drawn
}

// latencyPlot shows how long purges took to reach everybody over the time of the run.
func (r *Result) latencyPlot() plot {
	median, worst := &line{name: "median", color: blue}, &line{name: "slowest", color: red}
	for i, second := range r.seconds {
		median.add(float64(i)+0.5, float64(second.median.Milliseconds()))
		worst.add(float64(i)+0.5, float64(second.worst.Milliseconds()))
	}
	return plot{title: "until a purge is applied everywhere, ms, by the second in which it was due", xName: "s",
		lines: []*line{median, worst}, shades: r.Faults}
}

// bytesPlot shows what subscribers received.
func (r *Result) bytesPlot() plot {
	mean, greatest := &line{name: "mean", color: blue}, &line{name: "greatest", color: red}
	for i, second := range r.seconds {
		mean.add(float64(i)+0.5, second.meanBytes)
		greatest.add(float64(i)+0.5, second.greatestBytes)
	}
	return plot{title: fmt.Sprintf("bytes a second to one subscriber, of %d", BytesPerSecondBudget), xName: "s",
		lines: []*line{mean, greatest}, shades: r.Faults}
}

func seconds(length time.Duration) float64 { return length.Seconds() }

// render draws the plot, with a legend below.
func (p plot) render() (template.HTML, error) {
	var picture bytes.Buffer
	if err := p.chart().Render(chart.SVG, &picture); err != nil {
		return "", err
	}
	var legend []string
	for _, line := range p.lines {
		color := line.color
		legend = append(legend, fmt.Sprintf(`<span style="color:#%02x%02x%02x">%s</span>`, color.R, color.G, color.B, line.name))
	}
	return template.HTML(picture.String() + "<br>" + strings.Join(legend, ", ")), nil
}

func (p plot) chart() chart.Chart {
	right, top := p.extent()
	drawn := chart.Chart{Title: p.title, TitleStyle: chart.Style{FontSize: 11}, Width: plotWidth, Height: plotHeight,
		Background: chart.Style{Padding: chart.Box{Top: 40, Left: 10, Right: 10, Bottom: 10}},
		XAxis:      chart.XAxis{Name: p.xName, Range: &chart.ContinuousRange{Min: 0, Max: right}},
		YAxis:      chart.YAxis{Range: &chart.ContinuousRange{Min: 0, Max: top}}}
	for _, fault := range p.shades {
		from, to := seconds(fault.From), max(seconds(fault.To), seconds(fault.From)+right/plotWidth)
		drawn.Series = append(drawn.Series, chart.ContinuousSeries{XValues: []float64{from, to}, YValues: []float64{top, top},
			Style: chart.Style{StrokeColor: shade, FillColor: shade}})
	}
	for _, line := range p.lines {
		if len(line.x) > 0 {
			drawn.Series = append(drawn.Series, chart.ContinuousSeries{Name: line.name, XValues: line.x, YValues: line.y,
				Style: chart.Style{StrokeColor: line.color, StrokeWidth: 2}})
		}
	}
	return drawn
}

// topMargin is the room above the highest line.
const topMargin = 1.05

// extent is how far the lines reach on both axes.
func (p plot) extent() (right, top float64) {
	for _, line := range p.lines {
		for i := range line.x {
			right, top = max(right, line.x[i]), max(top, line.y[i])
		}
	}
	if right == 0 {
		right = 1
	}
	return right, max(top, 1) * topMargin
}

var page = template.Must(template.New("report").Parse(`<!doctype html>
<html lang="en"><meta charset="utf-8"><title>The change feed at {{.Subscribers}} subscribers</title>
<style>body{font:14px sans-serif;margin:2em auto;max-width:62em}pre{background:#f4f4f4;padding:1em;overflow:auto}svg{max-width:100%;height:auto}</style>
<h1>The change feed: {{.Subscribers}} subscribers behind {{.Relays}} relays</h1>
<p>One machine, over loopback sockets. Subscribers are hollow: they apply changes and carry no traffic. Shades are faults.</p>
{{range .Pictures}}<p>{{.}}</p>
{{end}}
<h2>What came of it</h2><pre>{{.Table}}</pre>
</html>
`))

package trial

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Table writes a result for people.
func (r *Result) Table(w io.Writer) {
	fmt.Fprintf(w, "%s: %.1f%% of the ops acked within %v\n\n", r.Name, 100*r.Service(), target)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "category\tops\tin time\tacked\tnacked\tfailed\tcut\tsilent\tuntaken\tp50 ms\tp99\tp99.9\t")
	for _, g := range r.Groups {
		fmt.Fprintf(t, "%s\t%d\t%d", g.Name, g.Asked, g.InTime)
		for _, a := range []Answer{Acked, Nacked, Failed, Cut, Silent, Untaken} {
			fmt.Fprintf(t, "\t%d", g.Answers[a])
		}
		fmt.Fprintf(t, "\t%.1f\t%.1f\t%.1f\t\n", g.P50, g.P99, g.P999)
	}
	t.Flush()
	fmt.Fprintf(w, "\npushes by host:")
	for _, h := range r.hosts() {
		fmt.Fprintf(w, " %s %d", h, r.Pushes[h])
	}
	fmt.Fprintf(w, "\nthe ground's own lateness, 99 in 100: %.1f ms\n", r.Late)
	for _, text := range r.Trouble {
		fmt.Fprintf(w, "the ground: %s\n", text)
	}
	if len(r.Breaks) == 0 {
		fmt.Fprintf(w, "all rules kept\n")
		return
	}
	fmt.Fprintf(w, "\nrules broken: %s\n", strings.Join(r.Rules(), ", "))
	for _, b := range r.Breaks {
		fmt.Fprintf(w, "  %8.3fs  %-8s  %s\n", b.At.Seconds(), b.Rule, b.Text)
	}
}

// hosts are those that were pushed to, h2 before h10.
func (r *Result) hosts() (all []string) {
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

// series is a line of a plot, one value a second.
type series struct {
	name   string
	values func(s Second) float64
	color  color.Color
}

var (
	blue  = color.RGBA{R: 0x1f, G: 0x5f, B: 0xa8, A: 0xff}
	red   = color.RGBA{R: 0xb0, G: 0x30, B: 0x30, A: 0xff}
	shade = color.RGBA{R: 0xd0, G: 0xa0, B: 0x60, A: 0x50}
)

// HTML writes the report: one file with everything in it.
func (r *Result) HTML(w io.Writer) error {
	service, err := r.plot("served in time, % of the ops of each second", 100,
		series{"in time", func(s Second) float64 { return 100 * ratio(s.InTime, s.Asked) }, blue},
		series{"nacked", func(s Second) float64 { return 100 * ratio(s.Nacked, s.Asked) }, red})
	if err != nil {
		return err
	}
	took, err := r.plot("latency of acked ops from when they were due, ms", 0,
		series{"half", func(s Second) float64 { return s.P50 }, blue},
		series{"99 in 100", func(s Second) float64 { return s.P99 }, red})
	if err != nil {
		return err
	}
	hosts, err := r.bars()
	if err != nil {
		return err
	}
	var table bytes.Buffer
	r.Table(&table)
	return page.Execute(w, map[string]any{"Name": r.Name, "Table": table.String(), "Plan": r.Plan,
		"Struck": strings.Join(r.Struck, "\n"), "Plots": []template.HTML{service, took, hosts}})
}

func ratio(n, of int) float64 {
	if of == 0 {
		return 0
	}
	return float64(n) / float64(of)
}

// plot draws a value a second, with the faults as shades behind it.
func (r *Result) plot(title string, top float64, lines ...series) (template.HTML, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text = title, "s"
	p.Y.Min, p.X.Min, p.X.Max = 0, 0, float64(len(r.Seconds))
	for _, l := range lines {
		var at plotter.XYs
		for i, s := range r.Seconds {
			at = append(at, plotter.XY{X: float64(i) + 0.5, Y: l.values(s)})
			top = max(top, l.values(s))
		}
		drawn, err := plotter.NewLine(at)
		if err != nil {
			return "", fmt.Errorf("report: %w", err)
		}
		drawn.Color, drawn.Width = l.color, vg.Points(1.5)
		p.Add(drawn)
		p.Legend.Add(l.name, drawn)
	}
	p.Y.Max = max(top*1.05, 1)
	for _, m := range r.Marks {
		shaded, err := plotter.NewPolygon(plotter.XYs{{X: m.From}, {X: max(m.To, m.From+0.05)},
			{X: max(m.To, m.From+0.05), Y: p.Y.Max}, {X: m.From, Y: p.Y.Max}})
		if err != nil {
			return "", fmt.Errorf("report: %w", err)
		}
		shaded.Color, shaded.LineStyle.Width = shade, 0
		p.Add(shaded)
	}
	return svg(p)
}

// bars draws how often each host was pushed to.
func (r *Result) bars() (template.HTML, error) {
	p := plot.New()
	p.Title.Text = "pushes by host"
	var n plotter.Values
	names := r.hosts()
	for _, h := range names {
		n = append(n, float64(r.Pushes[h]))
	}
	if len(n) == 0 {
		return "", nil
	}
	drawn, err := plotter.NewBarChart(n, vg.Points(min(24, 500/float64(len(n)))))
	if err != nil {
		return "", fmt.Errorf("report: %w", err)
	}
	drawn.Color = blue
	p.Add(drawn)
	p.NominalX(names...)
	p.Y.Min = 0
	return svg(p)
}

func svg(p *plot.Plot) (template.HTML, error) {
	c := vgsvg.New(22*vg.Centimeter, 7*vg.Centimeter)
	p.Draw(draw.New(c))
	var b bytes.Buffer
	if _, err := c.WriteTo(&b); err != nil {
		return "", fmt.Errorf("report: %w", err)
	}
	_, text, _ := strings.Cut(b.String(), "<svg") // a page's picture needs no document's head
	return template.HTML("<svg" + text), nil
}

var page = template.Must(template.New("report").Parse(`<!doctype html>
<html lang="en"><meta charset="utf-8"><title>{{.Name}}</title>
<style>body{font:14px sans-serif;margin:2em auto;max-width:62em}pre{background:#f4f4f4;padding:1em;overflow:auto}svg{max-width:100%;height:auto}</style>
<h1>{{.Name}}</h1>
<p>Shades are faults, in the order below. All hosts are simulated.</p>
{{range .Plots}}<p>{{.}}</p>
{{end}}
<h2>What came of it</h2><pre>{{.Table}}</pre>
<h2>What was struck</h2><pre>{{.Struck}}</pre>
<h2>The plan</h2><p>Save it as plan.yaml and play it again: <code>larchthread trial plan.yaml</code></p><pre>{{.Plan}}</pre>
</html>
`))

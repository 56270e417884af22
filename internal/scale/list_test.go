package scale

import (
	"math"
	"testing"
)

const (
	slack      = 1.02 // by how much a value per size may grow: numbers have a digit more here and there
	changeMost = 400  // bytes of one change, whatever the list's length
)

// TestListGrowth checks that a whole list grows by no more than one line a host, and that a change has one size whatever
// the length of the list.
func TestListGrowth(t *testing.T) {
	var whole []Point
	for _, hosts := range []int{50, 200, 600, 1024} {
		row, err := measureList(hosts)
		if err != nil {
			t.Fatal(err)
		}
		whole = append(whole, Point{float64(hosts), float64(row.WholeBytes)})
		if row.ChangeBytes > changeMost {
			t.Errorf("%d hosts: a change has %d bytes, at most %d", hosts, row.ChangeBytes, changeMost)
		}
	}
	if growth := worstGrowth(whole); growth > slack {
		t.Errorf("bytes a host grow by %.3f from %v", growth, whole)
	}
}

// TestFitLine checks the fit on a line, and the residual of a value that is off it.
func TestFitLine(t *testing.T) {
	line := FitLine("a line", []Point{{1, 5}, {2, 7}, {4, 11}})
	if math.Abs(line.Intercept-3) > 1e-9 || math.Abs(line.Slope-2) > 1e-9 || line.Residual > 1e-9 {
		t.Errorf("3 + 2x is fitted as %v", line)
	}
	if bent := FitLine("bent", []Point{{1, 1}, {2, 4}, {3, 9}}); bent.Residual < 0.03 {
		t.Errorf("a bent curve has a residual of %v", bent.Residual)
	}
	if growth := worstGrowth([]Point{{1, 1}, {2, 4}, {3, 9}}); growth != 3 {
		t.Errorf("squares grow by %v, want 3", growth)
	}
}

// worstGrowth is by how much the value per size grows at the most from the smallest size to any larger one; up to 1 the
// growth is linear or slower.
func worstGrowth(points []Point) float64 {
	first := points[0].Value / points[0].Size
	worst := 0.0
	for _, p := range points[1:] {
		worst = math.Max(worst, p.Value/p.Size/first)
	}
	return worst
}

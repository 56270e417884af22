package scale

import (
	"math"
	"testing"
)

const (
	maxGrowth      = 1.02 // allowed growth of a value per size; longer decimal numbers add a little
	maxChangeBytes = 400  // limit for one change, independent of the list's length
)

// TestListGrowth guards against a full list that grows faster than linearly, and against changes that grow with the list.
func TestListGrowth(t *testing.T) {
	var listSizes []Point
	for _, hosts := range []int{50, 200, 600, 1024} {
		row, err := measureList(hosts)
		if err != nil {
			t.Fatal(err)
		}
		listSizes = append(listSizes, Point{float64(hosts), float64(row.WholeBytes)})
		if row.ChangeBytes > maxChangeBytes {
			t.Errorf("%d hosts: a change has %d bytes, want at most %d", hosts, row.ChangeBytes, maxChangeBytes)
		}
	}
	if growth := largestGrowth(listSizes); growth > maxGrowth {
		t.Errorf("bytes per host grow by a factor of %.3f: %v", growth, listSizes)
	}
}

// TestFitLine checks the fit of collinear points, and the residual and the growth of points on a parabola.
func TestFitLine(t *testing.T) {
	line := FitLine("a line", []Point{{1, 5}, {2, 7}, {4, 11}})
	if math.Abs(line.Intercept-3) > 1e-9 || math.Abs(line.Slope-2) > 1e-9 || line.Residual > 1e-9 {
		t.Errorf("points on 3 + 2x are fitted as %v", line)
	}
	if parabola := FitLine("bent", []Point{{1, 1}, {2, 4}, {3, 9}}); parabola.Residual < 0.03 {
		t.Errorf("residual of a parabola is %v, want at least 0.03", parabola.Residual)
	}
	if growth := largestGrowth([]Point{{1, 1}, {2, 4}, {3, 9}}); growth != 3 {
		t.Errorf("growth of a parabola is %v, want 3", growth)
	}
}

// largestGrowth returns the largest ratio between the value per size of any later point and that of the first. A ratio of at
// most 1 means linear growth or less.
func largestGrowth(points []Point) float64 {
	first := points[0].Value / points[0].Size
	largest := 0.0
	for _, p := range points[1:] {
		largest = math.Max(largest, p.Value/p.Size/first)
	}
	return largest
}

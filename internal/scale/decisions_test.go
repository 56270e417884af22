package scale

import "testing"

// TestDecisions plays a small fleet twice: both plays are the same, and all requests but a few that are still open have an
// answer. Twice as many hosts, with twice the load, cost no more pushes a request.
func TestDecisions(t *testing.T) {
	small := Scenario{Name: "small", WarmUp: 200, Measured: 500}
	first := playScenario(t, small.sized(8, 10, small.WarmUp, small.Measured))
	again := playScenario(t, small.sized(8, 10, small.WarmUp, small.Measured))
	if first != again {
		t.Errorf("two plays of one scenario:\n%+v\n%+v", first, again)
	}
	if first.Served < 0.99 || first.Nacked > 0.01 {
		t.Errorf("served %.4f, nacked %.4f", first.Served, first.Nacked)
	}
	larger := playScenario(t, small.sized(8, 20, small.WarmUp, small.Measured))
	if larger.Pushes > first.Pushes*slack {
		t.Errorf("pushes a request: %.4f over 10 hosts, %.4f over 20", first.Pushes, larger.Pushes)
	}
}

func playScenario(t *testing.T, s Scenario) DecisionsRow {
	t.Helper()
	row, err := measureDecisions(s)
	if err != nil {
		t.Fatal(err)
	}
	row.CostUS = 0 // it is a time
	return row
}

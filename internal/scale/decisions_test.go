package scale

import "testing"

// TestDecisions plays a small fleet twice: both plays are the same, and all requests but a few that are still open have an
// answer. Twice as many hosts, with twice the load, cost no more pushes a request.
func TestDecisions(t *testing.T) {
	small := Scenario{Name: "small", WarmUpMS: 200, MeasuredMS: 500}
	first := playScenario(t, small.sized(8, 10, small.WarmUpMS, small.MeasuredMS))
	again := playScenario(t, small.sized(8, 10, small.WarmUpMS, small.MeasuredMS))
	if first != again {
		t.Errorf("two plays of one scenario:\n%+v\n%+v", first, again)
	}
	if first.ServedShare < 0.99 || first.NackedShare > 0.01 {
		t.Errorf("served %.4f, nacked %.4f", first.ServedShare, first.NackedShare)
	}
	larger := playScenario(t, small.sized(8, 20, small.WarmUpMS, small.MeasuredMS))
	if larger.PushesPerRequest > first.PushesPerRequest*slack {
		t.Errorf("pushes a request: %.4f over 10 hosts, %.4f over 20", first.PushesPerRequest, larger.PushesPerRequest)
	}
}

func playScenario(t *testing.T, s Scenario) DecisionsRow {
	t.Helper()
	row, err := measureDecisions(s)
	if err != nil {
		t.Fatal(err)
	}
	row.ElapsedUSPerRequest = 0 // it is a time
	return row
}

package scale

import "testing"

// TestDecisions checks that a scenario is deterministic, that almost all requests are served, and that pushes per request do
// not grow with the number of hosts at the same load per host.
func TestDecisions(t *testing.T) {
	small := Scenario{Name: "small", WarmUpMS: 200, MeasuredMS: 500}
	first := mustRunScenario(t, small.withSize(8, 10, small.WarmUpMS, small.MeasuredMS))
	again := mustRunScenario(t, small.withSize(8, 10, small.WarmUpMS, small.MeasuredMS))
	if first != again {
		t.Errorf("two runs of one scenario differ:\n%+v\n%+v", first, again)
	}
	if first.ServedShare < 0.99 || first.NackedShare > 0.01 {
		t.Errorf("served %.4f, want at least 0.99; nacked %.4f, want at most 0.01", first.ServedShare, first.NackedShare)
	}
	larger := mustRunScenario(t, small.withSize(8, 20, small.WarmUpMS, small.MeasuredMS))
	if larger.PushesPerRequest > first.PushesPerRequest*maxGrowth {
		t.Errorf("pushes per request: %.4f with 10 hosts, %.4f with 20", first.PushesPerRequest, larger.PushesPerRequest)
	}
}

// mustRunScenario returns a scenario's result without its wall-clock time.
func mustRunScenario(t *testing.T, s Scenario) DecisionsRow {
	t.Helper()
	row, err := runScenario(s)
	if err != nil {
		t.Fatal(err)
	}
	row.ElapsedUSPerRequest = 0 // wall-clock time differs between runs
	return row
}

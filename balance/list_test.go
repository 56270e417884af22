package balance

import (
	"fmt"
	"math"
)

// What discovery has, and could be reached for, counts as told 6 s later. It may come back from just behind any call on, so
// the next is made soon enough for its answer, however many have failed before: at once, late, or by being given up.
func Example_listToldInTime() {
	for _, c := range []struct {
		what string
		fail float64 // ms until a call fails; +Inf: it is never answered
	}{{"refused at once", 0}, {"reset after a while", 900}, {"503 as it is to be given up", 2900}, {"never answered", math.Inf(1)}} {
		longest := 0.0
		for seed := range 200 {
			s := start()
			s.OnRequest, s.Seed = true, uint64(seed)
			x := &scene{silent: true}
			x.Balancer = New(s, x, 0)
			called := 0.0
			for call := 0; call < 8; {
				x.after(10)
				switch {
				case x.asking && x.askAt > called: // a further call
					longest, called, call = max(longest, x.askAt-called), x.askAt, call+1
				case x.asking && x.t-x.askAt >= c.fail:
					x.ListFailed()
				}
			}
		}
		fmt.Println(c.what+": in time", longest <= 4700, "and spread", longest > 3000)
	}
	// Output:
	// refused at once: in time true and spread true
	// reset after a while: in time true and spread true
	// 503 as it is to be given up: in time true and spread true
	// never answered: in time true and spread true
}

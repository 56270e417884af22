package timerqueue

import "fmt"

type testItem struct {
	Timer
	name string
}

// Items come in the order of their due times, then in the order in which they were set. Setting an item again replaces its
// time.
func ExampleQueue() {
	var q Queue[*testItem]
	items := map[string]*testItem{}
	for i, name := range []string{"late", "early", "same", "moved", "stopped"} {
		items[name] = &testItem{name: name}
		q.Set(items[name], []float64{9, 1, 1, 2, 3}[i])
	}
	q.Set(items["moved"], 5)
	q.Stop(items["stopped"])
	q.Stop(items["stopped"])
	lastSeq := q.LastSeq()
	for x, due := q.PopDueUpTo(8, lastSeq); due; x, due = q.PopDueUpTo(8, lastSeq) {
		fmt.Println(x.name, x.DueAt())
		q.Set(items["stopped"], 6) // set during the loop: left for the next one
	}
	fmt.Println("next", q.NextDue())
	for x, due := q.PopDue(9); due; x, due = q.PopDue(9) {
		fmt.Println(x.name, x.DueAt())
	}
	fmt.Println("next", q.NextDue())
	// Output:
	// early 1
	// same 1
	// moved 5
	// next 6
	// stopped 6
	// late 9
	// next +Inf
}

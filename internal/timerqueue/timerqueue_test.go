package timerqueue

import "fmt"

type thing struct {
	Timer
	name string
}

// What is due comes by time, of one time in the order of setting; what is set anew or stopped does not come as first set.
func ExampleQueue() {
	var q Queue[*thing]
	things := map[string]*thing{}
	for i, name := range []string{"late", "early", "same", "moved", "stopped"} {
		things[name] = &thing{name: name}
		q.Set(things[name], []float64{9, 1, 1, 2, 3}[i])
	}
	q.Set(things["moved"], 5)
	q.Stop(things["stopped"])
	q.Stop(things["stopped"])
	last := q.LastSeq()
	for x, due := q.PopDueUpTo(8, last); due; x, due = q.PopDueUpTo(8, last) {
		fmt.Println(x.name, x.DueAt())
		q.Set(things["stopped"], 6) // set meanwhile: it waits
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

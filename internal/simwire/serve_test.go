package simwire

import (
	"fmt"
	"io"
	"os"
	"strings"
)

// startUp configures instance 0 with a cache host and an origin.
const startUp = `{"CONFIGURE":{"i":0,"prng":7,"params":{"categories":[{"name":"read","benefit":1,"targetLatencyUs":100000,` +
	`"ttlUs":400000,"repeat":"retryable","group":"all","tardyBenefit":0}],"groupSize":1,"quantumUs":1000,` +
	`"discovery":"pushed","benefitBy":"request","models":["box","origin"],"zones":["z"],"newer":1,` +
	`"specifics":{"mode":"aside","originKind":1},"limits":{"mostPushes":3,"cancelling":true}}}},` +
	`{"DEFINE_LIST":{"slot":0,"elements":[{"host":11,"shape":"box","az":"z","condition":"SERVING",` +
	`"group":0,"upSinceUs":null},{"host":12,"shape":"origin","az":"z","nominal":1,"condition":"SERVING","group":0,` +
	`"upSinceUs":null}]}},{"ANNOUNCE":{"i":0,"slot":0,"serial":1,"scope":"Persisted"}}`

// printServed prints the answers to lines of events.
func printServed(events ...string) {
	if err := play(os.Stdout, events...); err != nil {
		fmt.Println(err)
	}
}

// play serves lines of events that are 1 ms apart.
func play(out io.Writer, events ...string) error {
	var in strings.Builder
	for i, e := range events {
		fmt.Fprintf(&in, "{\"simTimeUs\":%d,\"input\":[%s]}\n", i*1000, e)
	}
	return Serve(strings.NewReader(in.String()), out)
}

// An op that misses at its host is fetched from the origin and answered. A client that leaves after that, and an
// outcome with an unknown code, are tolerated.
func ExampleServe() {
	printServed(startUp,
		`{"KNOCK":{"i":0,"corr":"r1","qos":"read","party":null,"targetKey":"k","dropDeadUs":400000,"update":false}}`,
		`{"ATTEMPT_END":{"i":0,"corr":"r1","roundNo":0,"host":11,"code":9,"spentUs":1000,"last":false}}`,
		`{"ATTEMPT_END":{"i":0,"corr":"r1","roundNo":1,"host":12,"code":1,"spentUs":1000,"last":true}},`+
			`{"CLIENT_LEFT":{"i":0,"corr":"r1"}}`,
		`{"KNOCK":{"i":0,"corr":"r2","qos":"read","party":null,"targetKey":"k","dropDeadUs":400000,"update":false}}`,
		`{"ATTEMPT_END":{"i":0,"corr":"r2","roundNo":0,"host":11,"code":77,"spentUs":1000,"last":false}}`,
		``)
	// Output:
	// {"actions":[{"AFTER":{"i":0,"fromNowUs":10000,"ctx":0}}]}
	// {"actions":[{"SEND":{"i":0,"corr":"r1","host":11,"capUs":399000}}]}
	// {"actions":[{"SEND":{"i":0,"corr":"r1","host":12,"capUs":398000}}]}
	// {"actions":[]}
	// {"actions":[{"SEND":{"i":0,"corr":"r2","host":11,"capUs":396000}}]}
	// {"actions":[{"REJECT":{"i":0,"corr":"r2","backoffUs":0}}]}
	// {"actions":[]}
}

// Malformed input is reported with its line and field, without a panic.
func ExampleServe_malformed() {
	for _, bad := range []string{
		`{"KNOCK":{"i":0,"corr":"r1","qos":"write","dropDeadUs":400000}}`,
		`{"KNOCK":{"i":0,"corr":"r1","qos":"read"}}`,
		`{"KNOCK":{"i":0,"qos":"read","dropDeadUs":400000}}`,
		`{"KNOCK":{"i":5,"corr":"r1","qos":"read","dropDeadUs":400000}}`,
		`{"KNOCK":{"corr":"r1","qos":"read","dropDeadUs":400000}}`,
		`{"KNOCK":{"i":"x"}}`,
		`{"ATTEMPT_END":{"i":0,"corr":"never","roundNo":0,"host":11,"code":1}}`,
		`{"ANNOUNCE":{"i":0,"slot":9,"scope":"Complete"}}`,
		`{"ANNOUNCE":{"i":0,"slot":0,"scope":"Half"}}`,
		`{"DEFINE_LIST":{"slot":0,"elements":[{"host":1,"condition":"LOST"}]}}`,
		`{"TEAPOT":{"i":0}}`,
		`{"CONFIGURE":{"i":1,"prng":7,"params":{"groupSize":1}}}`,
		`{"CONFIGURE":{"i":1,"prng":7}}`,
		`{"CONFIGURE":{"i":1,"prng":7,"params":{"categories":[{"name":"a"}],"groupSize":0}}}`,
	} {
		s := server{balancers: map[int]*simulatedBalancer{}, lists: map[int][]element{}}
		if err := s.answer([]byte(`{"simTimeUs":0,"input":[` + startUp + `]}`)); err != nil {
			fmt.Println("start:", err)
		}
		fmt.Println(s.answer([]byte(`{"simTimeUs":0,"input":[` + bad + `]}`)))
	}
	fmt.Println(Serve(strings.NewReader("{\"simTimeUs\":0,\"input\":[]}\n\n{\"input\":[]}\n"), os.Stdout))
	fmt.Println(Serve(strings.NewReader("nonsense"), os.Stdout))
	// Output:
	// input[0]: KNOCK.qos: unknown category "write"
	// input[0]: KNOCK.dropDeadUs: missing
	// input[0]: KNOCK.corr: missing
	// input[0]: KNOCK.i: unknown instance 5
	// input[0]: KNOCK.i: missing
	// json: cannot unmarshal string into Go struct field arrival.input.KNOCK.instance.i of type int
	// input[0]: ATTEMPT_END.corr: unknown op "never"
	// input[0]: ANNOUNCE.slot: no list 9
	// input[0]: ANNOUNCE.scope: unknown "Half"
	// input[0]: DEFINE_LIST.elements[0].condition: unknown "LOST"
	// input[0]: unknown event {"TEAPOT":{"i":0}}
	// input[0]: CONFIGURE.params.categories: none
	// params.limits.mostPushes: 0, want 1 or more
	// params.discovery: "", want on_request or pushed
	// input[0]: CONFIGURE.params: missing
	// input[0]: CONFIGURE.params.groupSize: 0, want 1 or more
	// params.limits.mostPushes: 0, want 1 or more
	// params.discovery: "", want on_request or pushed
	// params.categories[0].targetLatencyUs: 0, want above 0
	// params.categories[0].repeat: unknown ""
	// {"actions":[]}
	// line 3: simTimeUs: missing
	// line 1: invalid character 'o' in literal null (expecting 'u')
}

// Outcomes may arrive for either of two pushes, twice or late, and with malformed load reports. The first good answer
// serves the op, and the others have no effect.
func ExampleServe_twoRounds() {
	two := strings.NewReplacer(`"cancelling":true`, `"cancelling":true,"mayDuplicate":true`, `"groupSize"`,
		`"report":{"how":"answers","fields":["busy","rate"]},"groupSize"`, `"host":12,"shape":"origin"`, `"host":12,"shape":"box"`)
	arrival := func(corr string) string {
		return `{"KNOCK":{"i":0,"corr":"` + corr + `","qos":"read","targetKey":"k","dropDeadUs":400000,"update":false}}`
	}
	answer := func(corr string, round, code int, last bool, stats string) string {
		return fmt.Sprintf(`{"ATTEMPT_END":{"i":0,"corr":%q,"roundNo":%d,"host":11,"code":%d,"spentUs":1000,"last":%t,`+
			`"serverStats":%s}}`, corr, round, code, last, stats)
	}
	end := func(round, code int, last bool, stats string) string { return answer("r1", round, code, last, stats) }
	in := []string{two.Replace(startUp), arrival("r1")}
	for range 60 {
		in = append(in, `{"ALARM":{"i":0,"ctx":0}}`)
	}
	garbage := []string{`null`, `[]`, `[1]`, `[1,2,3]`, `[null,7]`, `[-1,5]`, `[1e999,0]`, `"busy"`, `{"busy":1}`}
	for _, stats := range garbage {
		in = append(in, end(7, 1, false, stats), end(-1, 1, false, stats))
	}
	for k, stats := range garbage { // malformed reports in answers to open pushes
		corr := fmt.Sprint("g", k)
		in = append(in, arrival(corr), answer(corr, 0, 1, true, stats))
	}
	in = append(in, end(1, 4, false, `[0.5,9]`), end(1, 4, false, `[0.5,9]`), end(0, 1, true, `[0.5,null]`))
	var out strings.Builder
	fmt.Println(play(&out, in...))
	for _, line := range strings.Split(out.String(), "\n") {
		if strings.Contains(line, "SEND") || strings.Contains(line, "REJECT") {
			fmt.Println(line)
		}
	}
	// Output:
	// <nil>
	// {"actions":[{"SEND":{"i":0,"corr":"r1","host":11,"capUs":399000}}]}
	// {"actions":[{"SEND":{"i":0,"corr":"r1","host":12,"capUs":349000}},{"AFTER":{"i":0,"fromNowUs":49000,"ctx":0}}]}
	// {"actions":[{"AFTER":{"i":0,"fromNowUs":10000,"ctx":0}},{"SEND":{"i":0,"corr":"g0","host":12,"capUs":320000}}]}
	// {"actions":[{"SEND":{"i":0,"corr":"g1","host":12,"capUs":318000}}]}
	// {"actions":[{"SEND":{"i":0,"corr":"g2","host":12,"capUs":316000}}]}
	// {"actions":[{"SEND":{"i":0,"corr":"g3","host":12,"capUs":314000}}]}
	// {"actions":[{"SEND":{"i":0,"corr":"g4","host":12,"capUs":312000}}]}
	// {"actions":[{"SEND":{"i":0,"corr":"g5","host":12,"capUs":310000}}]}
	// {"actions":[{"SEND":{"i":0,"corr":"g6","host":12,"capUs":308000}}]}
	// {"actions":[{"SEND":{"i":0,"corr":"g7","host":12,"capUs":306000}}]}
	// {"actions":[{"SEND":{"i":0,"corr":"g8","host":12,"capUs":304000}}]}
}

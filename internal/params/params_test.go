package params

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// settings is a valid set of settings, which the tests modify.
const settings = `{"categories":[{"name":"read","targetLatencyUs":1,"repeat":"retryable"}],"groupSize":1,"discovery":"pushed",` +
	`"zones":["a","b"],"zone":"a","costs":{"crossZone":0.1},"report":{"how":"none","fields":[]},` +
	`"limits":{"mostPushes":3},"specifics":{"originFallMultiple":0},"blend":{"whole":1},"newer":1}`

// Invalid and contradictory settings are refused with the key at fault; unknown ones are ignored.
func ExampleParse() {
	read := func(pairs ...string) {
		p, err := Parse(json.RawMessage(strings.NewReplacer(pairs...).Replace(settings)))
		begin, _, _ := p.ForBalancer(1)
		fmt.Println(begin.AllowHedging, err)
	}
	read()
	read(`"mostPushes":3`, `"mostPushes":2,"mayDuplicate":true`)
	read(`"mostPushes":3`, `"mostPushes":1,"mayDuplicate":true`)
	read(`"how":"none"`, `"how":"answers"`)
	read(`"fields":[]`, `"fields":["busy"]`)
	read(`"how":"none"`, `"how":"shouting"`)
	read(`"how":"none","fields":[]`, `"how":"probe","fields":["busy","busy"]`)
	read(`"how":"none","fields":[]`, `"how":"answers","fields":["q","mood"]`)
	read(`"whole"`, `"ninesWanted":3,"whole"`)
	read(`"whole"`, `"availability":0.4,"whole"`)
	read(`"whole"`, `"availability":0.4,"ninesWanted":0,"whole"`)
	read(`"whole"`, `"availability":0.4,"ninesWanted":3,"whole"`)
	read(`Multiple":0`, `Multiple":2.5`)
	read(`Multiple":0`, `Multiple":-1`)
	read(`"zone":"a"`, `"zone":"c"`)
	read(`"crossZone":0.1`, `"crossZone":-1`)
	read(`"blend"`, `"guarantees":{"keyQuietUs":-1,"leftOffUs":-2,"stampDoubtUs":-3},"blend"`)
	read(`"mostPushes":3`, `"mostPushes":3,"replySlots":0`)
	read(`"whole"`, `"keptPromises":0.4,"whole"`)
	read(`"whole"`, `"missAllowed":0.4,"whole"`)
	read(`"whole"`, `"keptPromises":0.4,"missAllowed":0,"whole"`)
	read(`"whole"`, `"keptPromises":0.4,"missAllowed":0.01,"whole"`)
	read(`"repeat":"retryable"`, `"repeat":"often"`, `"groupSize":1`, `"groupSize":0`) // all errors are reported together
	read(`"name":"read",`, `"name":"a,b","ttlUs":-1,"benefit":-2,"tardyBenefit":1.5,"dedupWindowUs":-3,`)
	read(`"repeat":"retryable"}`, `"repeat":"retryable"},{"name":"read","targetLatencyUs":1,"repeat":"dedup"}`)
	read(`"blend"`, `"excessBenefit":2,"guarantees":{"coldShare":1.1,"coldUs":-1,"tipMultiple":-2,"fallUs":-3},"blend"`)
	read(`"mostPushes":3`, `"mostPushes":0`)
	// Unusual but valid: a name that is a protocol command, a window longer than the TTL or of 0, a target beyond the TTL.
	read(`"name":"read"`, `"name":"mg","ttlUs":5,"targetLatencyUs":9,"repeat":"dedup","dedupWindowUs":90`)
	read(`"repeat":"retryable"`, `"repeat":"dedup","dedupWindowUs":0`)
	read(`"mostPushes":3`, `"mostPushes":3,"connIdleUs":-1,"connectTimeoutUs":0,"maxRetryAfterUs":-1`) // means none
	// Output:
	// false <nil>
	// true <nil>
	// true params.limits.mayDuplicate: set, but limits.mostPushes is 1
	// false params.report.fields: none, but report.how is "answers"
	// false params.report.how: "none", but report.fields names some
	// false params.report.how: unknown "shouting"
	// false params.report.fields[1]: "busy", unknown or named twice
	// false params.report.fields[1]: "mood", unknown or named twice
	// false params.blend.ninesWanted: set without blend.availability
	// false params.blend.availability: set without blend.ninesWanted
	// false params.blend.ninesWanted: 0, want above 0
	// false <nil>
	// false params.specifics.originFallUs: 0, but originFallMultiple is set
	// false params.specifics.originFallMultiple: -1, want 0 or more
	// false params.zone: "c" is not among zones
	// false params.costs: crossZone -1, origin 0, want 0 or more
	// false params.guarantees.keyQuietUs: -1, want 0 or more
	// params.guarantees.leftOffUs: -2, want 0 or more
	// params.guarantees.stampDoubtUs: -3, want 0 or more
	// false params.limits.replySlots: 0, want 1 or more
	// false params.blend.keptPromises: set without blend.missAllowed
	// false params.blend.missAllowed: set without blend.keptPromises
	// false params.blend.missAllowed: 0, want above 0, at most 1
	// false <nil>
	// false params.groupSize: 0, want 1 or more
	// params.categories[0].repeat: unknown "often"
	// false params.categories[0].name: "a,b" contains a blank, a comma or a control character
	// params.categories[0].ttlUs: -1, want 0 or more
	// params.categories[0].benefit: -2, want 0 or more
	// params.categories[0].tardyBenefit: 1.5, want 0 to 1
	// params.categories[0].dedupWindowUs: -3, want 0 or more
	// false params.categories[1].name: "read" twice
	// false params.excessBenefit: 2, want 0 to 1
	// params.guarantees.coldShare: 1.1, want 0 to 1
	// params.guarantees.coldUs: -1, want 0 or more
	// params.guarantees.tipMultiple: -2, want 0 or more
	// params.guarantees.fallUs: -3, want 0 or more
	// false params.limits.mostPushes: 0, want 1 or more
	// false <nil>
	// false <nil>
	// false <nil>
}

// Settings of order, clocks, start times, lists and buffers reach the balancer in its units.
func ExampleParams_ForBalancer() {
	p, err := Parse(json.RawMessage(strings.NewReplacer(`"repeat":"retryable"`, `"repeat":"retryable","keepOrder":true`,
		`"blend":{`, `"guarantees":{"keyQuietUs":50000,"leftOffUs":1000000,"stampDoubtUs":2000,"goneIsAdvice":true},`+
			`"blend":{"keptPromises":0.4,"missAllowed":0.01,`, `"mostPushes":3`, `"mostPushes":3,"replySlots":26`).Replace(settings)))
	s, categories, _ := p.ForBalancer(1)
	fmt.Println(err, categories["read"].Ordered, s.KeyQuietTime, s.DeadlineSkew, s.UpSinceSkew,
		s.GoneIsAdvisory, s.TimelyNackMeetsTarget, s.ReplySlots)
	// Output:
	// <nil> true 50 1000 2 true true 26
}

// The operators' address is read from the start file, else from the environment. An invalid one is reported.
func Example_admin() {
	read := func(admin, environment string) {
		os.Setenv("RELAY_ADMIN", environment)
		defer os.Unsetenv("RELAY_ADMIN")
		t, err := parseStartFile([]byte(`{"listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"7",` + admin +
			`"limits":{"memory_mb":1,"sockets":99},"settings":` + settings + `}`))
		if err != nil {
			fmt.Println(err)
			return
		}
		fmt.Println(t.Admin.IsValid(), t.Admin)
	}
	read("", "")
	read(`"admin":"127.0.0.1:3",`, "")
	read(`"admin":"127.0.0.1:3",`, "127.0.0.1:4")
	read("", "127.0.0.1:4")
	read(`"admin":"here",`, "")
	// Output:
	// false invalid AddrPort
	// true 127.0.0.1:3
	// true 127.0.0.1:3
	// true 127.0.0.1:4
	// admin: "here", want an address with a port
}

// Relative paths start from the file's directory; unknown keys and values out of range are reported.
func ExampleReadOperatorFile() {
	dir, err := os.MkdirTemp("", "own")
	if err != nil {
		fmt.Println(err)
		return
	}
	defer os.RemoveAll(dir)
	path := filepath.Join(dir, "own.yaml")
	for _, text := range []string{"", "inventory: {file: fleet.csv}\n", "inventory: {file: /fleet.csv, look_ms: 20}\n",
		"inventory: {look_ms: 20}\n",
		"inventory: {file: f.csv, look_ms: .nan}\n", "inventory: {file: f.csv, look_ms: 1}\n", "inventry: {}\n", "inventory: [\n"} {
		os.WriteFile(path, []byte(text), 0o600)
		o, err := ReadOperatorFile(path)
		if err != nil {
			fmt.Println(strings.ReplaceAll(err.Error(), path, "FILE"))
			continue
		}
		fmt.Printf("%q %v\n", strings.TrimPrefix(o.InventoryPath, dir), o.PollInterval)
	}
	// Output:
	// "" 500ms
	// "/fleet.csv" 500ms
	// "/fleet.csv" 20ms
	// own file FILE: inventory.file: missing, but inventory.look_ms is set
	// own file FILE: inventory.look_ms: NaN, want 10 to 60000
	// own file FILE: inventory.look_ms: 1, want 10 to 60000
	// own file FILE: line 1: field inventry not found
	// own file FILE: line 1: did not find expected node content
}

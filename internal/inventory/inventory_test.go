package inventory

import (
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"larchthread/balance"
)

// printHosts parses a text and prints the hosts or the errors.
func printHosts(name, text string) {
	hosts, err := Parse(name, []byte(text))
	if err != nil {
		fmt.Println(err)
		return
	}
	for _, h := range hosts {
		fmt.Println(h.ID, h.attributes(), "from line", h.Line)
	}
}

// CSV columns come in any order, optional ones may be missing; quotes, a byte-order mark, mixed line endings and comments
// are accepted.
func ExampleParse_csv() {
	printHosts("a.csv",
		"\ufeffKind,address,id,weight\r\n# the first site\nfull, 10.0.0.2:11211 ,b,\"1.5\"\rsmall,[::1]:11211,\"a\",\n")
	// Output:
	// a [::1]:11211  small 1 from line 4
	// b 10.0.0.2:11211  full 1.5 from line 3
}

// YAML anchors and merge keys are followed; a host's own fields take precedence over merged ones.
func ExampleParse_yaml() {
	printHosts("a.yaml", `
x-usual: &usual {zone: nashua, kind: full, weight: 2}
hosts:
  - {<<: *usual, id: b, address: "10.0.0.2:11211"}
  - id: a
    weight: 1
    address: 10.0.0.1:11211
    <<: [*usual, {kind: small}]
`)
	// Output:
	// a 10.0.0.1:11211 nashua full 1 from line 5
	// b 10.0.0.2:11211 nashua full 2 from line 4
}

// A file with errors is rejected as a whole, with an error for each faulty line.
func ExampleParse_refused() {
	for _, text := range []string{"", "id,address\n", "id,zone\na,z\n", "id,address,adress,id\n", "id,address\na,10.0.0.1:1,z\nb\n",
		"id,address,weight\na,10.0.0.1:1,0\nb,10.0.0.1:1,1e9\na,cache3.nashua.example.org:1,NaN\n,10.0.0.2:0,\n",
		"id,address\na,10.0.0.1:1\na,10.0.0.1:1\n", "id,address\n\"a,10.0.0.1:1\n", "id,address,zone\na,10.0.0.1:1,a\x00b\n"} {
		printHosts("f.csv", text)
	}
	for _, text := range []string{"- a\n", "hosts: 3\n", "hosts: []\n", "host: []\n", "hosts:\n  - id: a\n    adress: b\n", "hosts: [3]\n",
		"hosts:\n  - {id: a, id: b, address: [1]}\n", "hosts: [\n", "a: &a [*a]\n", "hosts: []\n---\nhosts: []\n", "hosts: *b\n",
		"x-a: &a {<<: *a}\nhosts:\n - *a\n"} {
		printHosts("f.yml", text)
	}
	printHosts("f.json", "{}")
	// Output:
	// f.csv: empty
	// f.csv: no hosts
	// f.csv:1: column "address" is missing
	// f.csv:1: unknown field "adress", want id, address, zone, kind, weight
	// f.csv:1: duplicate column "id"
	// f.csv:2: 3 fields, want 2
	// f.csv:3: 1 fields, want 2
	// f.csv:2: weight: "0", want a number above 0 and at most 1000
	// f.csv:3: weight: "1e9", want a number above 0 and at most 1000
	// f.csv:4: address: "cache3.nashua.example.org:1", want an IP address with a port
	// f.csv:4: weight: "NaN", want a number above 0 and at most 1000
	// f.csv:5: id: missing
	// f.csv:5: address: "10.0.0.2:0", want an IP address with a port
	// f.csv:3: id: "a" is already used in line 2
	// f.csv:3: address: 10.0.0.1:1 is already used in line 2
	// f.csv:2: extraneous or missing " in quoted-field
	// f.csv:2: zone: "a\x00b", want at most 128 printable bytes without spaces
	// f.yml:1: want a mapping with the key hosts
	// f.yml:1: hosts: want a list
	// f.yml: no hosts
	// f.yml:1: unknown key "host", want hosts or a key that begins with x-
	// f.yml:1: hosts: missing
	// f.yml:2: address: missing
	// f.yml:3: unknown field "adress", want id, address, zone, kind, weight
	// f.yml:1: want a mapping with the fields id, address, zone, kind, weight
	// f.yml:2: id: duplicate key
	// f.yml:2: address: want a single value
	// f.yml:1: did not find expected node content
	// f.yml:1: unknown key "a", want hosts or a key that begins with x-
	// f.yml:1: hosts: missing
	// f.yml:2: more than one document
	// f.yml: unknown anchor 'b' referenced
	// f.yml:3: want a mapping with the fields id, address, zone, kind, weight
	// f.json:1: no newline at the end: the file may be truncated
}

// A small file whose aliases expand to millions of hosts is rejected quickly.
func ExampleParse_bomb() {
	text := "x-0: &a0 {id: a, address: '10.0.0.1:1'}\n"
	for i := range 9 {
		text += fmt.Sprintf("x-%d: &a%d {<<: [%s]}\n", i+1, i+1, strings.TrimSuffix(strings.Repeat(fmt.Sprintf("*a%d,", i), 10), ","))
	}
	_, err := Parse("f.yaml", []byte(text+"hosts: [*a9]\n"))
	fmt.Println(len(err.Error()) < 4000, strings.Contains(err.Error(), "f.yaml:"))
	_, err = Parse("f.yaml", []byte(text[:strings.Index(text, "x-7")]+"hosts: ["+strings.Repeat("*a6,", 9)+"*a6]\n"))
	fmt.Println(strings.Contains(err.Error(), "values with aliases followed"))
	// Output:
	// true true
	// true
}

// Diff reports added, removed and changed hosts, but not a changed order or format.
func ExampleDiff() {
	old, _ := Parse("f.csv", []byte("id,address,weight\na,10.0.0.1:1,1\nb,10.0.0.2:1,1\nc,10.0.0.3:1,1\n"))
	new, _ := Parse("f.yaml", []byte("hosts:\n- {id: c, address: '10.0.0.3:1', weight: 2}\n- {id: d, address: '10.0.0.4:1'}\n- {id: a, address: '10.0.0.1:1'}\n"))
	for _, c := range Diff(old, new) {
		fmt.Println(c)
	}
	fmt.Println(len(Diff(new, new)))
	// Output:
	// - b 10.0.0.2:1   1
	// ~ c 10.0.0.3:1   1 -> 10.0.0.3:1   2
	// + d 10.0.0.4:1   1
	// 0
}

// recordingPort records the target of each op.
type recordingPort struct{ routed []string }

func (p *recordingPort) Push(b *balance.Push, _ float64) { p.routed = append(p.routed, b.Host.Name) }
func (p *recordingPort) Cancel(*balance.Push)            {}
func (p *recordingPort) Nack(*balance.Op, float64)       { p.routed = append(p.routed, "nack") }
func (p *recordingPort) DeadLetter(*balance.Op)          { p.routed = append(p.routed, "dead letter") }
func (p *recordingPort) SetTimer(float64)                {}
func (p *recordingPort) SubscribeHostList()              {}
func (p *recordingPort) CloseIdleConns(*balance.Host)    {}

// The same fleet gives the same routing decisions whether it is read from CSV or from YAML.
func Example_routesAlike() {
	csv, yml := "weight,id,address\n", "hosts:\n"
	for i := range 30 {
		csv += fmt.Sprintf("%d,cache%d,10.0.0.%d:11211\n", 1+i%3, i, i+1)
		yml = fmt.Sprintf("%s- {address: 10.0.0.%d:11211, weight: %d, id: cache%d}\n", yml, 30-i, 1+(29-i)%3, 29-i)
	}
	var routed [2][]string
	for i, file := range []struct{ name, text string }{{"f.csv", csv}, {"f.yml", yml}} {
		hosts, err := Parse(file.name, []byte(file.text))
		if err != nil {
			fmt.Println(err)
			return
		}
		p := &recordingPort{}
		read := &balance.Category{Target: 100, Benefit: 1, LateBenefit: 0.5}
		b := balance.New(balance.Config{Seed: 1, Categories: []*balance.Category{read}, GroupSize: 1, MaxPushes: 3, ConnIdleTimeout: 1000}, p, 0)
		var entries []balance.HostEntry
		for _, h := range hosts {
			entries = append(entries, balance.HostEntry{Host: &balance.Host{Name: h.ID}, Listing: balance.Listing{Size: h.Weight}})
		}
		b.HostsListed(entries, true, false)
		for k := range 5000 {
			op := &balance.Op{Category: read, Key: fmt.Sprint("key", k), Deadline: 500}
			n := len(p.routed)
			if b.OpArrived(op); k%200 != 0 && len(p.routed) > n { // some stay in flight, so that hosts fill up
				b.ClientLeft(op)
			}
		}
		routed[i] = p.routed
	}
	fmt.Println(len(routed[0]) >= 5000, reflect.DeepEqual(routed[0], routed[1]))
	// Output:
	// false true
}

// Parse never panics, and returns either errors or a sorted list of valid hosts.
func FuzzParse(f *testing.F) {
	for _, form := range []string{".csv", ".yaml"} {
		f.Add(form, "id,address,zone\na,10.0.0.1:1,z\n")
		f.Add(form, "x-a: &a {zone: z}\nhosts:\n- {<<: *a, id: a, address: '10.0.0.1:1'}\n")
	}
	f.Fuzz(func(t *testing.T, form, text string) {
		hosts, err := Parse("f"+form, []byte(text))
		if (err == nil) == (len(hosts) == 0) {
			t.Fatal(hosts, err)
		}
		for i, h := range hosts {
			if h.ID == "" || !h.Address.IsValid() || !(h.Weight > 0) || i > 0 && hosts[i-1].ID >= h.ID {
				t.Fatalf("%+v", hosts)
			}
		}
	})
}

func BenchmarkParse(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		csv, yml := "id,address,zone,kind,weight\n", "hosts:\n"
		for i := range n {
			csv += fmt.Sprintf("cache%d,10.0.%d.%d:11211,nashua,full,1\n", i, i/200, i%200+1)
			yml += fmt.Sprintf("- {id: cache%d, address: '10.0.%d.%d:11211', zone: nashua, kind: full}\n", i, i/200, i%200+1)
		}
		for name, text := range map[string]string{"f.csv": csv, "f.yml": yml} {
			b.Run(fmt.Sprint(filepath.Ext(name), n), func(b *testing.B) {
				for b.Loop() {
					if _, err := Parse(name, []byte(text)); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}

// Load reads a file by its path; a missing file is reported as FileErrors.
func ExampleLoad() {
	path := filepath.Join(os.TempDir(), fmt.Sprint("fleet-", os.Getpid(), ".csv"))
	defer os.Remove(path)
	os.WriteFile(path, []byte("id,address\na,10.0.0.1:1\n"), 0o600)
	hosts, err := Load(path)
	fmt.Println(len(hosts), err)
	_, err = Load(path + "x")
	fmt.Println(strings.Replace(err.Error(), path, "f.csv", 2))
	// Output:
	// 1 <nil>
	// f.csvx: no such file or directory
}

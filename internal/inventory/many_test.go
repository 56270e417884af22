package inventory

import (
	"fmt"
	"reflect"
	"strings"
	"testing"
)

// Large files give the same hosts in both formats, and Diff finds a single change in them.
func TestManyHosts(t *testing.T) {
	for _, n := range []int{1024, 5000} {
		asCSV, asYAML := inventoryText(n, -1)
		fromCSV, err := Parse("fleet.csv", []byte(asCSV))
		if err != nil {
			t.Fatalf("%.400s", err)
		}
		fromYAML, err := Parse("fleet.yaml", []byte(asYAML))
		if err != nil {
			t.Fatalf("%.400s", err)
		}
		for i := range fromYAML { // one header line in CSV, two in YAML
			fromYAML[i].Line--
		}
		if len(fromCSV) != n || !reflect.DeepEqual(fromCSV, fromYAML) {
			t.Fatalf("%d hosts from CSV, %d from YAML", len(fromCSV), len(fromYAML))
		}
		changed, _ := inventoryText(n, n/2)
		after, err := Parse("fleet.csv", []byte(changed))
		if err != nil {
			t.Fatalf("%.400s", err)
		}
		if d := Diff(fromCSV, after); len(d) != 1 || d[0].ID != fmt.Sprintf("cache%05d", n/2) || d[0].New.Weight != 2 {
			t.Errorf("%d hosts: changes %v", n, d)
		}
	}
}

// inventoryText returns a file of n hosts in both formats. The host with the index doubledHost has weight 2, the others 1.
func inventoryText(n, doubledHost int) (asCSV, asYAML string) {
	var c, y strings.Builder
	c.WriteString("id,address,zone,kind,weight\n")
	y.WriteString("x-usual: &usual {kind: full}\nhosts:\n")
	for i := range n {
		weight := 1
		if i == doubledHost {
			weight = 2
		}
		address := fmt.Sprintf("10.0.%d.%d:11211", i/250, i%250)
		fmt.Fprintf(&c, "cache%05d,%s,zone%d,full,%d\n", i, address, i%3, weight)
		fmt.Fprintf(&y, "- {<<: *usual, id: cache%05d, address: %q, zone: zone%d, weight: %d}\n", i, address, i%3, weight)
	}
	return c.String(), y.String()
}

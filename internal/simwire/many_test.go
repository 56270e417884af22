package simwire

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
)

// Guards the use of large fleets: 1,024 instances with a shared list of 64 hosts, and two instances with 2,000 hosts.
// Each instance has to send its op to a host of the list.
func TestManyInstances(t *testing.T) {
	for _, c := range []struct{ instances, hosts int }{{1024, 64}, {2, 2000}} {
		sent := sentHosts(t, c.instances, c.hosts)
		if len(sent) != c.instances {
			t.Errorf("%+v: %d instances send", c, len(sent))
		}
		for i, host := range sent {
			if host < 1 || host > c.hosts {
				t.Fatalf("%+v: instance %d sends to %d", c, i, host)
			}
		}
	}
}

// sentHosts starts instances with one shared list of hosts, lets an op arrive at each, and returns the host to which
// each instance sends its op.
func sentHosts(t *testing.T, instances, hosts int) map[int]int {
	var elements []string
	for h := range hosts {
		elements = append(elements, fmt.Sprintf(
			`{"host":%d,"shape":"box","az":"z","condition":"SERVING","group":0,"upSinceUs":null}`, h+1))
	}
	configure, _, _ := strings.Cut(startUp, `,{"DEFINE_LIST"`)
	configure = strings.Replace(configure, `"groupSize":1,`, fmt.Sprintf(`"groupSize":%d,`, instances), 1)
	events := []string{fmt.Sprintf(`{"DEFINE_LIST":{"slot":0,"elements":[%s]}}`, strings.Join(elements, ","))}
	for i := range instances {
		at := fmt.Sprintf(`"i":%d,`, i)
		events = append(events, strings.Replace(configure, `"i":0,`, at, 1),
			`{"ANNOUNCE":{`+at+`"slot":0,"serial":1,"scope":"Persisted"}}`,
			fmt.Sprintf(
				`{"KNOCK":{%s"corr":"r%d","qos":"read","party":null,"targetKey":"k%d","dropDeadUs":400000,"update":false}}`, at, i, i))
	}
	var out bytes.Buffer
	if err := play(&out, strings.Join(events, ",")); err != nil {
		t.Fatal(err)
	}
	var answer struct {
		Actions []struct {
			Send *struct{ I, Host int } `json:"SEND"`
		}
	}
	if err := json.Unmarshal(out.Bytes(), &answer); err != nil {
		t.Fatal(err)
	}
	sent := map[int]int{}
	for _, a := range answer.Actions {
		if a.Send != nil {
			sent[a.Send.I] = a.Send.Host
		}
	}
	return sent
}

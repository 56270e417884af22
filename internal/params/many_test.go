package params

import (
	"encoding/json"
	"fmt"
	"testing"

	"larchthread/internal/protocol"
)

// Guards large start files: 1,024 categories, tenants and zones, groups of 1,024 and 5,000 balancers and 2,000 known
// hosts. Each category and tenant keeps a row of its own.
func TestStartOfManyParts(t *testing.T) {
	const n, listed = 1024, 2000
	var categories, projects, members []map[string]any
	var zones []string
	for i := range n {
		categories = append(categories, map[string]any{"name": fmt.Sprint("category", i), "targetLatencyUs": 1000 + i,
			"repeat": "retryable"})
		projects = append(projects, map[string]any{"name": fmt.Sprint("tenant", i), "quotaPerS": 1 + i})
		zones = append(zones, fmt.Sprint("zone", i))
	}
	for i := range listed {
		members = append(members, map[string]any{"id": fmt.Sprint("cache", i), "host_port": fmt.Sprintf("10.0.%d.%d:1", i/250, i%250),
			"phase": "in_service", "size": 1})
	}
	for _, group := range []int{n, 5000} {
		text, err := json.Marshal(map[string]any{"listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "seed": "7",
			"limits": map[string]any{"memory_mb": 192, "sockets": 1024},
			"known":  map[string]any{"revision": 1, "complete": true, "members": members},
			"settings": map[string]any{"categories": categories, "projects": projects, "zones": zones, "zone": zones[n-1],
				"groupSize": group, "discovery": "pushed", "limits": map[string]any{"mostPushes": 3}}})
		if err != nil {
			t.Fatal(err)
		}
		startFile, err := parseStartFile(text)
		if err != nil {
			t.Fatalf("%.400s", err)
		}
		s, byName, tenants := startFile.Params.ForBalancer(startFile.Seed)
		if s.GroupSize != group || len(s.Categories) != n || len(byName) != n ||
			len(s.Tenants) != n || len(tenants) != n || s.Zone != n-1 {
			t.Errorf("group %d, %d and %d categories, %d and %d tenants, zone %d", s.GroupSize, len(s.Categories), len(byName),
				len(s.Tenants), len(tenants), s.Zone)
		}
		for i := range n {
			c, tenant := byName[fmt.Sprint("category", i)], tenants[fmt.Sprint("tenant", i)]
			if c != s.Categories[i] || c.Target != float64(1000+i)/1000 || tenant != s.Tenants[i] || tenant.Quota != float64(1+i) {
				t.Fatalf("row %d: %+v, %+v", i, c, tenant)
			}
		}
		var l protocol.HostList
		if err := json.Unmarshal(startFile.KnownHosts, &l); err != nil || len(l.Members) != listed || len(l.MemberErrors) > 0 {
			t.Errorf("%d hosts known, %d lines left out, %v", len(l.Members), len(l.MemberErrors), err)
		}
	}
}

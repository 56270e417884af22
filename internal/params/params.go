// Package params reads what an instance is told at its start, for the simulator's adapter and the real
// balancer alike. The wire's names of start parameters end here.
package params

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"

	"larchthread/balance"
)

// Params are the start-up parameters that are read; others are ignored.
type Params struct {
	Categories []struct {
		Name    string  `json:"name"`
		Target  float64 `json:"targetLatencyUs"`
		TTL     float64 `json:"ttlUs"`
		Benefit float64 `json:"benefit"`
		Tardy   float64 `json:"tardyBenefit"`
		Repeat  string  `json:"repeat"`
		Group   string  `json:"group"`
		Window  float64 `json:"dedupWindowUs"`
	} `json:"categories"`
	Projects []struct {
		Name  string  `json:"name"`
		Quota float64 `json:"quotaPerS"`
	} `json:"projects"`
	GroupSize     int     `json:"groupSize"`
	Quantum       float64 `json:"quantumUs"`
	BenefitBy     string  `json:"benefitBy"`
	Discovery     string  `json:"discovery"`
	ExcessBenefit float64 `json:"excessBenefit"`
	Models        []string
	Zone          string `json:"zone"`
	Zones         []string
	Costs         struct {
		CrossZone float64 `json:"crossZone"`
		Origin    float64 `json:"origin"`
	} `json:"costs"`
	Guarantees struct {
		ColdShare   float64 `json:"coldShare"`
		ColdFor     float64 `json:"coldUs"`
		TipMultiple float64 `json:"tipMultiple"`
		FallFor     float64 `json:"fallUs"`
	} `json:"guarantees"`
	Limits struct {
		Cancelling   bool    `json:"cancelling"`
		MostPushes   int     `json:"mostPushes"`
		MayDuplicate bool    `json:"mayDuplicate"`
		ConnIdle     float64 `json:"connIdleUs"`
		Connect      float64 `json:"connectTimeoutUs"`
		RetryAfter   bool    `json:"retryAfter"`
		MaxBackoff   float64 `json:"maxRetryAfterUs"`
	} `json:"limits"`
	Load struct {
		Fields []string `json:"fields"`
		How    string   `json:"how"`
	} `json:"report"`
	Blend struct {
		Availability *float64 `json:"availability"`
		Wanted       *float64 `json:"ninesWanted"`
	} `json:"blend"`
	Specifics struct {
		Mode         string  `json:"mode"`
		OriginKind   *int    `json:"originKind"`
		FallMultiple float64 `json:"originFallMultiple"`
		FallFor      float64 `json:"originFallUs"`
	} `json:"specifics"`
}

var repeats = map[string]balance.Repeat{"retryable": balance.Redeliverable, "dedup": balance.Deduplicated,
	"fragile": balance.AtMostOnce}

var groups = map[string]balance.Group{"": balance.AllHosts, "all": balance.AllHosts,
	"zone": balance.ZoneHosts, "cell": balance.CellHosts}

// Read reads the parameters of an instance.
func Read(raw json.RawMessage) (Params, error) {
	var p Params
	if len(raw) == 0 {
		return p, fmt.Errorf("params: missing")
	}
	if err := json.Unmarshal(raw, &p); err != nil {
		return p, fmt.Errorf("params: %w", err)
	}
	switch {
	case len(p.Categories) == 0:
		return p, fmt.Errorf("params.categories: none")
	case p.GroupSize < 1:
		return p, fmt.Errorf("params.groupSize: %d, want 1 or more", p.GroupSize)
	case p.Quantum < 0:
		return p, fmt.Errorf("params.quantumUs: %v, want 0 or more", p.Quantum)
	case p.Limits.MostPushes < 1:
		return p, fmt.Errorf("params.limits.mostPushes: %d, want 1 or more", p.Limits.MostPushes)
	case !slices.Contains([]string{"on_request", "pushed"}, p.Discovery):
		return p, fmt.Errorf("params.discovery: %q, want on_request or pushed", p.Discovery)
	}
	for i, c := range p.Categories {
		_, repeat := repeats[c.Repeat]
		_, group := groups[c.Group]
		switch at := fmt.Sprintf("params.categories[%d]", i); {
		case c.Name == "":
			return p, fmt.Errorf("%s.name: missing", at)
		case c.Target <= 0:
			return p, fmt.Errorf("%s.targetLatencyUs: %v, want above 0", at, c.Target)
		case !repeat:
			return p, fmt.Errorf("%s.repeat: unknown %q", at, c.Repeat)
		case !group:
			return p, fmt.Errorf("%s.group: unknown %q", at, c.Group)
		}
	}
	if err := p.mixed(); err != nil {
		return p, err
	}
	for i, t := range p.Projects {
		if t.Name == "" || t.Quota < 0 {
			return p, fmt.Errorf("params.projects[%d]: name %q, quotaPerS %v", i, t.Name, t.Quota)
		}
	}
	return p, nil
}

// mixed names what does not go together: a deployment's shape follows from its parameters alone.
func (p Params) mixed() error {
	told := p.Load.How == "answers" || p.Load.How == "probe"
	switch {
	case p.Limits.MayDuplicate && p.Limits.MostPushes < 2:
		return fmt.Errorf("params.limits.mayDuplicate: second copies, but limits.mostPushes is %d", p.Limits.MostPushes)
	case !told && p.Load.How != "none" && p.Load.How != "":
		return fmt.Errorf("params.report.how: unknown %q", p.Load.How)
	case told && len(p.Load.Fields) == 0:
		return fmt.Errorf("params.report.fields: none, but report.how is %q", p.Load.How)
	case !told && len(p.Load.Fields) > 0:
		return fmt.Errorf("params.report.how: %q, but report.fields names some", p.Load.How)
	case p.Specifics.FallMultiple < 0:
		return fmt.Errorf("params.specifics.originFallMultiple: %v, want 0 or more", p.Specifics.FallMultiple)
	case p.Specifics.FallMultiple > 0 && p.Specifics.FallFor <= 0:
		return fmt.Errorf("params.specifics.originFallUs: %v, but originFallMultiple is set", p.Specifics.FallFor)
	case p.Blend.Wanted != nil && *p.Blend.Wanted <= 0:
		return fmt.Errorf("params.blend.ninesWanted: %v, want above 0", *p.Blend.Wanted)
	case p.Blend.Wanted != nil && p.Blend.Availability == nil:
		return fmt.Errorf("params.blend.ninesWanted: set without blend.availability")
	case p.Blend.Wanted == nil && p.Blend.Availability != nil && *p.Blend.Availability > 0:
		return fmt.Errorf("params.blend.availability: set without blend.ninesWanted")
	case p.Zone != "" && len(p.Zones) > 0 && !slices.Contains(p.Zones, p.Zone):
		return fmt.Errorf("params.zone: %q is not among zones", p.Zone)
	case p.Costs.CrossZone < 0 || p.Costs.Origin < 0:
		return fmt.Errorf("params.costs: crossZone %v, origin %v, want 0 or more", p.Costs.CrossZone, p.Costs.Origin)
	}
	for i, f := range p.Load.Fields {
		if !slices.Contains(loads, f) || slices.Contains(p.Load.Fields[:i], f) {
			return fmt.Errorf("params.report.fields[%d]: %q, unknown or named twice", i, f)
		}
	}
	return nil
}

// loads are the names that a report's values may have. Only busy is read.
var loads = []string{"busy", "q", "rif", "lat_ms", "rate", "fail_rate", "x0", "x1"}

// Report takes a value of a host's report under its name, in place of what r holds. What is not asked for, or makes no
// sense, is passed over.
func (p Params) Report(r *balance.Report, name string, value float64) *balance.Report {
	if name != "busy" || !slices.Contains(p.Load.Fields, name) || !(value >= 0) || math.IsInf(value, 1) {
		return r
	}
	return &balance.Report{Busy: value}
}

// IsOrigin tells whether hosts of a machine kind are origins.
func (p Params) IsOrigin(shape string) bool {
	k := p.Specifics.OriginKind
	return k != nil && *k >= 0 && *k < len(p.Models) && p.Models[*k] == shape
}

// Begin gives the module its start, with tables from names to rows for the door.
func (p Params) Begin(seed uint64) (balance.Start, map[string]*balance.Category, map[string]*balance.Tenant) {
	s := balance.Start{
		Seed: seed, Group: p.GroupSize, Quantum: p.Quantum / 1000,
		Aside: p.Specifics.Mode == "aside", OnRequest: p.Discovery == "on_request",
		ByWork: p.BenefitBy == "work", MostPushes: p.Limits.MostPushes, MayCancel: p.Limits.Cancelling,
		MayDuplicate: p.Limits.MayDuplicate,
		ConnIdle:     p.Limits.ConnIdle / 1000,
		ColdShare:    p.Guarantees.ColdShare, ColdFor: p.Guarantees.ColdFor / 1000,
		TipMultiple: p.Guarantees.TipMultiple, TipFor: p.Guarantees.FallFor / 1000,
		ExcessBenefit: p.ExcessBenefit,
		Zone:          slices.Index(p.Zones, p.Zone), Zones: len(p.Zones),
		CrossCost: p.Costs.CrossZone, FetchCost: p.Costs.Origin,
	}
	if s.ConnIdle <= 0 { // not told: they stay open
		s.ConnIdle = math.Inf(1)
	}
	if p.Limits.RetryAfter {
		s.MaxBackoff = p.Limits.MaxBackoff / 1000
	}
	categories := map[string]*balance.Category{}
	for _, c := range p.Categories {
		row := &balance.Category{Target: c.Target / 1000, Benefit: c.Benefit, Tardy: c.Tardy,
			Repeat: repeats[c.Repeat], Group: groups[c.Group], Window: c.Window / 1000}
		s.Categories = append(s.Categories, row)
		categories[c.Name] = row
	}
	tenants := map[string]*balance.Tenant{}
	for _, t := range p.Projects {
		row := &balance.Tenant{Quota: t.Quota}
		s.Tenants = append(s.Tenants, row)
		tenants[t.Name] = row
	}
	return s, categories, tenants
}

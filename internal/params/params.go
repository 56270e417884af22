// Package params reads the settings that an instance starts with, for the simulator's adapter and for the real
// balancer. It translates the JSON names of settings into those of package balance.
package params

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"strings"

	"larchthread/balance"
)

// Params holds the settings of an instance. Unknown settings are ignored.
type Params struct {
	Categories []category `json:"categories"`
	Projects   []struct {
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
		ColdShare    float64 `json:"coldShare"`
		ColdFor      float64 `json:"coldUs"`
		TipMultiple  float64 `json:"tipMultiple"`
		FallFor      float64 `json:"fallUs"`
		KeyQuiet     float64 `json:"keyQuietUs"`
		LeftOff      float64 `json:"leftOffUs"`
		StampDoubt   float64 `json:"stampDoubtUs"`
		GoneIsAdvice bool    `json:"goneIsAdvice"`
	} `json:"guarantees"`
	Limits struct {
		Cancelling   bool    `json:"cancelling"`
		MostPushes   int     `json:"mostPushes"`
		MayDuplicate bool    `json:"mayDuplicate"`
		ConnIdle     float64 `json:"connIdleUs"`
		Connect      float64 `json:"connectTimeoutUs"`
		RetryAfter   bool    `json:"retryAfter"`
		MaxBackoff   float64 `json:"maxRetryAfterUs"`
		ReplySlots   *int    `json:"replySlots"`
	} `json:"limits"`
	LoadReport struct {
		Fields []string `json:"fields"`
		Method string   `json:"how"`
	} `json:"report"`
	Blend struct {
		Availability *float64 `json:"availability"`
		NinesWanted  *float64 `json:"ninesWanted"`
		KeptPromises *float64 `json:"keptPromises"`
		MissAllowed  *float64 `json:"missAllowed"`
	} `json:"blend"`
	Specifics struct {
		Mode         string  `json:"mode"`
		OriginKind   *int    `json:"originKind"`
		FallMultiple float64 `json:"originFallMultiple"`
		FallFor      float64 `json:"originFallUs"`
	} `json:"specifics"`
}

// category holds the settings of a category of ops.
type category struct {
	Name         string  `json:"name"`
	Target       float64 `json:"targetLatencyUs"`
	TTL          float64 `json:"ttlUs"`
	Benefit      float64 `json:"benefit"`
	TardyBenefit float64 `json:"tardyBenefit"`
	Repeat       string  `json:"repeat"`
	Group        string  `json:"group"`
	DedupWindow  float64 `json:"dedupWindowUs"`
	KeepOrder    bool    `json:"keepOrder"`
}

// repeatModes maps the values of the setting repeat.
var repeatModes = map[string]balance.RepeatPolicy{"retryable": balance.Redeliverable, "dedup": balance.Deduplicated,
	"fragile": balance.AtMostOnce}

// dedupGroups maps the values of the setting group.
var dedupGroups = map[string]balance.DedupScope{"": balance.DedupAllHosts, "all": balance.DedupAllHosts,
	"zone": balance.DedupZone, "cell": balance.DedupCell}

// Parse parses and checks the settings of an instance. The error lists all that is wrong, each with its key.
func Parse(raw json.RawMessage) (Params, error) {
	var p Params
	if len(raw) == 0 {
		return p, fmt.Errorf("params: missing")
	}
	if err := json.Unmarshal(raw, &p); err != nil {
		return p, fmt.Errorf("params: %w", err)
	}
	var f errorList
	f.addIf(len(p.Categories) == 0, "params.categories: none")
	f.addIf(p.GroupSize < 1, "params.groupSize: %d, want 1 or more", p.GroupSize)
	f.addIf(p.Quantum < 0, "params.quantumUs: %v, want 0 or more", p.Quantum)
	f.addIf(p.Limits.MostPushes < 1, "params.limits.mostPushes: %d, want 1 or more", p.Limits.MostPushes)
	f.addIf(!slices.Contains([]string{"on_request", "pushed"}, p.Discovery),
		"params.discovery: %q, want on_request or pushed", p.Discovery)
	for i, c := range p.Categories {
		_, repeat := repeatModes[c.Repeat]
		_, group := dedupGroups[c.Group]
		at := fmt.Sprintf("params.categories[%d]", i)
		f.addIf(c.Name == "", "%s.name: missing", at)
		f.addIf(strings.ContainsFunc(c.Name, func(r rune) bool { return r <= ' ' || r == ',' || r == 0x7f }),
			"%s.name: %q contains a blank, a comma or a control character", at, c.Name)
		f.addIf(slices.ContainsFunc(p.Categories[:i], func(x category) bool { return x.Name == c.Name }) && c.Name != "",
			"%s.name: %q twice", at, c.Name)
		f.addIf(c.TTL < 0, "%s.ttlUs: %v, want 0 or more", at, c.TTL)
		f.addIf(c.Benefit < 0, "%s.benefit: %v, want 0 or more", at, c.Benefit)
		f.addIf(c.TardyBenefit < 0 || c.TardyBenefit > 1, "%s.tardyBenefit: %v, want 0 to 1", at, c.TardyBenefit)
		f.addIf(c.DedupWindow < 0, "%s.dedupWindowUs: %v, want 0 or more", at, c.DedupWindow)
		f.addIf(c.Target <= 0, "%s.targetLatencyUs: %v, want above 0", at, c.Target)
		f.addIf(!repeat, "%s.repeat: unknown %q", at, c.Repeat)
		f.addIf(!group, "%s.group: unknown %q", at, c.Group)
	}
	f.addIf(p.ExcessBenefit < 0 || p.ExcessBenefit > 1, "params.excessBenefit: %v, want 0 to 1", p.ExcessBenefit)
	g := p.Guarantees
	f.addIf(g.ColdShare < 0 || g.ColdShare > 1, "params.guarantees.coldShare: %v, want 0 to 1", g.ColdShare)
	f.addIf(g.ColdFor < 0, "params.guarantees.coldUs: %v, want 0 or more", g.ColdFor)
	f.addIf(g.TipMultiple < 0, "params.guarantees.tipMultiple: %v, want 0 or more", g.TipMultiple)
	f.addIf(g.FallFor < 0, "params.guarantees.fallUs: %v, want 0 or more", g.FallFor)
	p.checkCombinations(&f)
	for i, t := range p.Projects {
		f.addIf(t.Name == "" || t.Quota < 0, "params.projects[%d]: name %q, quotaPerS %v", i, t.Name, t.Quota)
	}
	return p, f.join()
}

// checkCombinations adds errors for optional settings that are out of range or contradict each other.
func (p Params) checkCombinations(f *errorList) {
	reported := p.LoadReport.Method == "answers" || p.LoadReport.Method == "probe"
	known := reported || p.LoadReport.Method == "none" || p.LoadReport.Method == ""
	f.addIf(p.Limits.MayDuplicate && p.Limits.MostPushes == 1,
		"params.limits.mayDuplicate: set, but limits.mostPushes is %d", p.Limits.MostPushes)
	f.addIf(!known, "params.report.how: unknown %q", p.LoadReport.Method)
	f.addIf(reported && len(p.LoadReport.Fields) == 0, "params.report.fields: none, but report.how is %q", p.LoadReport.Method)
	f.addIf(known && !reported && len(p.LoadReport.Fields) > 0,
		"params.report.how: %q, but report.fields names some", p.LoadReport.Method)
	f.addIf(p.Specifics.FallMultiple < 0, "params.specifics.originFallMultiple: %v, want 0 or more", p.Specifics.FallMultiple)
	f.addIf(p.Specifics.FallMultiple > 0 && p.Specifics.FallFor <= 0,
		"params.specifics.originFallUs: %v, but originFallMultiple is set", p.Specifics.FallFor)
	f.addIf(p.Blend.NinesWanted != nil && *p.Blend.NinesWanted <= 0,
		"params.blend.ninesWanted: %v, want above 0", valueOrZero(p.Blend.NinesWanted))
	f.addIf(p.Blend.NinesWanted != nil && p.Blend.Availability == nil, "params.blend.ninesWanted: set without blend.availability")
	f.addIf(p.Blend.NinesWanted == nil && valueOrZero(p.Blend.Availability) > 0,
		"params.blend.availability: set without blend.ninesWanted")
	f.addIf(valueOrZero(p.Blend.KeptPromises) < 0,
		"params.blend.keptPromises: %v, want 0 or more", valueOrZero(p.Blend.KeptPromises))
	f.addIf(valueOrZero(p.Blend.KeptPromises) > 0 && p.Blend.MissAllowed == nil,
		"params.blend.keptPromises: set without blend.missAllowed")
	f.addIf(p.Blend.MissAllowed != nil && (*p.Blend.MissAllowed <= 0 || *p.Blend.MissAllowed > 1),
		"params.blend.missAllowed: %v, want above 0, at most 1", valueOrZero(p.Blend.MissAllowed))
	f.addIf(p.Blend.MissAllowed != nil && p.Blend.KeptPromises == nil, "params.blend.missAllowed: set without blend.keptPromises")
	f.addIf(p.Guarantees.KeyQuiet < 0, "params.guarantees.keyQuietUs: %v, want 0 or more", p.Guarantees.KeyQuiet)
	f.addIf(p.Guarantees.LeftOff < 0, "params.guarantees.leftOffUs: %v, want 0 or more", p.Guarantees.LeftOff)
	f.addIf(p.Guarantees.StampDoubt < 0, "params.guarantees.stampDoubtUs: %v, want 0 or more", p.Guarantees.StampDoubt)
	f.addIf(p.Limits.ReplySlots != nil && *p.Limits.ReplySlots < 1,
		"params.limits.replySlots: %d, want 1 or more", valueOrZero(p.Limits.ReplySlots))
	f.addIf(p.Zone != "" && len(p.Zones) > 0 && !slices.Contains(p.Zones, p.Zone), "params.zone: %q is not among zones", p.Zone)
	f.addIf(p.Costs.CrossZone < 0 || p.Costs.Origin < 0,
		"params.costs: crossZone %v, origin %v, want 0 or more", p.Costs.CrossZone, p.Costs.Origin)
	for i, name := range p.LoadReport.Fields {
		f.addIf(!slices.Contains(loadFields, name) || slices.Contains(p.LoadReport.Fields[:i], name),
			"params.report.fields[%d]: %q, unknown or named twice", i, name)
	}
}

// valueOrZero returns what p points to, or 0 if p is nil.
func valueOrZero[T int | float64](p *T) (v T) {
	if p != nil {
		v = *p
	}
	return v
}

// loadFields are the fields that a load report may have. Only busy is used.
var loadFields = []string{"busy", "q", "rif", "lat_ms", "rate", "fail_rate", "x0", "x1"}

// ApplyReportValue returns r updated with a value of a host's load report. Values that are not configured, not used or
// out of range leave r as it is.
func (p Params) ApplyReportValue(r *balance.LoadReport, name string, value float64) *balance.LoadReport {
	if name != "busy" || !slices.Contains(p.LoadReport.Fields, name) || !(value >= 0) || math.IsInf(value, 1) {
		return r
	}
	return &balance.LoadReport{Busy: value}
}

// IsOrigin tells whether hosts of a machine kind are origins.
func (p Params) IsOrigin(kind string) bool {
	k := p.Specifics.OriginKind
	return k != nil && *k >= 0 && *k < len(p.Models) && p.Models[*k] == kind
}

// longestTTL returns the longest TTL of all categories in microseconds, or 0 where one has none.
func (p Params) longestTTL() (longest float64) {
	for _, c := range p.Categories {
		if c.TTL == 0 {
			return 0
		}
		longest = max(longest, c.TTL)
	}
	return longest
}

// ForBalancer converts the settings to the balancer's start parameters, with times in ms. It also returns the
// categories and tenants by name.
func (p Params) ForBalancer(seed uint64) (balance.Config, map[string]*balance.Category, map[string]*balance.Tenant) {
	config := balance.Config{
		Seed:                  seed,
		GroupSize:             p.GroupSize,
		Quantum:               p.Quantum / 1000,
		LongestTTL:            p.longestTTL() / 1000,
		CacheAside:            p.Specifics.Mode == "aside",
		ListOnRequest:         p.Discovery == "on_request",
		BenefitPerWork:        p.BenefitBy == "work",
		MaxPushes:             p.Limits.MostPushes,
		AllowCancel:           p.Limits.Cancelling,
		AllowHedging:          p.Limits.MayDuplicate,
		ConnIdleTimeout:       p.Limits.ConnIdle / 1000,
		ColdCapacity:          p.Guarantees.ColdShare,
		WarmupTime:            p.Guarantees.ColdFor / 1000,
		OverloadMultiple:      p.Guarantees.TipMultiple,
		OverloadTime:          p.Guarantees.FallFor / 1000,
		ExcessBenefit:         p.ExcessBenefit,
		Zone:                  slices.Index(p.Zones, p.Zone),
		ZoneCount:             len(p.Zones),
		CrossZoneCost:         p.Costs.CrossZone,
		FetchCost:             p.Costs.Origin,
		KeyQuietTime:          p.Guarantees.KeyQuiet / 1000,
		DeadlineSkew:          p.Guarantees.LeftOff / 1000,
		UpSinceSkew:           p.Guarantees.StampDoubt / 1000,
		GoneIsAdvisory:        p.Guarantees.GoneIsAdvice,
		TimelyNackMeetsTarget: valueOrZero(p.Blend.KeptPromises) > 0,
		ReplySlots:            valueOrZero(p.Limits.ReplySlots),
	}
	if config.ConnIdleTimeout <= 0 { // not set: idle connections stay open
		config.ConnIdleTimeout = math.Inf(1)
	}
	if p.Limits.RetryAfter {
		config.MaxBackoff = p.Limits.MaxBackoff / 1000
	}
	categories := map[string]*balance.Category{}
	for _, c := range p.Categories {
		row := &balance.Category{Target: c.Target / 1000, Benefit: c.Benefit, LateBenefit: c.TardyBenefit,
			Repeat: repeatModes[c.Repeat], DedupScope: dedupGroups[c.Group], DedupWindow: c.DedupWindow / 1000,
			Ordered: c.KeepOrder}
		config.Categories = append(config.Categories, row)
		categories[c.Name] = row
	}
	tenants := map[string]*balance.Tenant{}
	for _, t := range p.Projects {
		row := &balance.Tenant{Quota: t.Quota}
		config.Tenants = append(config.Tenants, row)
		tenants[t.Name] = row
	}
	return config, categories, tenants
}

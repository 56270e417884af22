package scale

import (
	"encoding/json"
	"fmt"
	"net/netip"

	"larchthread/internal/params"
	"larchthread/internal/protocol"
	"larchthread/internal/standin"
)

const (
	targetLatency = 200e3 // µs
	timeToLive    = 600e3 // µs
	category      = "read"
)

// settingsForm is the form of a balancer's settings, as far as the measurements set them.
type settingsForm struct {
	Categories []categoryForm `json:"categories"`
	GroupSize  int            `json:"groupSize"`
	Quantum    int            `json:"quantumUs"`
	Discovery  string         `json:"discovery"`
	BenefitBy  string         `json:"benefitBy"`
	Models     []string       `json:"models"`
	Zone       string         `json:"zone"`
	Zones      []string       `json:"zones"`
	Specifics  specificsForm  `json:"specifics"`
	Limits     limitsForm     `json:"limits"`
	Guarantees guaranteesForm `json:"guarantees"`
}

type categoryForm struct {
	Name    string  `json:"name"`
	Benefit float64 `json:"benefit"`
	Target  float64 `json:"targetLatencyUs"`
	TTL     float64 `json:"ttlUs"`
	Repeat  string  `json:"repeat"`
	Tardy   float64 `json:"tardyBenefit"`
}

type specificsForm struct {
	Mode       string `json:"mode"`
	OriginKind int    `json:"originKind"`
}

type limitsForm struct {
	MostPushes   int     `json:"mostPushes"`
	Cancelling   bool    `json:"cancelling"`
	MayDuplicate bool    `json:"mayDuplicate"`
	ConnIdle     float64 `json:"connIdleUs"`
	Connect      float64 `json:"connectTimeoutUs"`
	RetryAfter   bool    `json:"retryAfter"`
	MaxBackoff   float64 `json:"maxRetryAfterUs"`
}

type guaranteesForm struct {
	ColdShare   float64 `json:"coldShare"`
	ColdFor     float64 `json:"coldUs"`
	TipMultiple float64 `json:"tipMultiple"`
	FallFor     float64 `json:"fallUs"`
}

// settings are those of one balancer of a group.
func settings(group int, duplicates bool) settingsForm {
	form := settingsForm{
		Categories: []categoryForm{{Name: category, Benefit: 1, Target: targetLatency, TTL: timeToLive, Repeat: "retryable", Tardy: 0.5}},
		GroupSize:  group, Quantum: 1000, Discovery: "on_request", BenefitBy: "request",
		Models:    []string{standin.KindHost, standin.KindOrigin},
		Specifics: specificsForm{Mode: "aside", OriginKind: 1},
		Limits: limitsForm{MostPushes: 3, Cancelling: true, MayDuplicate: duplicates, ConnIdle: 60e6, Connect: 250e3,
			RetryAfter: true, MaxBackoff: 400e3},
		Guarantees: guaranteesForm{ColdShare: coldShare, ColdFor: coldFor * 1000, TipMultiple: tipMultiple, FallFor: tipFor * 1000},
	}
	for zone := range TargetZones {
		form.Zones = append(form.Zones, zoneName(zone))
	}
	form.Zone = form.Zones[0]
	return form
}

// How a host warms up after a start.
const (
	coldShare   = 0.3
	coldFor     = 5000.0 // ms
	tipMultiple = 3.0
	tipFor      = 1000.0 // ms
)

// parameters are the settings as a balancer reads them.
func parameters(form settingsForm) (params.Params, error) {
	text, err := json.Marshal(form)
	if err != nil {
		return params.Params{}, fmt.Errorf("settings: %w", err)
	}
	return params.Parse(text)
}

func zoneName(zone int) string { return fmt.Sprintf("zone%02d", zone%TargetZones) }

func hostName(host int) string { return fmt.Sprintf("cache%04d", host) }

// hostAddress is an address for a host that nobody connects to.
func hostAddress(host int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(host / 250), byte(host % 250)}), 11211)
}

// listed is a host's line in discovery's list.
func listed(host int, phase protocol.Phase) protocol.Member {
	return protocol.Member{ID: hostName(host), Address: hostAddress(host), Locality: zoneName(host), Flavor: standin.KindHost,
		Phase: phase, Size: 1}
}

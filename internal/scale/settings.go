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
	targetLatencyUS = 200e3
	ttlUS           = 600e3
	category        = "read"
)

// settingsJSON holds the fields of a balancer's settings that the measurements set.
type settingsJSON struct {
	Categories []categoryJSON `json:"categories"`
	GroupSize  int            `json:"groupSize"`
	QuantumUS  int            `json:"quantumUs"`
	Discovery  string         `json:"discovery"`
	BenefitBy  string         `json:"benefitBy"`
	Models     []string       `json:"models"`
	Zone       string         `json:"zone"`
	Zones      []string       `json:"zones"`
	Specifics  specificsJSON  `json:"specifics"`
	Limits     limitsJSON     `json:"limits"`
	Guarantees guaranteesJSON `json:"guarantees"`
}

// categoryJSON holds the settings of one category.
type categoryJSON struct {
	Name            string  `json:"name"`
	Benefit         float64 `json:"benefit"`
	TargetLatencyUS float64 `json:"targetLatencyUs"`
	TTLUS           float64 `json:"ttlUs"`
	Repeat          string  `json:"repeat"`
	TardyBenefit    float64 `json:"tardyBenefit"`
}

// specificsJSON holds the settings "specifics".
type specificsJSON struct {
	Mode       string `json:"mode"`
	OriginKind int    `json:"originKind"`
}

// limitsJSON holds the settings "limits".
type limitsJSON struct {
	MostPushes       int     `json:"mostPushes"`
	Cancelling       bool    `json:"cancelling"`
	MayDuplicate     bool    `json:"mayDuplicate"`
	ConnIdleUS       float64 `json:"connIdleUs"`
	ConnectTimeoutUS float64 `json:"connectTimeoutUs"`
	RetryAfter       bool    `json:"retryAfter"`
	MaxRetryAfterUS  float64 `json:"maxRetryAfterUs"`
}

// guaranteesJSON holds the settings "guarantees".
type guaranteesJSON struct {
	ColdShare   float64 `json:"coldShare"`
	ColdUS      float64 `json:"coldUs"`
	TipMultiple float64 `json:"tipMultiple"`
	FallUS      float64 `json:"fallUs"`
}

// balancerSettings returns the settings of a balancer that shares its hosts with a group of balancers of the given size.
// duplicates allows hedging.
func balancerSettings(group int, duplicates bool) settingsJSON {
	settings := settingsJSON{
		Categories: []categoryJSON{{Name: category, Benefit: 1, TargetLatencyUS: targetLatencyUS, TTLUS: ttlUS,
			Repeat: "retryable", TardyBenefit: 0.5}},
		GroupSize: group, QuantumUS: 1000, Discovery: "on_request", BenefitBy: "request",
		Models:    []string{standin.KindHost, standin.KindOrigin},
		Specifics: specificsJSON{Mode: "aside", OriginKind: 1},
		Limits: limitsJSON{MostPushes: 3, Cancelling: true, MayDuplicate: duplicates, ConnIdleUS: 60e6, ConnectTimeoutUS: 250e3,
			RetryAfter: true, MaxRetryAfterUS: 400e3},
		Guarantees: guaranteesJSON{ColdShare: coldCapacity, ColdUS: coldDurationMS * 1000, TipMultiple: overloadMultiple,
			FallUS: overloadDurationMS * 1000},
	}
	for zone := range TargetZones {
		settings.Zones = append(settings.Zones, zoneName(zone))
	}
	settings.Zone = settings.Zones[0]
	return settings
}

// Warm-up of a host after a start, and the overload that crashes a cold host.
const (
	coldCapacity       = 0.3
	coldDurationMS     = 5000.0
	overloadMultiple   = 3.0
	overloadDurationMS = 1000.0
)

// parseSettings encodes the settings and parses them the way a balancer does.
func parseSettings(settings settingsJSON) (params.Params, error) {
	text, err := json.Marshal(settings)
	if err != nil {
		return params.Params{}, fmt.Errorf("encode settings: %w", err)
	}
	return params.Parse(text)
}

// zoneName returns the name of a zone; numbers from TargetZones on wrap around.
func zoneName(zone int) string { return fmt.Sprintf("zone%02d", zone%TargetZones) }

// hostName returns the name of a host.
func hostName(host int) string { return fmt.Sprintf("cache%04d", host) }

// hostAddress returns a distinct address for a host that is never connected to.
func hostAddress(host int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(host / 250), byte(host % 250)}), 11211)
}

// hostMember returns a host's entry in discovery's list.
func hostMember(host int, phase protocol.Phase) protocol.Member {
	return protocol.Member{ID: hostName(host), Address: hostAddress(host), Locality: zoneName(host), Flavor: standin.KindHost,
		Phase: phase, Size: 1}
}

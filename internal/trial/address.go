package trial

import (
	"fmt"
	"os"
)

const (
	balancersPerNet = 80 // balancers in one net: each has three addresses of the 250 that are of use
	extraNets       = 15 // nets of a cluster beyond its first, for plans with many balancers
	maxBalancers    = balancersPerNet * (1 + extraNets)
	maxClusters     = 1 << 10 // clusters with further nets of their own: all that a quarter of loopback has room for

	// Last numbers of addresses. Balancers of one net have theirs in a row.
	hostsOctet       = 3
	firstListenOctet = 10
	firstLinksOctet  = firstListenOctet + balancersPerNet
	firstSourceOctet = firstLinksOctet + balancersPerNet
)

// addressSpace are a cluster's own part of loopback, by the process that it runs in.
type addressSpace struct{ pid int }

func processAddresses() addressSpace { return addressSpace{os.Getpid()} }

// hostsIP is the address of all hosts.
func (a addressSpace) hostsIP() string { return a.ip(0, hostsOctet) }

// listenIP is the address at which a balancer with a number listens.
func (a addressSpace) listenIP(balancer int) string {
	return a.ip(balancer/balancersPerNet, firstListenOctet+balancer%balancersPerNet)
}

// linksIP is the address of all its links.
func (a addressSpace) linksIP(balancer int) string {
	return a.ip(balancer/balancersPerNet, firstLinksOctet+balancer%balancersPerNet)
}

// sourceIP is the address that hosts see it as.
func (a addressSpace) sourceIP(balancer int) string {
	return a.ip(balancer/balancersPerNet, firstSourceOctet+balancer%balancersPerNet)
}

// ip is an address in a net of this cluster. First nets and further ones lie in parts of loopback of their own.
func (a addressSpace) ip(net, last int) string {
	if net == 0 {
		return fmt.Sprintf("127.%d.%d.%d", 64+a.pid>>8&127, a.pid&255, last)
	}
	index := a.pid%maxClusters*(extraNets+1) + net
	return fmt.Sprintf("127.%d.%d.%d", 192+index>>8, index&255, last)
}

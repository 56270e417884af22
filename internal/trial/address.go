package trial

import (
	"fmt"
	"os"
)

const (
	balancersPerNet = 80 // each has three of the 250 usable addresses of its net
	extraNets       = 15 // of a cluster, for plans with many balancers
	maxBalancers    = balancersPerNet * (1 + extraNets)
	maxClusters     = 1 << 10 // with extra nets of their own, as many as fit in a quarter of loopback

	// Last octets of addresses. Those of the balancers of one net are consecutive.
	hostsOctet       = 3
	firstListenOctet = 10
	firstLinksOctet  = firstListenOctet + balancersPerNet
	firstSourceOctet = firstLinksOctet + balancersPerNet
)

// addressSpace is a cluster's own part of the loopback network, derived from the ID of the process that runs the cluster.
type addressSpace struct{ pid int }

// processAddresses returns the address space of the current process.
func processAddresses() addressSpace { return addressSpace{os.Getpid()} }

// hostsIP returns the address that all hosts share.
func (a addressSpace) hostsIP() string { return a.ip(0, hostsOctet) }

// listenIP returns the address on which a balancer listens, by its number from 0.
func (a addressSpace) listenIP(balancer int) string {
	return a.ip(balancer/balancersPerNet, firstListenOctet+balancer%balancersPerNet)
}

// linksIP returns the address on which all links of a balancer listen.
func (a addressSpace) linksIP(balancer int) string {
	return a.ip(balancer/balancersPerNet, firstLinksOctet+balancer%balancersPerNet)
}

// sourceIP returns the address from which a balancer's links connect to hosts.
func (a addressSpace) sourceIP(balancer int) string {
	return a.ip(balancer/balancersPerNet, firstSourceOctet+balancer%balancersPerNet)
}

// ip returns an address in a net of this cluster. Net 0 and the extra nets lie in separate parts of loopback.
func (a addressSpace) ip(net, last int) string {
	if net == 0 {
		return fmt.Sprintf("127.%d.%d.%d", 64+a.pid>>8&127, a.pid&255, last)
	}
	index := a.pid%maxClusters*(extraNets+1) + net
	return fmt.Sprintf("127.%d.%d.%d", 192+index>>8, index&255, last)
}

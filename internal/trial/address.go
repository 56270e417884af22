package trial

import (
	"fmt"
	"os"
)

const (
	perNet        = 80 // balancers in one net: each has three addresses of the 250 that are of use
	furtherNets   = 15 // nets of a cluster beyond its first, for plans with many balancers
	mostBalancers = perNet * (1 + furtherNets)
	maxClusters   = 1 << 10 // clusters with further nets of their own: all that a quarter of loopback has room for

	// Last numbers of addresses. Balancers of one net have theirs in a row.
	hostsAt  = 3
	listenAt = 10
	linksAt  = listenAt + perNet
	sourceAt = linksAt + perNet
)

// addresses are a cluster's own part of loopback, by the process that it runs in.
type addresses struct{ pid int }

func ownAddresses() addresses { return addresses{os.Getpid()} }

// hosts is the address of all hosts.
func (a addresses) hosts() string { return a.address(0, hostsAt) }

// listen is the address at which a balancer with a number listens.
func (a addresses) listen(balancer int) string {
	return a.address(balancer/perNet, listenAt+balancer%perNet)
}

// links is the address of all its links.
func (a addresses) links(balancer int) string {
	return a.address(balancer/perNet, linksAt+balancer%perNet)
}

// source is the address that hosts see it as.
func (a addresses) source(balancer int) string {
	return a.address(balancer/perNet, sourceAt+balancer%perNet)
}

// address is an address in a net of this cluster. First nets and further ones lie in parts of loopback of their own.
func (a addresses) address(net, last int) string {
	if net == 0 {
		return fmt.Sprintf("127.%d.%d.%d", 64+a.pid>>8&127, a.pid&255, last)
	}
	further := a.pid%maxClusters*(furtherNets+1) + net
	return fmt.Sprintf("127.%d.%d.%d", 192+further>>8, further&255, last)
}

// Package feednet runs a feed.Node on TCP sockets, and keeps a publisher's changes on disk.
//
// One goroutine, the loop, owns the node. Each connection has a goroutine that reads, and one that writes for as long as
// there is something to write; both speak to the loop alone. A peer that does not read what it is sent is disconnected:
// nothing waits for it.
//
// A publisher appends its changes to a log and brings them to the disk before it sends or acknowledges them. A disk error
// ends the server, since what the disk holds is unknown from there on: started again, it goes on from its log.
//
// The link is plain TCP: it has no encryption and checks no more than the cluster's name. It has to be inside a trusted
// network.
package feednet

// Package feednet runs a feed.Node on TCP sockets, and keeps a publisher's changes on disk.
//
// A single goroutine, the event loop, owns the node. Each connection has one reader goroutine, which passes its messages
// to the loop, and a writer goroutine while frames are queued. A peer that reads too slowly is disconnected, so it delays
// nobody else.
//
// A publisher appends its changes to a log and syncs it before it sends or acknowledges them. A disk error stops the
// server, because the state of the log on disk is then unknown; a restarted publisher recovers from the log.
//
// Connections are plain TCP without encryption. The only check is on the cluster's name, so run this in a trusted network.
package feednet

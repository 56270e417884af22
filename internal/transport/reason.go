package transport

// Reason is the logged code for why a connection ended.
type Reason string

const (
	PeerClosed        Reason = "peer-closed"     // the peer closed it
	Reset             Reason = "reset"           // it failed
	ConnectFailed     Reason = "connect-failed"  // it was never established
	ConnectTimeout    Reason = "connect-timeout" // it was not established in time
	Cancelled         Reason = "called-off"      // its push was cancelled
	PushTimeout       Reason = "push-timeout"    // its push was given up
	IdleReleased      Reason = "hung-up"         // the balancer released it while idle
	IdleTimeout       Reason = "idle"            // idle for almost as long as the peer keeps it open
	Evicted           Reason = "shed"            // closed to make room for another
	SurplusIdle       Reason = "surplus"         // idle longest when too many clients were idle
	HostGone          Reason = "host-gone"       // its host is draining, gone, banned or has moved
	HostSilent        Reason = "host-silent"     // opened before its host fell silent or restarted
	UnexpectedInput   Reason = "not-quiet"       // input or the peer's end followed the last answer
	BadInput          Reason = "bad-input"       // its input could not be parsed
	WrongAnswer       Reason = "wrong-answer"    // the answer belongs to another op
	EarlyAnswer       Reason = "early-answer"    // the answer came before the push was sent in full
	SlowReader        Reason = "slow-reader"     // the client does not read its answers
	IncompleteCommand Reason = "half-sent"       // the rest of a command did not arrive
	NoCommand         Reason = "silent"          // no op arrived in time
	PeerTableFull     Reason = "table-full"      // the host accepts no more connections
	CloseRequested    Reason = "answered-last"   // the peer asked for it to be closed
	ShuttingDown      Reason = "stopping"        // the program is shutting down
	WatchRenewed      Reason = "watch-renewed"   // a new watch replaces this one
	WatchMoved        Reason = "watch-moved"     // the configuration names another discovery address
	WatchTimeout      Reason = "watch-timeout"   // discovery did not answer in time
	InvalidList       Reason = "no-list"         // discovery's answer was not a valid list
	IncompleteAnswer  Reason = "half-answer"     // a streamed value broke off
	HandedOver        Reason = "passed-on"       // the successor process has it
	OutOfSockets      Reason = "out-of-sockets"  // no descriptor was available
)

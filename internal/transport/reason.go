package transport

// Reason is a code for why a connection ended.
type Reason string

const (
	PeerClosed        Reason = "peer-closed"     // the other side closed it
	Reset             Reason = "reset"           // it broke
	ConnectFailed     Reason = "connect-failed"  // it never came up
	ConnectTimeout    Reason = "connect-timeout" // it did not come up in time
	Cancelled         Reason = "called-off"      // the push on it was called off
	PushTimeout       Reason = "push-timeout"    // the push on it was given up
	IdleReleased      Reason = "hung-up"         // given back while idle
	IdleTimeout       Reason = "idle"            // idle for nearly as long as the other side keeps it
	Evicted           Reason = "shed"            // idle, closed to make room for another
	SurplusIdle       Reason = "surplus"         // idle for longest of many
	HostGone          Reason = "host-gone"       // its host is draining or gone
	HostSilent        Reason = "host-silent"     // idle since before its host fell silent
	UnexpectedInput   Reason = "not-quiet"       // something came behind the last answer, or it ended there
	BadInput          Reason = "bad-input"       // what came on it could not be read
	WrongAnswer       Reason = "wrong-answer"    // the answer was to another op
	EarlyAnswer       Reason = "early-answer"    // the answer came before the push was written whole
	SlowReader        Reason = "slow-reader"     // it does not take its answers
	IncompleteCommand Reason = "half-sent"       // the rest of a command did not come
	NoCommand         Reason = "silent"          // no command came that could be taken
	PeerTableFull     Reason = "table-full"      // the other side holds no more connections
	CloseRequested    Reason = "answered-last"   // the other side asked for it to close
	ShuttingDown      Reason = "stopping"        // the program stops
	WatchRenewed      Reason = "watch-renewed"   // a new watch begins in place of this one
	WatchMoved        Reason = "watch-moved"     // the configuration names another address
	WatchTimeout      Reason = "watch-timeout"   // discovery did not answer in time
	InvalidList       Reason = "no-list"         // discovery answered with something else than a list
	IncompleteAnswer  Reason = "half-answer"     // the value that was passed on broke off
	HandedOver        Reason = "passed-on"       // the process that takes over has it
	OutOfSockets      Reason = "out-of-sockets"  // none was to be had
)

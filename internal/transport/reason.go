package transport

// Reason is a code for why a connection ended.
type Reason string

const (
	PeerClosed   Reason = "peer-closed"     // the other side closed it
	Reset        Reason = "reset"           // it broke
	Refused      Reason = "connect-failed"  // it never came up
	ConnectLate  Reason = "connect-timeout" // it did not come up in time
	CalledOff    Reason = "called-off"      // the push on it was called off
	PushLate     Reason = "push-timeout"    // the push on it was given up
	HungUp       Reason = "hung-up"         // given back while idle
	IdleTooLong  Reason = "idle"            // idle for nearly as long as the other side keeps it
	Shed         Reason = "shed"            // idle, closed to make room for another
	Surplus      Reason = "surplus"         // idle for longest of many
	Unlisted     Reason = "host-gone"       // its host is draining or gone
	Doubted      Reason = "host-silent"     // idle since before its host fell silent
	Unquiet      Reason = "not-quiet"       // something came behind the last answer, or it ended there
	BadInput     Reason = "bad-input"       // what came on it could not be read
	WrongAnswer  Reason = "wrong-answer"    // the answer was to another op
	EarlyAnswer  Reason = "early-answer"    // the answer came before the push was written whole
	SlowReader   Reason = "slow-reader"     // it does not take its answers
	HalfSent     Reason = "half-sent"       // the rest of a command did not come
	Silent       Reason = "silent"          // no command came that could be taken
	TableFull    Reason = "table-full"      // the other side holds no more connections
	LastAnswer   Reason = "answered-last"   // the other side asked for it to close
	Stopping     Reason = "stopping"        // the program stops
	WatchRenewed Reason = "watch-renewed"   // a new watch begins in place of this one
	WatchMoved   Reason = "watch-moved"     // the configuration names another address
	WatchOverdue Reason = "watch-timeout"   // discovery did not answer in time
	NoList       Reason = "no-list"         // discovery answered with something else than a list
	HalfAnswer   Reason = "half-answer"     // the value that was passed on broke off
	PassedOn     Reason = "passed-on"       // the process that takes over has it
	OutOfSockets Reason = "out-of-sockets"  // none was to be had
)

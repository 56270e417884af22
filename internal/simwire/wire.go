// Package simwire connects balancers to the simulator. It reads events and writes actions as lines of JSON: each event
// becomes a call of the balancer of an instance, and each call that a balancer makes on its port becomes an action. No
// other package uses the names and ids of this format.
package simwire

import (
	"encoding/json"

	"larchthread/balance"
)

// batch is a line of input.
type batch struct {
	TimeUs *int64  `json:"simTimeUs"`
	Input  []event `json:"input"`
}

// event is an input event. One field is set, or none for an event of unknown name.
type event struct {
	Configure  *configure  `json:"CONFIGURE"`
	Shutdown   *instance   `json:"SHUTDOWN"`
	DefineList *defineList `json:"DEFINE_LIST"`
	Announce   *announce   `json:"ANNOUNCE"`
	Arrival    *arrival    `json:"KNOCK"` // KNOCK is the simulator's name for it
	Headers    *headers    `json:"HEADERS"`
	AttemptEnd *attemptEnd `json:"ATTEMPT_END"`
	ClientLeft *clientLeft `json:"CLIENT_LEFT"`
	Alarm      *instance   `json:"ALARM"`
	Check      *instance   `json:"CHECK_RESULT"`
	Heard      *instance   `json:"HEARD"`
}

// instance holds the index of the instance that an event is for.
type instance struct {
	Index *int `json:"i"`
}

// configure starts an instance.
type configure struct {
	instance
	Seed   uint64          `json:"prng"`
	Params json.RawMessage `json:"params"`
}

// defineList defines the host list of a slot.
type defineList struct {
	Slot     *int      `json:"slot"`
	Elements []element `json:"elements"`
}

// element is a host in a list.
type element struct {
	UpSinceUs *int64  `json:"upSinceUs"` // simulated time; null for long ago
	Zone      string  `json:"az"`
	Kind      string  `json:"shape"`
	Size      float64 `json:"nominal"`
	Condition string  `json:"condition"`
	Cell      int     `json:"group"`
	Host      *uint32 `json:"host"`
}

// announce gives an instance a host list that was defined before.
type announce struct {
	instance
	Slot  int    `json:"slot"`
	Scope string `json:"scope"`
}

// arrival is the arrival of an op.
type arrival struct {
	instance
	OpID       string  `json:"corr"`
	Category   string  `json:"qos"`
	Tenant     *string `json:"party"`
	Key        *string `json:"targetKey"`
	DeadlineUs *int64  `json:"dropDeadUs"` // simulated time
	Write      bool    `json:"update"`
}

// headers is the beginning of an answer to a push.
type headers struct {
	instance
	OpID  string `json:"corr"`
	Round int    `json:"roundNo"`
}

// attemptEnd is the outcome of a push.
type attemptEnd struct {
	headers
	Code    *int  `json:"code"`
	SpentUs int64 `json:"spentUs"`
	Last    bool  `json:"last"`

	Stats json.RawMessage `json:"serverStats"`
}

// clientLeft tells that the client of an op is gone.
type clientLeft struct {
	instance
	OpID string `json:"corr"`
}

// outcomes maps completion codes. Others are of unknown outcome.
var outcomes = map[int]balance.Outcome{1: balance.Served, 2: balance.Failed, 3: balance.Overloaded,
	4: balance.TimedOut, 5: balance.ConnectFailed, 6: balance.ConnBroken, 7: balance.Cancelled, 8: balance.NotSent,
	9: balance.CacheMiss}

// action is an output action. Exactly one field is set.
type action struct {
	Send   *send      `json:"SEND,omitempty"`
	Undo   *undoSend  `json:"UNDO_SEND,omitempty"`
	Reject *reject    `json:"REJECT,omitempty"`
	Error  *opError   `json:"ERROR,omitempty"`
	After  *wakeUp    `json:"AFTER,omitempty"`
	Watch  *subscribe `json:"SUBSCRIBE,omitempty"`
	HangUp *hangUp    `json:"HANG_UP,omitempty"`
}

// send sends a push of an op to a host.
type send struct {
	Index   int    `json:"i"`
	OpID    string `json:"corr"`
	Host    uint32 `json:"host"`
	LimitUs int64  `json:"capUs"`
}

// undoSend cancels a push.
type undoSend struct {
	Index int    `json:"i"`
	OpID  string `json:"corr"`
	Round int    `json:"roundNo"`
}

// reject ends an op that did not run.
type reject struct {
	Index     int    `json:"i"`
	OpID      string `json:"corr"`
	BackoffUs int64  `json:"backoffUs"`
}

// opError ends an op that failed and may have run.
type opError struct {
	Index int    `json:"i"`
	OpID  string `json:"corr"`
}

// wakeUp requests an ALARM event after a delay.
type wakeUp struct {
	Index   int   `json:"i"`
	DelayUs int64 `json:"fromNowUs"`
	Ctx     int   `json:"ctx"`
}

// subscribe requests ANNOUNCE events.
type subscribe struct {
	Index  int  `json:"i"`
	Enable bool `json:"enable"`
}

// hangUp closes idle connections to a host.
type hangUp struct {
	Index int    `json:"i"`
	Host  uint32 `json:"host"`
}

// Package simwire speaks the simulator's wire: JSON lines of events in, JSON lines of actions out. It
// turns each event into a call on the instance's balancer and each call of the balancer on its port
// into an action. The wire's names and ids end here.
package simwire

import (
	"encoding/json"

	"larchthread/balance"
)

// batch is one line of input.
type batch struct {
	Now   *int64  `json:"simTimeUs"`
	Input []event `json:"input"`
}

// event has one of its fields set.
type event struct {
	Configure  *configure  `json:"CONFIGURE"`
	Shutdown   *instance   `json:"SHUTDOWN"`
	DefineList *defineList `json:"DEFINE_LIST"`
	Announce   *announce   `json:"ANNOUNCE"`
	Arrival    *arrival    `json:"KNOCK"` // the simulator's name stays
	Headers    *headers    `json:"HEADERS"`
	AttemptEnd *attemptEnd `json:"ATTEMPT_END"`
	ClientLeft *clientLeft `json:"CLIENT_LEFT"`
	Alarm      *instance   `json:"ALARM"`
	Check      *instance   `json:"CHECK_RESULT"`
	Heard      *instance   `json:"HEARD"`
}

type instance struct {
	I *int `json:"i"`
}

type configure struct {
	instance
	Seed   uint64          `json:"prng"`
	Params json.RawMessage `json:"params"`
}

type defineList struct {
	Slot     *int      `json:"slot"`
	Elements []element `json:"elements"`
}

type element struct {
	UpSince   *int64  `json:"upSinceUs"`
	Zone      string  `json:"az"`
	Shape     string  `json:"shape"`
	Nominal   float64 `json:"nominal"`
	Condition string  `json:"condition"`
	Cell      int     `json:"group"`
	Host      *uint32 `json:"host"`
}

type announce struct {
	instance
	Slot  int    `json:"slot"`
	Scope string `json:"scope"`
}

// arrival is an op that arrives.
type arrival struct {
	instance
	Corr   string  `json:"corr"`
	QoS    string  `json:"qos"`
	Party  *string `json:"party"`
	Key    *string `json:"targetKey"`
	DropAt *int64  `json:"dropDeadUs"`
	Update bool    `json:"update"`
}

type headers struct {
	instance
	Corr  string `json:"corr"`
	Round int    `json:"roundNo"`
}

type attemptEnd struct {
	headers
	Code  *int  `json:"code"`
	Spent int64 `json:"spentUs"`
	Last  bool  `json:"last"`

	Stats json.RawMessage `json:"serverStats"`
}

type clientLeft struct {
	instance
	Corr string `json:"corr"`
}

// outcomes by completion code.
var outcomes = map[int]balance.Outcome{1: balance.Served, 2: balance.Failed, 3: balance.Overloaded,
	4: balance.TimedOut, 5: balance.ConnectFailed, 6: balance.ConnBroken, 7: balance.Cancelled, 8: balance.NotSent,
	9: balance.CacheMiss}

// action has one of its fields set.
type action struct {
	Send   *send   `json:"SEND,omitempty"`
	Undo   *undo   `json:"UNDO_SEND,omitempty"`
	Reject *reject `json:"REJECT,omitempty"`
	Error  *ended  `json:"ERROR,omitempty"`
	After  *after  `json:"AFTER,omitempty"`
	Watch  *watch  `json:"SUBSCRIBE,omitempty"`
	HangUp *hangUp `json:"HANG_UP,omitempty"`
}

type send struct {
	I    int    `json:"i"`
	Corr string `json:"corr"`
	Host uint32 `json:"host"`
	Cap  int64  `json:"capUs"`
}

type undo struct {
	I     int    `json:"i"`
	Corr  string `json:"corr"`
	Round int    `json:"roundNo"`
}

type reject struct {
	I       int    `json:"i"`
	Corr    string `json:"corr"`
	Backoff int64  `json:"backoffUs"`
}

type ended struct {
	I    int    `json:"i"`
	Corr string `json:"corr"`
}

type after struct {
	I    int   `json:"i"`
	From int64 `json:"fromNowUs"`
	Ctx  int   `json:"ctx"`
}

type watch struct {
	I      int  `json:"i"`
	Enable bool `json:"enable"`
}

type hangUp struct {
	I    int    `json:"i"`
	Host uint32 `json:"host"`
}

package request

import (
	"context"

	"github.com/looplab/fsm"
)

// State is a state in the life of a request at its owner.
type State string

// States of a request. The last five are final.
const (
	// Accepted: the owner has the request; nothing was sent anywhere.
	Accepted State = "accepted"
	// Claiming: the claim of a non-repeatable request is being written.
	Claiming State = "claiming"
	// Running: an attempt is at a backend server.
	Running State = "running"
	// Recovering: the attempt's connection was lost; the owner attaches again,
	// continues elsewhere or retries.
	Recovering State = "recovering"
	// HandedOver: another node owns the request now.
	HandedOver State = "handed-over"
	// EndedCompleted and the states after it mirror the outcomes.
	EndedCompleted State = "completed"
	EndedNotRun    State = "not-run"
	EndedFailed    State = "failed"
	EndedUnknown   State = "unknown"
)

// Transitions of the state machine, by name.
const (
	transClaim    = "claim"
	transDispatch = "dispatch"
	transLose     = "lose"
	transHandOver = "hand-over"
	transComplete = "complete"
	transNotRun   = "end-not-run"
	transFail     = "end-failed"
	transUnknown  = "end-unknown"
)

// transitions lists every allowed change of state. "not-run" cannot follow
// "running" directly: the attempt must first be known not to have run, which
// takes the request through "recovering".
var transitions = fsm.Events{
	{Name: transClaim, Src: names(Accepted, Recovering), Dst: string(Claiming)},
	{Name: transDispatch, Src: names(Accepted, Claiming, Recovering), Dst: string(Running)},
	{Name: transLose, Src: names(Running, Claiming), Dst: string(Recovering)},
	{Name: transHandOver, Src: names(Accepted, Claiming, Running, Recovering), Dst: string(HandedOver)},
	{Name: transComplete, Src: names(Running), Dst: string(EndedCompleted)},
	{Name: transNotRun, Src: names(Accepted, Claiming, Recovering), Dst: string(EndedNotRun)},
	{Name: transFail, Src: names(Accepted, Running, Recovering), Dst: string(EndedFailed)},
	{Name: transUnknown, Src: names(Accepted, Claiming, Running, Recovering), Dst: string(EndedUnknown)},
}

// endTransition maps an outcome to the transition that ends a request with it.
var endTransition = map[Outcome]string{
	Completed: transComplete,
	NotRun:    transNotRun,
	Failed:    transFail,
	Unknown:   transUnknown,
}

// IsFinal reports whether no further change of state is possible.
func (s State) IsFinal() bool {
	switch s {
	case HandedOver, EndedCompleted, EndedNotRun, EndedFailed, EndedUnknown:
		return true
	}
	return false
}

func names(states ...State) []string {
	out := make([]string, len(states))
	for i, s := range states {
		out[i] = string(s)
	}
	return out
}

func newMachine() *fsm.FSM {
	return fsm.NewFSM(string(Accepted), transitions, fsm.Callbacks{})
}

// fire applies a transition; the error names the refused change.
func fire(m *fsm.FSM, transition string) error {
	return m.Event(context.Background(), transition)
}

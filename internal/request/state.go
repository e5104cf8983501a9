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
	transitionClaim    = "claim"
	transitionDispatch = "dispatch"
	transitionLose     = "lose"
	transitionHandOver = "hand-over"
	transitionComplete = "complete"
	transitionNotRun   = "end-not-run"
	transitionFail     = "end-failed"
	transitionUnknown  = "end-unknown"
)

// transitions lists every allowed change of state. "not-run" cannot follow
// "running" directly: the attempt must first be known not to have run, which
// takes the request through "recovering".
var transitions = fsm.Events{
	{Name: transitionClaim, Src: stateNames(Accepted, Recovering), Dst: string(Claiming)},
	{Name: transitionDispatch, Src: stateNames(Accepted, Claiming, Recovering), Dst: string(Running)},
	{Name: transitionLose, Src: stateNames(Running, Claiming), Dst: string(Recovering)},
	{Name: transitionHandOver, Src: stateNames(Accepted, Claiming, Running, Recovering), Dst: string(HandedOver)},
	{Name: transitionComplete, Src: stateNames(Running), Dst: string(EndedCompleted)},
	{Name: transitionNotRun, Src: stateNames(Accepted, Claiming, Recovering), Dst: string(EndedNotRun)},
	{Name: transitionFail, Src: stateNames(Accepted, Running, Recovering), Dst: string(EndedFailed)},
	{Name: transitionUnknown, Src: stateNames(Accepted, Claiming, Running, Recovering), Dst: string(EndedUnknown)},
}

// endTransition maps an outcome to the transition that ends a request with it.
var transitionByOutcome = map[Outcome]string{
	Completed: transitionComplete,
	NotRun:    transitionNotRun,
	Failed:    transitionFail,
	Unknown:   transitionUnknown,
}

// IsFinal reports whether no further change of state is possible.
func (s State) IsFinal() bool {
	switch s {
	case HandedOver, EndedCompleted, EndedNotRun, EndedFailed, EndedUnknown:
		return true
	}
	return false
}

func stateNames(states ...State) []string {
	out := make([]string, len(states))
	for i, s := range states {
		out[i] = string(s)
	}
	return out
}

func newStateMachine() *fsm.FSM {
	return fsm.NewFSM(string(Accepted), transitions, fsm.Callbacks{})
}

// fire applies a transition; the error names the refused change.
func apply(m *fsm.FSM, transition string) error {
	return m.Event(context.Background(), transition)
}

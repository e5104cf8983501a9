package request

import (
	"context"

	"github.com/looplab/fsm"
)

// State is the state of a request at its owner.
type State string

// States of a request. The last five are final.
const (
	// Accepted means that the owner has the request and has not sent it to any
	// backend server.
	Accepted State = "accepted"
	// Claiming means that the claim of a non-repeatable request is being
	// written.
	Claiming State = "claiming"
	// Running means that an attempt is in flight at a backend server.
	Running State = "running"
	// Recovering means that the last attempt was lost. The owner reattaches to
	// it, continues the answer at another server or retries.
	Recovering State = "recovering"
	// HandingOver means that the request is stopped here and is being transferred
	// to another node, which has not confirmed the receipt yet.
	HandingOver State = "handing-over"
	// HandedOver means that another node owns the request now.
	HandedOver State = "handed-over"
	// EndedCompleted and the states after it correspond to the outcomes.
	EndedCompleted State = "completed"
	EndedNotRun    State = "not-run"
	EndedFailed    State = "failed"
	EndedUnknown   State = "unknown"
)

// Names of the transitions of the state machine.
const (
	transitionClaim    = "claim"
	transitionDispatch = "dispatch"
	transitionLose     = "lose"
	transitionHandOver = "hand-over"
	transitionStop     = "stop-for-hand-over"
	transitionTransfer = "end-hand-over"
	transitionComplete = "complete"
	transitionNotRun   = "end-not-run"
	transitionFail     = "end-failed"
	transitionUnknown  = "end-unknown"
)

// transitions lists all allowed transitions. There is none from "running" to
// "not-run": the owner must first establish that the attempt did not run, which
// it does in the state "recovering".
var transitions = fsm.Events{
	{Name: transitionClaim, Src: stateNames(Accepted, Recovering), Dst: string(Claiming)},
	{Name: transitionDispatch, Src: stateNames(Accepted, Claiming, Recovering), Dst: string(Running)},
	{Name: transitionLose, Src: stateNames(Running, Claiming), Dst: string(Recovering)},
	{Name: transitionHandOver, Src: stateNames(Accepted, Claiming, Running, Recovering), Dst: string(HandedOver)},
	{Name: transitionStop, Src: stateNames(Accepted, Running), Dst: string(HandingOver)},
	{Name: transitionTransfer, Src: stateNames(HandingOver), Dst: string(HandedOver)},
	{Name: transitionComplete, Src: stateNames(Running), Dst: string(EndedCompleted)},
	{Name: transitionNotRun, Src: stateNames(Accepted, Claiming, Recovering), Dst: string(EndedNotRun)},
	{Name: transitionFail, Src: stateNames(Accepted, Running, Recovering), Dst: string(EndedFailed)},
	{Name: transitionUnknown, Src: stateNames(Accepted, Claiming, Running, Recovering), Dst: string(EndedUnknown)},
}

// transitionByOutcome maps an outcome to the transition that ends a request
// with it.
var transitionByOutcome = map[Outcome]string{
	Completed: transitionComplete,
	NotRun:    transitionNotRun,
	Failed:    transitionFail,
	Unknown:   transitionUnknown,
}

// IsFinal reports whether the state has no further transitions.
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

// apply applies a transition. If the state machine refuses it, the error names
// the transition and the current state.
func apply(m *fsm.FSM, transition string) error {
	return m.Event(context.Background(), transition)
}

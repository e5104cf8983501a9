package fuzz

import (
	"fmt"
	"time"
)

// Call is one logical request of a caller. Its content is unique, so that the
// executions recorded by backend servers can be matched to it.
type Call struct {
	Number        int
	NonRepeatable bool
	// Verify checks a complete answer: the text of a stream, or a body.
	Verify func(answer string) error
}

// StreamEvent is one event of a streamed answer.
type StreamEvent struct {
	Sequence int
	// ID is the event's ID as the caller received it.
	ID   string
	Text string
}

// Submission is one connection of a caller, which either sends a call or attaches
// to the answer of a call that was sent earlier.
type Submission struct {
	Call         *Call
	Entry        string
	IsAttach     bool
	Began, Ended time.Time
	// GotResponse is true if the entry sent response headers.
	GotResponse bool
	// Accepted is true if the entry returned a request ID.
	Accepted bool
	// Outcome is the outcome in the entry's answer; empty if the connection
	// ended without one.
	Outcome string
	// Redirected is true if the entry told the caller to attach at another
	// entry.
	Redirected bool
	// HungUp is true if the caller closed the connection or timed out before
	// the outcome.
	HungUp bool
	// ExpectedBreak is the reason for which the connection may end without an
	// outcome; empty if it must not.
	ExpectedBreak string
	Err           error
	// IsStream is true if the answer is streamed; otherwise Body holds it.
	IsStream bool
	Body     string
	// After is the sequence number of the last event that the caller received
	// on earlier connections; EarlierEvents holds all these events.
	After         int
	EarlierEvents []StreamEvent
	Events        []StreamEvent
}

// OlderSystem is the name of the older system among the servers.
const OlderSystem = "older"

// Execution is one start of a call at a backend server or at the older system.
type Execution struct {
	Call   int
	Server string
	At     time.Time
}

// DispatchAfterNotice is a request sent to a backend server that has received a
// reclaim notice. KnowableSince is the time from which the entry could know of the
// notice: the latest of the notice itself, the entry's start, and the end of the
// last period in which neither the entry nor a node reachable from it could reach
// the cloud API.
type DispatchAfterNotice struct {
	Entry, Server     string
	At, KnowableSince time.Time
}

// ObservedConfig is the configuration in force at a running node at one time.
// Incarnation distinguishes the processes that run under one node ID.
type ObservedConfig struct {
	Node        string
	Incarnation int
	At          time.Time
	Revision    int64
	Operation   string
}

// Acceptance is a document change whose acceptance was confirmed to an operator.
type Acceptance struct {
	Revision  int64
	Operation string
	At        time.Time
}

// MissedRevision is a node that lacked an accepted revision after PropagationTime,
// although the store was reachable for it all that time.
type MissedRevision struct {
	Node string
	Acceptance
	ActualRevision int64
}

// Time limits of the invariants.
const (
	NoticeReactionTime = 3 * time.Second
	PropagationTime    = 4 * time.Second
	RecoveryTime       = 30 * time.Second
	// AnswerRetention is how long an answer is kept for callers that attach.
	AnswerRetention = 90 * time.Second
)

// Observations hold everything that the oracle knows about a history.
type Observations struct {
	Submissions           []*Submission
	Runs                  []Execution
	DispatchesAfterNotice []DispatchAfterNotice
	ObservedConfigs       []ObservedConfig
	Accepted              []Acceptance
	MissedRevisions       []MissedRevision
	// FinalConfigs holds the configuration of each stable node at the end.
	FinalConfigs []ObservedConfig
	// IsGraceful is true if the history has no faults, only planned stops and
	// reclaims with notice.
	IsGraceful bool
	// RecoveryErr is nil if a repeatable request completed at each stable entry
	// within RecoveryTime after the end of all faults.
	RecoveryErr error
}

// Violation is an invariant that does not hold in a history.
type Violation struct{ Invariant, Detail string }

func (v Violation) String() string { return v.Invariant + ": " + v.Detail }

// CheckInvariants returns the violations of invariants in the observations.
func CheckInvariants(observations *Observations) []Violation {
	o := &oracle{observations: observations, runs: map[int][]Execution{}, submissions: map[int][]*Submission{}}
	for _, r := range observations.Runs {
		o.runs[r.Call] = append(o.runs[r.Call], r)
	}
	for _, s := range observations.Submissions {
		o.submissions[s.Call.Number] = append(o.submissions[s.Call.Number], s)
	}
	for _, s := range observations.Submissions {
		o.checkAnswer(s)
		o.checkOutcome(s)
		o.checkNotRun(s)
	}
	o.checkAtMostOnce()
	o.checkDispatches()
	o.checkConfigs()
	if observations.RecoveryErr != nil {
		o.violated("recovers", "%v", observations.RecoveryErr)
	}
	return o.violations
}

// oracle checks observations and collects violations. runs and submissions are
// keyed by the number of the call.
type oracle struct {
	observations *Observations
	runs         map[int][]Execution
	submissions  map[int][]*Submission
	violations   []Violation
}

func (o *oracle) violated(invariant, format string, args ...any) {
	o.violations = append(o.violations, Violation{invariant, fmt.Sprintf(format, args...)})
}

// checkAnswer checks that the events of an answer have no gaps or repeats, and that
// a completed answer is complete and belongs to its call.
func (o *oracle) checkAnswer(s *Submission) {
	text := ""
	for _, p := range s.EarlierEvents {
		text += p.Text
	}
	for i, p := range s.Events {
		if p.Sequence != s.After+i+1 {
			o.violated("in order", "call %d at %s: event %d follows event %d", s.Call.Number, s.Entry, p.Sequence, s.After+i)
			return
		}
		text += p.Text
	}
	if s.Outcome != "completed" {
		return
	}
	if !s.IsStream {
		text = s.Body
	}
	if err := s.Call.Verify(text); err != nil {
		o.violated("whole and own", "call %d at %s after %d: %v", s.Call.Number, s.Entry, s.After, err)
	}
}

// checkOutcome checks that no connection ends without an outcome, unless the break
// is expected, and that a graceful history has no unknown or failed outcome.
func (o *oracle) checkOutcome(s *Submission) {
	if s.HungUp || s.Redirected {
		return
	}
	if s.Outcome == "" && s.ExpectedBreak == "" {
		o.violated("answered", "call %d at %s began %v: connection ended without outcome: %v",
			s.Call.Number, s.Entry, s.Began, s.Err)
	}
	if o.observations.IsGraceful && o.mustKnowOutcome(s) && (s.Outcome == "unknown" || s.Outcome == "failed") {
		o.violated("survives notice", "call %d at %s is %s: %.300s", s.Call.Number, s.Entry, s.Outcome, s.Body)
	}
}

// mustKnowOutcome reports whether a graceful history requires a definite outcome of
// the submission: it was accepted, and if it attaches, the call was accepted before
// and its answer is still retained.
func (o *oracle) mustKnowOutcome(s *Submission) bool {
	if !s.Accepted || o.isUnresumable(s.Call) {
		return false
	}
	if !s.IsAttach {
		return true
	}
	for _, other := range o.submissions[s.Call.Number] {
		if !other.IsAttach && other.Accepted && other.Outcome != "not-run" &&
			!other.Ended.After(s.Began) && s.Began.Sub(other.Ended) < AnswerRetention {
			return true
		}
	}
	return false
}

// isUnresumable reports whether the call is non-repeatable and ran at the older
// system, whose answers cannot be resumed: if the VM that reads such an answer is
// reclaimed before the end, no node can get the rest.
func (o *oracle) isUnresumable(c *Call) bool {
	for _, r := range o.runs[c.Number] {
		if c.NonRepeatable && r.Server == OlderSystem {
			return true
		}
	}
	return false
}

// checkNotRun checks that a call with the outcome "not-run" had not run before, and
// did not run afterwards unless another submission ended later or may still have
// been in transit.
func (o *oracle) checkNotRun(s *Submission) {
	if s.Outcome != "not-run" || s.IsAttach {
		return
	}
	for _, r := range o.runs[s.Call.Number] {
		if !r.At.After(s.Ended) {
			o.violated("not-run is true", "call %d ran at %s at %v, told not-run by %s at %v",
				s.Call.Number, r.Server, r.At, s.Entry, s.Ended)
		} else if !o.mayRunAfter(s) {
			o.violated("not-run is true", "call %d ran at %s at %v, after not-run by %s at %v",
				s.Call.Number, r.Server, r.At, s.Entry, s.Ended)
		}
	}
}

// mayRunAfter reports whether another submission of the same call may start a run
// after s has ended.
func (o *oracle) mayRunAfter(s *Submission) bool {
	for _, other := range o.submissions[s.Call.Number] {
		if other != s && !other.IsAttach && (other.Ended.After(s.Ended) || !other.GotResponse) {
			return true
		}
	}
	return false
}

// checkAtMostOnce checks that a non-repeatable call has at most one run.
func (o *oracle) checkAtMostOnce() {
	for number, runs := range o.runs {
		subs := o.submissions[number]
		if len(runs) > 1 && len(subs) > 0 && subs[0].Call.NonRepeatable {
			o.violated("at most once", "call %d ran %d times: %v", number, len(runs), runs)
		}
	}
}

// checkDispatches checks that an entry sends no work to a leaving backend server
// later than NoticeReactionTime after it could know of the notice.
func (o *oracle) checkDispatches() {
	for _, d := range o.observations.DispatchesAfterNotice {
		if d.At.Sub(d.KnowableSince) > NoticeReactionTime {
			o.violated("no work for leaving", "%s dispatched to %s %v after it could know",
				d.Entry, d.Server, d.At.Sub(d.KnowableSince))
		}
	}
}

// checkConfigs checks that the revision at a node never decreases, that a revision
// is the same change at all nodes, and that accepted changes come into force in
// time and are not lost.
func (o *oracle) checkConfigs() {
	type incarnation struct {
		node   string
		number int
	}
	last := map[incarnation]int64{}
	operations := map[int64]string{}
	checkSameOperation := func(revision int64, operation, where string) {
		if known, ok := operations[revision]; ok && known != operation {
			o.violated("configuration is one", "revision %d is %q and, at %s, %q", revision, known, where, operation)
		}
		operations[revision] = operation
	}
	highest := int64(0)
	for _, a := range o.observations.Accepted {
		checkSameOperation(a.Revision, a.Operation, "operator")
		highest = max(highest, a.Revision)
	}
	for _, s := range append(o.observations.ObservedConfigs, o.observations.FinalConfigs...) {
		key := incarnation{s.Node, s.Incarnation}
		if s.Revision < last[key] {
			o.violated("configuration never falls", "%s had revision %d, then %d", s.Node, last[key], s.Revision)
		}
		last[key] = s.Revision
		checkSameOperation(s.Revision, s.Operation, s.Node)
	}
	for _, m := range o.observations.MissedRevisions {
		o.violated("configuration in time", "%s has revision %d, %v after %d was accepted", m.Node, m.ActualRevision, PropagationTime, m.Revision)
	}
	for _, s := range o.observations.FinalConfigs {
		if s.Revision < highest {
			o.violated("configuration is kept", "%s ends with revision %d, accepted was %d", s.Node, s.Revision, highest)
		}
	}
}

package fuzz

import (
	"fmt"
	"time"
)

// Call is one logical request of a caller. Its content is its own, so that
// backend servers' records can be matched to it.
type Call struct {
	Number        int
	NonRepeatable bool
	// Verify checks a whole answer: the text of a stream, or a body.
	Verify func(answer string) error
}

// Piece is one event of a streamed answer.
type StreamEvent struct {
	Sequence int
	// ID is the event's ID as the caller received it.
	ID   string
	Text string
}

// Submission is one connection of a caller: a call sent, or an answer attached
// to.
type Submission struct {
	Call         *Call
	Entry        string
	IsAttach     bool
	Began, Ended time.Time
	// Heard is true if the entry answered anything.
	GotResponse bool
	// Accepted is true if the entry named the request.
	Accepted bool
	// Outcome is what the caller was told; empty if the connection ended
	// without one.
	Outcome string
	// SentAway is true if the caller was told to attach at another entry.
	Redirected bool
	// HungUp is true if the caller left.
	HungUp bool
	// Excuse says why the connection may break, empty if it may not.
	ExpectedBreak string
	Err           error
	// IsStream tells the form of the answer; Body is a whole one.
	IsStream bool
	Body     string
	// After is the last event that the caller had before; Before holds it and
	// those before it.
	After         int
	EarlierEvents []StreamEvent
	Events        []StreamEvent
}

// Older is the name of the older system among the servers.
const OlderSystem = "older"

// Execution is one start of a call at a backend server or at the older system.
type Execution struct {
	Call   int
	Server string
	At     time.Time
}

// Dispatch is a request sent to a backend server that is under notice.
// Informed is the time since when the entry could know of the notice: the
// notice itself, the entry's start, or the end of the last time in which
// neither the entry nor a node that it reaches could reach the platform.
type DispatchAfterNotice struct {
	Entry, Server     string
	At, KnowableSince time.Time
}

// Sighting is the configuration in force at a running node.
type ObservedConfig struct {
	Node        string
	Incarnation int
	At          time.Time
	Revision    int64
	Operation   string
}

// Acceptance is a change that an operator was told is accepted.
type Acceptance struct {
	Revision  int64
	Operation string
	At        time.Time
}

// Missing is a node that did not have an accepted revision within SpreadTime,
// although it could be reached all the time.
type MissedRevision struct {
	Node string
	Acceptance
	ActualRevision int64
}

// Limits in the promises.
const (
	NoticeReactionTime = 3 * time.Second
	PropagationTime    = 4 * time.Second
	RecoveryTime       = 30 * time.Second
	// KeepTime is how long an answer is kept for callers that attach.
	AnswerRetention = 90 * time.Second
)

// Observations are all that the oracle knows of a history.
type Observations struct {
	Submissions           []*Submission
	Runs                  []Execution
	DispatchesAfterNotice []DispatchAfterNotice
	ObservedConfigs       []ObservedConfig
	Accepted              []Acceptance
	MissedRevisions       []MissedRevision
	// Last holds the configuration at each node at the end.
	FinalConfigs []ObservedConfig
	// IsCalm is true if nothing failed without notice.
	IsGraceful bool
	// Recovered is nil if a repeatable request completed within RecoverTime
	// of the end of all faults.
	Recovered error
}

// Violation is a broken promise.
type Violation struct{ Invariant, Detail string }

func (v Violation) String() string { return v.Invariant + ": " + v.Detail }

// Judge returns the promises that were broken.
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
	if observations.Recovered != nil {
		o.violated("recovers", "%v", observations.Recovered)
	}
	return o.violations
}

type oracle struct {
	observations *Observations
	runs         map[int][]Execution
	submissions  map[int][]*Submission
	violations   []Violation
}

func (o *oracle) violated(invariant, format string, args ...any) {
	o.violations = append(o.violations, Violation{invariant, fmt.Sprintf(format, args...)})
}

// answer: events have no gap, repeat or mix, and a completed answer is whole
// and the call's own.
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

// connection: no connection ends without an outcome, unless its process or VM
// ended; and where nothing failed without notice, nothing is lost.
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

// mustBeKnown reports whether the outcome of the submission must be known where
// nothing failed without notice: it was accepted, or it attaches to a call that
// was accepted and whose answer is still kept.
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

// isLostWithOlder reports whether the call may not run again and ran at the
// older system, whose answers cannot be resumed: when the VM that follows such
// an answer goes before its end, no node can have the rest of it.
func (o *oracle) isUnresumable(c *Call) bool {
	for _, r := range o.runs[c.Number] {
		if c.NonRepeatable && r.Server == OlderSystem {
			return true
		}
	}
	return false
}

// notRun: no run started before the caller was told "not-run", nor after it
// unless another submission was open then, came later, or may be on its way.
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

func (o *oracle) mayRunAfter(s *Submission) bool {
	for _, other := range o.submissions[s.Call.Number] {
		if other != s && !other.IsAttach && (other.Ended.After(s.Ended) || !other.GotResponse) {
			return true
		}
	}
	return false
}

// atMostOnce: a non-repeatable call has at most one run.
func (o *oracle) checkAtMostOnce() {
	for number, runs := range o.runs {
		subs := o.submissions[number]
		if len(runs) > 1 && len(subs) > 0 && subs[0].Call.NonRepeatable {
			o.violated("at most once", "call %d ran %d times: %v", number, len(runs), runs)
		}
	}
}

// leaving: a leaving backend server gets no work later than LeaveTime after an
// entry could know of its notice.
func (o *oracle) checkDispatches() {
	for _, d := range o.observations.DispatchesAfterNotice {
		if d.At.Sub(d.KnowableSince) > NoticeReactionTime {
			o.violated("no work for leaving", "%s dispatched to %s %v after it could know",
				d.Entry, d.Server, d.At.Sub(d.KnowableSince))
		}
	}
}

// configuration: a node's revision never falls, a revision is one change
// everywhere, and accepted changes are in force in time and stay.
func (o *oracle) checkConfigs() {
	type incarnation struct {
		node string
		life int
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
		at := incarnation{s.Node, s.Incarnation}
		if s.Revision < last[at] {
			o.violated("configuration never falls", "%s had revision %d, then %d", s.Node, last[at], s.Revision)
		}
		last[at] = s.Revision
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

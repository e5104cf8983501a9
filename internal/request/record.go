package request

import (
	"sync"
	"time"

	"github.com/looplab/fsm"

	"buckthornpick/internal/fault"
)

// Record holds the state, attempts and answer of one request at its owner. It is
// safe for concurrent use.
//
// Invariants, guarded by mu:
//   - events[i].Sequence == i+1;
//   - only the current attempt appends events;
//   - nothing changes after end is set.
type Record struct {
	// Request is immutable. It has no body and headers, because the record is
	// kept for longer than they are needed.
	Request *Request

	mu       sync.Mutex
	machine  *fsm.FSM
	attempt  int
	head     *Head
	events   []Event
	bytes    int
	maxBytes int
	end      *End
	endedAt  time.Time
	// changed is closed at the next change. It is nil while no cursor waits.
	changed chan struct{}
}

// NewRecord returns the record of an accepted request. maxBytes is the maximum
// size of its answer.
func NewRecord(r *Request, maxBytes int) *Record {
	return &Record{
		Request:  r.withoutBody(),
		machine:  newStateMachine(),
		maxBytes: maxBytes,
	}
}

// State returns the current state.
func (r *Record) State() State {
	r.mu.Lock()
	defer r.mu.Unlock()
	return State(r.machine.Current())
}

// Claim enters the state Claiming. Like the other methods that change the state,
// it returns fault.Conflict if the current state does not allow the transition.
func (r *Record) Claim() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.applyLocked(transitionClaim)
}

// Dispatch starts the next attempt and returns its number, counted from 1.
// Answers of earlier attempts are refused from then on.
func (r *Record) Dispatch() (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.applyLocked(transitionDispatch); err != nil {
		return 0, err
	}
	r.attempt++
	return r.attempt, nil
}

// MarkLost records that the connection of the current attempt was lost or that
// its claim could not be written.
func (r *Record) MarkLost() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.applyLocked(transitionLose)
}

// StopForHandOver stops the request here: nothing is appended any more, and its
// state and answer so far can be transferred to another node. Callers wait until
// EndHandOver.
func (r *Record) StopForHandOver() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.applyLocked(transitionStop)
}

// EndHandOver records the end of the transfer that followed StopForHandOver.
func (r *Record) EndHandOver() error { return r.handOver(transitionTransfer) }

// HandOver records that another node owns the request now. This state is final.
func (r *Record) HandOver() error { return r.handOver(transitionHandOver) }

func (r *Record) handOver(transition string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.applyLocked(transition); err != nil {
		return err
	}
	r.broadcastLocked()
	return nil
}

// SetHead stores the head of the answer. Only the first call has an effect,
// because callers may have received that head already.
func (r *Record) SetHead(attempt int, h Head) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.checkAttemptLocked(attempt); err != nil {
		return err
	}
	if r.head == nil {
		r.head = &h
		r.broadcastLocked()
	}
	return nil
}

// Append adds the next event of the answer. It returns fault.Conflict for an
// event of another attempt, fault.Protocol for an event that is out of sequence,
// and fault.Exhausted if the answer would exceed its maximum size.
func (r *Record) Append(attempt int, ev Event) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.checkAttemptLocked(attempt); err != nil {
		return err
	}
	if ev.Sequence != len(r.events)+1 {
		return fault.New(fault.Protocol, "request.append", "",
			"event %d does not follow event %d", ev.Sequence, len(r.events))
	}
	if r.bytes+len(ev.Data) > r.maxBytes {
		return fault.New(fault.Exhausted, "request.append", "",
			"answer exceeds %d bytes", r.maxBytes)
	}
	r.bytes += len(ev.Data)
	r.events = append(r.events, ev)
	r.broadcastLocked()
	return nil
}

// Finish ends the request. A second call is refused, so that the caller gets
// exactly one answer.
func (r *Record) Finish(e End, now time.Time) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.applyLocked(transitionByOutcome[e.Outcome]); err != nil {
		return err
	}
	r.end = &e
	r.endedAt = now
	r.broadcastLocked()
	return nil
}

// Restore initialises a new record with a partial answer, from a handover or
// from what an ingress has already received. attempt is the number of the last
// attempt.
func (r *Record) Restore(attempt int, head *Head, events []Event) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.events) > 0 || State(r.machine.Current()) != Accepted {
		return fault.New(fault.Conflict, "request.restore", "", "record is already in use")
	}
	for i, ev := range events {
		if ev.Sequence != i+1 {
			return fault.New(fault.Protocol, "request.restore", "", "event %d at position %d", ev.Sequence, i+1)
		}
		r.bytes += len(ev.Data)
	}
	r.attempt = attempt
	r.head = head
	r.events = append(r.events, events...)
	return nil
}

// Attempt returns the number of the current attempt, 0 before the first one.
func (r *Record) Attempt() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.attempt
}

// Events returns the events received so far. The caller must not modify them.
func (r *Record) Events() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.events[:len(r.events):len(r.events)]
}

// Head returns the head of the answer, nil if it is not known yet.
func (r *Record) Head() *Head {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.head
}

// Ended returns the end of the request and when it ended. ok is false if it has
// not ended here.
func (r *Record) Ended() (end End, at time.Time, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.end == nil {
		return End{}, time.Time{}, false
	}
	return *r.end, r.endedAt, true
}

// Bytes returns the total size of the events received so far.
func (r *Record) Bytes() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.bytes
}

// checkAttemptLocked returns fault.Conflict unless attempt is the running one.
func (r *Record) checkAttemptLocked(attempt int) error {
	if State(r.machine.Current()) != Running || attempt != r.attempt {
		return fault.New(fault.Conflict, "request.attempt", "",
			"attempt %d is over: attempt %d is %s", attempt, r.attempt, r.machine.Current())
	}
	return nil
}

// applyLocked applies a transition of the state machine.
func (r *Record) applyLocked(transition string) error {
	if err := apply(r.machine, transition); err != nil {
		return fault.Wrap(err, fault.Conflict, "request.state", "", "request %s", r.Request.ID)
	}
	return nil
}

// broadcastLocked wakes every waiting cursor.
func (r *Record) broadcastLocked() {
	if r.changed != nil {
		close(r.changed)
		r.changed = nil
	}
}

// changedLocked returns a channel that is closed at the record's next change.
func (r *Record) changedLocked() <-chan struct{} {
	if r.changed == nil {
		r.changed = make(chan struct{})
	}
	return r.changed
}

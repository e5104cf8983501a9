package request

import (
	"sync"
	"time"

	"github.com/looplab/fsm"

	"buckthornpick/internal/fault"
)

// Record is the life of one request at its owner: state, attempts and answer.
//
// Invariants, under mu:
//   - events[i].Sequence == i+1;
//   - events are appended only by the current attempt;
//   - once end is set, nothing changes any more.
type Record struct {
	// Request is immutable. Its body and headers are left out, because records
	// are kept for longer than they are needed.
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
	// changed is closed at the next change; nil while nothing waits for it.
	changed chan struct{}
}

// NewRecord returns the record of an accepted request whose answer may take
// up to maxBytes.
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

// Claim enters the state in which the claim is written.
func (r *Record) Claim() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.applyLocked(transitionClaim)
}

// Dispatch starts the next attempt and returns its number, from 1. Answers of
// earlier attempts are refused from now on.
func (r *Record) Dispatch() (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.applyLocked(transitionDispatch); err != nil {
		return 0, err
	}
	r.attempt++
	return r.attempt, nil
}

// Lose records that the current attempt's connection or claim was lost.
func (r *Record) MarkLost() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.applyLocked(transitionLose)
}

// HandOver ends the record here because another node owns the request now.
func (r *Record) HandOver() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.applyLocked(transitionHandOver); err != nil {
		return err
	}
	r.broadcastLocked()
	return nil
}

// SetHead stores the status line and headers of the answer. Only the first
// call has an effect, because callers may have seen it.
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

// Append adds the next event of the answer. It refuses events of another
// attempt, gaps, repeats and answers beyond the bound.
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

// Finish ends the request. A second end is refused, so that exactly one answer
// reaches the caller.
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

// Restore fills a fresh record with the answer so far, from a handover or from
// what an ingress has already delivered. The next attempt follows attempt.
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

// Attempt returns the number of the current attempt, 0 before the first.
func (r *Record) Attempt() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.attempt
}

// Events returns the answer so far. The caller must not change it.
func (r *Record) Events() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.events[:len(r.events):len(r.events)]
}

// Head returns the answer's head, nil before it is known.
func (r *Record) Head() *Head {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.head
}

// Ended returns the end and the time of it; ok is false while running.
func (r *Record) Ended() (end End, at time.Time, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.end == nil {
		return End{}, time.Time{}, false
	}
	return *r.end, r.endedAt, true
}

// Bytes returns the size of the answer so far.
func (r *Record) Bytes() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.bytes
}

func (r *Record) checkAttemptLocked(attempt int) error {
	if State(r.machine.Current()) != Running || attempt != r.attempt {
		return fault.New(fault.Conflict, "request.attempt", "",
			"attempt %d is over: attempt %d is %s", attempt, r.attempt, r.machine.Current())
	}
	return nil
}

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

// changedLocked returns a channel that is closed at the next change.
func (r *Record) changedLocked() <-chan struct{} {
	if r.changed == nil {
		r.changed = make(chan struct{})
	}
	return r.changed
}

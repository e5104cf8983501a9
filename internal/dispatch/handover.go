package dispatch

import (
	"time"

	"buckthornpick/internal/backend"
	"buckthornpick/internal/claim"
	"buckthornpick/internal/fault"
	"buckthornpick/internal/request"
)

// Transfer is a request on its way from a leaving node to its new owner.
type Transfer struct {
	Request *request.Request `msgpack:"r"`
	// Service, Target and Attempt name the running attempt; Attempt is empty
	// if the request was not dispatched.
	Service string            `msgpack:"s,omitempty"`
	Target  backend.Target    `msgpack:"t"`
	Attempt backend.AttemptID `msgpack:"a,omitempty"`
	// Number is the number of the last dispatch.
	Number int `msgpack:"n"`
	// Claim is the last claim written, nil for none.
	Claim  *claim.Claim    `msgpack:"c,omitempty"`
	Head   *request.Head   `msgpack:"h,omitempty"`
	Events []request.Event `msgpack:"e,omitempty"`
	// End is set if the request has ended.
	End *request.End `msgpack:"d,omitempty"`
}

// Size returns about the number of bytes of the transfer on its way.
func (t Transfer) Size() int {
	size := len(t.Request.Body)
	for _, ev := range t.Events {
		size += len(ev.Data)
	}
	return size
}

// Export returns the state of every request here, for handing over. Requests
// that were not dispatched are stopped first, so that only the new owner runs
// them. Requests at backend servers that cannot resume stay here until they
// end, unless isLast: then those that may run again go on at the new owner from
// their last event.
func (d *Dispatcher) Export(isFinal bool) []Transfer {
	var out []Transfer
	for _, e := range d.runningExecutions() {
		if t, ok := e.export(isFinal); ok {
			out = append(out, t)
		}
	}
	return append(out, d.exportEnded()...)
}

func (d *Dispatcher) exportEnded() []Transfer {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []Transfer
	for _, rec := range d.ended.records {
		if end, _, ok := rec.Ended(); ok && d.records[rec.Request.ID] == rec {
			out = append(out, Transfer{Request: rec.Request, Number: rec.Attempt(),
				Head: rec.Head(), Events: rec.Events(), End: &end})
		}
	}
	return out
}

// export returns the request's state. ok is false if it must stay here.
func (e *execution) export(isFinal bool) (Transfer, bool) {
	state := e.rec.State()
	if state == request.Accepted {
		e.interruptRequest(errHandedOver)
		return Transfer{Request: asResubmission(e.req), Claim: e.exportedClaim()}, true
	}
	a := e.currentAttempt()
	if state != request.Running {
		return Transfer{}, false
	}
	if a.target.Class != backend.Engine {
		return e.exportForRestart(isFinal)
	}
	e.mu.Lock()
	e.isObserver = true
	e.mu.Unlock()
	return Transfer{
		Request: asResubmission(e.req), Service: a.service, Target: a.target, Attempt: a.id,
		Number: e.rec.Attempt(), Claim: e.exportedClaim(),
		Head: e.rec.Head(), Events: e.rec.Events(),
	}, true
}

// exportStopped ends a repeatable request here, so that no event follows those
// that are exported, and returns it for a new attempt.
func (e *execution) exportForRestart(isFinal bool) (Transfer, bool) {
	if !isFinal || !e.req.Repeatable || e.rec.HandOver() != nil {
		return Transfer{}, false
	}
	e.interruptRequest(errHandedOver)
	return Transfer{Request: asResubmission(e.req), Number: e.rec.Attempt(), Head: e.rec.Head(), Events: e.rec.Events()}, true
}

func (e *execution) exportedClaim() *claim.Claim {
	c := e.lastClaim()
	if c.Number == 0 {
		return nil
	}
	return &c
}

// resubmitted returns the request for another owner, which must not take it
// for one that was never submitted before.
func asResubmission(r *request.Request) *request.Request {
	resubmission := *r
	resubmission.HasGeneratedKey = false
	return &resubmission
}

// Adopt takes a request over from a leaving node. A request that is known here
// already is left as it is, so a repeated transfer has no effect.
func (d *Dispatcher) Adopt(t Transfer) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.isClosed {
		return fault.New(fault.Unavailable, "dispatch.adopt", "", "node is stopping")
	}
	if rec, ok := d.records[t.Request.ID]; ok && rec.State() != request.HandedOver {
		return nil
	}
	rec := request.NewRecord(t.Request, d.cfg.AnswerBytes)
	if err := rec.Restore(t.Number, t.Head, t.Events); err != nil {
		return err
	}
	d.deps.Log.Log(EvAdopted, "request", t.Request.ID, "attempt", t.Attempt, "events", len(t.Events))
	if t.End != nil {
		return d.adoptEndedLocked(rec, *t.End)
	}
	e := newExecution(d, rec, t.Request)
	if t.Claim != nil {
		e.latestClaim = *t.Claim
	}
	if t.Attempt != "" {
		e.current = adoptedAttempt(t)
	}
	d.startLocked(e)
	return nil
}

func (d *Dispatcher) adoptEndedLocked(rec *request.Record, end request.End) error {
	if end.Outcome == request.Completed {
		if _, err := rec.Dispatch(); err != nil {
			return err
		}
	}
	if err := rec.Finish(end, time.Now()); err != nil {
		return err
	}
	d.records[rec.Request.ID] = rec
	d.ended.add(rec)
	return nil
}

func (e *execution) isObserving() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.isObserver
}

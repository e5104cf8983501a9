package dispatch

import (
	"time"

	"buckthornpick/internal/backend"
	"buckthornpick/internal/claim"
	"buckthornpick/internal/fault"
	"buckthornpick/internal/request"
)

// Transfer is the state of a request that a node hands over to the request's
// new owner.
type Transfer struct {
	Request *request.Request `msgpack:"r"`
	// Service, Target and Attempt identify the running attempt. Attempt is
	// empty if no attempt is running.
	Service string            `msgpack:"s,omitempty"`
	Target  backend.Target    `msgpack:"t"`
	Attempt backend.AttemptID `msgpack:"a,omitempty"`
	// Number is the number of the last dispatch.
	Number int `msgpack:"n"`
	// Claim is the last claim written, nil if there is none.
	Claim  *claim.Claim    `msgpack:"c,omitempty"`
	Head   *request.Head   `msgpack:"h,omitempty"`
	Events []request.Event `msgpack:"e,omitempty"`
	// End is set if the request has ended.
	End *request.End `msgpack:"d,omitempty"`
}

// Size returns the approximate encoded size of the transfer in bytes.
func (t Transfer) Size() int {
	size := len(t.Request.Body)
	for _, ev := range t.Events {
		size += len(ev.Data)
	}
	return size
}

// Export returns the state of the requests here, to be handed over to their new
// owners. Requests that were not dispatched yet are stopped first, so that only
// the new owner runs them. Callers of a stopped request wait here until
// EndHandover, since the new owner would run it anew without the transfer. Requests
// whose backend server cannot resume an answer are not exported and end here. If
// isFinal is set, the repeatable ones among them are stopped and exported too, and
// the new owner continues them from their last event.
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

// export returns the request's state. It returns false if the request must stay
// here.
func (e *execution) export(isFinal bool) (Transfer, bool) {
	state := e.rec.State()
	if state == request.Accepted {
		if e.rec.StopForHandOver() != nil {
			return Transfer{}, false
		}
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

// exportForRestart hands over a repeatable request for a new attempt. It stops
// the request here first, so that no event is appended after those exported.
func (e *execution) exportForRestart(isFinal bool) (Transfer, bool) {
	if !isFinal || !e.req.Repeatable || e.rec.StopForHandOver() != nil {
		return Transfer{}, false
	}
	e.interruptRequest(errHandedOver)
	return Transfer{Request: asResubmission(e.req), Number: e.rec.Attempt(), Head: e.rec.Head(), Events: e.rec.Events()}, true
}

// EndHandover lets the callers of exported requests go on at the new owners, after
// the transfers were received or given up.
func (d *Dispatcher) EndHandover(transfers []Transfer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, t := range transfers {
		rec, ok := d.records[t.Request.ID]
		if !ok || rec.State() != request.HandingOver {
			continue
		}
		if err := rec.EndHandOver(); err != nil {
			d.deps.Log.Log(EvStateRefused, "request", t.Request.ID, "error", err)
		}
	}
}

// isStoppedForHandover reports whether the request was stopped for a transfer,
// which ends its record.
func (e *execution) isStoppedForHandover() bool {
	state := e.rec.State()
	return state == request.HandingOver || state == request.HandedOver
}

func (e *execution) exportedClaim() *claim.Claim {
	c := e.lastClaim()
	if c.Number == 0 {
		return nil
	}
	return &c
}

// asResubmission returns a copy of the request for another owner. It clears
// HasGeneratedKey, from which the owner would conclude that there was no earlier
// submission.
func asResubmission(r *request.Request) *request.Request {
	resubmission := *r
	resubmission.HasGeneratedKey = false
	return &resubmission
}

// Adopt takes over a request that another node has handed over. It is
// idempotent: a request that is already known here is not changed. It returns
// fault.Unavailable if the node is stopping.
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

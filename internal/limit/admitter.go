package limit

import (
	"context"
	"sync"
	"time"

	"buckthornpick/internal/config"
)

// Admitter admits the requests of one entry node. It is safe for concurrent use.
//
// Lock order: no other lock is taken while mu is held. Decisions are sent on
// buffered channels, so no code of a caller runs under mu.
type Admitter struct {
	mu        sync.Mutex
	scheduler *Scheduler
	refusals  *refusalLog
}

// NewAdmitter returns an admitter without organisations or services.
func NewAdmitter(cfg Config) *Admitter {
	return &Admitter{scheduler: NewScheduler(cfg), refusals: newRefusalLog(cfg.withDefaults().Log)}
}

// Ticket is the permission to run one request.
type Ticket struct {
	admitter *Admitter
	waiter   *Waiter
}

// Configure replaces the limits of organisations and services.
func (a *Admitter) Configure(organisations []config.Organisation, services []config.Service) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.scheduler.Configure(organisations, services)
}

// SetCapacity sets the number of a service's available servers and the number of
// requests that this entry may run on each.
func (a *Admitter) SetCapacity(service string, servers, perServer int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.scheduler.SetCapacity(time.Now(), service, servers, perServer)
}

// AllowRetry takes one retry from the service's retry budget and reports whether
// the budget allowed it.
func (a *Admitter) AllowRetry(service string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.scheduler.AllowRetry(service)
}

// Admit waits until the request may run. It returns *RejectedError as soon as it
// is known that the request cannot run in time, and the error of ctx if ctx is
// done first. Done must be called on every ticket.
func (a *Admitter) Admit(ctx context.Context, req Request) (*Ticket, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	decision := make(chan *RejectedError, 1)
	a.mu.Lock()
	waiter := a.scheduler.Submit(time.Now(), req, func(r *RejectedError) { decision <- r })
	a.mu.Unlock()
	ticket := &Ticket{admitter: a, waiter: waiter}
	select {
	case refusal := <-decision:
		return ticket.outcome(refusal, req)
	default:
	}
	timer := time.NewTimer(time.Until(waiter.deadline))
	defer timer.Stop()
	for {
		select {
		case refusal := <-decision:
			return ticket.outcome(refusal, req)
		case <-timer.C:
			a.expire(waiter)
		case <-ctx.Done():
			return nil, a.cancel(ctx, waiter)
		}
	}
}

func (t *Ticket) outcome(refusal *RejectedError, req Request) (*Ticket, error) {
	if refusal != nil {
		t.admitter.refusals.write(req, refusal)
		return nil, refusal
	}
	return t, nil
}

func (a *Admitter) expire(w *Waiter) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.scheduler.Expire(time.Now(), w)
}

// cancel removes w after its caller gave up: from the queue, or from the running
// requests if it was admitted in the meantime. It returns the error of ctx.
func (a *Admitter) cancel(ctx context.Context, w *Waiter) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.scheduler.CancelWaiting(w)
	a.scheduler.CancelAdmitted(time.Now(), w)
	return ctx.Err()
}

// Done records the result of the request and frees its slot. Calls after the
// first one have no effect.
func (t *Ticket) Done(r Result) {
	t.admitter.mu.Lock()
	defer t.admitter.mu.Unlock()
	t.admitter.scheduler.Done(time.Now(), t.waiter, r)
}

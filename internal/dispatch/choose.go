package dispatch

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"buckthornpick/internal/backend"
	"buckthornpick/internal/config"
	"buckthornpick/internal/fault"
	"buckthornpick/internal/request"
	"buckthornpick/internal/route"
)

// retryPause is the wait before servers are asked again without a change of
// the inventory.
const retryPause = 200 * time.Millisecond

// choose waits for a backend server that may get the request. Without one, the
// end says why; a nil end means that the request was handed over meanwhile.
func (e *execution) choose(ctx context.Context) (*attempt, *request.End) {
	// The older system cannot go on from an answer that has begun.
	if e.plan.older != nil && len(e.rec.Events()) == 0 {
		return e.newAttempt(attempt{service: e.plan.services[0].Name, target: *e.plan.older}), nil
	}
	for {
		changed := e.d.deps.Pools.Changed()
		a, err := e.pick(time.Now())
		if err == nil {
			return a, nil
		}
		clear(e.tried)
		if !e.mayWait(time.Now()) || isTooLate(err) {
			return nil, noServer(err)
		}
		if !waitForServers(ctx, changed) {
			return nil, e.interrupted(ctx)
		}
	}
}

// isTooLate reports whether every server would answer later than the target; a
// wait would make it later still.
func isTooLate(err error) bool {
	var saturated *route.SaturatedError
	return errors.As(err, &saturated) && saturated.FirstTokenLate
}

// firstTokenWithin returns the target that a request must be able to meet to
// be dispatched; 0 once it was dispatched, because then it must be answered.
func (e *execution) firstTokenWithin(s config.Service) time.Duration {
	if e.mayHaveRun || len(e.rec.Events()) > 0 {
		return 0
	}
	return time.Duration(s.Target.FirstTokenMillis * float64(time.Millisecond))
}

// mayWait reports whether the request may wait for a backend server. One that
// was dispatched before waits until its deadline.
func (e *execution) mayWait(now time.Time) bool {
	if e.mayHaveRun || len(e.rec.Events()) > 0 {
		return now.Before(e.req.Deadline)
	}
	return now.Before(e.plan.startBy)
}

func waitForServers(ctx context.Context, changed <-chan struct{}) bool {
	timer := time.NewTimer(retryPause)
	defer timer.Stop()
	select {
	case <-changed:
		return true
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// pick asks the planned services in order.
func (e *execution) pick(now time.Time) (*attempt, error) {
	var first error
	for _, s := range e.plan.services {
		a, err := e.pickFrom(now, s)
		if err == nil {
			return a, nil
		}
		if first == nil {
			first = err
		}
	}
	return nil, first
}

func (e *execution) pickFrom(now time.Time, s config.Service) (*attempt, error) {
	picker := e.d.deps.Pools.Picker(s.Name)
	if picker == nil {
		return nil, &route.NoServerError{Service: s.Name}
	}
	q := route.Query{
		Now: now, Service: s.Name, Context: e.req.Context,
		PromptTokens: e.req.PromptTokens, MaxTokens: e.req.MaxTokens,
		PrefixHashes: e.plan.prefix, Priority: e.plan.priority, VMClass: e.plan.vmClass,
		MaxFirstTokenDelay: e.firstTokenWithin(s),
		Exclude:            func(id string) bool { return e.tried[id] },
	}
	choice, err := picker.Pick(q)
	if err != nil {
		return nil, err
	}
	e.d.deps.Log.Log(EvRoute, "request", e.req.ID, "rule", e.plan.rule, "service", s.Name,
		"server", choice.Server.ID, "reason", choice.Reason, "candidates", choice.Candidates)
	return e.newAttempt(attempt{
		service: s.Name, choice: choice, query: q, hasPicker: true,
		target: backend.Target{ID: choice.Server.ID, Address: choice.Server.Address, Class: classOf(s)},
	}), nil
}

// newAttempt names the attempt. The name holds the node and its incarnation,
// so that a later owner never uses it again.
func (e *execution) newAttempt(a attempt) *attempt {
	own := e.d.deps.Ownership
	a.id = backend.AttemptID(fmt.Sprintf("%s.%s.%d.%d", e.req.ID, own.Self(), own.Incarnation(), e.rec.Attempt()+1))
	return &a
}

func classOf(s config.Service) backend.Class {
	if s.Kind == config.PlainService {
		return backend.Plain
	}
	return backend.Engine
}

func noServer(err error) *request.End {
	end := &request.End{Problem: problemUnavailable, Message: fault.Text(err),
		Status: http.StatusServiceUnavailable, RetryAfter: time.Second}
	var saturated *route.SaturatedError
	if errors.As(err, &saturated) {
		end.Problem = problemOverloaded
		end.RetryAfter = saturated.RetryAfter
	}
	return end
}

// permit asks the quarantine for leave to dispatch.
func (e *execution) permit(ctx context.Context, a *attempt) (*request.End, bool) {
	permit, err := e.d.deps.Quarantine.Permit(ctx, e.crashOf(a))
	if err == nil {
		a.permit = permit
		return nil, true
	}
	if fault.Is(err, fault.Exhausted) {
		return e.quarantined(err), false
	}
	if ctx.Err() == nil {
		return e.giveUp(request.End{Problem: problemUnavailable, Message: fault.Text(err),
			Status: http.StatusServiceUnavailable, RetryAfter: time.Second}), false
	}
	return e.giveUpOrHandOver(e.interrupted(ctx)), false
}

func (e *execution) crashOf(a *attempt) Crash {
	return Crash{Fingerprint: e.req.Fingerprint, Server: a.target.ID, Attempt: a.id}
}

func (e *execution) quarantined(err error) *request.End {
	end := request.End{Problem: problemQuarantined, Message: fault.Text(err), Status: http.StatusUnprocessableEntity}
	if e.mayHaveRun {
		end.Outcome = request.Failed
		return &end
	}
	return e.notRun(end)
}

// begin records the dispatch.
func (e *execution) begin(a *attempt) {
	a.sentAt = time.Now()
	e.mu.Lock()
	e.current = *a
	e.mu.Unlock()
	e.dispatches++
	e.d.stats.attempts.Inc(1)
	if a.hasPicker {
		e.d.deps.Pools.Picker(a.service).Dispatched(a.sentAt, a.target.ID, a.query)
	}
}

// release records the end of the attempt for the picker.
func (e *execution) release(a *attempt, ok bool) {
	if !a.hasPicker {
		return
	}
	if picker := e.d.deps.Pools.Picker(a.service); picker != nil {
		picker.Finished(time.Now(), a.target.ID, a.query, a.usage, ok)
	}
}

func (e *execution) noteFirst(a *attempt) {
	a.firstAt = time.Now()
	e.d.deps.Pools.ClearSuspect(a.firstAt, a.target.ID)
	if e.firstAt.IsZero() {
		e.firstAt = a.firstAt
	}
	if !a.hasPicker {
		return
	}
	if picker := e.d.deps.Pools.Picker(a.service); picker != nil {
		picker.FirstToken(time.Now(), a.target.ID, time.Since(a.sentAt), a.choice)
	}
}

func (e *execution) noteUsage(a *attempt, answer backend.Answer) {
	a.usage = answer.Usage()
	if !a.firstAt.IsZero() {
		e.d.kv.prefilled(a.usage.ComputedTokens, a.firstAt.Sub(a.sentAt))
	}
	e.d.stats.promptTokens.Inc(int64(a.usage.PromptTokens))
	e.d.stats.cachedTokens.Inc(int64(a.usage.CachedTokens))
	e.d.stats.computedTokens.Inc(int64(a.usage.ComputedTokens))
	e.d.stats.completionTokens.Inc(int64(a.usage.CompletionTokens))
	if load, ok := answer.Load(); ok && a.hasPicker {
		e.d.deps.Pools.Report(time.Now(), a.service, a.target.ID, load)
	}
}

// chainHashes returns a hash for each block of blockBytes; each hash covers
// all blocks before it too.
func chainHashes(data []byte) []uint64 {
	hashes := make([]uint64, 0, len(data)/blockBytes)
	d := xxhash.New()
	for len(data) >= blockBytes {
		_, _ = d.Write(data[:blockBytes])
		hashes = append(hashes, d.Sum64())
		data = data[blockBytes:]
	}
	return hashes
}

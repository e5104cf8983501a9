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

// serverRetryInterval is the wait before the next attempt to choose a server
// if the inventory does not change meanwhile.
const serverRetryInterval = 200 * time.Millisecond

// choose waits for a backend server that can take the request. If there is
// none, it returns a nil attempt and the end of the request; a nil end then
// means that the request was handed over meanwhile.
func (e *execution) choose(ctx context.Context) (*attempt, *request.End) {
	// The older system cannot continue a partial answer.
	if e.plan.olderSystem != nil && len(e.rec.Events()) == 0 {
		return e.newAttempt(attempt{service: e.plan.services[0].Name, target: *e.plan.olderSystem}), nil
	}
	for {
		changed := e.d.deps.Pools.Changed()
		a, err := e.pick(time.Now())
		if err == nil {
			return a, nil
		}
		clear(e.tried)
		if !e.mayWaitForServer(time.Now()) || missesTarget(err) {
			return nil, noServerEnd(err)
		}
		if !waitForServers(ctx, changed) {
			return nil, e.interruptedEnd(ctx)
		}
	}
}

// missesTarget reports whether err says that every server would miss the target
// for the first token. Waiting would only add to the delay.
func missesTarget(err error) bool {
	var saturated *route.SaturatedError
	return errors.As(err, &saturated) && saturated.FirstTokenLate
}

// firstTokenWithin returns the target time to the first token that a server
// must be able to meet. It returns 0, for no target, once the request was
// dispatched, because the request must then be answered however late.
func (e *execution) firstTokenWithin(s config.Service) time.Duration {
	if e.mayHaveRun || len(e.rec.Events()) > 0 {
		return 0
	}
	return time.Duration(s.Target.FirstTokenMillis * float64(time.Millisecond))
}

// mayWaitForServer reports whether the request may keep waiting for a backend
// server: until the plan's startBy before the first dispatch, afterwards until
// the request's deadline.
func (e *execution) mayWaitForServer(now time.Time) bool {
	if e.mayHaveRun || len(e.rec.Events()) > 0 {
		return now.Before(e.req.Deadline)
	}
	return now.Before(e.plan.startBy)
}

// waitForServers waits for a change of the inventory or serverRetryInterval. It
// returns false if ctx ended first.
func waitForServers(ctx context.Context, changed <-chan struct{}) bool {
	timer := time.NewTimer(serverRetryInterval)
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

// pick chooses a server of the first planned service that has one available. If
// no service has one, it returns the error of the first service.
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
		PrefixHashes: e.plan.prefixHashes, Priority: e.plan.priority, VMClass: e.plan.vmClass,
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

// newAttempt returns a copy of a with its attempt ID. The ID contains this
// node's ID and incarnation, so that no later owner generates the same ID, and a
// number that this process uses once: a request may run here again after it failed.
func (e *execution) newAttempt(a attempt) *attempt {
	ownership := e.d.deps.Ownership
	a.id = backend.AttemptID(fmt.Sprintf("%s.%s.%d.%d", e.req.ID, ownership.Self(), ownership.Incarnation(), e.d.attempts.Add(1)))
	return &a
}

func classOf(s config.Service) backend.Class {
	if s.Kind == config.PlainService {
		return backend.Plain
	}
	return backend.Engine
}

// noServerEnd returns the end of a request for which no server was found.
func noServerEnd(err error) *request.End {
	end := &request.End{Problem: problemUnavailable, Message: fault.Text(err),
		Status: http.StatusServiceUnavailable, RetryAfter: time.Second}
	var saturated *route.SaturatedError
	if errors.As(err, &saturated) {
		end.Problem = problemOverloaded
		end.RetryAfter = saturated.RetryAfter
	}
	return end
}

// permit waits for the quarantine's permit for the attempt. If it is not
// granted, permit returns false and the request's end, which is nil after a
// handover.
func (e *execution) permit(ctx context.Context, a *attempt) (*request.End, bool) {
	permit, err := e.d.deps.Quarantine.Permit(ctx, e.attemptRef(a))
	if err == nil {
		a.permit = permit
		return nil, true
	}
	if fault.Is(err, fault.Exhausted) {
		return e.quarantinedEnd(err), false
	}
	if ctx.Err() == nil {
		return e.giveUp(request.End{Problem: problemUnavailable, Message: fault.Text(err),
			Status: http.StatusServiceUnavailable, RetryAfter: time.Second}), false
	}
	return e.giveUpOrHandOver(e.interruptedEnd(ctx)), false
}

func (e *execution) attemptRef(a *attempt) AttemptRef {
	return AttemptRef{Fingerprint: e.req.Fingerprint, Parts: e.plan.sharedParts, Server: a.target.ID, Attempt: a.id}
}

// quarantinedEnd returns the end of a request whose content is quarantined.
func (e *execution) quarantinedEnd(err error) *request.End {
	end := request.End{Problem: problemQuarantined, Message: fault.Text(err), Status: http.StatusUnprocessableEntity}
	if e.mayHaveRun {
		end.Outcome = request.Failed
		return &end
	}
	return e.refuse(end)
}

// recordDispatch records the start of the attempt and reports it to the picker.
func (e *execution) recordDispatch(a *attempt) {
	a.sentAt = time.Now()
	e.mu.Lock()
	e.current = *a
	e.mu.Unlock()
	e.dispatches++
	e.d.stats.attempts.Inc(1)
	if a.hasPicker {
		e.d.deps.Pools.Picker(a.service).RecordDispatch(a.sentAt, a.target.ID, a.query)
	}
}

// recordFinish reports the end of the attempt to the picker.
func (e *execution) recordFinish(a *attempt, ok bool) {
	if !a.hasPicker {
		return
	}
	if picker := e.d.deps.Pools.Picker(a.service); picker != nil {
		picker.RecordFinish(time.Now(), a.target.ID, a.query, a.usage, ok)
	}
}

// recordFirstEvent records the time of the attempt's first event and clears any
// suspicion against its server.
func (e *execution) recordFirstEvent(a *attempt) {
	a.firstEventAt = time.Now()
	e.d.deps.Pools.ClearSuspect(a.firstEventAt, a.target.ID)
	if e.firstEventAt.IsZero() {
		e.firstEventAt = a.firstEventAt
	}
	if !a.hasPicker {
		return
	}
	if picker := e.d.deps.Pools.Picker(a.service); picker != nil {
		picker.RecordFirstToken(time.Now(), a.target.ID, time.Since(a.sentAt), a.choice)
	}
}

// recordUsage records the token usage and server load that a complete answer
// reported.
func (e *execution) recordUsage(a *attempt, answer backend.Answer) {
	a.usage = answer.Usage()
	if !a.firstEventAt.IsZero() {
		e.d.kv.recordPrefill(a.usage.ComputedTokens, a.firstEventAt.Sub(a.sentAt))
	}
	e.d.stats.promptTokens.Inc(int64(a.usage.PromptTokens))
	e.d.stats.cachedTokens.Inc(int64(a.usage.CachedTokens))
	e.d.stats.computedTokens.Inc(int64(a.usage.ComputedTokens))
	e.d.stats.completionTokens.Inc(int64(a.usage.CompletionTokens))
	if load, ok := answer.Load(); ok && a.hasPicker {
		e.d.deps.Pools.Report(time.Now(), a.service, a.target.ID, load)
	}
}

// chainHashes returns one hash per complete block of blockBytes. Each hash also
// covers all preceding blocks.
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

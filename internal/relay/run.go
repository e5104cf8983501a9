package relay

import (
	"context"
	"errors"
	"net/http"
	"time"

	"buckthornpick/internal/fault"
	"buckthornpick/internal/route"
	"buckthornpick/internal/upstream"
)

// result of one send; the zero value is an answer that was passed on.
type result struct {
	isEnd bool
	fate  fate
	// refusal ends the request if no further send follows.
	refusal *refusal
	err     error
}

var ended = result{isEnd: true}

// run sends the request until it has an answer or must not be sent again. It
// returns the refusal that ends it, or nil if an answer was passed on.
func (q *request) run(ctx context.Context) *refusal {
	q.tried = map[string]bool{}
	unsent := 0
	for {
		if q.isStale() {
			return q.refuseUnsent(reasonStale, retryElsewhere)
		}
		left := time.Until(q.deadline)
		c, err := q.relay.Balancer.pick(q.service, &q.facts, firstTokenWithin(q.call, left), q.tried)
		if err != nil {
			return q.noChoice(err)
		}
		res := q.send(ctx, c)
		if res.isEnd {
			return nil
		}
		if res.fate == fateUnsent {
			unsent++
		}
		q.logAttempt(c, &res)
		if ctx.Err() != nil {
			return q.outOfTime(&res)
		}
		switch next(situation{
			fate: res.fate, repetition: q.call.Repetition, sends: q.sends, attempts: q.call.Attempts,
			unsent: unsent, left: time.Until(q.deadline),
		}) {
		case stepEnd:
			return q.end(&res)
		case stepTimeout:
			// The send's own timer may fire just before that of ctx.
			return q.outOfTime(&res)
		case stepRepeat:
			if !q.relay.repeats.take(q.service, q.relay.Peers.Site().Entries) {
				return q.end(&res)
			}
		}
		q.tried[c.target.ID] = true
	}
}

// noChoice ends a request for which no server can be chosen.
func (q *request) noChoice(err error) *refusal {
	q.detail = err.Error()
	var saturated *route.SaturatedError
	if errors.As(err, &saturated) {
		reason := reasonSaturated
		if saturated.FirstTokenLate {
			reason = reasonLate
		}
		return q.refuseUnsent(reason, max(retryBusy, saturated.RetryAfter))
	}
	return q.refuseUnsent(reasonNoServer, retryBusy)
}

// refuseUnsent ends a request that is not sent on. If an earlier send may have
// run, that is not called "not run".
func (q *request) refuseUnsent(reason string, retryAfter time.Duration) *refusal {
	if q.mayHaveRun {
		return unknown(reason)
	}
	q.refundQuota()
	return notRun(reason, retryAfter)
}

// end ends a request whose last send brought no answer.
func (q *request) end(res *result) *refusal {
	if q.mayHaveRun {
		if res.refusal != nil && res.fate != fateNotRun && res.fate != fateUnsent {
			return res.refusal
		}
		return unknown(reasonLost)
	}
	q.refundQuota()
	return res.refusal
}

// outOfTime ends a request at its deadline.
func (q *request) outOfTime(res *result) *refusal {
	if q.mayHaveRun {
		return &refusal{status: http.StatusGatewayTimeout, reason: reasonTimeout}
	}
	q.refundQuota()
	if res.refusal != nil {
		return res.refusal
	}
	return notRun(reasonTimeout, 0)
}

// send carries the request to one server and passes its answer on.
func (q *request) send(ctx context.Context, c *choice) result {
	left := time.Until(q.deadline)
	ctx, cancel := context.WithTimeout(ctx, tryTimeout(q.call, q.sends+1, left))
	defer cancel()
	q.server = c.target.ID
	answer, err := q.relay.Pool.Do(ctx, c.target, q.encode(c, "", left))
	if err != nil && !upstream.WasSent(err) {
		q.relay.Balancer.done(c, unsentOutcome(ctx, err))
		return result{fate: fateUnsent, refusal: notRun(reasonUnsent, retryBusy), err: err}
	}
	q.sends++
	q.relay.meters.attempts.Inc(1)
	if err != nil {
		q.mayHaveRun = true
		return q.lost(ctx, c, err)
	}
	return q.receive(ctx, c, answer)
}

// unsentOutcome judges a server that was not reached: the caller may have left,
// or this entry may have no connection free.
func unsentOutcome(ctx context.Context, err error) outcome {
	if ctx.Err() != nil || fault.Is(err, fault.Exhausted) {
		return neutral
	}
	return unreachable
}

// encode makes the call for one server.
func (q *request) encode(c *choice, lastEvent string, left time.Duration) *upstream.Call {
	if lastEvent == "" && q.call.Repetition == resumable {
		lastEvent = q.facts.LastEvent
	}
	id := q.facts.ID
	return &upstream.Call{
		Method: q.r.Method, URI: q.r.RequestURI, Host: q.r.Host, Body: q.body,
		Header: q.relay.Codec.Encode(q.r.Header, &q.facts, Dispatch{
			Server: c.target.ID, Organisation: q.organisation(), Remaining: left, Rank: q.rank(), LastEvent: lastEvent,
		}),
		IsAnswer: func(status int, h http.Header) bool { return q.relay.Codec.IsAnswer(id, status, h) },
	}
}

// lost judges a send whose answer did not come whole.
func (q *request) lost(ctx context.Context, c *choice, err error) result {
	switch {
	case q.r.Context().Err() != nil:
		q.relay.Balancer.done(c, neutral)
	case ctx.Err() != nil:
		q.relay.Balancer.done(c, failed)
	default:
		q.relay.Balancer.done(c, failed)
		q.relay.suspects.broke(c.target, brokenRun{content: q.content, attempt: q.facts.ID})
	}
	return result{fate: fateUnknown, refusal: unknown(reasonLost), err: err}
}

// receive judges the head of an answer and passes the answer on.
func (q *request) receive(ctx context.Context, c *choice, a *upstream.Answer) result {
	verdict := q.relay.Codec.Verdict(a.Status, a.Header)
	if verdict.NotRun {
		discard(a)
		q.relay.Balancer.done(c, neutral)
		return result{fate: fateNotRun, refusal: notRun(reasonNotRun, retryBusy), err: statusError(c, a.Status)}
	}
	q.mayHaveRun = true
	isSuccess := a.Status >= 200 && a.Status < 300
	if isSuccess && !verdict.Genuine {
		_ = a.Body.Close()
		return q.lost(ctx, c, fault.New(fault.Protocol, "relay.receive", c.target.ID, "a success without a signature"))
	}
	if isSuccess && q.call.Stream {
		return q.stream(ctx, c, a)
	}
	return q.whole(ctx, c, a)
}

func statusError(c *choice, status int) error {
	return fault.New(fault.Unavailable, "relay.receive", c.target.ID, "not run, status %d", status)
}

// logAttempt logs why a send did not end the request.
func (q *request) logAttempt(c *choice, res *result) {
	text := ""
	if res.err != nil {
		text = res.err.Error()
	}
	q.relay.Log.Log(EvAttempt, "request", q.facts.ID, "server", c.target.ID, "server_zone", c.zone, "sends", q.sends,
		"fate", res.fate.String(), "choice", c.picked.Reason, "requests_there", c.requestsThere(),
		"took_ms", time.Since(c.sentAt).Milliseconds(), "step", fault.Step(res.err), "error", text)
}

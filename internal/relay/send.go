package relay

import (
	"context"
	"errors"
	"net/http"
	"time"

	"buckthornpick/internal/fault"
	"buckthornpick/internal/membudget"
	"buckthornpick/internal/route"
	"buckthornpick/internal/upstream"
)

// sendResult is the result of one send.
type sendResult struct {
	// isFinal is set once a response was forwarded to the caller; the other fields
	// are then unset.
	isFinal bool
	outcome sendOutcome
	// refusal is the response to the caller if the request is not sent again.
	refusal *refusal
	err     error
}

var responseForwarded = sendResult{isFinal: true}

// sendWithRetries sends the request to one server after another until a response
// was forwarded to the caller or no further send is allowed. It returns the
// refusal for the caller, or nil if a response was forwarded.
func (q *request) sendWithRetries(ctx context.Context) *refusal {
	q.tried = map[string]bool{}
	unsentCount := 0
	for {
		if q.isDocumentStale() {
			return q.refuseFurtherSends(reasonDocumentTooOld, retryAfterOtherEntry)
		}
		if !q.mayHaveRun && q.mayBeCut() {
			return q.refuseFurtherSends(reasonStopping, retryAfterOtherEntry)
		}
		if verdict := q.judgeFurtherSend(); verdict.IsBlocked {
			return q.refuseFurtherSends(reasonCrashesServers, verdict.RetryAfter)
		}
		remaining := time.Until(q.deadline)
		c, err := q.pick(ctx, maxTimeToFirstToken(q.policy, remaining))
		if err != nil {
			return q.refuseNoServer(err)
		}
		c, res := q.send(ctx, c)
		if res.isFinal {
			return nil
		}
		if res.outcome == outcomeNotSent {
			unsentCount++
		}
		q.logFailedSend(c, &res)
		if ctx.Err() != nil {
			return q.refuseTimedOut(&res)
		}
		switch decideNextAction(retryState{
			outcome: res.outcome, repetition: q.policy.Repetition, sends: q.sends, maxSends: q.policy.Attempts,
			unsentCount: unsentCount, remaining: time.Until(q.deadline),
		}) {
		case actionEnd:
			return q.refuseAfterSend(&res)
		case actionTimeout:
			// The timer of the send may fire just before that of ctx.
			return q.refuseTimedOut(&res)
		case actionRetryBudgeted:
			if !q.relay.retries.takeRetry(q.service, q.relay.Peers.Site().Entries) {
				return q.refuseAfterSend(&res)
			}
		}
		q.tried[c.target.ID] = true
	}
}

// refuseNoServer returns the refusal of a request for which the balancer selected
// no server.
func (q *request) refuseNoServer(err error) *refusal {
	q.detail = err.Error()
	var saturated *route.SaturatedError
	if errors.As(err, &saturated) {
		reason := reasonSaturated
		if saturated.FirstTokenLate {
			reason = reasonWouldBeLate
		}
		return q.refuseFurtherSends(reason, max(retryAfterBusy, saturated.RetryAfter))
	}
	if q.origin != nil {
		q.detail += " of version " + q.origin.Version
		return q.refuseFurtherSends(reasonVersionGone, q.retryAfterVersionGone())
	}
	return q.refuseFurtherSends(reasonNoServer, retryAfterBusy)
}

// refuseFurtherSends returns the refusal of a request that is not sent to another
// server. It reports "not run" and refunds the quota only if no earlier send may
// have run.
func (q *request) refuseFurtherSends(reason string, retryAfter time.Duration) *refusal {
	if q.mayHaveRun {
		return badGateway(reason)
	}
	q.refundQuota()
	return unavailable(reason, retryAfter)
}

// refuseAfterSend returns the refusal of a request whose last send produced no
// response.
func (q *request) refuseAfterSend(res *sendResult) *refusal {
	if q.mayHaveRun {
		if res.refusal != nil && (res.outcome == outcomeUnknown || res.outcome == outcomeServerFailed) {
			return res.refusal
		}
		return badGateway(reasonAnswerLost)
	}
	q.refundQuota()
	return res.refusal
}

// refuseTimedOut returns the refusal of a request whose deadline has passed.
func (q *request) refuseTimedOut(res *sendResult) *refusal {
	if q.mayHaveRun {
		return &refusal{status: http.StatusGatewayTimeout, reason: reasonTimeout}
	}
	q.refundQuota()
	if res.refusal != nil {
		return res.refusal
	}
	return unavailable(reasonTimeout, 0)
}

// send sends the request to one server, or to a second one if the first takes long,
// and forwards the response. It returns the result and the server that it is from.
func (q *request) send(ctx context.Context, c *choice) (*choice, sendResult) {
	firstCtx, cancelFirst := context.WithCancel(ctx)
	defer cancelFirst()
	q.second = q.startSecondSend(ctx, c, cancelFirst)
	res := q.sendTo(firstCtx, c)
	next := q.second.stop()
	q.second = nil
	if next.resp == nil {
		return c, res
	}
	q.logFailedSend(c, &res)
	q.serverID, q.serverVersion, q.via = next.choice.target.ID, next.choice.version, next.choice.via
	return next.choice, q.receive(ctx, next.choice, next.resp)
}

// sendTo sends the request to one server and forwards the response.
func (q *request) sendTo(ctx context.Context, c *choice) sendResult {
	q.serverID, q.serverVersion = c.target.ID, c.version
	response, err := q.do(ctx, c, "")
	q.via = c.via
	if errors.Is(err, ErrNoDetour) {
		q.relay.Balancer.finishCall(c, signalNeutral)
		return sendResult{outcome: outcomeNoPath, refusal: unavailable(reasonNoPath, retryAfterNoPath), err: err}
	}
	if err != nil && !upstream.MayHaveBeenSent(err) {
		q.relay.Balancer.finishCall(c, unsentSignal(ctx, err))
		return sendResult{outcome: outcomeNotSent, refusal: unavailable(reasonServersUnreachable, retryAfterBusy), err: err}
	}
	q.countSend()
	if err != nil {
		q.mayHaveRun = true
		return q.recordLostResponse(ctx, c, err)
	}
	return q.receive(ctx, c, response)
}

// countSend counts a send that has reached its server.
func (q *request) countSend() {
	q.sends++
	q.relay.instruments.sendsTotal.Inc(1)
}

// unsentSignal returns the health signal for a send that failed before a byte was
// written. The server counts as unreachable unless the caller disconnected or
// this entry had no free connection to it.
func unsentSignal(ctx context.Context, err error) healthSignal {
	if ctx.Err() != nil || fault.Is(err, fault.Exhausted) || errors.Is(err, ErrNoDetour) {
		return signalNeutral
	}
	return signalUnreachable
}

// buildRequest returns the HTTP request to one server.
func (q *request) buildRequest(c *choice, lastEventID string, remaining time.Duration) *upstream.Request {
	if lastEventID == "" && q.policy.Repetition == resumable {
		lastEventID = q.info.LastEventID
	}
	attemptID := q.info.AttemptID
	return &upstream.Request{
		Method: q.r.Method, URI: q.r.RequestURI, Host: q.r.Host, Body: q.body,
		Header: q.relay.Codec.EncodeHeaders(q.r.Header, &q.info, SendParams{
			Server: c.target.ID, Organisation: q.organisationName(), Remaining: remaining, Rank: q.rank(), LastEventID: lastEventID,
		}),
		Matches:         func(_ int, h http.Header) bool { return q.relay.Codec.MatchesAttempt(attemptID, h) },
		OnNewConnection: attemptID == "",
	}
}

// recordLostResponse ends a send whose response did not arrive completely. A
// broken connection, as opposed to a timeout, a silence or a caller that
// disconnected, is passed to the crash detector. A want of memory here is none of the server's.
func (q *request) recordLostResponse(ctx context.Context, c *choice, err error) sendResult {
	if errors.Is(err, membudget.ErrShort) {
		q.relay.Balancer.finishCall(c, signalNeutral)
		return sendResult{outcome: outcomeUnknown, refusal: badGateway(reasonAnswerLost), err: err}
	}
	q.judgeLostAnswer(c, ctx.Err())
	switch {
	case q.r.Context().Err() != nil:
		q.relay.Balancer.finishCall(c, signalNeutral)
	case ctx.Err() != nil || errors.Is(err, errStreamStalled):
		q.relay.Balancer.finishCall(c, signalFailed)
	case c.via != "":
		// The other entry has told crashes from cuts, or its own connection was lost.
		q.relay.Balancer.finishCall(c, signalNeutral)
	default:
		q.relay.Balancer.finishCall(c, signalFailed)
		q.relay.detector.report(c.target, endedRun{content: q.content, attemptID: q.info.AttemptID})
	}
	return sendResult{outcome: outcomeUnknown, refusal: badGateway(reasonAnswerLost), err: err}
}

// inspect reads the status and headers of a response and records what the server
// states about itself.
func (q *request) inspect(c *choice, resp *upstream.Response) ResponseInfo {
	info := q.relay.Codec.InspectResponse(resp.Status, resp.Header)
	q.relay.recordStatements(c.target, q.info.AttemptID, resp.Status, &info)
	return info
}

// recordStatements records what a server states about itself in a response.
func (r *Relay) recordStatements(t upstream.Target, attemptID string, status int, info *ResponseInfo) {
	if info.Leaving {
		r.Servers.MarkLeaving(t.ID, t.Incarnation)
	}
	if info.Pause > 0 {
		r.Balancer.pauseServer(t, info.Pause)
	}
	r.recordLoad(t, attemptID, status, info)
	r.recordLimit(t, attemptID, status, info)
	r.recordBrittleness(t, attemptID, status, info)
}

// receive checks the status and headers of a response and forwards it. A success
// without the server's signature counts as lost.
func (q *request) receive(ctx context.Context, c *choice, resp *upstream.Response) sendResult {
	info := q.inspect(c, resp)
	if info.NotRun {
		discardBody(resp)
		q.relay.Balancer.finishCall(c, signalNeutral)
		return sendResult{outcome: outcomeNotRun, refusal: unavailable(reasonServerRefused, retryAfterBusy), err: statusError(c, resp.Status)}
	}
	q.mayHaveRun = true
	if isSuccess(resp.Status) && !info.Signed {
		_ = resp.Body.Close()
		return q.recordLostResponse(ctx, c, fault.New(fault.Protocol, "relay.receive", c.target.ID, "successful response lacks the signature"))
	}
	if isSuccess(resp.Status) && q.policy.Stream {
		return q.forwardEvents(ctx, c, resp)
	}
	return q.forwardBuffered(ctx, c, resp)
}

func statusError(c *choice, status int) error {
	return fault.New(fault.Unavailable, "relay.receive", c.target.ID, "server did not run the request, status %d", status)
}

// logFailedSend logs a send that produced no final response, with the reason.
func (q *request) logFailedSend(c *choice, res *sendResult) {
	errText := ""
	if res.err != nil {
		errText = res.err.Error()
	}
	q.relay.Log.Log(EvAttemptEnded, "request", q.info.AttemptID, "server", c.target.ID, "server_zone", c.zone, "sends", q.sends,
		"fate", res.outcome.String(), "choice", c.picked.Reason, "requests_there", c.estimatedRequests(),
		"took_ms", time.Since(c.sentAt).Milliseconds(), "step", fault.Step(res.err), "error", errText)
}

package relay

import (
	"context"
	"errors"
	"net/http"
	"time"

	"buckthornpick/internal/fault"
	"buckthornpick/internal/upstream"
)

// secondSend sends a request to a second server when the first one takes longer than
// sendTimeout. The first send goes on until the second server has accepted the
// request, and until its own end if none does.
type secondSend struct {
	request *request
	// timer is nil if no second send can be made any more.
	timer *time.Timer
	// cancel cancels the second send.
	cancel context.CancelFunc
	// ended is closed at the end of the second send; the following fields are valid
	// then. choice is nil if no server was selected.
	ended  chan struct{}
	choice *choice
	resp   *upstream.Response
	// result describes the send if it has no response.
	result sendResult
}

// startSecondSend starts the timer for a second send, if the policy allows one.
// cancelFirst cancels the first send, which is to the server of first.
func (q *request) startSecondSend(ctx context.Context, first *choice, cancelFirst func()) *secondSend {
	s := &secondSend{request: q}
	remaining := time.Until(q.deadline)
	timeout := sendTimeout(q.policy, q.sends+1, remaining)
	if timeout >= remaining {
		return s
	}
	s.ended = make(chan struct{})
	secondCtx, cancel := context.WithCancel(ctx)
	s.cancel = cancel
	s.timer = time.AfterFunc(timeout, func() {
		defer close(s.ended)
		s.send(secondCtx, first, cancelFirst)
	})
	return s
}

// send sends the request to a second server, if one can be had and the retry budget
// allows. It cancels the first send once that server has responded, or has not
// refused the request within maxOverlap.
func (s *secondSend) send(ctx context.Context, first *choice, cancelFirst func()) {
	q := s.request
	q.tried[first.target.ID] = true
	if q.isDocumentStale() {
		return
	}
	c, err := q.relay.Balancer.pick(q.service, &q.info, 0, q.tried, q.origin)
	if err != nil {
		return
	}
	if !q.relay.retries.takeRetry(q.service, q.relay.Peers.Site().Entries) {
		q.relay.Balancer.finishCall(c, signalNeutral)
		return
	}
	s.choice = c
	q.tried[c.target.ID] = true
	overlap := time.AfterFunc(maxOverlap, cancelFirst)
	defer overlap.Stop()
	resp, err := q.relay.Pool.Do(ctx, c.target, q.buildRequest(c, "", time.Until(q.deadline)))
	if err != nil {
		s.result = s.recordFailedSend(ctx, c, err)
		return
	}
	info := q.inspect(c, resp)
	switch {
	case info.NotRun:
		s.result = sendResult{outcome: outcomeNotRun, err: statusError(c, resp.Status)}
		q.relay.Balancer.finishCall(c, signalNeutral)
	case isServerFailure(resp.Status) || promisesNotRun(resp.Status) || !info.Signed && resp.Status < http.StatusMultipleChoices:
		s.result = sendResult{outcome: outcomeServerFailed, err: fault.New(fault.Ambiguous, "relay.second", c.target.ID, "server failed with status %d", resp.Status)}
		q.relay.Balancer.finishCall(c, signalFailed)
	default:
		cancelFirst()
		s.resp = resp
		return
	}
	discardBody(resp)
}

// recordFailedSend ends a second send that got no response.
func (s *secondSend) recordFailedSend(ctx context.Context, c *choice, err error) sendResult {
	q := s.request
	switch {
	case !upstream.MayHaveBeenSent(err):
		q.relay.Balancer.finishCall(c, unsentSignal(ctx, err))
		return sendResult{outcome: outcomeNotSent, err: err}
	case errors.Is(ctx.Err(), context.Canceled):
		q.relay.Balancer.finishCall(c, signalNeutral)
		return sendResult{outcome: outcomeUnknown, err: err}
	}
	return q.recordLostResponse(ctx, c, err)
}

// stop ends the timer. A second send that was started is waited for, or cancelled if
// the first one was answered. It returns the response of the second server, if any.
func (s *secondSend) stop(isAnswered bool) continuation {
	if s.timer == nil {
		return continuation{choice: s.choice, resp: s.resp}
	}
	isStarted := !s.timer.Stop()
	s.timer = nil
	if isAnswered || !isStarted {
		s.cancel()
	}
	if !isStarted {
		return continuation{}
	}
	<-s.ended
	q := s.request
	switch {
	case s.choice == nil:
		return continuation{}
	case s.resp != nil || s.result.outcome != outcomeNotSent:
		q.sends++
		q.relay.instruments.sendsTotal.Inc(1)
	}
	if s.resp == nil {
		q.mayHaveRun = q.mayHaveRun || s.result.outcome == outcomeUnknown || s.result.outcome == outcomeServerFailed
		if s.result.outcome == outcomeServerFailed {
			q.recordStarted()
		}
		q.logFailedSend(s.choice, &s.result)
	}
	return continuation{choice: s.choice, resp: s.resp}
}

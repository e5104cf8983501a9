package relay

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"buckthornpick/internal/fault"
	"buckthornpick/internal/membudget"
	"buckthornpick/internal/upstream"
)

// secondSend sends a request to a second server when the first one takes longer than
// sendTimeout. The first send goes on until the second server has responded, and until
// its own end if none does. It is decided once which answer is forwarded.
type secondSend struct {
	request   *request
	isDecided atomic.Bool
	// timer is nil if no second send can be made any more.
	timer *time.Timer
	// cancel cancels the second send.
	cancel context.CancelFunc
	// ended is closed at the end of the second send; the following fields are valid
	// then. choice and resp are nil if no second server answers the request.
	ended  chan struct{}
	choice *choice
	resp   *upstream.Response
	// failed holds the sends to servers that have not accepted the request. All but
	// the last one were not sent.
	failed []failedSend
}

// failedSend is a send without a response for the caller.
type failedSend struct {
	choice *choice
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
// allows, and to further ones while servers cannot be reached.
func (s *secondSend) send(ctx context.Context, first *choice, cancelFirst func()) {
	q := s.request
	q.tried[first.target.ID] = true
	for len(s.failed) < maxUnsentSends && ctx.Err() == nil && !q.isDocumentStale() && !q.isTrial && !q.judgeFurtherSend().IsBlocked {
		c, err := q.pick(ctx, 0)
		if err != nil {
			return
		}
		if len(s.failed) == 0 && !q.relay.retries.takeRetry(q.service, q.relay.Peers.Site().Entries) {
			q.relay.Balancer.finishCall(c, signalNeutral)
			return
		}
		q.tried[c.target.ID] = true
		resp, result := s.sendTo(ctx, c, cancelFirst)
		if resp != nil {
			s.choice, s.resp = c, resp
			return
		}
		s.failed = append(s.failed, failedSend{c, result})
		if result.outcome != outcomeNotSent {
			return
		}
	}
}

// sendTo sends the request to one server. It cancels the first send once that server
// has answered: with its whole body, or as much of it as is buffered. The result is that
// of a send without a response.
func (s *secondSend) sendTo(ctx context.Context, c *choice, cancelFirst func()) (*upstream.Response, sendResult) {
	q := s.request
	resp, err := q.do(ctx, c, "")
	if err != nil {
		return nil, s.recordFailedSend(ctx, c, err)
	}
	info := q.inspect(c, resp)
	switch {
	case info.NotRun:
		q.relay.Balancer.finishCall(c, signalNeutral)
		discardBody(resp)
		return nil, sendResult{outcome: outcomeNotRun, err: statusError(c, resp.Status)}
	case isServerFailure(resp.Status) || promisesNotRun(resp.Status) || !info.Signed && resp.Status < http.StatusMultipleChoices:
		q.relay.Balancer.finishCall(c, signalFailed)
		q.judgeAnswer(c, true)
		discardBody(resp)
		return nil, sendResult{outcome: outcomeServerFailed, err: fault.New(fault.Ambiguous, "relay.second", c.target.ID, "server failed with status %d", resp.Status)}
	}
	if err := q.bufferBody(ctx, resp); err != nil {
		_ = resp.Body.Close()
		return nil, s.recordFailedSend(ctx, c, fault.Wrap(err, fault.Ambiguous, "relay.second", c.target.ID, "response body is incomplete"))
	}
	if !s.isDecided.CompareAndSwap(false, true) {
		q.relay.Balancer.finishCall(c, signalNeutral)
		_ = resp.Body.Close()
		return nil, sendResult{outcome: outcomeUnknown, err: errAnsweredElsewhere}
	}
	cancelFirst()
	return resp, sendResult{}
}

// bufferBody reads the body of a response, up to maxBufferedBytes, which it then begins
// with. Closing the body gives its memory back, also after an error.
func (q *request) bufferBody(ctx context.Context, resp *upstream.Response) error {
	memory := q.relay.Memory.Open(membudget.Answers, callerHost(q.r), nil)
	body := &bufferedBody{source: resp.Body, memory: memory}
	resp.Body = body
	data, err := io.ReadAll(io.LimitReader(&reservedReader{ctx: ctx, source: body.source, memory: memory}, maxBufferedBytes))
	body.Reader = io.MultiReader(bytes.NewReader(data), body.source)
	return err
}

// bufferedBody is the body of a response of which a part is held in memory.
type bufferedBody struct {
	io.Reader
	source io.ReadCloser
	memory *membudget.Holder
}

// Close implements io.Closer.
func (b *bufferedBody) Close() error {
	b.memory.Close()
	return b.source.Close()
}

// errAnsweredElsewhere ends a send because another server's answer is forwarded.
var errAnsweredElsewhere = errors.New("another server has answered")

// chooseFirst is called before the answer of the first server is forwarded. It cancels
// the second send, or returns false if that one has been answered before. A nil
// secondSend has no effect.
func (s *secondSend) chooseFirst() bool {
	if s == nil || s.timer == nil {
		return true
	}
	if !s.isDecided.CompareAndSwap(false, true) {
		return false
	}
	s.cancel()
	return true
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

// stop ends the timer. A second send that was started is waited for. It returns the
// response of the second server if that is to be forwarded.
func (s *secondSend) stop() continuation {
	if s == nil || s.timer == nil {
		return continuation{}
	}
	isStarted := !s.timer.Stop()
	s.timer = nil
	if !isStarted {
		s.cancel()
		return continuation{}
	}
	<-s.ended
	q := s.request
	if s.resp != nil {
		q.countSend()
	}
	for _, f := range s.failed {
		if f.result.outcome != outcomeNotSent {
			q.countSend()
		}
		q.mayHaveRun = q.mayHaveRun || f.result.outcome == outcomeUnknown || f.result.outcome == outcomeServerFailed
		if f.result.outcome == outcomeServerFailed {
			q.recordStarted()
		}
		q.logFailedSend(f.choice, &f.result)
	}
	return continuation{choice: s.choice, resp: s.resp}
}

package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"buckthornpick/internal/config"
	"buckthornpick/internal/fault"
	"buckthornpick/internal/upstream"
)

const resumable = config.Resumable

const (
	// maxBufferedBytes limits the size of a response body that is buffered before
	// it is forwarded. Longer ones of successes are forwarded as they arrive; other
	// responses of that length count as lost.
	maxBufferedBytes = 1 << 20
	// maxDiscardBytes limits how much is read of a response that is not forwarded.
	// A body that is read to its end lets the connection be reused.
	maxDiscardBytes = 64 << 10
	// maxDiscardTime limits how long that takes, since the request is sent to
	// another server only afterwards.
	maxDiscardTime = 20 * time.Millisecond
)

// String returns the name of the outcome in log lines.
func (o sendOutcome) String() string {
	return [...]string{"unsent", "not-run", "unknown", "failed", "no-path"}[o]
}

// discardBody reads a short response to its end, so that the connection can be
// reused, and closes it.
func discardBody(resp *upstream.Response) {
	timer := time.AfterFunc(maxDiscardTime, func() { _ = resp.Body.Close() })
	defer timer.Stop()
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxDiscardBytes))
	_ = resp.Body.Close()
}

// forwardBuffered reads a response to its end and then forwards it, so that the
// caller never receives a truncated response. The bodies of successes that reach
// maxBufferedBytes are forwarded as they arrive.
func (q *request) forwardBuffered(ctx context.Context, c *choice, resp *upstream.Response) sendResult {
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(q.reserveAnswer(ctx, resp.Body), maxBufferedBytes))
	if err != nil {
		return q.recordLostResponse(ctx, c, fault.Wrap(err, fault.Ambiguous, "relay.whole", c.target.ID, "response body is incomplete"))
	}
	if len(data) == maxBufferedBytes {
		if !isSuccess(resp.Status) {
			return q.recordLostResponse(ctx, c, fault.New(fault.Protocol, "relay.whole", c.target.ID, "response with status %d exceeds the size limit", resp.Status))
		}
		return q.forwardUnbuffered(ctx, c, resp, data)
	}
	if isServerFailure(resp.Status) || promisesNotRun(resp.Status) {
		q.relay.Balancer.finishCall(c, signalFailed)
		return q.recordServerFailure(c, resp, data)
	}
	if !q.second.chooseFirst() {
		return q.recordAnsweredElsewhere(c)
	}
	q.relay.Balancer.finishCall(c, signalServed)
	q.judgeAnswer(c, false)
	q.recordAnswered(c, resp)
	q.writeResponse(resp.Status, resp.Header, data)
	return responseForwarded
}

// recordAnsweredElsewhere ends a send whose answer is not forwarded, since a second
// server has answered.
func (q *request) recordAnsweredElsewhere(c *choice) sendResult {
	q.relay.Balancer.finishCall(c, signalNeutral)
	return sendResult{outcome: outcomeUnknown, refusal: badGateway(reasonAnswerLost), err: errAnsweredElsewhere}
}

// isSuccess reports whether the status is 2xx.
func isSuccess(status int) bool { return status >= 200 && status < 300 }

// isServerFailure reports whether the status is 5xx.
func isServerFailure(status int) bool { return status >= http.StatusInternalServerError }

// recordServerFailure keeps a backend server's failure response, which is
// forwarded if the request is not sent again. A status that callers take as
// "not run" is not forwarded, since the server did not report that it had not
// run the request; the caller then gets 502.
func (q *request) recordServerFailure(c *choice, resp *upstream.Response, data []byte) sendResult {
	q.recordStarted()
	q.judgeAnswer(c, true)
	err := fault.New(fault.Ambiguous, "relay.receive", c.target.ID, "server failed with status %d", resp.Status)
	res := sendResult{outcome: outcomeServerFailed, refusal: badGateway(reasonServerFailed), err: err}
	if !promisesNotRun(resp.Status) {
		q.writeServerFailure = func() { q.writeResponse(resp.Status, resp.Header, data) }
	}
	return res
}

// promisesNotRun reports whether callers take the status as a guarantee that the
// request did not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// recordAnswered counts the request as started and clears its content at all entries.
// The end of an answer without a length or chunks may be that of a server that has
// crashed: it clears suspect content only if the server turns out to run.
func (q *request) recordAnswered(c *choice, resp *upstream.Response) {
	q.recordStarted()
	if resp.Framed {
		q.relay.recordAnswered(&q.content, q.info.AttemptID)
	} else if q.relay.Crashes.HasEvidence(&q.content) {
		q.relay.detector.report(c.target, endedRun{content: q.content, attemptID: q.info.AttemptID, isAnswered: true})
	}
}

// recordStarted counts the request, once, as one that a backend server started to
// run.
func (q *request) recordStarted() {
	if !q.isStartRecorded && q.org != nil {
		q.isStartRecorded = true
		q.relay.Usage.RecordStart(q.org.Name)
	}
}

// hopByHopHeaders are response headers that apply to the connection to the
// backend server only and are not forwarded.
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding", "Te", "Trailer", "Upgrade", "Content-Length"}

// setHead sets the status and the headers of the response to the caller without
// sending them. While the relay drains, it asks the caller to close the
// connection.
func (q *request) setHead(status int, from http.Header) {
	to := q.w.Header()
	for name, values := range from {
		to[name] = values
	}
	for _, name := range hopByHopHeaders {
		delete(to, name)
	}
	if q.relay.isDraining() {
		to.Set("Connection", "close")
	}
	q.status = status
	q.timeToFirstByte = time.Since(q.arrivedAt)
}

// writeResponse writes a complete response to the caller.
func (q *request) writeResponse(status int, from http.Header, data []byte) {
	q.setHead(status, from)
	q.reason = reasonServed
	if isServerFailure(status) {
		q.reason = reasonServerFailed
	}
	if status != http.StatusNoContent && status != http.StatusNotModified {
		q.w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	}
	q.w.WriteHeader(status)
	// A caller that does not read its answer yields by the end of its connection.
	connection := http.NewResponseController(q.w)
	q.answerMemory.SetYield(func() { _ = connection.SetWriteDeadline(expiredDeadline) })
	if _, err := q.w.Write(data); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		q.reason = reasonCallerLeft
	}
}

// forwardUnbuffered forwards a long response as it arrives; first is the part of
// its body that was already read. From then on, no second send is made.
func (q *request) forwardUnbuffered(ctx context.Context, c *choice, resp *upstream.Response, first []byte) sendResult {
	if !q.second.chooseFirst() {
		return q.recordAnsweredElsewhere(c)
	}
	q.second.stop()
	if err := ctx.Err(); err != nil {
		return q.recordLostResponse(ctx, c, err)
	}
	q.setHead(resp.Status, resp.Header)
	if resp.DeclaredLength >= 0 {
		q.w.Header().Set("Content-Length", strconv.FormatInt(resp.DeclaredLength, 10))
	}
	q.w.WriteHeader(resp.Status)
	_, err := q.w.Write(first)
	if err == nil {
		_, err = io.Copy(q.w, resp.Body)
	}
	if err != nil {
		q.relay.Balancer.finishCall(c, signalNeutral)
		q.abortConnection(err)
	}
	q.relay.Balancer.finishCall(c, signalServed)
	q.judgeAnswer(c, false)
	q.recordAnswered(c, resp)
	q.reason = reasonServed
	return responseForwarded
}

// abortConnection closes the caller's connection by a panic with
// http.ErrAbortHandler, so that a truncated response does not look complete.
func (q *request) abortConnection(err error) {
	q.reason = reasonBrokenOff
	if q.hasCallerLeft() {
		q.reason = reasonCallerLeft
	}
	q.detail = err.Error()
	panic(http.ErrAbortHandler)
}

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
	// maxWhole bounds an answer that is held until it is whole; longer ones are
	// passed on as they arrive.
	maxBufferedBytes = 1 << 20
	// maxDiscard bounds what is read of an answer that is not passed on, so that
	// its connection can be kept.
	maxDiscardBytes = 64 << 10
)

// String names the fate in log lines.
func (o attemptOutcome) String() string {
	return [...]string{"unsent", "not-run", "unknown", "failed"}[o]
}

// discard reads a short answer to its end, which keeps the connection.
func discardBody(resp *upstream.Response) {
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxDiscardBytes))
	_ = resp.Body.Close()
}

// whole reads an answer to its end and passes it on. An answer that is cut off
// is never shown to the caller as one.
func (q *request) forwardBuffered(ctx context.Context, c *choice, resp *upstream.Response) sendResult {
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxBufferedBytes))
	if err != nil {
		return q.recordLostResponse(ctx, c, fault.Wrap(err, fault.Ambiguous, "relay.whole", c.target.ID, "the answer was cut off"))
	}
	if len(data) == maxBufferedBytes {
		return q.forwardUnbuffered(c, resp, data)
	}
	if isServerFailure(resp.Status) || promisesNotRun(resp.Status) {
		q.relay.Balancer.finishCall(c, signalFailed)
		return q.recordServerFailure(c, resp, data)
	}
	q.relay.Balancer.finishCall(c, signalServed)
	q.recordAnswered()
	q.writeResponse(resp.Status, resp.Header, data)
	return responseForwarded
}

func isServerFailure(status int) bool { return status >= http.StatusInternalServerError }

// failedAnswer keeps a backend server's failure, which ends the request if it
// is not sent again. Statuses that promise "not run" are not passed on without
// the server's word for it.
func (q *request) recordServerFailure(c *choice, resp *upstream.Response, data []byte) sendResult {
	q.recordStarted()
	err := fault.New(fault.Ambiguous, "relay.receive", c.target.ID, "failed with status %d", resp.Status)
	res := sendResult{outcome: outcomeServerFailed, refusal: badGateway(reasonServerFailed), err: err}
	if !promisesNotRun(resp.Status) {
		q.writeServerFailure = func() { q.writeResponse(resp.Status, resp.Header, data) }
	}
	return res
}

// promisesNotRun reports whether callers take the status for a promise that the
// request did not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// answered notes that the content was answered and that the request began.
func (q *request) recordAnswered() {
	q.recordStarted()
	if q.relay.Crashes.Clear(q.fingerprint) {
		q.relay.Log.Log(EvContentCleared, "request", q.info.AttemptID, "content", q.fingerprint)
		q.relay.Peers.NotifyCleared(q.fingerprint)
	}
}

// began counts the request as one that a backend server began.
func (q *request) recordStarted() {
	if !q.isStartRecorded && q.org != nil {
		q.isStartRecorded = true
		q.relay.Usage.RecordStart(q.org.Name)
	}
}

// connectionHeaders of an answer concern the backend server's connection only.
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding", "Te", "Trailer", "Upgrade", "Content-Length"}

func (q *request) writeHead(status int, from http.Header) {
	to := q.w.Header()
	for name, values := range from {
		to[name] = values
	}
	for _, name := range hopByHopHeaders {
		delete(to, name)
	}
	if q.relay.isDraining.Load() {
		to.Set("Connection", "close")
	}
	q.status = status
	q.timeToFirstByte = time.Since(q.arrivedAt)
}

func (q *request) writeResponse(status int, from http.Header, data []byte) {
	q.writeHead(status, from)
	q.reason = reasonServed
	if isServerFailure(status) {
		q.reason = reasonServerFailed
	}
	if status != http.StatusNoContent && status != http.StatusNotModified {
		q.w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	}
	q.w.WriteHeader(status)
	if _, err := q.w.Write(data); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		q.reason = reasonCallerLeft
	}
}

// pass passes a long answer on as it arrives.
func (q *request) forwardUnbuffered(c *choice, resp *upstream.Response, first []byte) sendResult {
	q.writeHead(resp.Status, resp.Header)
	if resp.ContentLength >= 0 {
		q.w.Header().Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
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
	q.recordAnswered()
	q.reason = reasonServed
	return responseForwarded
}

// breakOff closes the caller's connection, so that an answer that ended early
// does not look complete.
func (q *request) abortConnection(err error) {
	q.reason = reasonBrokenOff
	if q.r.Context().Err() != nil {
		q.reason = reasonCallerLeft
	}
	q.detail = err.Error()
	panic(http.ErrAbortHandler)
}

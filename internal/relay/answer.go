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
	maxWhole = 1 << 20
	// maxDiscard bounds what is read of an answer that is not passed on, so that
	// its connection can be kept.
	maxDiscard = 64 << 10
)

// String names the fate in log lines.
func (f fate) String() string {
	return [...]string{"unsent", "not-run", "unknown", "failed"}[f]
}

// discard reads a short answer to its end, which keeps the connection.
func discard(a *upstream.Response) {
	_, _ = io.Copy(io.Discard, io.LimitReader(a.Body, maxDiscard))
	_ = a.Body.Close()
}

// whole reads an answer to its end and passes it on. An answer that is cut off
// is never shown to the caller as one.
func (q *request) whole(ctx context.Context, c *choice, a *upstream.Response) result {
	defer func() { _ = a.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(a.Body, maxWhole))
	if err != nil {
		return q.lost(ctx, c, fault.Wrap(err, fault.Ambiguous, "relay.whole", c.target.ID, "the answer was cut off"))
	}
	if len(data) == maxWhole {
		return q.pass(c, a, data)
	}
	if isServerFailure(a.Status) || promisesNotRun(a.Status) {
		q.relay.Balancer.done(c, failed)
		return q.failedAnswer(c, a, data)
	}
	q.relay.Balancer.done(c, served)
	q.answered()
	q.writeWhole(a.Status, a.Header, data)
	return ended
}

func isServerFailure(status int) bool { return status >= http.StatusInternalServerError }

// failedAnswer keeps a backend server's failure, which ends the request if it
// is not sent again. Statuses that promise "not run" are not passed on without
// the server's word for it.
func (q *request) failedAnswer(c *choice, a *upstream.Response, data []byte) result {
	q.began()
	err := fault.New(fault.Ambiguous, "relay.receive", c.target.ID, "failed with status %d", a.Status)
	res := result{fate: fateFailed, refusal: unknown(reasonServerFailed), err: err}
	if !promisesNotRun(a.Status) {
		q.failure = func() { q.writeWhole(a.Status, a.Header, data) }
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
func (q *request) answered() {
	q.began()
	if q.relay.Crashes.Clear(q.content) {
		q.relay.Log.Log(EvContentCleared, "request", q.facts.AttemptID, "content", q.content)
		q.relay.Peers.NotifyCleared(q.content)
	}
}

// began counts the request as one that a backend server began.
func (q *request) began() {
	if !q.isCounted && q.org != nil {
		q.isCounted = true
		q.relay.Usage.RecordStart(q.org.Name)
	}
}

// connectionHeaders of an answer concern the backend server's connection only.
var connectionHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding", "Te", "Trailer", "Upgrade", "Content-Length"}

func (q *request) writeHead(status int, from http.Header) {
	to := q.w.Header()
	for name, values := range from {
		to[name] = values
	}
	for _, name := range connectionHeaders {
		delete(to, name)
	}
	if q.relay.isDraining.Load() {
		to.Set("Connection", "close")
	}
	q.status = status
	q.firstByte = time.Since(q.arrived)
}

func (q *request) writeWhole(status int, from http.Header, data []byte) {
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
func (q *request) pass(c *choice, a *upstream.Response, first []byte) result {
	q.writeHead(a.Status, a.Header)
	if a.ContentLength >= 0 {
		q.w.Header().Set("Content-Length", strconv.FormatInt(a.ContentLength, 10))
	}
	q.w.WriteHeader(a.Status)
	_, err := q.w.Write(first)
	if err == nil {
		_, err = io.Copy(q.w, a.Body)
	}
	if err != nil {
		q.relay.Balancer.done(c, neutral)
		q.breakOff(err)
	}
	q.relay.Balancer.done(c, served)
	q.answered()
	q.reason = reasonServed
	return ended
}

// breakOff closes the caller's connection, so that an answer that ended early
// does not look complete.
func (q *request) breakOff(err error) {
	q.reason = reasonBroken
	if q.r.Context().Err() != nil {
		q.reason = reasonCallerLeft
	}
	q.detail = err.Error()
	panic(http.ErrAbortHandler)
}

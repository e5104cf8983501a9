package backend

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"buckthornpick/internal/fault"
)

// MaxErrorBody bounds the error answers kept in an AttemptError, in bytes.
const MaxErrorBody = 64 << 10

// headerNotRun is set by a backend server on a 503 or 429 that it sends
// without having run the request.
const headerNotRun = "X-Not-Run"

// String returns the name of r for logs.
func (r Progress) String() string {
	switch r {
	case NotSent:
		return "not-sent"
	case Refused:
		return "refused"
	case MayHaveRun:
		return "may-have-run"
	case RanAndFailed:
		return "ran"
	case NotFound:
		return "not-found"
	}
	return "reached-" + strconv.Itoa(int(r))
}

// transportError classifies a call that got no answer. The request counts as
// unsent only if the transport never had a connection for it: once it has one,
// its writer may write until the connection is closed, even after the call has
// returned.
func transportError(t Target, step string, hadConn bool, err error) *AttemptError {
	reached := NotSent
	if hadConn {
		reached = MayHaveRun
	}
	return &AttemptError{
		Progress: reached, Target: t,
		Err: fault.Wrap(err, fault.Unavailable, step, t.ID, "no answer"),
	}
}

// statusError classifies an answer with an error status and reads its body.
func statusError(t Target, step string, resp *http.Response) *AttemptError {
	e := &AttemptError{
		Progress: RanAndFailed, Target: t, Status: resp.StatusCode,
		RetryAfter:  parseRetryAfter(resp.Header),
		ContentType: resp.Header.Get("Content-Type"),
		Err:         fault.New(fault.Unavailable, step, t.ID, "status %d", resp.StatusCode),
	}
	if isRefusal(resp) {
		e.Progress = Refused
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxErrorBody+1))
	if err == nil && len(body) <= MaxErrorBody {
		e.Body = body
	}
	return e
}

func isRefusal(resp *http.Response) bool {
	if resp.StatusCode != http.StatusServiceUnavailable && resp.StatusCode != http.StatusTooManyRequests {
		return false
	}
	return resp.Header.Get(headerNotRun) == "true"
}

// brokenError is an answer that ended before it was whole: the attempt may
// still be running.
func brokenError(t Target, status int, err error) *AttemptError {
	return &AttemptError{Progress: MayHaveRun, Target: t, Status: status, Err: err}
}

// retryAfter reads Retry-After in seconds; dates are not used by backend
// servers and count as no advice.
func parseRetryAfter(h http.Header) time.Duration {
	const maxRetryAfter = 24 * time.Hour
	seconds, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
	if err != nil || !(seconds > 0) {
		return 0
	}
	if seconds > maxRetryAfter.Seconds() {
		return maxRetryAfter
	}
	return time.Duration(seconds * float64(time.Second))
}

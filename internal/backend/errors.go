package backend

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"buckthornpick/internal/fault"
)

// MaxErrorBody is the maximum size of an error response kept in an AttemptError,
// in bytes.
const MaxErrorBody = 64 << 10

// headerNotRun is set to "true" by a backend server on a 503 or 429 response if it
// did not run the request.
const headerNotRun = "X-Not-Run"

// String returns the name of the progress as used in logs.
func (p Progress) String() string {
	switch p {
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
	return "reached-" + strconv.Itoa(int(p))
}

// transportError classifies a call that received no response. The request counts
// as not sent only if the transport never obtained a connection for it: once it
// has one, its write loop may write until the connection is closed, even after
// the call has returned.
func transportError(t Target, step string, hadConn bool, err error) *AttemptError {
	progress := NotSent
	if hadConn {
		progress = MayHaveRun
	}
	return &AttemptError{
		Progress: progress, Target: t,
		Err: fault.Wrap(err, fault.Unavailable, step, t.ID, "no answer"),
	}
}

// statusError classifies a response with an error status and reads its body.
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

// isRefusal reports whether the response states that the request was not run.
func isRefusal(resp *http.Response) bool {
	if resp.StatusCode != http.StatusServiceUnavailable && resp.StatusCode != http.StatusTooManyRequests {
		return false
	}
	return resp.Header.Get(headerNotRun) == "true"
}

// brokenError returns the error for an answer that ended before it was complete.
// The attempt may still be running.
func brokenError(t Target, status int, err error) *AttemptError {
	return &AttemptError{Progress: MayHaveRun, Target: t, Status: status, Err: err}
}

// parseRetryAfter parses a Retry-After header in seconds, limited to 24 h. Backend
// servers do not send dates, so a date is ignored.
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

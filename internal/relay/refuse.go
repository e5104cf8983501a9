package relay

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

// Reasons why the relay itself ended a request; they appear in log lines and in
// the body of its answers.
const (
	reasonNoDocument         = "no-document"
	reasonDocumentTooOld     = "document-too-old"
	reasonNoRule             = "no-rule"
	reasonUnknownKey         = "unknown-key"
	reasonBadRequest         = "bad-request"
	reasonHeaderTooLarge     = "header-too-large"
	reasonBodyTooLarge       = "body-too-large"
	reasonQuota              = "quota"
	reasonCrashesServers     = "crashes-servers"
	reasonNoServer           = "no-server"
	reasonSaturated          = "saturated"
	reasonWouldBeLate        = "would-be-late"
	reasonServerRefused      = "server-refused"
	reasonServersUnreachable = "servers-unreachable"
	reasonTimeout            = "timeout"
	reasonAnswerLost         = "answer-lost"
	reasonCallerLeft         = "caller-left"
	reasonBrokenOff          = "broken-off"
	reasonServerFailed       = "server-failed"
	reasonServed             = "served"
)

// refusal is a final answer of the relay itself.
type refusal struct {
	status int
	reason string
	// retryAfter is when the caller may come back; 0 gives no advice.
	retryAfter time.Duration
}

// notRun answers with a status that promises that the request has not run.
func unavailable(reason string, retryAfter time.Duration) *refusal {
	return &refusal{status: http.StatusServiceUnavailable, reason: reason, retryAfter: retryAfter}
}

// unknown answers a request that may have run.
func badGateway(reason string) *refusal {
	return &refusal{status: http.StatusBadGateway, reason: reason}
}

// Advice to callers that are refused.
const (
	// retryElsewhere sends callers to another entry soon.
	retryAfterOtherEntry = 100 * time.Millisecond
	// retryBusy is about the time of one answer of a plain service.
	retryAfterBusy = 300 * time.Millisecond
	// retrySpread is the part by which advice is spread, so that callers refused
	// together do not return together.
	retryJitter = 0.3
)

// spread varies the advice by up to retrySpread of it.
func addJitter(d time.Duration) time.Duration {
	return d + time.Duration(retryJitter*rand.Float64()*float64(d))
}

func (r *refusal) write(w http.ResponseWriter) {
	if r.retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(addJitter(r.retryAfter).Seconds(), 'f', 3, 64))
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	text := r.reason + "\n"
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(r.status)
	_, _ = w.Write([]byte(text)) // a caller that has left needs no answer
}

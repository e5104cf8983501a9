package relay

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

// Reasons for the end of a request. They appear in log lines and metric names, and
// those of refusals also in the response body.
const (
	reasonNoDocument         = "no-document"
	reasonDocumentTooOld     = "document-too-old"
	reasonNoRule             = "no-rule"
	reasonUnknownKey         = "unknown-key"
	reasonBadRequest         = "bad-request"
	reasonHeaderTooLarge     = "header-too-large"
	reasonBodyTooLarge       = "body-too-large"
	reasonBodyTimeout        = "body-timeout"
	reasonMemoryShort        = "memory-short"
	reasonQuota              = "quota"
	reasonCrashesServers     = "crashes-servers"
	reasonNoServer           = "no-server"
	reasonStopping           = "stopping"
	reasonSaturated          = "saturated"
	reasonWouldBeLate        = "would-be-late"
	reasonOriginUnknown      = "origin-unknown"
	reasonServiceChanged     = "service-changed"
	reasonVersionGone        = "version-gone"
	reasonServerRefused      = "server-refused"
	reasonServersUnreachable = "servers-unreachable"
	reasonNoPath             = "no-path"
	reasonTimeout            = "timeout"
	reasonAnswerLost         = "answer-lost"
	reasonCallerLeft         = "caller-left"
	reasonBrokenOff          = "broken-off"
	reasonServerFailed       = "server-failed"
	reasonServed             = "served"
)

// refusal is an error response that the relay itself generates.
type refusal struct {
	status int
	reason string
	// retryAfter is the value of the Retry-After header before jitter; 0 omits it.
	retryAfter time.Duration
	// isPlanned is set if retryAfter is planned for this caller, so that no jitter is added.
	isPlanned bool
}

// unavailable returns a refusal with status 503, which guarantees to callers that
// the request has not run.
func unavailable(reason string, retryAfter time.Duration) *refusal {
	return &refusal{status: http.StatusServiceUnavailable, reason: reason, retryAfter: retryAfter}
}

// badGateway returns a refusal with status 502 of a request that may have run.
func badGateway(reason string) *refusal {
	return &refusal{status: http.StatusBadGateway, reason: reason}
}

// Values of the Retry-After header.
const (
	// retryAfterOtherEntry is short, since another entry may accept the request.
	retryAfterOtherEntry = 100 * time.Millisecond
	// retryAfterBusy is about the response time of a plain service.
	retryAfterBusy = 300 * time.Millisecond
	// retryAfterNoPath is for a site of which no entry has a path to servers.
	retryAfterNoPath = time.Second
	// retryJitter is the largest random increase of the value as a fraction of it, so
	// that callers that are refused at the same time do not retry at the same time.
	retryJitter = 0.3
)

// patienceShare is the fraction of the time left to a caller for which it waits before it
// comes back.
const patienceShare = 1.0 / 3

// planReturn sets when the caller of a request beyond its organisation's quota is to come
// back.
func (q *request) planReturn(refused *refusal) {
	patience := time.Duration(patienceShare * float64(time.Until(q.deadline)))
	if patience <= 0 {
		return
	}
	amount := quotaCost(q.org.Quota, &q.info)
	refused.retryAfter = q.relay.Quotas.PlanReturn(q.org, q.relay.Peers.Site(), q.quotaDecision, amount, patience)
	refused.isPlanned = true
}

// addJitter increases d by a random fraction of up to retryJitter.
func addJitter(d time.Duration) time.Duration {
	return d + time.Duration(retryJitter*rand.Float64()*float64(d))
}

// write writes the refusal to the caller, with its reason as the body.
func (r *refusal) write(w http.ResponseWriter) {
	if r.retryAfter > 0 {
		after := r.retryAfter
		if !r.isPlanned {
			after = addJitter(after)
		}
		w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	text := r.reason + "\n"
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(r.status)
	_, _ = w.Write([]byte(text)) // fails if the caller has disconnected
}

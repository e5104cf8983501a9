package relay

import (
	"encoding/binary"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"buckthornpick/internal/config"
	"buckthornpick/internal/rules"
)

// admit runs all checks that precede the first send: it decodes the request,
// matches a rule, authenticates the caller, reads the body, checks for crashes of
// servers that ran the same content, finds the origin of a resumed stream and charges
// the quota. It returns the refusal, or nil if the request may be sent to a backend
// server.
func (q *request) admit() *refusal {
	doc, age := q.relay.Documents.Current()
	q.doc, q.documentAge = doc, age
	if doc == nil {
		return unavailable(reasonNoDocument, retryAfterOtherEntry)
	}
	info, err := q.relay.Codec.DecodeRequest(q.r)
	if err != nil {
		q.detail = err.Error()
		return &refusal{status: http.StatusBadRequest, reason: reasonBadRequest}
	}
	q.info = info
	if refused := q.matchRule(); refused != nil {
		return refused
	}
	if refused := q.authenticate(); refused != nil {
		return refused
	}
	q.deadline = q.arrivedAt.Add(q.timeout())
	if refused := q.readBody(); refused != nil {
		return refused
	}
	if refused := q.admitContent(); refused != nil {
		return refused
	}
	if refused := q.pinToOrigin(); refused != nil {
		return refused
	}
	q.relay.retries.recordRequest(q.service)
	return q.chargeQuota()
}

// matchRule finds the rule that applies to the request and selects its service.
func (q *request) matchRule() *refusal {
	path, _, _ := strings.Cut(q.r.RequestURI, "?")
	host := strings.ToLower(q.r.Host)
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	decision := q.doc.Rules.Match(rules.Input{
		Host: host, Path: path, PromptTokens: q.info.PromptTokens, RequestID: q.info.AttemptID, Zone: q.relay.Zone, Now: q.arrivedAt,
	})
	if decision.Rule == rules.NoRule || decision.Then.Call == nil {
		return q.refuseUnlisted(http.StatusNotFound, reasonNoRule)
	}
	q.ruleName, q.policy = decision.Name, decision.Then.Call
	q.services = servicesOf(&decision.Then)
	q.service = selectService(&decision.Then, q.info.AttemptID, sharedPrefixHash(&q.info))
	return nil
}

// selectService returns the service of a request. If the rule splits its requests
// between services by weight, the hash of the prompt's shared prefix selects one,
// so that requests with the same prefix use the same cache; a request without a
// shared prefix (prefixHash 0) is selected by its attempt ID.
func selectService(then *config.Then, attemptID string, prefixHash uint64) string {
	totalWeight := 0.0
	for _, part := range then.Call.Split {
		totalWeight += part.Weight
	}
	if totalWeight <= 0 {
		return then.Service
	}
	if prefixHash == 0 {
		prefixHash = xxhash.Sum64String(attemptID)
	}
	const buckets = 1 << 16
	position := float64(xxhash.Sum64(binary.LittleEndian.AppendUint64(nil, prefixHash))%buckets) / buckets * totalWeight
	for _, part := range then.Call.Split {
		if position -= part.Weight; position < 0 {
			return part.Service
		}
	}
	return then.Service
}

// authenticate finds the organisation of the caller's key. Rules for public calls
// need none.
func (q *request) authenticate() *refusal {
	if q.info.KeyHash != "" {
		q.org, _ = q.doc.Organisation(q.info.KeyHash)
	}
	if q.policy.Public {
		return nil
	}
	if q.isDocumentStale() {
		return unavailable(reasonDocumentTooOld, retryAfterOtherEntry)
	}
	if q.org == nil {
		return q.refuseUnlisted(http.StatusUnauthorized, reasonUnknownKey)
	}
	return nil
}

// refuseUnlisted returns the refusal of a request whose rule or key the document does
// not have. Callers take it as final, so it is given only while no version that may be
// in force elsewhere can have them.
func (q *request) refuseUnlisted(status int, reason string) *refusal {
	if _, age := q.relay.Documents.Current(); age > q.relay.Limits.MaxRefusalAge {
		q.documentAge, q.detail = age, reason
		return unavailable(reasonDocumentTooOld, retryAfterOtherEntry)
	}
	return &refusal{status: status, reason: reason}
}

// isDocumentStale reports whether the document is too old to authenticate keys,
// which may have been revoked since, and updates documentAge. For public calls,
// which need no key, it returns false.
func (q *request) isDocumentStale() bool {
	_, age := q.relay.Documents.Current()
	q.documentAge = age
	return !q.policy.Public && age > q.relay.Limits.MaxDocumentAge
}

// readBody checks the size of the headers and reads the body, until the request's
// deadline and up to the size limit of the document, or else of the relay.
func (q *request) readBody() *refusal {
	limit := q.relay.Limits.DefaultMaxBodyBytes
	if n := q.doc.CallerLimits.MaxBodyBytes; n > 0 {
		limit = n
	}
	if n := q.doc.CallerLimits.MaxHeaderBytes; n > 0 && headerSize(q.r) > n {
		return &refusal{status: http.StatusRequestHeaderFieldsTooLarge, reason: reasonHeaderTooLarge}
	}
	if q.r.ContentLength > limit {
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: reasonBodyTooLarge}
	}
	return q.readContent(limit)
}

// headerSize returns the size of the request URI and the headers in bytes.
func headerSize(r *http.Request) int {
	size := len(r.RequestURI)
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v)
		}
	}
	return size
}

// defaultTimeout applies to requests without a deadline whose rule has no timeout.
const defaultTimeout = 60 * time.Second

// timeout returns how long the request may take from its arrival: the shorter of
// the rule's timeout and the time that the caller waits.
func (q *request) timeout() time.Duration {
	timeout := defaultTimeout
	if q.policy.TimeoutMillis > 0 {
		timeout = millis(q.policy.TimeoutMillis)
	}
	if q.info.Remaining > 0 {
		timeout = min(timeout, q.info.Remaining)
	}
	return timeout
}

// millis converts a number of milliseconds to a duration.
func millis(n float64) time.Duration { return time.Duration(n * float64(time.Millisecond)) }

// chargeQuota charges the request's cost to the quota of its organisation.
func (q *request) chargeQuota() *refusal {
	if q.org == nil || q.org.Quota == nil {
		return nil
	}
	amount := quotaCost(q.org.Quota, &q.info)
	q.quotaDecision = q.relay.Quotas.Spend(q.org, q.relay.Peers.Site(), amount)
	if !q.quotaDecision.Allowed {
		return &refusal{status: http.StatusTooManyRequests, reason: reasonQuota, retryAfter: q.quotaDecision.RetryAfter}
	}
	q.quotaCharged = amount
	return nil
}

// refundQuota returns the charge of a request that did not run.
func (q *request) refundQuota() {
	if q.quotaCharged > 0 {
		q.relay.Quotas.Refund(q.org.Name, q.quotaCharged)
		q.quotaCharged = 0
	}
}

package relay

import (
	"encoding/binary"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"buckthornpick/internal/config"
	"buckthornpick/internal/rules"
)

// admit decides whether the request may be sent to a backend server.
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
	if refused := q.readBody(); refused != nil {
		return refused
	}
	q.fingerprint = q.hashContent()
	if crashes := q.relay.Crashes.Count(q.fingerprint); crashes >= crashLimit {
		return unavailable(reasonCrashesServers, 0)
	}
	q.deadline = q.arrivedAt.Add(q.timeout())
	q.relay.retries.recordRequest(q.service)
	return q.chargeQuota()
}

// match finds the rule of the request and the service that it goes to.
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
		return &refusal{status: http.StatusNotFound, reason: reasonNoRule}
	}
	q.ruleName, q.policy = decision.Name, decision.Then.Call
	q.service = selectService(&decision.Then, q.info.AttemptID, sharedPrefixHash(&q.info))
	return nil
}

// serviceOf returns the service of a request; a split goes by the prompt's
// shared prefix, so that it stays where it is cached, and else by the attempt.
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
		return &refusal{status: http.StatusUnauthorized, reason: reasonUnknownKey}
	}
	return nil
}

// isStale reports whether the document is too old for the use of keys, which
// may have been taken away since.
func (q *request) isDocumentStale() bool {
	_, age := q.relay.Documents.Current()
	q.documentAge = age
	return !q.policy.Public && age > q.relay.Limits.MaxDocumentAge
}

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
	body, err := readAll(http.MaxBytesReader(q.w, q.r.Body, limit), q.r.ContentLength)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: reasonBodyTooLarge}
	case err != nil:
		q.detail = err.Error()
		return &refusal{status: http.StatusBadRequest, reason: reasonBadRequest}
	}
	q.body = body
	return nil
}

// readAll reads r, whose length is known unless it is negative.
func readAll(r io.Reader, length int64) ([]byte, error) {
	if length < 0 {
		return io.ReadAll(r)
	}
	body := make([]byte, length)
	_, err := io.ReadFull(r, body)
	return body, err
}

func headerSize(r *http.Request) int {
	size := len(r.RequestURI)
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v)
		}
	}
	return size
}

// fingerprint identifies what the caller asks, whichever attempt it is.
func (q *request) hashContent() uint64 {
	h := xxhash.New()
	if q.org != nil {
		_, _ = h.WriteString(q.org.Name)
	}
	_, _ = h.WriteString("\x00" + q.r.Method + "\x00" + q.r.RequestURI + "\x00")
	_, _ = h.Write(q.body)
	return h.Sum64()
}

// defaultPatience bounds requests without a deadline and without a timeout.
const defaultTimeout = 60 * time.Second

// patience is how long the request may take from its arrival.
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

func millis(n float64) time.Duration { return time.Duration(n * float64(time.Millisecond)) }

func (q *request) chargeQuota() *refusal {
	if q.org == nil || q.org.Quota == nil {
		return nil
	}
	amount := quotaCost(q.org.Quota, &q.info)
	q.quotaVerdict = q.relay.Quotas.Spend(q.org, q.relay.Peers.Site(), amount)
	if !q.quotaVerdict.Allowed {
		return &refusal{status: http.StatusTooManyRequests, reason: reasonQuota, retryAfter: q.quotaVerdict.RetryAfter}
	}
	q.quotaCharged = amount
	return nil
}

// refundQuota gives back what a request that did not run has spent.
func (q *request) refundQuota() {
	if q.quotaCharged > 0 {
		q.relay.Quotas.Refund(q.org.Name, q.quotaCharged)
		q.quotaCharged = 0
	}
}

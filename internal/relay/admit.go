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
	q.doc, q.docAge = doc, age
	if doc == nil {
		return notRun(reasonNoDocument, retryElsewhere)
	}
	facts, err := q.relay.Codec.DecodeRequest(q.r)
	if err != nil {
		q.detail = err.Error()
		return &refusal{status: http.StatusBadRequest, reason: reasonBadRequest}
	}
	q.facts = facts
	if refused := q.match(); refused != nil {
		return refused
	}
	if refused := q.authenticate(); refused != nil {
		return refused
	}
	if refused := q.readBody(); refused != nil {
		return refused
	}
	q.content = q.fingerprint()
	if n := q.relay.Crashes.Count(q.content); n >= crashLimit {
		return notRun(reasonCrashes, 0)
	}
	q.deadline = q.arrived.Add(q.patience())
	q.relay.repeats.request(q.service)
	return q.spendQuota()
}

// match finds the rule of the request and the service that it goes to.
func (q *request) match() *refusal {
	path, _, _ := strings.Cut(q.r.RequestURI, "?")
	host := strings.ToLower(q.r.Host)
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	decision := q.doc.Rules.Match(rules.Input{
		Host: host, Path: path, PromptTokens: q.facts.PromptTokens, RequestID: q.facts.AttemptID, Zone: q.relay.Zone, Now: q.arrived,
	})
	if decision.Rule == rules.NoRule || decision.Then.Call == nil {
		return &refusal{status: http.StatusNotFound, reason: reasonNoRule}
	}
	q.rule, q.call = decision.Name, decision.Then.Call
	q.service = serviceOf(&decision.Then, q.facts.AttemptID, contextOf(&q.facts))
	return nil
}

// serviceOf returns the service of a request; a split goes by the prompt's
// shared prefix, so that it stays where it is cached, and else by the attempt.
func serviceOf(then *config.Then, id string, prefix uint64) string {
	total := 0.0
	for _, part := range then.Call.Split {
		total += part.Weight
	}
	if total <= 0 {
		return then.Service
	}
	if prefix == 0 {
		prefix = xxhash.Sum64String(id)
	}
	const points = 1 << 16
	point := float64(xxhash.Sum64(binary.LittleEndian.AppendUint64(nil, prefix))%points) / points * total
	for _, part := range then.Call.Split {
		if point -= part.Weight; point < 0 {
			return part.Service
		}
	}
	return then.Service
}

func (q *request) authenticate() *refusal {
	if q.facts.KeyHash != "" {
		q.org, _ = q.doc.Organisation(q.facts.KeyHash)
	}
	if q.call.Public {
		return nil
	}
	if q.isStale() {
		return notRun(reasonStale, retryElsewhere)
	}
	if q.org == nil {
		return &refusal{status: http.StatusUnauthorized, reason: reasonNoKey}
	}
	return nil
}

// isStale reports whether the document is too old for the use of keys, which
// may have been taken away since.
func (q *request) isStale() bool {
	_, age := q.relay.Documents.Current()
	q.docAge = age
	return !q.call.Public && age > q.relay.Limits.MaxDocumentAge
}

func (q *request) readBody() *refusal {
	limit := q.relay.Limits.DefaultMaxBodyBytes
	if n := q.doc.CallerLimits.MaxBodyBytes; n > 0 {
		limit = n
	}
	if n := q.doc.CallerLimits.MaxHeaderBytes; n > 0 && headerBytes(q.r) > n {
		return &refusal{status: http.StatusRequestHeaderFieldsTooLarge, reason: reasonHeader}
	}
	if q.r.ContentLength > limit {
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: reasonBody}
	}
	body, err := readAll(http.MaxBytesReader(q.w, q.r.Body, limit), q.r.ContentLength)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: reasonBody}
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

func headerBytes(r *http.Request) int {
	n := len(r.RequestURI)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v)
		}
	}
	return n
}

// fingerprint identifies what the caller asks, whichever attempt it is.
func (q *request) fingerprint() uint64 {
	h := xxhash.New()
	if q.org != nil {
		_, _ = h.WriteString(q.org.Name)
	}
	_, _ = h.WriteString("\x00" + q.r.Method + "\x00" + q.r.RequestURI + "\x00")
	_, _ = h.Write(q.body)
	return h.Sum64()
}

// defaultPatience bounds requests without a deadline and without a timeout.
const defaultPatience = 60 * time.Second

// patience is how long the request may take from its arrival.
func (q *request) patience() time.Duration {
	patience := defaultPatience
	if q.call.TimeoutMillis > 0 {
		patience = millis(q.call.TimeoutMillis)
	}
	if q.facts.Remaining > 0 {
		patience = min(patience, q.facts.Remaining)
	}
	return patience
}

func millis(n float64) time.Duration { return time.Duration(n * float64(time.Millisecond)) }

func (q *request) spendQuota() *refusal {
	if q.org == nil || q.org.Quota == nil {
		return nil
	}
	amount := cost(q.org.Quota, &q.facts)
	q.verdict = q.relay.Quotas.Spend(q.org, q.relay.Peers.Site(), amount)
	if !q.verdict.Allowed {
		return &refusal{status: http.StatusTooManyRequests, reason: reasonQuota, retryAfter: q.verdict.RetryAfter}
	}
	q.spent = amount
	return nil
}

// refundQuota gives back what a request that did not run has spent.
func (q *request) refundQuota() {
	if q.spent > 0 {
		q.relay.Quotas.Refund(q.org.Name, q.spent)
		q.spent = 0
	}
}

package relay

import (
	"context"
	"net/http"
	"time"

	"buckthornpick/internal/config"
	"buckthornpick/internal/follow"
	"buckthornpick/internal/quota"
)

// request is one attempt of a caller from its arrival to its final answer.
type request struct {
	relay     *Relay
	w         http.ResponseWriter
	r         *http.Request
	arrivedAt time.Time
	info      RequestInfo
	body      []byte

	doc         *follow.Document
	documentAge time.Duration
	ruleName    string
	policy      *config.CallPolicy
	service     string
	org         *config.Organisation
	fingerprint uint64
	// deadline ends the request: the caller's or the rule's, whichever is first.
	deadline     time.Time
	quotaVerdict quota.Verdict
	quotaCharged float64

	// mayHaveRun is true once a send may have run.
	mayHaveRun bool
	// isCounted is true once the request counts as begun.
	isStartRecorded bool
	// failure passes on the failure of the last server; nil if there is none.
	writeServerFailure func()

	// What happened.
	sends           int
	tried           map[string]bool
	serverID        string
	status          int
	reason          string
	detail          string
	timeToFirstByte time.Duration
	eventsForwarded int
}

// ServeHTTP implements http.Handler.
func (r *Relay) ServeHTTP(w http.ResponseWriter, hr *http.Request) {
	r.active.Add(1)
	defer r.active.Add(-1)
	r.instruments.requests.Inc(1)
	q := &request{relay: r, w: w, r: hr, arrivedAt: time.Now()}
	if r.isDraining.Load() {
		w.Header().Set("Connection", "close")
	}
	// Answers pass byte for byte: no type is guessed.
	w.Header()["Content-Type"] = nil
	defer q.logEnd()
	if refused := q.admit(); refused != nil {
		q.refuse(refused)
		return
	}
	ctx, cancel := context.WithDeadline(hr.Context(), q.deadline)
	defer cancel()
	if refused := q.sendWithRetries(ctx); refused != nil {
		if hr.Context().Err() != nil {
			q.reason = reasonCallerLeft
			return
		}
		if q.writeServerFailure != nil && refused.reason == reasonServerFailed {
			q.writeServerFailure()
			return
		}
		q.refuse(refused)
	}
}

func (q *request) refuse(f *refusal) {
	q.status, q.reason = f.status, f.reason
	recordMillis(q.relay.instruments.timeToRefusal, time.Since(q.arrivedAt))
	f.write(q.w)
}

func (q *request) organisationName() string {
	if q.org == nil {
		return ""
	}
	return q.org.Name
}

// rank orders the request at its backend server; an organisation's own goes
// before the rule's.
func (q *request) rank() int {
	if q.org != nil && q.org.Rank != nil {
		return *q.org.Rank
	}
	return q.policy.Rank
}

// log writes the line of the request's end.
func (q *request) logEnd() {
	totalTime := time.Since(q.arrivedAt)
	m := q.relay.instruments
	m.countEnd(q.reason)
	recordMillis(m.totalTime, totalTime)
	if q.timeToFirstByte > 0 {
		recordMillis(m.timeToFirstByte, q.timeToFirstByte)
	}
	attrs := []any{
		"request", q.info.AttemptID, "reason", q.reason, "status", q.status, "org", q.organisationName(), "rule", q.ruleName,
		"service", q.service, "server", q.serverID, "sends", q.sends, "first_ms", q.timeToFirstByte.Milliseconds(),
		"total_ms", totalTime.Milliseconds(), "events", q.eventsForwarded,
	}
	if q.doc != nil {
		attrs = append(attrs, "document", q.doc.Revision, "document_age_ms", q.documentAge.Milliseconds())
	}
	if q.quotaVerdict.Limit > 0 {
		attrs = append(attrs, "quota_spent", int64(q.quotaVerdict.Spent), "quota_limit", int64(q.quotaVerdict.Limit))
	}
	if q.detail != "" {
		attrs = append(attrs, "detail", q.detail)
	}
	q.relay.Log.Log(EvRequestEnded, attrs...)
}

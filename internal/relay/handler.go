package relay

import (
	"context"
	"net/http"
	"time"

	"buckthornpick/internal/blame"
	"buckthornpick/internal/config"
	"buckthornpick/internal/follow"
	"buckthornpick/internal/membudget"
	"buckthornpick/internal/quota"
	"buckthornpick/internal/upstream"
)

// request is the state of one attempt of a caller, from its arrival to its final
// response.
type request struct {
	relay     *Relay
	w         http.ResponseWriter
	r         *http.Request
	arrivedAt time.Time
	info      RequestInfo
	body      upstream.Body
	// bodyMemory and answerMemory hold the memory of the body and of an answer that waits for
	// the caller to read it; nil if there is none.
	bodyMemory, answerMemory *membudget.Holder

	// doc is the configuration document that the request was matched with, and
	// documentAge the time since it was last confirmed.
	doc         *follow.Document
	documentAge time.Duration
	ruleName    string
	policy      *config.CallPolicy
	service     string
	// services are those that the rule allows.
	services []string
	// origin restricts the servers that the request is sent to; nil if it is a new
	// stream without events yet, or not resumable.
	origin           *StreamOrigin
	isOriginRecorded bool
	// isOriginUnsettled is true while another process of the server may be the writer.
	isOriginUnsettled bool
	// org is the organisation of the caller's key; nil if the key is unknown.
	org     *config.Organisation
	content blame.Content
	// isTrial is set for a request with blocked content that runs to find out whether it
	// still crashes servers.
	isTrial bool
	// deadline is the end of the caller's or the rule's timeout, whichever is first.
	deadline      time.Time
	quotaDecision quota.Decision
	// quotaCharged is the amount to refund if the request does not run.
	quotaCharged float64

	// mayHaveRun is set once a backend server may have run the request.
	mayHaveRun bool
	// isStartRecorded is set once the request was counted as started.
	isStartRecorded bool
	// writeServerFailure forwards the failure response of a server; nil if there is
	// none.
	writeServerFailure func()

	// The following fields describe the course of the request for its log line.

	// sends is the number of servers that the request was sent to, and tried the IDs
	// of those that are not selected again.
	sends int
	tried map[string]bool
	// second is the second send that may be made beside the current one.
	second   *secondSend
	serverID string
	// via is the entry by way of which the last call was made; empty if none was.
	via             string
	serverVersion   string
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
	if r.isDraining() || !r.InRotation() {
		w.Header().Set("Connection", "close")
	}
	// Keeps net/http from adding a guessed Content-Type to forwarded responses.
	w.Header()["Content-Type"] = nil
	defer q.releaseMemory()
	defer q.logEnd()
	if refused := q.admit(); refused != nil {
		if refused.reason == reasonQuota {
			q.planReturn(refused)
		}
		q.refuse(refused)
		return
	}
	ctx, cancel := context.WithDeadline(hr.Context(), q.deadline)
	defer cancel()
	if refused := q.sendWithRetries(ctx); refused != nil {
		if hr.Context().Err() != nil {
			// A caller may have closed only its sending side. Without a response, net/http
			// would send it an empty success.
			q.reason = reasonBrokenOff
			if q.hasCallerLeft() {
				q.reason = reasonCallerLeft
			}
			refused.write(w)
			return
		}
		if q.writeServerFailure != nil && refused.reason == reasonServerFailed {
			q.writeServerFailure()
			return
		}
		q.refuse(refused)
	}
}

// refuse writes a refusal to the caller.
func (q *request) refuse(refused *refusal) {
	q.status, q.reason = refused.status, refused.reason
	recordMillis(q.relay.instruments.timeToRefusal, time.Since(q.arrivedAt))
	refused.write(q.w)
}

// organisationName returns the name of the caller's organisation, empty if it is
// unknown.
func (q *request) organisationName() string {
	if q.org == nil {
		return ""
	}
	return q.org.Name
}

// rank returns the position of the request in a backend server's queue, 0 being
// first. The organisation's rank, if set, overrides the rule's.
func (q *request) rank() int {
	if q.org != nil && q.org.Rank != nil {
		return *q.org.Rank
	}
	return q.policy.Rank
}

// logEnd records the metrics of the request and logs its end.
func (q *request) logEnd() {
	totalTime := time.Since(q.arrivedAt)
	m := q.relay.instruments
	m.countEnd(q.reason)
	if q.reason == reasonServed {
		q.relay.durations.record(q.ruleName, totalTime)
	}
	recordMillis(m.totalTime, totalTime)
	if q.timeToFirstByte > 0 {
		recordMillis(m.timeToFirstByte, q.timeToFirstByte)
	}
	attrs := []any{
		"request", q.info.AttemptID, "reason", q.reason, "status", q.status, "org", q.organisationName(), "rule", q.ruleName,
		"service", q.service, "server", q.serverID, "version", q.serverVersion, "sends", q.sends, "first_ms", q.timeToFirstByte.Milliseconds(),
		"total_ms", totalTime.Milliseconds(), "events", q.eventsForwarded,
	}
	if q.doc != nil {
		attrs = append(attrs, "document", q.doc.Revision, "document_age_ms", q.documentAge.Milliseconds())
	}
	if q.quotaDecision.Limit > 0 {
		attrs = append(attrs, "quota_spent", int64(q.quotaDecision.Spent), "quota_limit", int64(q.quotaDecision.Limit))
	}
	if q.info.ResumedAttempt != "" {
		attrs = append(attrs, "resumes", q.info.ResumedAttempt)
	}
	if q.via != "" {
		attrs = append(attrs, "via", q.via)
	}
	if q.detail != "" {
		attrs = append(attrs, "detail", q.detail)
	}
	q.relay.Log.Log(EvRequestEnded, attrs...)
}

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
	relay   *Relay
	w       http.ResponseWriter
	r       *http.Request
	arrived time.Time
	facts   Facts
	body    []byte

	doc     *follow.Document
	docAge  time.Duration
	rule    string
	call    *config.CallPolicy
	service string
	org     *config.Organisation
	content uint64
	// deadline ends the request: the caller's or the rule's, whichever is first.
	deadline time.Time
	verdict  quota.Decision
	spent    float64

	// mayHaveRun is true once a send may have run.
	mayHaveRun bool
	// isCounted is true once the request counts as begun.
	isCounted bool
	// failure passes on the failure of the last server; nil if there is none.
	failure func()

	// What happened.
	sends     int
	tried     map[string]bool
	server    string
	status    int
	reason    string
	detail    string
	firstByte time.Duration
	events    int
}

// ServeHTTP implements http.Handler.
func (r *Relay) ServeHTTP(w http.ResponseWriter, hr *http.Request) {
	r.active.Add(1)
	defer r.active.Add(-1)
	r.meters.requests.Inc(1)
	q := &request{relay: r, w: w, r: hr, arrived: time.Now()}
	if r.isDraining.Load() {
		w.Header().Set("Connection", "close")
	}
	// Answers pass byte for byte: no type is guessed.
	w.Header()["Content-Type"] = nil
	defer q.log()
	if refused := q.admit(); refused != nil {
		q.refuse(refused)
		return
	}
	ctx, cancel := context.WithDeadline(hr.Context(), q.deadline)
	defer cancel()
	if refused := q.run(ctx); refused != nil {
		if hr.Context().Err() != nil {
			q.reason = reasonCallerLeft
			return
		}
		if q.failure != nil && refused.reason == reasonServerFailed {
			q.failure()
			return
		}
		q.refuse(refused)
	}
}

func (q *request) refuse(f *refusal) {
	q.status, q.reason = f.status, f.reason
	observe(q.relay.meters.refusalAge, time.Since(q.arrived))
	f.write(q.w)
}

func (q *request) organisation() string {
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
	return q.call.Rank
}

// log writes the line of the request's end.
func (q *request) log() {
	total := time.Since(q.arrived)
	m := q.relay.meters
	m.ended(q.reason)
	observe(m.total, total)
	if q.firstByte > 0 {
		observe(m.firstByte, q.firstByte)
	}
	attrs := []any{
		"request", q.facts.ID, "reason", q.reason, "status", q.status, "org", q.organisation(), "rule", q.rule,
		"service", q.service, "server", q.server, "sends", q.sends, "first_ms", q.firstByte.Milliseconds(),
		"total_ms", total.Milliseconds(), "events", q.events,
	}
	if q.doc != nil {
		attrs = append(attrs, "document", q.doc.Revision, "document_age_ms", q.docAge.Milliseconds())
	}
	if q.verdict.Limit > 0 {
		attrs = append(attrs, "quota_spent", int64(q.verdict.Spent), "quota_limit", int64(q.verdict.Limit))
	}
	if q.detail != "" {
		attrs = append(attrs, "detail", q.detail)
	}
	q.relay.Log.Log(EvRequest, attrs...)
}

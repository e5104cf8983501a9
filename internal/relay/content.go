package relay

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"buckthornpick/internal/blame"
)

// CrashNotice reports that a backend server crashed while it ran requests.
type CrashNotice struct {
	Crash    blame.Crash
	Server   string
	Contents []blame.Content
}

// contentOf returns the content of the request. The last part of its prompt belongs to
// this request or its session only.
func (q *request) contentOf() blame.Content {
	return blame.NewContent(q.hashContent(), q.info.Shared.IDs)
}

// hashContent returns a hash of the organisation, method, URI and body, which is
// the same for all attempts with the same content.
func (q *request) hashContent() uint64 {
	h := xxhash.New()
	if q.org != nil {
		_, _ = h.WriteString(q.org.Name)
	}
	_, _ = h.WriteString("\x00" + q.r.Method + "\x00" + q.r.RequestURI + "\x00")
	for _, part := range q.body {
		_, _ = h.Write(part)
	}
	return h.Sum64()
}

// admitContent refuses a request whose content crashes servers, unless it may run as
// the trial of that content.
func (q *request) admitContent() *refusal {
	q.content = q.contentOf()
	verdict := q.relay.Crashes.Judge(&q.content)
	if !verdict.IsBlocked {
		return nil
	}
	if verdict.CanTry && q.requestTrial(verdict.Key) {
		q.isTrial = true
		return nil
	}
	return unavailable(reasonCrashesServers, verdict.RetryAfter)
}

// trialRequestTimeout limits how long a request waits for the permission of a trial.
const trialRequestTimeout = 100 * time.Millisecond

// requestTrial asks for the permission to run the request as a trial.
func (q *request) requestTrial(key blame.Key) bool {
	ctx, cancel := context.WithTimeout(q.r.Context(), trialRequestTimeout)
	defer cancel()
	if !q.relay.Peers.RequestTrial(ctx, key) {
		return false
	}
	q.relay.Log.Log(blame.EvTried, "request", q.info.AttemptID, "key", key)
	return true
}

// judgeFurtherSend decides whether the request may be sent once more in view of its
// content. A trial is sent once.
func (q *request) judgeFurtherSend() blame.Verdict {
	if q.isTrial && q.sends == 0 {
		return blame.Verdict{}
	}
	return q.relay.Crashes.Judge(&q.content)
}

// recordAnswered clears the content of a request that was answered completely at all
// entries.
func (r *Relay) recordAnswered(content *blame.Content, attemptID string) {
	cleared := r.Crashes.RecordAnswered(content)
	if len(cleared) == 0 {
		return
	}
	for _, record := range cleared {
		r.Log.Log(EvContentCleared, "request", attemptID, "key", record.Key)
	}
	r.Peers.NotifyCleared(cleared)
}

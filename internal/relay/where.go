package relay

import (
	"encoding/json"
	"errors"
	"net/http"
	"net/url"
	"time"

	"buckthornpick/internal/capacity"
	"buckthornpick/internal/route"
	"buckthornpick/internal/where"
)

// maxQuestionBytes limits the size of a question of ServeWhere.
const maxQuestionBytes = 64 << 10

// ServeWhere answers where a request would go now.
func (r *Relay) ServeWhere(w http.ResponseWriter, hr *http.Request) {
	var question where.Request
	if err := json.NewDecoder(http.MaxBytesReader(w, hr.Body, maxQuestionBytes)).Decode(&question); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(r.Where(question)) // fails if the caller has disconnected
}

// Where answers where a request would go now. It sends, reserves and counts nothing.
func (r *Relay) Where(question where.Request) where.Answer {
	header := http.Header{}
	for name, value := range question.Header {
		header.Set(name, value)
	}
	q := &request{relay: r, arrivedAt: time.Now(), r: &http.Request{
		Method: question.Method, Host: question.Host, RequestURI: question.URI, URL: &url.URL{Path: question.URI}, Header: header,
	}}
	answer := where.Answer{Entry: r.Balancer.selfID, Zone: r.Zone}
	refused := q.previewAdmission(&answer)
	if refused == nil {
		refused = q.previewChoice(&answer)
	}
	if refused != nil {
		answer.Refusal, answer.Status, answer.RetryAfterMillis = refused.reason, refused.status, refused.retryAfter.Milliseconds()
	}
	if q.doc != nil {
		answer.DocumentRevision, answer.DocumentAgeMillis = q.doc.Revision, q.documentAge.Milliseconds()
	}
	return answer
}

// previewAdmission makes the checks of admit that need neither the body nor other entries.
func (q *request) previewAdmission(answer *where.Answer) *refusal {
	answer.Notes = append(answer.Notes, "the body, and content that crashes servers, are not considered")
	q.doc, q.documentAge = q.relay.Documents.Current()
	if q.doc == nil {
		return unavailable(reasonNoDocument, retryAfterOtherEntry)
	}
	info, err := q.relay.Codec.DecodeRequest(q.r)
	if err != nil {
		answer.Notes = append(answer.Notes, err.Error())
		return &refusal{status: http.StatusBadRequest, reason: reasonBadRequest}
	}
	q.info = info
	if refused := q.matchRule(); refused != nil {
		return refused
	}
	answer.Rule, answer.Service = q.ruleName, q.service
	if refused := q.authenticate(); refused != nil {
		return refused
	}
	q.deadline = q.arrivedAt.Add(q.timeout())
	answer.Organisation = q.organisationName()
	if info.LastEventID != "" {
		answer.Notes = append(answer.Notes, "the server that began the stream is not looked for")
	}
	if q.org == nil || q.org.Quota == nil {
		return nil
	}
	decision := q.relay.Quotas.Spend(q.org, q.relay.Peers.Site(), 0)
	answer.QuotaSpent, answer.QuotaLimit, answer.QuotaCost = decision.Spent, decision.Limit, quotaCost(q.org.Quota, &info)
	if decision.Spent+answer.QuotaCost > decision.Limit {
		return &refusal{status: http.StatusTooManyRequests, reason: reasonQuota}
	}
	return nil
}

// previewChoice fills in the server that would be selected, and the cheapest candidates.
func (q *request) previewChoice(answer *where.Answer) *refusal {
	versions := q.allowedVersions()
	if x := q.relay.Rollouts; x != nil {
		versions = intersection(versions, x.Gate.Open(q.service).Versions)
		answer.Notes = append(answer.Notes, "a share of the requests may go to a version that is being rolled out")
	}
	picked, err := q.relay.Balancer.preview(q.service, &q.info, maxTimeToFirstToken(q.policy, time.Until(q.deadline)), versions)
	if err != nil {
		answer.Notes = append(answer.Notes, err.Error())
		var saturated *route.SaturatedError
		if errors.As(err, &saturated) {
			return unavailable(reasonSaturated, max(retryAfterBusy, saturated.RetryAfter))
		}
		return unavailable(reasonNoServer, retryAfterBusy)
	}
	answer.Server, answer.Reason = picked.Server.ID, picked.Reason
	answer.Candidates = q.relay.Balancer.describe(picked.Candidates)
	return nil
}

// preview selects a server as pick does, and counts nothing.
func (b *Balancer) preview(service string, info *RequestInfo, maxTimeToFirstToken time.Duration, versions map[string]bool) (route.Choice, error) {
	picker, query := b.prepare(service, info, maxTimeToFirstToken, nil, versions, true)
	picked, err := picker.Pick(query)
	if err != nil {
		return route.Choice{}, b.pausedError(service, err)
	}
	return picked, nil
}

// describe returns the candidates with what is known of their servers.
func (b *Balancer) describe(costs []route.CandidateCost) []where.Candidate {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock()
	list := make([]where.Candidate, 0, len(costs))
	for _, cost := range costs {
		c := where.Candidate{
			Server: cost.ID, Total: cost.Total, FirstToken: cost.Latency, TargetPenalty: cost.TargetPenalty, Recompute: cost.Recompute,
			Price: cost.Price, CachedTokens: cost.CachedTokens, Requests: cost.Requests,
		}
		if s, ok := b.servers[cost.ID]; ok {
			c.Zone, c.Version, c.Speed, c.Limit = s.Zone, s.Version, s.estimate.Speed, s.estimate.Limit
			var stated capacity.Statement
			var age time.Duration
			if stated, age, ok = s.load.Last(now); ok {
				c.Slowness, c.StatedAgeMillis = stated.Slowness, age.Milliseconds()
			}
		}
		list = append(list, c)
	}
	return list
}

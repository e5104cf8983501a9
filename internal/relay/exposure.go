package relay

import (
	"context"
	"maps"
	"math/rand/v2"
	"time"

	"github.com/rcrowley/go-metrics"

	"buckthornpick/internal/route"
	"buckthornpick/internal/upstream"
)

// prefillUnit is the number of prompt tokens to process that lengthen the time to the first
// event by about as much as a request has without any. Times are judged for each unit, since
// servers of a new version have no prompts cached.
const prefillUnit = 512

// pick selects a server for the request, of a version that may serve it during a roll-out.
// Errors are those of Balancer.pick.
func (q *request) pick(ctx context.Context, maxTimeToFirstToken time.Duration) (*choice, error) {
	versions := q.allowedVersions()
	x := q.relay.Rollouts
	if x == nil {
		return q.pickAmong(ctx, maxTimeToFirstToken, q.tried, versions)
	}
	now := q.relay.Clock()
	if q.origin != nil {
		if !x.Gate.MayContinue(now, q.service, q.origin.Version) {
			return nil, &route.NoServerError{Service: q.service}
		}
		return q.pickAmong(ctx, maxTimeToFirstToken, q.tried, versions)
	}
	chosen := x.Gate.Choose(now, q.service, rand.Float64())
	if chosen.IsExposed {
		c, err := q.pickAmong(ctx, maxTimeToFirstToken, union(q.tried, chosen.Excluded), intersection(versions, chosen.Versions))
		if err == nil {
			metrics.GetOrRegisterCounter("rollout.exposed_total", q.relay.Metrics).Inc(1)
			return c, nil
		}
		x.Gate.Withdraw(q.service, chosen)
		chosen = x.Gate.ChooseOld(q.service)
	}
	c, err := q.pickAmong(ctx, maxTimeToFirstToken, q.tried, intersection(versions, chosen.Versions))
	if err != nil {
		x.Gate.Withdraw(q.service, chosen)
	}
	return c, err
}

// intersection returns the versions that both sets allow; nil allows all.
func intersection(a, b map[string]bool) map[string]bool {
	if a == nil {
		return b
	}
	if b == nil {
		return a
	}
	both := map[string]bool{}
	for version := range a {
		if a[version] && b[version] {
			both[version] = true
		}
	}
	return both
}

func union(a, b map[string]bool) map[string]bool {
	if len(b) == 0 {
		return a
	}
	both := maps.Clone(b)
	maps.Copy(both, a)
	return both
}

// judgeAnswer counts the answer of a server, once for each call, for the verdict about a new
// version. Of an answer that did not come, it counts the time for which it was waited for.
func (q *request) judgeAnswer(c *choice, isFailure bool) {
	x := q.relay.Rollouts
	if x == nil || c.isJudged {
		return
	}
	c.isJudged = true
	c.firstEventAt, c.eventsBefore = time.Now(), q.eventsForwarded
	took := time.Since(c.sentAt)
	if q.policy.Stream {
		tokens := max(0, c.query.PromptTokens-c.picked.ExpectedCachedTokens)
		took = took * prefillUnit / time.Duration(prefillUnit+tokens)
	}
	x.Record(c.target.Group, q.ruleName, c.version, c.target.ID, took, isFailure)
}

// minPaceEvents is the number of events of a stream from which its pace is judged.
const minPaceEvents = 4

// judgePace counts the time between the events of a stream that has ended.
func (q *request) judgePace(c *choice) {
	events := q.eventsForwarded - c.eventsBefore
	if x := q.relay.Rollouts; x != nil && events >= minPaceEvents {
		x.RecordPace(c.target.Group, q.ruleName, c.version, c.target.ID, time.Since(c.firstEventAt)/time.Duration(events-1))
	}
}

// judgeLostAnswer counts a call that was given up while its answer was due. A caller that
// left early, or a connection that broke, says nothing about the version.
func (q *request) judgeLostAnswer(c *choice, ctxErr error) {
	if q.r.Context().Err() != nil && time.Since(c.sentAt) < millis(q.policy.TargetMillis) {
		return
	}
	if ctxErr != nil {
		q.judgeAnswer(c, false)
	}
}

// isStoppedByRollout reports whether a server stops because another version has taken over.
func (r *Relay) isStoppedByRollout(t upstream.Target) bool {
	version, ok := r.Balancer.versionOf(t)
	return ok && r.Rollouts != nil && r.Rollouts.Gate.IsStopping(r.Clock(), t.Group, version)
}

// versionOf returns the software version of a registered server.
func (b *Balancer) versionOf(t upstream.Target) (version string, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, ok := b.servers[t.ID]
	if !ok || s.Incarnation != t.Incarnation {
		return "", false
	}
	return s.Version, true
}

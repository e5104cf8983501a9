package relay

import (
	"context"
	"slices"
	"time"

	"buckthornpick/internal/config"
	"buckthornpick/internal/wait"
)

// StreamOrigin identifies the backend servers that may write a stream: those of one
// service with one software version. What two versions write does not fit together,
// and servers do not check which version wrote the earlier events.
type StreamOrigin struct {
	Service string `msgpack:"s"`
	Version string `msgpack:"v"`
}

const (
	// originLookupTimeout bounds each of two lookups of a stream's origin at other
	// entries. The second is made originLookupPause after the first, because a caller
	// may resume a stream before the record of its origin has arrived.
	originLookupTimeout = 150 * time.Millisecond
	originLookupPause   = 50 * time.Millisecond
)

// recordOrigin records which servers may continue the request's stream, before its
// first event is forwarded, so that other entries can continue it too.
func (q *request) recordOrigin(c *choice) {
	if q.policy.Repetition != resumable || q.isOriginRecorded {
		return
	}
	q.isOriginRecorded = true
	q.origin = &StreamOrigin{Service: q.service, Version: c.version}
	record := OriginRecord{AttemptID: q.info.AttemptID, Origin: *q.origin}
	if q.relay.Origins.Record(q.ruleName, record) {
		q.relay.Peers.ShareOrigins([]OriginRecord{record})
	}
}

// pinToOrigin restricts a request that resumes a stream to the servers that may
// continue it. It returns a refusal if these are not known, or if the rule no longer
// allows their service.
func (q *request) pinToOrigin() *refusal {
	if q.policy.Repetition != resumable || q.info.LastEventID == "" {
		return nil
	}
	origin, source := q.findOrigin()
	if source == "" {
		return unavailable(reasonOriginUnknown, retryAfterOtherEntry)
	}
	q.relay.Log.Log(EvStreamPinned, "request", q.info.AttemptID, "resumes", q.info.ResumedAttempt, "after", q.info.LastEventID,
		"service", origin.Service, "version", origin.Version, "known_by", source)
	if !slices.Contains(q.services, origin.Service) {
		q.detail = "the stream was begun by service " + origin.Service
		return unavailable(reasonServiceChanged, retryAfterBusy)
	}
	q.service, q.origin = origin.Service, &origin
	return nil
}

// Sources of a stream's origin other than the ID of an entry.
const (
	// sourceSelf: this entry has the record.
	sourceSelf = "self"
	// sourceOnlyOrigin: no record was found, and the rule has lately had only one
	// origin.
	sourceOnlyOrigin = "only-version"
)

// findOrigin returns the origin of the stream that the request resumes, and how it is
// known; the source is empty if it is not.
func (q *request) findOrigin() (origin StreamOrigin, source string) {
	ctx, cancel := context.WithDeadline(q.r.Context(), q.deadline)
	defer cancel()
	for n := 0; ; n++ {
		own := q.relay.Origins.Find(q.ruleName, q.info.ResumedAttempt)
		if own.IsKnown {
			return own.Origin, sourceSelf
		}
		answer, entry := q.findOriginAtPeers(ctx)
		if answer.IsKnown {
			return answer.Origin, entry
		}
		all := own.Merge(answer)
		if len(all.Seen) == 1 && all.IsSettled {
			return all.Seen[0], sourceOnlyOrigin
		}
		if n > 0 || !wait.For(ctx, originLookupPause) {
			q.detail = originsText(all.Seen)
			return StreamOrigin{}, ""
		}
	}
}

func (q *request) findOriginAtPeers(ctx context.Context) (OriginAnswer, string) {
	ctx, cancel := context.WithTimeout(ctx, originLookupTimeout)
	defer cancel()
	return q.relay.Peers.FindOrigin(ctx, q.ruleName, q.info.ResumedAttempt)
}

// originsText returns a text that names the origins.
func originsText(origins []StreamOrigin) string {
	text := "origins lately:"
	for _, o := range origins {
		text += " " + o.Service + "/" + o.Version
	}
	return text
}

// servicesOf returns the services that a rule sends its requests to.
func servicesOf(then *config.Then) []string {
	var services []string
	for _, part := range then.Call.Split {
		if part.Weight > 0 {
			services = append(services, part.Service)
		}
	}
	if len(services) == 0 {
		return []string{then.Service}
	}
	return services
}

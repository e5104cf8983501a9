package relay

import (
	"cmp"
	"context"
	"slices"
	"time"

	"buckthornpick/internal/config"
	"buckthornpick/internal/upstream"
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
	// storeLookupTimeout bounds the lookup in the store, which may wait for the next of
	// several reads that requests share.
	storeLookupTimeout = 500 * time.Millisecond
)

// recordOrigin records which servers may continue the request's stream, before its
// first event is forwarded, so that other entries can continue it too.
func (q *request) recordOrigin(c *choice, resp *upstream.Response) {
	if q.policy.Repetition != resumable || q.isOriginRecorded {
		return
	}
	q.isOriginRecorded = true
	q.origin = &StreamOrigin{Service: q.service, Version: c.version}
	record := OriginRecord{AttemptID: q.info.AttemptID, Origin: *q.origin, Remaining: q.callerRemaining()}
	mustShare := q.relay.Origins.Record(q.ruleName, record)
	if q.info.AttemptID != "" {
		q.relay.Origins.RecordWriter(q.info.AttemptID, q.writerOf(c, resp))
		q.isOriginUnsettled = true
		q.settleOrigin(true)
		record.Origin = *q.origin
	}
	if mustShare {
		q.relay.Peers.ShareOrigins([]OriginRecord{record})
	}
}

// allowedVersions returns the software versions whose servers the request may be sent to,
// nil for all. A new stream begins only at a version that is declared, so that entries
// which start later know of it.
func (q *request) allowedVersions() map[string]bool {
	switch {
	case q.origin != nil:
		return map[string]bool{q.origin.Version: true}
	case q.policy.Repetition == resumable:
		return q.relay.Origins.DeclaredVersions(q.ruleName, q.service)
	}
	return nil
}

// callerRemaining returns how long the caller still waits, 0 if it has not said so.
func (q *request) callerRemaining() time.Duration {
	if q.info.Remaining == 0 {
		return 0
	}
	return max(1, time.Until(q.arrivedAt.Add(q.info.Remaining)))
}

// pinToOrigin restricts a request that resumes a stream to the servers that may
// continue it. It returns a refusal if these are not known, or if the rule no longer
// allows their service.
func (q *request) pinToOrigin() *refusal {
	if q.policy.Repetition != resumable || q.info.LastEventID == "" {
		return nil
	}
	found := q.findOrigin()
	q.relay.instruments.countOriginLookup(found.source)
	if found.source == sourceNone {
		q.detail = originsText(found.seen)
		return unavailable(reasonOriginUnknown, found.retryAfter)
	}
	q.relay.Log.Log(EvStreamPinned, "request", q.info.AttemptID, "resumes", q.info.ResumedAttempt, "after", q.info.LastEventID,
		"service", found.origin.Service, "version", found.origin.Version, "known_by", found.source, "entry", found.entry)
	if !slices.Contains(q.services, found.origin.Service) {
		q.detail = "the stream was begun by service " + found.origin.Service
		return unavailable(reasonServiceChanged, q.retryAfterDeadline())
	}
	q.service, q.origin = found.origin.Service, &found.origin
	return nil
}

// originSource is how the origin of a stream is known.
type originSource string

const (
	// sourceSelf, sourceEntry and sourceStore: this entry, another one or the store has a
	// record.
	sourceSelf  originSource = "self"
	sourceEntry originSource = "entry"
	sourceStore originSource = "store"
	// sourceOnlyOrigin: there is no record, and the rule has had only one origin.
	sourceOnlyOrigin originSource = "only-version"
	// sourceNone: the origin is not known.
	sourceNone originSource = "unknown"
)

// foundOrigin is the result of a search for the origin of a stream.
type foundOrigin struct {
	origin StreamOrigin
	source originSource
	// entry is the other entry that knew it; empty if none did.
	entry string
	// seen and retryAfter are set if the origin is not known: the origins that it may be,
	// and when it makes sense to ask again.
	seen       []StreamOrigin
	retryAfter time.Duration
	// isSettled is true if the views of the entries have only one origin, isUpgrade if that
	// decides because entries of a version without declarations may run.
	isSettled, isUpgrade bool
}

// findOrigin finds the origin of the stream that the request resumes: in the records of
// this entry, of the store and of other entries, or because the rule has had only one.
// That is concluded only from the store, since this entry may be cut off from it and not
// know of another one, or during an upgrade from the views of all entries.
func (q *request) findOrigin() foundOrigin {
	ctx, cancel := context.WithDeadline(q.r.Context(), q.deadline)
	defer cancel()
	own := func() foundOrigin {
		if answer := q.relay.Origins.Find(q.ruleName, q.info.ResumedAttempt); answer.IsKnown {
			awaitSettled(ctx, func() bool {
				origin, isSettled, corrected := q.relay.Origins.Settle(q.info.ResumedAttempt, false)
				q.relay.Peers.ShareOrigins(corrected)
				answer.Origin = cmp.Or(origin, answer.Origin)
				return isSettled
			})
			return foundOrigin{origin: answer.Origin, source: sourceSelf}
		}
		return foundOrigin{source: sourceNone}
	}
	if found := own(); found.source != sourceNone {
		return found
	}
	atEntries := make(chan foundOrigin, 1)
	go func() { atEntries <- q.findOriginAtEntries(ctx, false) }()
	inStore, isRead := q.findOriginInStore(ctx)
	if inStore.source != sourceNone {
		return inStore
	}
	found := <-atEntries
	// The record may still have been on its way.
	if found.source == sourceNone && wait.For(ctx, originLookupPause) {
		if found = own(); found.source == sourceNone {
			found = q.findOriginAtEntries(ctx, !isRead)
		}
	}
	switch {
	case found.source != sourceNone:
		return found
	case inStore.isUpgrade && found.isSettled:
		return foundOrigin{origin: found.seen[0], source: sourceOnlyOrigin}
	case isRead:
		return inStore
	}
	return found
}

// findOriginInStore looks the origin up in the store. isRead is true if the store has
// answered.
func (q *request) findOriginInStore(ctx context.Context) (found foundOrigin, isRead bool) {
	ctx, cancel := context.WithTimeout(ctx, storeLookupTimeout)
	defer cancel()
	stored, err := q.relay.OriginStore.Find(ctx, q.ruleName, q.info.ResumedAttempt)
	switch {
	case err != nil:
		return foundOrigin{source: sourceNone}, false
	case stored.IsKnown:
		return foundOrigin{origin: stored.Origin, source: sourceStore}, true
	case stored.IsOnly:
		return foundOrigin{origin: stored.Origin, source: sourceOnlyOrigin}, true
	}
	found = foundOrigin{source: sourceNone, seen: stored.Seen, retryAfter: q.retryAfterDeadline(), isUpgrade: stored.IsUpgrade}
	if stored.CompleteIn > 0 && len(stored.Seen) <= 1 {
		found.retryAfter = max(retryAfterBusy, stored.CompleteIn)
	}
	return found, true
}

// findOriginAtEntries asks other entries, also for what they find in the store if askStore
// is set.
func (q *request) findOriginAtEntries(ctx context.Context, askStore bool) foundOrigin {
	ctx, cancel := context.WithTimeout(ctx, originLookupTimeout)
	defer cancel()
	answer, entry := q.relay.Peers.FindOrigin(ctx, q.ruleName, q.info.ResumedAttempt, askStore)
	switch {
	case answer.IsKnown:
		return foundOrigin{origin: answer.Origin, source: sourceEntry, entry: entry}
	case answer.Only != nil:
		return foundOrigin{origin: *answer.Only, source: sourceOnlyOrigin, entry: entry}
	}
	all := q.relay.Origins.Find(q.ruleName, q.info.ResumedAttempt).Merge(answer)
	return foundOrigin{source: sourceNone, seen: all.Seen, retryAfter: retryAfterBusy, isSettled: all.IsSettled && len(all.Seen) == 1}
}

// retryAfterDeadline is for a request that cannot be served within the time for which its
// caller waits.
func (q *request) retryAfterDeadline() time.Duration {
	return max(retryAfterNoPath, q.callerRemaining())
}

// retryAfterVersionGone returns when to ask again for a stream whose version has no server
// that accepts requests: when the servers that live are registered again, and if they
// are, not within the caller's deadline.
func (q *request) retryAfterVersionGone() time.Duration {
	if goneIn := q.relay.Origins.GoneIn(*q.origin); goneIn > 0 {
		return max(retryAfterBusy, goneIn)
	}
	return q.retryAfterDeadline()
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

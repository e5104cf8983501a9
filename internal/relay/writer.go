package relay

import (
	"context"
	"time"

	"buckthornpick/internal/follow"
	"buckthornpick/internal/upstream"
	"buckthornpick/internal/wait"
)

// A server may start again under its ID and address as another software version, and the
// view of the registry learns of it a little later. Answers do not name a version. The
// version that writes a stream therefore counts as settled only if the process that the
// connection was opened to can be told: it is the one of the view if the view was confirmed
// after that, or the new one if it went on writing after the view had learned of it.

const (
	// viewLag is the time within which the view learns of a change while it is younger than
	// maxOriginViewAge: the pauses between the polls of two entries, the second of which polls
	// the first.
	viewLag = time.Second
	// settleCheckInterval is the interval of checks whether a version is settled.
	settleCheckInterval = 20 * time.Millisecond
)

// StreamWriter is the process of a server that writes a stream, by the view in which the
// server was selected.
type StreamWriter struct {
	Server      string
	Incarnation int64
	Version     string
	// ConnectedAt is when its connection had been opened.
	ConnectedAt time.Duration
}

// writerVerdict is what is known about the version of a writer.
type writerVerdict int

const (
	// writerPending: the view may still have to learn of another process.
	writerPending writerVerdict = iota
	// writerSettled: the version is known.
	writerSettled
	// writerUnclear: there was another process, and either may have been the writer.
	writerUnclear
)

// processHistory holds the last two processes of a server by the view.
type processHistory struct {
	current, previous process
	// changedAt is when the view learned of the current one, and previousUntil the last
	// time at which the store had the previous one.
	changedAt, previousUntil time.Duration
	goneAt                   time.Duration // 0 while the server is listed
}

type process struct {
	incarnation int64
	version     string
}

// processHistories are keyed by server ID.
type processHistories map[string]*processHistory

// update enters a list that the view has at the time now and whose predecessor was last
// confirmed at confirmedAt.
func (p processHistories) update(list []follow.Server, now, confirmedAt time.Duration) {
	listed := make(map[string]bool, len(list))
	for _, s := range list {
		listed[s.ID] = true
		next := process{s.Incarnation, s.Version}
		h, ok := p[s.ID]
		if !ok {
			p[s.ID] = &processHistory{current: next}
			continue
		}
		if h.goneAt = 0; h.current != next {
			*h = processHistory{current: next, previous: h.current, changedAt: now, previousUntil: confirmedAt}
		}
	}
	for id, h := range p {
		switch {
		case listed[id]:
		case h.goneAt == 0:
			h.goneAt = now
		case now-h.goneAt > OriginRetention:
			delete(p, id)
		}
	}
}

// registryView is the state of the view of the registry.
type registryView struct {
	now, confirmedAt time.Duration
	// isOneVersion is true if the rule of a stream has lately had one origin. There is no
	// upgrade then that an entry without access to the store could miss for long.
	isOneVersion bool
}

// judge returns the version of a writer of which an event came at lastEventAt; 0 is never.
func (p processHistories) judge(w *StreamWriter, lastEventAt time.Duration, view registryView) (string, writerVerdict) {
	h, ok := p[w.Server]
	selected := process{w.Incarnation, w.Version}
	switch {
	case w.Version == "":
		return "", writerSettled // servers without versions are all alike
	case !ok:
		return "", writerUnclear
	case h.current == selected:
		isLearned := view.now-w.ConnectedAt >= viewLag && (view.isOneVersion || view.now-view.confirmedAt <= maxOriginViewAge)
		if view.confirmedAt >= w.ConnectedAt || isLearned {
			return w.Version, writerSettled
		}
		return "", writerPending
	case h.previous != selected:
		return "", writerUnclear
	case w.ConnectedAt <= h.previousUntil || h.current.version == w.Version:
		return w.Version, writerSettled
	case lastEventAt > h.changedAt:
		return h.current.version, writerSettled
	}
	return "", writerUnclear
}

// viewLocked returns the state of the view for streams of a rule.
func (o *Origins) viewLocked(rule string) registryView {
	now := o.clock()
	return registryView{now: now, confirmedAt: now - o.viewAge(), isOneVersion: len(o.seenLocked(rule)) <= 1}
}

// RecordWriter names the writer of the stream of a record, whose first event has come.
func (o *Origins) RecordWriter(attemptID string, w *StreamWriter) {
	o.mu.Lock()
	defer o.mu.Unlock()
	record, ok := o.records[attemptID]
	if !ok {
		return
	}
	if at := o.clock() - o.viewAge(); at > o.unsettledCheckedAt {
		o.unsettledCheckedAt = at
		o.settleLocked()
	}
	record.writer, record.lastEventAt = w, o.clock()
	o.records[attemptID] = record
	o.unsettled[attemptID] = true
}

// Settle judges the writer of a stream, if that is not settled. It returns the origin of
// the stream, unset if there is no record, and the record if its origin was corrected.
// hasGoneOn says that an event has just come.
func (o *Origins) Settle(attemptID string, hasGoneOn bool) (origin StreamOrigin, isSettled bool, corrected []OriginRecord) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.unsettled[attemptID] {
		return o.records[attemptID].origin, true, nil
	}
	before := o.records[attemptID]
	if hasGoneOn {
		changed := before
		changed.lastEventAt = o.clock()
		o.records[attemptID] = changed
	}
	isSettled = o.settleOneLocked(attemptID)
	after := o.records[attemptID]
	if after.origin != before.origin {
		corrected = []OriginRecord{after.toShare(attemptID, o.clock())}
	}
	return after.origin, isSettled, corrected
}

// settleOneLocked judges the writer of a stream and corrects its origin. The origin of an
// unclear one has no version, at whose servers no stream goes on.
func (o *Origins) settleOneLocked(attemptID string) (isSettled bool) {
	record := o.records[attemptID]
	version, verdict := o.processes.judge(record.writer, record.lastEventAt, o.viewLocked(record.rule))
	if verdict != writerPending {
		record.origin.Version = version
		o.records[attemptID] = record
	}
	if verdict == writerSettled {
		delete(o.unsettled, attemptID)
	}
	return verdict == writerSettled
}

// settleLocked judges all streams that are not settled and returns the records whose
// origins it has corrected.
func (o *Origins) settleLocked() []OriginRecord {
	var corrected []OriginRecord
	for id := range o.unsettled {
		before := o.records[id].origin
		o.settleOneLocked(id)
		if after := o.records[id]; after.origin != before {
			corrected = append(corrected, after.toShare(id, o.clock()))
		}
	}
	return corrected
}

// judgeWriter returns the version of a writer that has just sent something under a rule.
func (o *Origins) judgeWriter(rule string, w *StreamWriter) (string, writerVerdict) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.processes.judge(w, o.clock(), o.viewLocked(rule))
}

// writerOf returns the process that the response to a call comes from.
func (q *request) writerOf(c *choice, resp *upstream.Response) *StreamWriter {
	connectedAt := q.relay.Clock()
	if !resp.ConnectedAt.IsZero() {
		connectedAt -= time.Since(resp.ConnectedAt)
	}
	return &StreamWriter{Server: c.target.ID, Incarnation: c.target.Incarnation, Version: c.version, ConnectedAt: connectedAt}
}

// canContinue waits until the version of the process that has responded is settled, for
// viewLag at most, and reports whether it is that of the stream which it is to continue.
func (q *request) canContinue(ctx context.Context, c *choice, resp *upstream.Response) bool {
	writer, isSame := q.writerOf(c, resp), false
	awaitSettled(ctx, func() bool {
		version, verdict := q.relay.Origins.judgeWriter(q.ruleName, writer)
		isSame = verdict == writerSettled && version == q.origin.Version
		return verdict != writerPending
	})
	return isSame
}

// settleOrigin updates the origin of the stream, and reports whether it is settled.
// hasGoneOn says that an event of the stream has just come.
func (q *request) settleOrigin(hasGoneOn bool) bool {
	if !q.isOriginUnsettled {
		return true
	}
	origin, isSettled, corrected := q.relay.Origins.Settle(q.info.AttemptID, hasGoneOn)
	q.isOriginUnsettled = !isSettled
	if len(corrected) > 0 || origin != (StreamOrigin{}) && origin != *q.origin {
		q.relay.Log.Log(EvStreamCorrected, "request", q.info.AttemptID, "server", q.serverID, "version", origin.Version, "by_view", q.origin.Version)
		q.origin = &origin
	}
	q.relay.Peers.ShareOrigins(corrected)
	return isSettled
}

// awaitSettled calls settle until it returns true, for viewLag at most, and returns its last
// result.
func awaitSettled(ctx context.Context, settle func() bool) bool {
	for end := time.Now().Add(viewLag + settleCheckInterval); !settle(); {
		if time.Now().After(end) || !wait.For(ctx, settleCheckInterval) {
			return false
		}
	}
	return true
}

package route

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"buckthornpick/internal/backend"
)

const (
	// maxRecentChanges bounds the dispatches and completions of this entry that
	// are kept per server to correct load reports.
	maxRecentChanges = 128
	// maxReportAge is the age from which a load report is ignored.
	maxReportAge = 10 * time.Second
)

// requestChange is a dispatch (+1) or completion (-1) of a request of this
// entry.
type requestChange struct {
	at    time.Time
	delta int
}

// serverState is a picker's state of one server.
type serverState struct {
	Server
	hash  uint64
	model *latencyModel

	// inFlight counts this entry's requests that run on the server.
	inFlight int
	// backlogTokens is the number of uncached prompt tokens that this entry had
	// sent and the server had not processed at backlogAt; it drains at the
	// model's prompt rate.
	backlogTokens float64
	backlogAt     time.Time

	// report is the latest load report, valid if hasReport is true.
	report    backend.Load
	hasReport bool
	// recentChanges are this entry's dispatches and completions after the
	// report was measured, and recentSum is their sum.
	recentChanges []requestChange
	recentSum     int
	// latencyRatio is the moving average of measured to predicted latency.
	latencyRatio float64
	// speed and limit are those of ApplyCapacity; 0 is unknown.
	speed float64
	limit int
	// lastCacheEvent is the number of the last cache event applied.
	lastCacheEvent int64
	// eventEpoch is incremented at every gap in the cache events; blocks learned
	// from events of an earlier epoch are no longer valid.
	eventEpoch int
}

func newServerState(s Server) *serverState {
	return &serverState{Server: s, hash: xxhash.Sum64String(s.ID), latencyRatio: 1}
}

// recordChange records a dispatch or completion of a request of this entry.
func (s *serverState) recordChange(now time.Time, delta int) {
	s.inFlight = max(0, s.inFlight+delta)
	if len(s.recentChanges) == maxRecentChanges {
		s.recentSum -= s.recentChanges[0].delta
		s.recentChanges = append(s.recentChanges[:0], s.recentChanges[1:]...)
	}
	s.recentChanges = append(s.recentChanges, requestChange{now, delta})
	s.recentSum += delta
}

// applyReport stores a load report and drops the recent changes that it already
// includes. Reports older than the stored one are ignored.
func (s *serverState) applyReport(now time.Time, load backend.Load) {
	if load.MeasuredAt.After(now) {
		load.MeasuredAt = now
	}
	if s.hasReport && load.MeasuredAt.Before(s.report.MeasuredAt) {
		return
	}
	s.report, s.hasReport = load, true
	covered := 0
	for covered < len(s.recentChanges) && !s.recentChanges[covered].at.After(load.MeasuredAt) {
		s.recentSum -= s.recentChanges[covered].delta
		covered++
	}
	s.recentChanges = append(s.recentChanges[:0], s.recentChanges[covered:]...)
}

// estimateLoad returns the estimated number of requests at the server, and how
// many of them were waiting at the last report. The estimate is the reported
// number plus this entry's changes since the report was measured, and at least
// this entry's requests in flight. Without a fresh report, the requests in
// flight are the estimate, and none counts as waiting.
func (s *serverState) estimateLoad(now time.Time) (requests, waiting float64) {
	if !s.hasFreshReport(now) {
		return float64(s.inFlight), 0
	}
	return float64(max(s.inFlight, s.report.Running+s.report.Waiting+s.recentSum)), float64(s.report.Waiting)
}

// slowdown returns the factor by which the predicted latency is multiplied for one more
// request at the given load.
func (s *serverState) slowdown(requests float64) float64 {
	factor := s.latencyRatio
	if s.speed > 0 {
		factor = s.speed
	}
	if s.limit > 0 && requests+1 > float64(s.limit) {
		factor *= (requests + 1) / float64(s.limit)
	}
	return factor
}

func (s *serverState) hasFreshReport(now time.Time) bool {
	return s.hasReport && now.Sub(s.report.MeasuredAt) < maxReportAge
}

// remainingBacklog returns the estimated number of this entry's prompt tokens
// that the server has not processed yet.
func (s *serverState) remainingBacklog(now time.Time) float64 {
	if s.backlogTokens == 0 {
		return 0
	}
	drained := now.Sub(s.backlogAt).Seconds() * 1000 * s.model.promptRate()
	return max(0, s.backlogTokens-drained)
}

func (s *serverState) addBacklog(now time.Time, tokens float64) {
	s.backlogTokens = s.remainingBacklog(now) + tokens
	s.backlogAt = now
}

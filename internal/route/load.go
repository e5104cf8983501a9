package route

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"buckthornpick/internal/backend"
)

const (
	// recentCapacity bounds the own dispatches and ends remembered per server.
	maxRecentChanges = 128
	// staleReport is the age after which a load report is ignored.
	maxReportAge = 10 * time.Second
)

// change is an own dispatch (+1) or end (-1).
type requestChange struct {
	at    time.Time
	delta int
}

// serverState is what a picker knows about one server.
type serverState struct {
	Server
	hash  uint64
	model *latencyModel

	// own counts this entry's running requests.
	inFlight int
	// ahead is the own backlog of uncached prompt tokens at aheadAt; it drains
	// at the learned prompt rate.
	backlogTokens float64
	backlogAt     time.Time

	report        backend.Load
	hasReport     bool
	recentChanges []requestChange
	recentSum     int
	// slowness is the ratio of measured to predicted latency.
	latencyRatio   float64
	lastCacheEvent int64
	// eventEpoch rises with every gap in the cache events and voids older ones.
	eventEpoch int
}

func newServerState(s Server) *serverState {
	return &serverState{Server: s, hash: xxhash.Sum64String(s.ID), latencyRatio: 1}
}

// add records an own dispatch or end.
func (s *serverState) recordChange(now time.Time, delta int) {
	s.inFlight = max(0, s.inFlight+delta)
	if len(s.recentChanges) == maxRecentChanges {
		s.recentSum -= s.recentChanges[0].delta
		s.recentChanges = append(s.recentChanges[:0], s.recentChanges[1:]...)
	}
	s.recentChanges = append(s.recentChanges, requestChange{now, delta})
	s.recentSum += delta
}

// take stores a load report and drops the own changes that it already covers.
// Reports older than the stored one are ignored.
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

// load returns the corrected number of requests at the server and how many of
// them wait: the report plus own changes since it was measured, and never fewer
// than the own requests.
func (s *serverState) estimateLoad(now time.Time) (requests, waiting float64) {
	if !s.hasFreshReport(now) {
		return float64(s.inFlight), 0
	}
	return float64(max(s.inFlight, s.report.Running+s.report.Waiting+s.recentSum)), float64(s.report.Waiting)
}

func (s *serverState) hasFreshReport(now time.Time) bool {
	return s.hasReport && now.Sub(s.report.MeasuredAt) < maxReportAge
}

// backlog returns the own prompt tokens that the server has not processed yet.
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

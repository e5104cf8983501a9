package route

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"buckthornpick/internal/backend"
)

const (
	// recentCapacity bounds the own dispatches and ends remembered per server.
	recentCapacity = 128
	// staleReport is the age after which a load report is ignored.
	staleReport = 10 * time.Second
)

// change is an own dispatch (+1) or end (-1).
type change struct {
	at    time.Time
	delta int
}

// serverState is what a picker knows about one server.
type serverState struct {
	Server
	hash  uint64
	model *latencyModel

	// own counts this entry's running requests.
	own int
	// ahead is the own backlog of uncached prompt tokens at aheadAt; it drains
	// at the learned prompt rate.
	ahead   float64
	aheadAt time.Time

	report   backend.Load
	reported bool
	changes  []change
	deltaSum int
	// slowness is the ratio of measured to predicted latency.
	slowness  float64
	lastEvent int64
	// eventEpoch rises with every gap in the cache events and voids older ones.
	eventEpoch int
}

func newServerState(s Server) *serverState {
	return &serverState{Server: s, hash: xxhash.Sum64String(s.ID), slowness: 1}
}

// add records an own dispatch or end.
func (s *serverState) add(now time.Time, delta int) {
	s.own = max(0, s.own+delta)
	if len(s.changes) == recentCapacity {
		s.deltaSum -= s.changes[0].delta
		s.changes = append(s.changes[:0], s.changes[1:]...)
	}
	s.changes = append(s.changes, change{now, delta})
	s.deltaSum += delta
}

// take stores a load report and drops the own changes that it already covers.
// Reports older than the stored one are ignored.
func (s *serverState) take(now time.Time, load backend.Load) {
	if load.MeasuredAt.After(now) {
		load.MeasuredAt = now
	}
	if s.reported && load.MeasuredAt.Before(s.report.MeasuredAt) {
		return
	}
	s.report, s.reported = load, true
	covered := 0
	for covered < len(s.changes) && !s.changes[covered].at.After(load.MeasuredAt) {
		s.deltaSum -= s.changes[covered].delta
		covered++
	}
	s.changes = append(s.changes[:0], s.changes[covered:]...)
}

// load returns the corrected number of requests at the server and how many of
// them wait: the report plus own changes since it was measured, and never fewer
// than the own requests.
func (s *serverState) load(now time.Time) (requests, waiting float64) {
	if !s.fresh(now) {
		return float64(s.own), 0
	}
	return float64(max(s.own, s.report.Running+s.report.Waiting+s.deltaSum)), float64(s.report.Waiting)
}

func (s *serverState) fresh(now time.Time) bool {
	return s.reported && now.Sub(s.report.MeasuredAt) < staleReport
}

// backlog returns the own prompt tokens that the server has not processed yet.
func (s *serverState) backlog(now time.Time) float64 {
	if s.ahead == 0 {
		return 0
	}
	drained := now.Sub(s.aheadAt).Seconds() * 1000 * s.model.promptRate()
	return max(0, s.ahead-drained)
}

func (s *serverState) addBacklog(now time.Time, tokens float64) {
	s.ahead = s.backlog(now) + tokens
	s.aheadAt = now
}

package plainservice

import (
	"encoding/json"
	"net/http"
	"time"

	"buckthornpick/internal/standin/engine"
)

type loadState struct {
	report   engine.LoadReport
	finished int // calls finished since report.MeasuredAt
}

// Load returns the published load report, which is up to Settings.LoadLag old.
// Its TokensPerSecond holds finished calls per second.
func (s *Server) Load() engine.LoadReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	first := s.load.report.MeasuredAt.IsZero()
	age := now.Sub(s.load.report.MeasuredAt)
	if !first && age < s.settings.LoadLag {
		return s.load.report
	}
	report := engine.LoadReport{Running: s.running, Waiting: s.waiting, MeasuredAt: now}
	if !first && age > 0 {
		report.TokensPerSecond = float64(s.load.finished) / age.Seconds()
	}
	s.load = loadState{report: report}
	return report
}

func (s *Server) setLoadHeader(w http.ResponseWriter) {
	if data, err := json.Marshal(s.Load()); err == nil {
		w.Header().Set(engine.LoadHeader, "JSON "+string(data))
	}
}

func (s *Server) serveLoad(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.Load()) // the client may have disconnected
}

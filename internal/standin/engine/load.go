package engine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// LoadHeader is the response header that carries a load report.
const LoadHeader = "endpoint-load-metrics"

// LoadReport is the load that the engine publishes.
type LoadReport struct {
	// Running and Waiting are the numbers of attempts in the batch and in the
	// waiting queue.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// CacheUsed is the share of the KV cache that is reserved by running
	// attempts or holds cached blocks, from 0 to 1.
	CacheUsed float64 `json:"cacheUsed"`
	// TokensPerSecond is the mean rate of generated tokens since the previous
	// report.
	TokensPerSecond float64   `json:"tokensPerSecond"`
	MeasuredAt      time.Time `json:"measuredAt"`
}

type loadState struct {
	report          LoadReport
	generatedTokens int // tokens since report.MeasuredAt
}

// Load returns the published load report, which is up to Settings.LoadLag old.
func (s *Server) Load() LoadReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	age := now.Sub(s.load.report.MeasuredAt)
	if !s.load.report.MeasuredAt.IsZero() && age < s.settings.LoadLag {
		return s.load.report
	}
	report := LoadReport{Running: len(s.running), Waiting: len(s.waiting), MeasuredAt: now}
	report.CacheUsed = float64(s.reservedKV()+s.cache.tokens()) / float64(s.settings.KVTokens)
	if !s.load.report.MeasuredAt.IsZero() && age > 0 {
		report.TokensPerSecond = float64(s.load.generatedTokens) / age.Seconds()
	}
	s.load = loadState{report: report}
	return report
}

func (s *Server) setLoadHeader(w http.ResponseWriter) {
	data, err := json.Marshal(s.Load())
	if err != nil {
		return
	}
	w.Header().Set(LoadHeader, "JSON "+string(data))
}

func (s *Server) serveLoad(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Load()) }

type cacheEventList struct {
	Events []CacheEvent `json:"events"`
}

func (s *Server) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		after = 0
	}
	s.mu.Lock()
	events := s.cache.eventsAfter(after, time.Now().Add(-s.settings.CacheEventLag), s.settings.CacheEventGapEvery)
	s.mu.Unlock()
	writeJSON(w, cacheEventList{Events: events})
}

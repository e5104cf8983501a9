package engine

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Server is an engine. It implements http.Handler; requests make progress only
// while Run is running.
type Server struct {
	settings Settings
	mux      *http.ServeMux
	wake     chan struct{} // capacity 1: tells Run about new work or changed faults

	mu          sync.Mutex
	faults      Faults
	crashed     bool
	down        chan struct{} // closed while the engine is crashed
	attempts    map[string]*attempt
	finished    []*attempt // finished attempts that can be resumed, oldest first
	waiting     []*attempt
	running     []*attempt
	cache       *prefixCache
	executions  []*Execution
	saltedRuns  uint64
	assignedIDs uint64
	load        loadState
	orders      orderState
}

// New returns an engine with an empty cache.
func New(settings Settings) *Server {
	s := &Server{settings: settings.withDefaults(), wake: make(chan struct{}, 1)}
	s.reset()
	s.orders.models = append([]string{}, s.settings.Models...)
	s.mux = s.routes()
	return s
}

func (s *Server) routes() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", s.serveCompletion)
	mux.HandleFunc("POST /v1/completions", s.serveCompletion)
	mux.HandleFunc("GET /v1/models", s.serveModels)
	mux.HandleFunc("GET /v1/streams/{attempt}", s.serveResume)
	mux.HandleFunc("DELETE /v1/streams/{attempt}", s.serveCancel)
	mux.HandleFunc("GET /v1/kv/{attempt}", s.serveExport)
	mux.HandleFunc("POST /v1/kv", s.serveImport)
	mux.HandleFunc("GET /metrics/load", s.serveLoad)
	mux.HandleFunc("GET /v1/cache/events", s.serveCacheEvents)
	mux.HandleFunc("POST /v1/orders", s.serveOrder)
	return mux
}

// reset discards the state that an engine loses in a crash.
func (s *Server) reset() {
	s.attempts = map[string]*attempt{}
	s.finished, s.waiting, s.running = nil, nil, nil
	s.cache = newPrefixCache()
	s.down = make(chan struct{})
}

// ServeHTTP implements http.Handler. A crashed engine drops the connection of
// each request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.Crashed() {
		panic(http.ErrAbortHandler)
	}
	s.mux.ServeHTTP(w, r)
}

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	s.faults = f
	s.mu.Unlock()
	s.signal()
}

// Crashed reports whether the engine is down after a crash.
func (s *Server) Crashed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashed
}

// Crash drops all connections. The engine is down until Restart, which discards
// its cache and attempts.
func (s *Server) Crash() {
	s.mu.Lock()
	first := s.crashLocked()
	s.mu.Unlock()
	if first && s.settings.OnCrash != nil {
		s.settings.OnCrash()
	}
}

// crashLocked marks the engine as crashed. It returns false if it was crashed
// already. Callers hold s.mu.
func (s *Server) crashLocked() bool {
	if s.crashed {
		return false
	}
	s.crashed = true
	close(s.down)
	return true
}

// Restart restarts a crashed engine with an empty cache and no attempts.
func (s *Server) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.crashed {
		return
	}
	s.crashed = false
	s.reset()
}

// Executions returns a copy of the records of started executions, oldest first.
func (s *Server) Executions() []Execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]Execution, len(s.executions))
	for i, e := range s.executions {
		out[i] = *e
	}
	return out
}

// PromptHash returns the value of Execution.PromptHash for prompt.
func PromptHash(prompt string) uint64 { return xxhash.Sum64String(prompt) }

// add registers and queues a new attempt. It returns an HTTP status other than 0
// if the request is rejected without running.
func (s *Server) add(r *http.Request, b *body) (*attempt, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Refuse || len(s.waiting) >= s.settings.MaxWaiting {
		return nil, http.StatusServiceUnavailable
	}
	id := r.Header.Get("X-Attempt-Id")
	if id == "" || s.settings.PlainStreams {
		s.assignedIDs++
		id = s.settings.ID + "-" + strconv.FormatUint(s.assignedIDs, 10)
	}
	s.expireFinished()
	if _, known := s.attempts[id]; known {
		return nil, http.StatusConflict
	}
	a := newAttempt(id, r.Header.Get("X-Request-Id"), b, parsePriority(r.Header.Get("X-Priority")), time.Now())
	if a.reservedKV() > s.settings.KVTokens {
		return nil, http.StatusBadRequest
	}
	a.down = s.down
	if a.observe = s.settings.Observe; a.observe != nil {
		a.observe(a.request, 0, a.created)
	}
	s.attempts[id] = a
	s.enqueue(a)
	s.signal()
	return a, 0
}

// enqueue inserts a into the queue, which is ordered by priority, then arrival.
func (s *Server) enqueue(a *attempt) {
	i := len(s.waiting)
	for i > 0 && s.waiting[i-1].priority > a.priority {
		i--
	}
	s.waiting = append(s.waiting, nil)
	copy(s.waiting[i+1:], s.waiting[i:])
	s.waiting[i] = a
}

// keepFinished keeps a finished attempt so that it can be resumed.
func (s *Server) keepFinished(a *attempt) {
	s.finished = append(s.finished, a)
	s.expireFinished()
}

// expireFinished drops finished attempts beyond Settings.MaxFinished or older
// than Settings.KeepFinished.
func (s *Server) expireFinished() {
	cutoff := time.Now().Add(-s.settings.KeepFinished)
	for len(s.finished) > 0 && (len(s.finished) > s.settings.MaxFinished || s.finished[0].doneAt.Before(cutoff)) {
		delete(s.attempts, s.finished[0].id)
		s.finished = s.finished[1:]
	}
}

func (s *Server) lookup(id string) (*attempt, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireFinished()
	a, ok := s.attempts[id]
	return a, ok
}

// signal wakes Run.
func (s *Server) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// record adds the execution of a to the records and drops the oldest record if
// there are too many.
func (s *Server) record(a *attempt, crashed bool) {
	if len(s.executions) >= s.settings.MaxRecorded {
		s.executions = s.executions[1:]
	}
	a.execution = &Execution{
		Attempt: a.id, Request: a.request, PromptHash: PromptHash(a.prompt), StartedAt: time.Now(),
		Prompt: a.promptTokens, Recomputed: a.pendingTokens, Crashed: crashed, Continued: a.continuedTokens() > 0,
	}
	s.executions = append(s.executions, a.execution)
}

func (s *Server) hasCrashMarker(a *attempt) bool {
	return s.faults.CrashMarker != "" && strings.Contains(a.prompt, s.faults.CrashMarker)
}

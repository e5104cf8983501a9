// Package plainservice is a small fake of a report application: plain HTTP
// calls, some of which must not run twice, with answers that an oracle can
// check.
//
// Every method and path is served. The answer is a JSON object with the call,
// the number of the run and a content that follows from both. Calls with a
// method other than GET and HEAD are counted as exports by X-Request-Id. A
// call that has begun runs to its end, also when its connection drops. Each
// answer carries a load report in the header endpoint-load-metrics;
// GET /metrics/load returns it alone. A 503 with X-Not-Run: true was not run.
package plainservice

import (
	"cmp"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Settings of a plain service. Zero fields take their defaults.
type Settings struct {
	// ServiceTime is the time of one call; default 20 ms.
	ServiceTime time.Duration
	// MaxConcurrent calls run together; default 16.
	MaxConcurrent int
	// MaxWaiting bounds the queue; default 256.
	MaxWaiting int
	// LoadLag is the age at which a load report is refreshed; default 100 ms.
	LoadLag time.Duration
	// MaxRecorded bounds the runs recorded for oracles; default 100000.
	MaxRecorded int
	// OnCrash is called, without locks, when a marker crashes the service.
	OnCrash func()
}

const maxBodyBytes = 8 << 20

func (s Settings) withDefaults() Settings {
	s.ServiceTime = cmp.Or(s.ServiceTime, 20*time.Millisecond)
	s.MaxConcurrent = cmp.Or(s.MaxConcurrent, 16)
	s.MaxWaiting = cmp.Or(s.MaxWaiting, 256)
	s.LoadLag = cmp.Or(s.LoadLag, 100*time.Millisecond)
	s.MaxRecorded = cmp.Or(s.MaxRecorded, 100000)
	return s
}

// Faults are switched on and off at any time with Server.SetFaults.
type Faults struct {
	// CrashMarker crashes the service when it runs a call with the marker in
	// its path or body.
	CrashMarker string
	// Refuse answers 503 with Retry-After before running.
	Refuse bool
	// Truncate sends half of the declared body.
	Truncate bool
	// Slowdown multiplies the service time; 0 is 1.
	Slowdown float64
	// LoseAnswer runs calls and drops their connections unanswered.
	LoseAnswer bool
}

// Run is one started run of a call, for oracles.
type Run struct {
	Number    int64
	Attempt   string
	Request   string
	Method    string
	Path      string
	StartedAt time.Time
	Crashed   bool
}

// Server is a plain service. It is an http.Handler and needs no goroutine of
// its own.
type Server struct {
	settings Settings
	slots    chan struct{}

	mu      sync.Mutex
	faults  Faults
	crashed bool
	down    chan struct{} // closed while the service is crashed
	waiting int
	running int
	number  int64
	runs    []Run
	exports map[string]int
	load    loadState
}

// New returns a plain service.
func New(settings Settings) *Server {
	s := &Server{settings: settings.withDefaults(), exports: map[string]int{}, down: make(chan struct{})}
	s.slots = make(chan struct{}, s.settings.MaxConcurrent)
	return s
}

// ServeHTTP implements http.Handler. A crashed service drops each connection.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.Crashed() {
		panic(http.ErrAbortHandler)
	}
	if r.URL.Path == "/metrics/load" {
		s.serveLoad(w)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	down, ok := s.enter()
	if !ok {
		s.refuse(w)
		return
	}
	select {
	case s.slots <- struct{}{}:
	case <-r.Context().Done():
		s.leaveQueue()
		panic(http.ErrAbortHandler)
	case <-down:
		s.leaveQueue()
		panic(http.ErrAbortHandler)
	}
	s.serveCall(w, r, body, down)
}

// enter takes a place in the queue.
func (s *Server) enter() (down <-chan struct{}, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Refuse || s.waiting >= s.settings.MaxWaiting {
		return nil, false
	}
	s.waiting++
	return s.down, true
}

func (s *Server) leaveQueue() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting--
}

func (s *Server) refuse(w http.ResponseWriter) {
	s.setLoadHeader(w)
	w.Header().Set("X-Not-Run", "true")
	w.Header().Set("Retry-After", "1")
	http.Error(w, "not run: the queue is full", http.StatusServiceUnavailable)
}

// serveCall runs a call that holds a slot.
func (s *Server) serveCall(w http.ResponseWriter, r *http.Request, body []byte, down <-chan struct{}) {
	number, faults, crashed := s.begin(r, body)
	if crashed {
		<-s.slots
		s.Crash()
		panic(http.ErrAbortHandler)
	}
	aborted := s.work(faults, down)
	s.finish()
	<-s.slots
	if aborted || s.currentFaults().LoseAnswer {
		panic(http.ErrAbortHandler)
	}
	answer := Answer(r.Method, r.URL.RequestURI(), body, number)
	s.setLoadHeader(w)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	if r.Method == http.MethodHead {
		return
	}
	if s.currentFaults().Truncate {
		_, _ = w.Write(answer[:len(answer)/2]) // the client may be gone
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(answer) // the client may be gone
}

func (s *Server) work(f Faults, down <-chan struct{}) (aborted bool) {
	d := s.settings.ServiceTime
	if f.Slowdown > 0 {
		d = time.Duration(float64(d) * f.Slowdown)
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return false
	case <-down:
		return true
	}
}

// begin records a run.
func (s *Server) begin(r *http.Request, body []byte) (number int64, f Faults, crashed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting--
	s.running++
	s.number++
	marker := s.faults.CrashMarker
	crashed = marker != "" && (strings.Contains(r.URL.Path, marker) || strings.Contains(string(body), marker))
	if crashed {
		s.running--
	}
	if len(s.runs) >= s.settings.MaxRecorded {
		s.runs = s.runs[1:]
	}
	request := r.Header.Get("X-Request-Id")
	s.runs = append(s.runs, Run{
		Number: s.number, Attempt: r.Header.Get("X-Attempt-Id"), Request: request,
		Method: r.Method, Path: r.URL.Path, StartedAt: time.Now(), Crashed: crashed,
	})
	if r.Method != http.MethodGet && r.Method != http.MethodHead {
		s.exports[request]++
	}
	return s.number, s.faults, crashed
}

func (s *Server) finish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	s.load.finished++
}

func (s *Server) currentFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

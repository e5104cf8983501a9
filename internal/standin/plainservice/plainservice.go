// Package plainservice is a small fake of an application that serves reports by
// plain HTTP calls. Some calls must not run twice. A test can verify the answers.
//
// Every method and path is served. The answer is a JSON object with the call,
// the number of the run and a content derived from call, body and run. Calls with
// a method other than GET and HEAD are counted as exports by X-Request-Id. A call
// that has started runs to its end, even if its connection drops. Each response
// carries a load report in the header endpoint-load-metrics; GET /metrics/load
// returns only the report. A 503 with X-Not-Run: true means that the call was
// not run; it names the attempt in X-Attempt-Id.
package plainservice

import (
	"cmp"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"buckthornpick/internal/standin/engine"
)

// Settings configures a plain service. Zero fields take their defaults.
type Settings struct {
	// ServiceTime is the duration of one call; default 20 ms.
	ServiceTime time.Duration
	// MaxConcurrent is the largest number of calls that run at a time;
	// default 16.
	MaxConcurrent int
	// MaxWaiting is the capacity of the waiting queue; default 256.
	MaxWaiting int
	// LoadLag is the age at which the load report is refreshed; default 100 ms.
	LoadLag time.Duration
	// MaxRecorded is the largest number of runs that Runs returns; older ones are
	// dropped; default 100000.
	MaxRecorded int
	// OnCrash is called, without locks held, when the service crashes.
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

// Faults are the injected faults; Server.SetFaults changes them at any time.
type Faults struct {
	// CrashMarker crashes the service when it starts a call with this text in
	// its path or body; empty is off.
	CrashMarker string
	// Refuse rejects calls with 503 and Retry-After without running them.
	Refuse bool
	// Truncate drops the connection after half of the declared body.
	Truncate bool
	// Slowdown multiplies the service time; 0 means 1.
	Slowdown float64
	// LoseAnswer runs calls and drops their connections without a response.
	LoseAnswer bool
	// CutHead runs calls and ends their connections after this number of bytes of the head of
	// the answer; 0 is off.
	CutHead int
}

// Run records one started run of a call; tests verify properties on these
// records.
type Run struct {
	Number    int64
	Attempt   string
	Request   string
	Method    string
	Path      string
	StartedAt time.Time
	Crashed   bool
}

// Server is a plain service. It implements http.Handler and has no background
// work.
type Server struct {
	settings Settings
	slots    chan struct{}

	mu      sync.Mutex
	faults  Faults
	crashed bool
	down    chan struct{} // closed while the service is crashed
	waiting int
	running int
	lastRun int64
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

// ServeHTTP implements http.Handler. A crashed service drops the connection of
// each request.
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
	down, ok := s.enqueue()
	if !ok {
		s.refuse(w, r)
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

// enqueue adds a call to the waiting queue. It returns false if the queue is full
// or Faults.Refuse is set.
func (s *Server) enqueue() (down <-chan struct{}, ok bool) {
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

func (s *Server) refuse(w http.ResponseWriter, r *http.Request) {
	s.setLoadHeader(w)
	w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
	w.Header().Set("X-Not-Run", "true")
	w.Header().Set("Retry-After", "1")
	http.Error(w, "not run: the queue is full", http.StatusServiceUnavailable)
}

// serveCall runs a call that has acquired a slot and writes the answer.
func (s *Server) serveCall(w http.ResponseWriter, r *http.Request, body []byte, down <-chan struct{}) {
	number, faults, crashed := s.startRun(r, body)
	if crashed {
		<-s.slots
		s.Crash()
		panic(http.ErrAbortHandler)
	}
	aborted := s.simulateWork(faults, down)
	s.finishRun()
	<-s.slots
	if aborted || s.currentFaults().LoseAnswer {
		panic(http.ErrAbortHandler)
	}
	answer := Answer(r.Method, r.URL.RequestURI(), body, number)
	if length := s.currentFaults().CutHead; length > 0 {
		engine.CutHead(w, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n", len(answer)), length)
	}
	s.setLoadHeader(w)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	if r.Method == http.MethodHead {
		return
	}
	if s.currentFaults().Truncate {
		_, _ = w.Write(answer[:len(answer)/2]) // the client may have disconnected
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(answer) // the client may have disconnected
}

// simulateWork waits for the service time. It returns true if the service crashes
// first.
func (s *Server) simulateWork(f Faults, down <-chan struct{}) (aborted bool) {
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

// startRun moves a call from waiting to running and records the run.
func (s *Server) startRun(r *http.Request, body []byte) (number int64, f Faults, crashed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting--
	s.running++
	s.lastRun++
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
		Number: s.lastRun, Attempt: r.Header.Get("X-Attempt-Id"), Request: request,
		Method: r.Method, Path: r.URL.Path, StartedAt: time.Now(), Crashed: crashed,
	})
	if r.Method != http.MethodGet && r.Method != http.MethodHead {
		s.exports[request]++
	}
	return s.lastRun, s.faults, crashed
}

func (s *Server) finishRun() {
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

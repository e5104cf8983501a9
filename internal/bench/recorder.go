package bench

import (
	"sync"
	"time"
)

// recorder keeps the times at which the engines accepted requests and
// generated events. It is safe for concurrent use.
type recorder struct {
	mu        sync.Mutex
	byRequest map[string]*generationTimes
}

// generation is what the engines noted of one request.
type generationTimes struct {
	accepted time.Time
	// events[i] is the time of sequence number i+1.
	events []time.Time
	// isRepeated is true if more than one attempt was accepted.
	hasMultipleAttempts bool
}

func newRecorder() *recorder { return &recorder{byRequest: map[string]*generationTimes{}} }

// observe implements engine.Settings.Observe.
func (r *recorder) observe(request string, sequence int, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	g := r.byRequest[request]
	if g == nil {
		g = &generationTimes{accepted: at, events: make([]time.Time, 0, answerTokens+2)}
		r.byRequest[request] = g
		return
	}
	if sequence != len(g.events)+1 {
		g.hasMultipleAttempts = true
		return
	}
	g.events = append(g.events, at)
}

// take returns and forgets what was noted of the request; ok is false if its
// times are not those of a single attempt.
func (r *recorder) remove(request string) (g *generationTimes, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	g = r.byRequest[request]
	delete(r.byRequest, request)
	return g, g != nil && !g.hasMultipleAttempts
}

package bench

import (
	"sync"
	"time"
)

// recorder stores the times at which the engines accepted requests and generated
// events, by request ID. It is safe for concurrent use.
type recorder struct {
	mu        sync.Mutex
	byRequest map[string]*generationTimes
}

// generationTimes holds the engines' times of one request.
type generationTimes struct {
	accepted time.Time
	// events[i] is the time at which the event with sequence number i+1 was
	// generated.
	events []time.Time
	// hasMultipleAttempts is true if the engines reported the request out of
	// sequence, as when more than one attempt was accepted.
	hasMultipleAttempts bool
}

func newRecorder() *recorder { return &recorder{byRequest: map[string]*generationTimes{}} }

// observe implements engine.Settings.Observe: sequence 0 is the acceptance of the
// request, others are its events.
func (r *recorder) observe(request string, sequence int, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	times := r.byRequest[request]
	if times == nil {
		times = &generationTimes{accepted: at, events: make([]time.Time, 0, answerTokens+2)}
		r.byRequest[request] = times
		return
	}
	if sequence != len(times.events)+1 {
		times.hasMultipleAttempts = true
		return
	}
	times.events = append(times.events, at)
}

// remove returns the times of the request and removes them; ok is false if they are
// not those of a single attempt.
func (r *recorder) remove(request string) (g *generationTimes, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	g = r.byRequest[request]
	delete(r.byRequest, request)
	return g, g != nil && !g.hasMultipleAttempts
}

package originstore

import (
	"context"
	"sync"
	"time"
)

// sharedRead lets concurrent callers share the calls of a function. Each caller gets the
// result of a call that began after it asked, so that the result is not older than what
// the caller has seen.
type sharedRead[T any] struct {
	read func(context.Context) (T, error)
	// interval is the shortest time between the starts of two calls.
	interval time.Duration

	mu sync.Mutex
	// next is the call that has not begun yet; nil if nobody waits for one.
	next      *pendingRead[T]
	isRunning bool
	startedAt time.Time
}

// pendingRead is a call of the function; its result is set when done is closed.
type pendingRead[T any] struct {
	done  chan struct{}
	value T
	err   error
}

// get returns the result of a call that begins after get, or the error of ctx.
func (s *sharedRead[T]) get(ctx context.Context) (T, error) {
	s.mu.Lock()
	if s.next == nil {
		s.next = &pendingRead[T]{done: make(chan struct{})}
		if !s.isRunning {
			s.isRunning = true
			go s.run()
		}
	}
	p := s.next
	s.mu.Unlock()
	select {
	case <-p.done:
		return p.value, p.err
	case <-ctx.Done():
		var none T
		return none, ctx.Err()
	}
}

// run makes calls until nobody waits for one.
func (s *sharedRead[T]) run() {
	for p := s.begin(); p != nil; p = s.begin() {
		ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
		p.value, p.err = s.read(ctx)
		cancel()
		close(p.done)
	}
}

// begin returns the next call once the interval has passed, or nil if nobody waits.
func (s *sharedRead[T]) begin() *pendingRead[T] {
	s.mu.Lock()
	defer s.mu.Unlock()
	if pause := s.interval - time.Since(s.startedAt); s.next != nil && pause > 0 {
		s.mu.Unlock()
		time.Sleep(pause)
		s.mu.Lock()
	}
	p := s.next
	s.next, s.isRunning = nil, p != nil
	if p != nil {
		s.startedAt = time.Now()
	}
	return p
}

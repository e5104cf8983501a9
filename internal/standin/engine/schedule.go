package engine

import (
	"context"
	"slices"
	"time"
)

// Run drives the batch until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	next := time.Now()
	for {
		step, crashed := s.plan()
		if crashed && s.settings.OnCrash != nil {
			s.settings.OnCrash()
		}
		if step <= 0 {
			select {
			case <-ctx.Done():
				return nil
			case <-s.wake:
				next = time.Now()
				continue
			}
		}
		// Steps are timed from each other, so that late timers do not add up.
		next = next.Add(step)
		if now := time.Now(); next.Before(now.Add(-time.Second)) {
			next = now
		}
		if !sleepUntil(ctx, next) {
			return nil
		}
		s.advance()
	}
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	wait := time.Until(at)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// plan admits waiting attempts and returns the time of the next step; 0 means
// that there is nothing to do.
func (s *Server) plan() (step time.Duration, crashed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.crashed || s.faults.Stall {
		return 0, false
	}
	if s.admit() {
		return 0, true
	}
	if len(s.running) == 0 {
		return 0, false
	}
	seconds := float64(s.prefillBudget()) / s.settings.PrefillTokensPerSecond
	if s.decoding() > 0 {
		seconds += 1 / s.settings.DecodeTokensPerSecond(len(s.running))
	}
	if s.faults.Slowdown > 0 {
		seconds *= s.faults.Slowdown
	}
	return max(time.Duration(seconds*float64(time.Second)), time.Microsecond), false
}

// admit moves attempts from the queue into the batch while they fit. It
// reports whether one of them crashed the engine.
func (s *Server) admit() bool {
	for len(s.waiting) > 0 && len(s.running) < s.settings.MaxBatch {
		a := s.waiting[0]
		if s.reserved()+a.reserved() > s.settings.KVTokens {
			return false
		}
		s.waiting = s.waiting[1:]
		s.start(a)
		if s.poisoned(a) {
			s.record(a, true)
			s.crashLocked()
			return true
		}
		s.record(a, false)
	}
	return false
}

func (s *Server) start(a *attempt) {
	a.cached = s.cache.match(BlockHashes(a.words)) * BlockWords
	a.pending = max(a.promptSize-a.cached, 1)
	a.computed = a.pending
	if a.body.Temperature > 0 {
		s.runs++
		a.salt = s.settings.Seed ^ PromptHash(s.settings.ID+a.id) ^ s.runs<<1 | 1
	}
	s.running = append(s.running, a)
	s.trim()
}

func (s *Server) reserved() int {
	total := 0
	for _, a := range s.running {
		total += a.reserved()
	}
	return total
}

func (s *Server) trim() {
	free := s.settings.KVTokens - s.reserved()
	s.cache.trim(free/BlockWords, time.Now())
}

func (s *Server) prefillBudget() int {
	pending := 0
	for _, a := range s.running {
		pending += a.pending
	}
	return min(pending, prefillChunkTokens)
}

func (s *Server) decoding() int {
	n := 0
	for _, a := range s.running {
		if a.pending == 0 {
			n++
		}
	}
	return n
}

// advance applies one step: a chunk of prefill, and one token for each
// sequence that was decoding.
func (s *Server) advance() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.crashed || s.faults.Stall {
		return
	}
	now := time.Now()
	budget := s.prefillBudget()
	for _, a := range s.running {
		if a.pending == 0 {
			s.decode(a, now)
			continue
		}
		part := min(a.pending, budget)
		a.pending -= part
		budget -= part
		if a.pending == 0 && part > 0 {
			s.cache.store(BlockHashes(a.words), now)
			s.decode(a, now)
		}
	}
	s.running = slices.DeleteFunc(s.running, func(a *attempt) bool { return a.finished })
	s.trim()
}

func (s *Server) decode(a *attempt, now time.Time) {
	if a.finished {
		return
	}
	if a.generated < a.want {
		a.emitToken()
		s.load.generated++
	}
	if a.generated >= a.want {
		a.finish(now)
		s.cache.store(BlockHashes(a.words), now)
		s.keep(a)
	}
}

// cancel ends an attempt wherever it is.
func (s *Server) cancel(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a, ok := s.attempts[id]
	if !ok || a.finished {
		return
	}
	a.canceled = true
	a.close(time.Now())
	is := func(b *attempt) bool { return a == b }
	s.waiting = slices.DeleteFunc(s.waiting, is)
	s.running = slices.DeleteFunc(s.running, is)
	s.keep(a)
	s.signal()
}

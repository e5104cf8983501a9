package engine

import (
	"context"
	"slices"
	"time"
)

// Run executes the steps of the batch until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	next := time.Now()
	for {
		step, crashed := s.prepareStep()
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
		// Each step is timed from the previous one, so that the delays of late
		// timers do not accumulate.
		next = next.Add(step)
		if now := time.Now(); next.Before(now.Add(-time.Second)) {
			next = now
		}
		if !sleepUntil(ctx, next) {
			return nil
		}
		s.runStep()
	}
}

// sleepUntil returns false if ctx ends first.
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

// prepareStep admits waiting attempts and returns the duration of the next step;
// 0 means that there is nothing to do. crashed reports whether an admitted attempt
// crashed the engine.
func (s *Server) prepareStep() (step time.Duration, crashed bool) {
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
	if s.decodingCount() > 0 {
		seconds += 1 / s.settings.DecodeTokensPerSecond(len(s.running))
	}
	if s.faults.Slowdown > 0 {
		seconds *= s.faults.Slowdown
	}
	return max(time.Duration(seconds*float64(time.Second)), time.Microsecond), false
}

// admit moves attempts from the queue into the batch while the batch and the KV
// cache have room. It reports whether one of them crashed the engine.
func (s *Server) admit() bool {
	for len(s.waiting) > 0 && len(s.running) < s.settings.MaxBatch {
		a := s.waiting[0]
		if s.reservedKV()+a.reservedKV() > s.settings.KVTokens {
			return false
		}
		s.waiting = s.waiting[1:]
		s.start(a)
		if s.hasCrashMarker(a) {
			s.record(a, true)
			s.crashLocked()
			return true
		}
		s.record(a, false)
	}
	return false
}

// start adds a to the batch and computes how much of it must be prefilled.
func (s *Server) start(a *attempt) {
	a.cachedTokens = s.cache.match(BlockHashes(a.words)) * BlockWords
	a.pendingTokens = max(a.promptTokens-a.cachedTokens, 1)
	a.computedTokens = a.pendingTokens
	if a.body.Temperature > 0 {
		s.saltedRuns++
		a.salt = s.settings.Seed ^ PromptHash(s.settings.ID+a.id) ^ s.saltedRuns<<1 | 1
	}
	s.running = append(s.running, a)
	s.trim()
}

func (s *Server) reservedKV() int {
	total := 0
	for _, a := range s.running {
		total += a.reservedKV()
	}
	return total
}

// trim evicts cached blocks that no longer fit beside the running attempts.
func (s *Server) trim() {
	free := s.settings.KVTokens - s.reservedKV()
	s.cache.trim(free/BlockWords, time.Now())
}

// prefillBudget returns the number of tokens to prefill in the next step.
func (s *Server) prefillBudget() int {
	pending := 0
	for _, a := range s.running {
		pending += a.pendingTokens
	}
	return min(pending, prefillChunkTokens)
}

func (s *Server) decodingCount() int {
	n := 0
	for _, a := range s.running {
		if a.pendingTokens == 0 {
			n++
		}
	}
	return n
}

// runStep runs one step: it prefills up to prefillBudget tokens and generates one
// token for each sequence that was decoding or whose prefill it completes.
func (s *Server) runStep() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.crashed || s.faults.Stall {
		return
	}
	now := time.Now()
	budget := s.prefillBudget()
	for _, a := range s.running {
		if a.pendingTokens == 0 {
			s.decode(a, now)
			continue
		}
		part := min(a.pendingTokens, budget)
		a.pendingTokens -= part
		budget -= part
		if a.pendingTokens == 0 && part > 0 {
			s.cache.store(BlockHashes(a.words), now)
			s.decode(a, now)
		}
	}
	s.running = slices.DeleteFunc(s.running, func(a *attempt) bool { return a.finished })
	s.trim()
}

// decode generates the next token of a and finishes a after its last token.
func (s *Server) decode(a *attempt, now time.Time) {
	if a.finished {
		return
	}
	if a.generatedTokens < a.wantTokens {
		a.emitToken()
		s.load.generatedTokens++
	}
	if a.generatedTokens >= a.wantTokens {
		a.finish(now)
		s.cache.store(BlockHashes(a.words), now)
		s.keepFinished(a)
	}
}

// cancel ends an attempt that is waiting or running. Unknown and finished
// attempts are ignored.
func (s *Server) cancel(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a, ok := s.attempts[id]
	if !ok || a.finished {
		return
	}
	a.canceled = true
	a.close(time.Now())
	isAttempt := func(b *attempt) bool { return a == b }
	s.waiting = slices.DeleteFunc(s.waiting, isAttempt)
	s.running = slices.DeleteFunc(s.running, isAttempt)
	s.keepFinished(a)
	s.signal()
}

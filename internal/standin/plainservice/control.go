package plainservice

import "maps"

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Crashed reports whether the service is down after a crash.
func (s *Server) Crashed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashed
}

// Crash drops all connections; the service is down until Restart.
func (s *Server) Crash() {
	s.mu.Lock()
	first := !s.crashed
	if first {
		s.crashed = true
		close(s.down)
	}
	s.mu.Unlock()
	if first && s.settings.OnCrash != nil {
		s.settings.OnCrash()
	}
}

// Restart restarts a crashed service. The recorded runs and counters stay,
// because tests verify them.
func (s *Server) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.crashed {
		s.crashed = false
		s.down = make(chan struct{})
	}
}

// Runs returns a copy of the records of started runs, oldest first.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run{}, s.runs...)
}

// Exports returns the number of runs of calls with a method other than GET and
// HEAD, by X-Request-Id.
func (s *Server) Exports() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.exports)
}

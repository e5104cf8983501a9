package plainservice

import "maps"

// SetFaults replaces the faults.
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

// Restart brings a crashed service back. Records and counters stay: they are
// the oracle's.
func (s *Server) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.crashed {
		s.crashed = false
		s.down = make(chan struct{})
	}
}

// Runs returns the started runs, oldest first.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run{}, s.runs...)
}

// Exports returns how often each request's export ran, by X-Request-Id.
func (s *Server) Exports() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.exports)
}

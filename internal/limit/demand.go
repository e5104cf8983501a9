package limit

// Demand returns the requests of each service that run or wait for a place
// here.
func (a *Admitter) Demand() map[string]int {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := make(map[string]int, len(a.scheduler.services))
	for name, s := range a.scheduler.services {
		out[name] = s.running + s.queued()
	}
	return out
}

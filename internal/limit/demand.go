package limit

// Demand returns the number of running and waiting requests on this entry, by
// service.
func (a *Admitter) Demand() map[string]int {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := make(map[string]int, len(a.scheduler.services))
	for name, s := range a.scheduler.services {
		out[name] = s.running + s.queued()
	}
	return out
}

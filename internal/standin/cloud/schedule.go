package cloud

import (
	"context"
	"time"

	"buckthornpick/internal/provider"
)

// Run makes started VMs live and terminates reclaimed VMs at their deadlines,
// until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	for {
		live, ended, next := s.processDue()
		s.runCallbacks(live, ended)
		if len(live)+len(ended) > 0 {
			continue
		}
		if !s.sleep(ctx, next) {
			return nil
		}
	}
}

// sleep waits until next or a change of the schedule, and returns false if ctx
// ends first. A zero next waits for a change only.
func (s *Server) sleep(ctx context.Context, next time.Time) bool {
	var due <-chan time.Time
	if !next.IsZero() {
		t := time.NewTimer(time.Until(next))
		defer t.Stop()
		due = t.C
	}
	select {
	case <-ctx.Done():
		return false
	case <-s.wake:
	case <-due:
	}
	return true
}

// processDue terminates the VMs whose deadline has passed. It returns the VMs
// that are due to become live, the terminated VMs and the time of the next
// scheduled change.
func (s *Server) processDue() (live, ended []provider.VM, next time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for _, m := range s.vms {
		switch {
		case !m.deadline.IsZero() && !m.deadline.After(now):
			s.end(m, now)
			ended = append(ended, m.VM)
		case !m.liveAt.IsZero() && !m.liveAt.After(now):
			m.liveAt = time.Time{}
			live = append(live, m.VM)
		default:
			next = earliest(next, m.deadline)
			next = earliest(next, m.liveAt)
		}
	}
	if len(ended) > 0 {
		s.recordChange()
	}
	return live, ended, next
}

// earliest returns the earlier of a and b; a zero time means none.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}

// end marks the VM as terminated, adds its cost to endedCost and cancels its
// schedule.
func (s *Server) end(m *machine, now time.Time) {
	s.endedCost += m.costUntil(now)
	m.State = provider.VMTerminated
	m.deadline, m.liveAt = time.Time{}, time.Time{}
}

// runCallbacks calls OnTerminated for the VMs in ended and OnLive for those in
// live, and marks the latter as live at the addresses that OnLive returned.
func (s *Server) runCallbacks(live, ended []provider.VM) {
	for _, vm := range ended {
		s.notifyTerminated(vm)
	}
	for _, vm := range live {
		address := ""
		if s.settings.OnLive != nil {
			address = s.settings.OnLive(vm)
		}
		if !s.setLive(vm.ID, address) {
			s.notifyTerminated(vm) // it was stopped during the callback
		}
	}
}

func (s *Server) notifyTerminated(vm provider.VM) {
	if s.settings.OnTerminated != nil {
		s.settings.OnTerminated(vm)
	}
}

// setLive sets the address of a VM and marks it as live. It returns false if the
// VM was terminated during OnLive.
func (s *Server) setLive(id, address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.vms[id]
	if m.State == provider.VMTerminated {
		return false
	}
	m.Address = address
	if m.State == provider.VMStarting { // otherwise it was reclaimed during OnLive
		m.State = provider.VMLive
	}
	s.recordChange()
	return true
}

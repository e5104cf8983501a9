package cloud

import (
	"context"
	"time"

	"buckthornpick/internal/provider"
)

// Run makes VMs live and ends them at their deadlines until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	for {
		live, ended, next := s.due()
		s.report(live, ended)
		if len(live)+len(ended) > 0 {
			continue
		}
		if !s.sleep(ctx, next) {
			return nil
		}
	}
}

// sleep waits until next, a change of the schedule or the end of ctx. A zero
// next waits for a change.
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

// due ends the VMs whose time has come. It returns those to become live, those
// ended and the time of the next change.
func (s *Server) due() (live, ended []provider.VM, next time.Time) {
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
		s.changed()
	}
	return live, ended, next
}

func earliest(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}

// end closes the VM's bill and schedule.
func (s *Server) end(m *machine, now time.Time) {
	s.cost += m.costUntil(now)
	m.State = provider.VMTerminated
	m.deadline, m.liveAt = time.Time{}, time.Time{}
}

// report calls the callbacks, then lists the live VMs with their addresses.
func (s *Server) report(live, ended []provider.VM) {
	for _, vm := range ended {
		s.terminated(vm)
	}
	for _, vm := range live {
		address := ""
		if s.settings.OnLive != nil {
			address = s.settings.OnLive(vm)
		}
		if !s.setLive(vm.ID, address) {
			s.terminated(vm) // it was stopped during the callback
		}
	}
}

func (s *Server) terminated(vm provider.VM) {
	if s.settings.OnTerminated != nil {
		s.settings.OnTerminated(vm)
	}
}

// setLive reports whether the VM has not ended meanwhile.
func (s *Server) setLive(id, address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.vms[id]
	if m.State == provider.VMTerminated {
		return false
	}
	m.Address = address
	if m.State == provider.VMStarting { // it may have had notice meanwhile
		m.State = provider.VMLive
	}
	s.changed()
	return true
}

package fuzz

import (
	"buckthornpick/internal/standin/engine"
	"buckthornpick/internal/standin/plainservice"
	"buckthornpick/internal/standin/site"
)

func (h *harness) performServerStep(s Step) {
	if s.Action == actRestartServer {
		h.restartServers()
		return
	}
	if s.Action == actServersHeal {
		h.healServers()
		return
	}
	sv, ok := pick(h.liveServers(), s.A)
	if !ok {
		return
	}
	h.trace("  %s at %s", s.Action, sv.ID)
	switch s.Action {
	case actCrashServer:
		h.crash(sv)
	case actKillServer:
		h.mu.Lock()
		h.killedServers[sv] = true
		h.mu.Unlock()
		sv.Kill()
	case actRepeatEvents:
		h.mu.Lock()
		h.pendingRepeats += 1 + s.B%3
		h.mu.Unlock()
	default:
		setServerFault(sv, s)
	}
}

func (h *harness) crash(sv *site.Server) {
	if sv.Engine != nil {
		sv.Engine.Crash()
		return
	}
	sv.Plain.Crash()
}

func setServerFault(sv *site.Server, s Step) {
	var e engine.Faults
	var p plainservice.Faults
	switch s.Action {
	case actTruncate:
		e.TruncateAfter, p.Truncate = 1+s.B%20, true
	case actLoseAnswers:
		e.LoseAnswer, p.LoseAnswer = true, true
	case actRefuse:
		e.Refuse, p.Refuse = true, true
	case actStall:
		e.Stall, p.Slowdown = true, 100
	}
	if sv.Engine != nil {
		sv.Engine.SetFaults(e)
	} else {
		sv.Plain.SetFaults(p)
	}
}

func (h *harness) healServers() {
	for _, sv := range h.site.Servers() {
		if sv.Engine != nil {
			sv.Engine.SetFaults(engine.Faults{})
		} else {
			sv.Plain.SetFaults(plainservice.Faults{})
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pendingRepeats = 0
}

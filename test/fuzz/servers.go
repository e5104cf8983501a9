package fuzz

import (
	"buckthornpick/internal/standin/engine"
	"buckthornpick/internal/standin/plainservice"
	"buckthornpick/internal/standin/site"
)

func (w *world) takeServer(s Step) {
	if s.Action == actRestartServer {
		w.restartServers()
		return
	}
	if s.Action == actServersHeal {
		w.healServers()
		return
	}
	sv, ok := pick(w.liveServers(), s.A)
	if !ok {
		return
	}
	w.trace("  %s at %s", s.Action, sv.ID)
	switch s.Action {
	case actCrashServer:
		w.crash(sv)
	case actKillServer:
		w.mu.Lock()
		w.dead[sv] = true
		w.mu.Unlock()
		sv.Kill()
	case actRepeatEvents:
		w.mu.Lock()
		w.repeats += 1 + s.B%3
		w.mu.Unlock()
	default:
		setServerFault(sv, s)
	}
}

func (w *world) crash(sv *site.Server) {
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

func (w *world) healServers() {
	for _, sv := range w.site.Servers() {
		if sv.Engine != nil {
			sv.Engine.SetFaults(engine.Faults{})
		} else {
			sv.Plain.SetFaults(plainservice.Faults{})
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.repeats = 0
}

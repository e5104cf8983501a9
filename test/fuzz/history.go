package fuzz

import (
	"context"
	"errors"
	"fmt"
	"time"

	"buckthornpick/internal/standin/cloud"
	"buckthornpick/internal/standin/engine"
	"buckthornpick/internal/standin/plainservice"
	"buckthornpick/internal/standin/site"
)

// Run runs one history and returns the observations for CheckInvariants. It must
// be called in a testing/synctest bubble.
func Run(seed uint64, s Schedule, o Options) (*Observations, error) {
	h, err := newHarness(seed, s, o)
	if err != nil {
		if h != nil {
			h.close()
		}
		return nil, err
	}
	watching, stopWatching := context.WithCancel(h.ctx)
	h.background(func() { h.watchConfigs(watching) })
	for i, step := range s.Steps {
		time.Sleep(step.Wait)
		h.trace("%v step %d: %s %d %d %d", time.Now(), i, step.Action, step.A, step.B, step.C)
		h.performStep(step)
	}
	h.heal()
	h.observations.RecoveryErr = h.awaitRecovery()
	h.awaitCallers()
	h.awaitOperators()
	stopWatching()
	h.collect()
	h.close()
	return &h.observations, nil
}

// heal ends all faults, starts servers in each zone, and starts an entry in each
// zone that has no stable one.
func (h *harness) heal() {
	h.trace("%v heal", time.Now())
	h.healStore()
	h.healNetwork()
	h.site.Cloud.SetFaults(cloud.Faults{})
	h.updateFaults(func(f *faults) { f.isCloudDown = false })
	h.healServers()
	h.restartServers()
	for _, zone := range h.zones {
		h.startServers(zone)
		hasStableEntry := false
		for _, e := range h.stableEntries() {
			hasStableEntry = hasStableEntry || e.Zone == zone
		}
		if !hasStableEntry {
			if _, err := h.site.StartEntry(zone); err != nil {
				h.trace("  start entry: %v", err)
			}
		}
	}
}

// awaitRecovery sends repeatable calls to every stable entry until one completes,
// and returns an error for each entry at which none did within RecoveryTime.
func (h *harness) awaitRecovery() error {
	healed := time.Now()
	failed := make(chan error)
	entries := h.stableEntries()
	for _, e := range entries {
		h.background(func() { failed <- h.awaitRecoveryAt(e, healed) })
	}
	var errs []error
	for range entries {
		errs = append(errs, <-failed)
	}
	return errors.Join(errs...)
}

// repeatableChatForm selects a repeatable streamed chat with an idempotency key
// (see newCall).
const repeatableChatForm = 8 + 6

func (h *harness) awaitRecoveryAt(e *site.Entry, healed time.Time) error {
	for {
		s := h.submit(h.newCall(repeatableChatForm, 1), e, nil)
		if s.Outcome == "completed" && s.Ended.Sub(healed) <= RecoveryTime {
			return nil
		}
		if time.Since(healed) > RecoveryTime {
			return fmt.Errorf("%s completes no call within %v after the end of all faults: last %q %v %.300s",
				e.ID, RecoveryTime, s.Outcome, s.Err, s.Body)
		}
		time.Sleep(pollInterval)
	}
}

// awaitCallers waits for open answers, for at most answerTimeout.
func (h *harness) awaitCallers() {
	waitUntil(answerTimeout, func() bool {
		h.mu.Lock()
		defer h.mu.Unlock()
		return len(h.openConnections) == 0
	})
}

// collect adds the runs that all backend servers recorded and the final
// configuration of each stable entry to the observations.
func (h *harness) collect() {
	prompts := map[uint64]int{}
	paths := map[string]int{}
	for _, c := range h.calls {
		prompts[engine.PromptHash(engine.PromptOf(c.body))] = c.Number
		paths[c.path] = c.Number
	}
	addModelRuns := func(server string, e *engine.Server) {
		for _, x := range e.Executions() {
			if number, ok := prompts[x.PromptHash]; ok && x.CountsAsRun() {
				h.observations.Runs = append(h.observations.Runs, Execution{number, server, x.StartedAt})
			}
		}
	}
	addCallRuns := func(server string, p *plainservice.Server) {
		for _, x := range p.Runs() {
			if number, ok := paths["/services/report"+x.Path]; ok {
				h.observations.Runs = append(h.observations.Runs, Execution{number, server, x.StartedAt})
			}
		}
	}
	for _, sv := range h.site.Servers() {
		if sv.Engine != nil {
			addModelRuns(sv.ID, sv.Engine)
		} else {
			addCallRuns(sv.ID, sv.Plain)
		}
	}
	addModelRuns(OlderSystem, h.site.Older.Models)
	addCallRuns(OlderSystem, h.site.Older.Calls)
	time.Sleep(PropagationTime)
	entries := h.stableEntries()
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, e := range entries {
		if s, ok := h.observeConfigLocked(e); ok {
			h.observations.FinalConfigs = append(h.observations.FinalConfigs, s)
		}
	}
}

// anotherEntry returns a stable entry other than excludedID, or nil if there is
// none.
func (h *harness) anotherEntry(excludedID string, n int) *site.Entry {
	var others []*site.Entry
	for _, e := range h.stableEntries() {
		if e.ID != excludedID {
			others = append(others, e)
		}
	}
	e, _ := pick(others, n)
	return e
}

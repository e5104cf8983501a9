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

// Run runs one history and returns what was observed. It must be called in a
// testing/synctest bubble.
func Run(seed uint64, s Schedule, o Options) (*Observations, error) {
	w, err := newWorld(seed, s, o)
	if err != nil {
		if w != nil {
			w.close()
		}
		return nil, err
	}
	watching, stopWatching := context.WithCancel(w.ctx)
	w.background(func() { w.watch(watching) })
	for i, step := range s.Steps {
		time.Sleep(step.Wait)
		w.trace("%v step %d: %s %d %d %d", time.Now(), i, step.Do, step.A, step.B, step.C)
		w.take(step)
	}
	w.heal()
	w.seen.Recovered = w.recovered()
	w.awaitCallers()
	w.awaitOperators()
	stopWatching()
	w.collect()
	w.close()
	return &w.seen, nil
}

// heal ends all faults and puts new VMs in the place of those that are gone.
func (w *world) heal() {
	w.trace("%v heal", time.Now())
	w.healStore()
	w.healNetwork()
	w.site.Cloud.SetFaults(cloud.Faults{})
	w.change(func(f *faults) { f.cloudOutage = false })
	w.healServers()
	w.restartServers()
	for _, zone := range w.zones {
		w.startServers(zone)
		isServed := false
		for _, e := range w.staying() {
			isServed = isServed || e.Zone == zone
		}
		if !isServed {
			if _, err := w.site.StartEntry(zone); err != nil {
				w.trace("  start entry: %v", err)
			}
		}
	}
}

// recovered asks every entry that stays until it completes a repeatable call.
func (w *world) recovered() error {
	healed := time.Now()
	failed := make(chan error)
	entries := w.staying()
	for _, e := range entries {
		w.background(func() { failed <- w.recoveredAt(e, healed) })
	}
	var errs []error
	for range entries {
		errs = append(errs, <-failed)
	}
	return errors.Join(errs...)
}

// plainChat selects a repeatable streamed call with a key.
const plainChat = 8 + 6

func (w *world) recoveredAt(e *site.Entry, healed time.Time) error {
	for {
		s := w.submit(w.newCall(plainChat, 1), e, nil)
		if s.Outcome == "completed" && s.Ended.Sub(healed) <= RecoverTime {
			return nil
		}
		if time.Since(healed) > RecoverTime {
			return fmt.Errorf("%s completes no call within %v after the end of all faults: last %q %v %.300s",
				e.ID, RecoverTime, s.Outcome, s.Err, s.Body)
		}
		time.Sleep(pollInterval)
	}
}

// awaitCallers waits for open answers as long as a caller is patient.
func (w *world) awaitCallers() {
	eventually(patience, func() bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		return len(w.open) == 0
	})
}

// collect adds the records of all backend servers and the last configuration.
func (w *world) collect() {
	prompts := map[uint64]int{}
	paths := map[string]int{}
	for _, c := range w.calls {
		prompts[engine.PromptHash(engine.PromptOf(c.body))] = c.Number
		paths[c.path] = c.Number
	}
	models := func(server string, e *engine.Server) {
		for _, x := range e.Executions() {
			if number, ok := prompts[x.PromptHash]; ok && x.CountsAsRun() {
				w.seen.Runs = append(w.seen.Runs, Execution{number, server, x.StartedAt})
			}
		}
	}
	calls := func(server string, p *plainservice.Server) {
		for _, x := range p.Runs() {
			if number, ok := paths["/services/report"+x.Path]; ok {
				w.seen.Runs = append(w.seen.Runs, Execution{number, server, x.StartedAt})
			}
		}
	}
	for _, sv := range w.site.Servers() {
		if sv.Engine != nil {
			models(sv.ID, sv.Engine)
		} else {
			calls(sv.ID, sv.Plain)
		}
	}
	models(Older, w.site.Older.Models)
	calls(Older, w.site.Older.Calls)
	time.Sleep(SpreadTime)
	entries := w.staying()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range entries {
		if s, ok := w.sightLocked(e); ok {
			w.seen.Last = append(w.seen.Last, s)
		}
	}
}

// anotherEntry returns an entry other than the given one, preferably one that
// stays.
func (w *world) anotherEntry(not string, n int) *site.Entry {
	var others []*site.Entry
	for _, e := range w.staying() {
		if e.ID != not {
			others = append(others, e)
		}
	}
	e, _ := pick(others, n)
	return e
}

package fuzz

import (
	"context"
	"fmt"
	"time"

	"buckthornpick/internal/config"
	"buckthornpick/internal/standin/site"
	"buckthornpick/internal/wait"
)

// change is one change of the operators' document.
type change struct {
	document  *config.Document
	expected  int64
	operation string
}

// operatorPatience is how long an operator waits for an answer.
const operatorPatience = 20 * time.Second

func (w *world) takeOperator(s Step) {
	entries := w.site.Entries()
	e, ok := pick(entries, s.A)
	if !ok {
		return
	}
	switch s.Action {
	case actEdit:
		w.propose(w.newChange(e), e)
	case actEditRace:
		other, _ := pick(entries, s.B)
		w.propose(w.newChange(e), e)
		w.propose(w.newChange(other), other)
	case actEditAgain:
		w.mu.Lock()
		c, ok := pick(w.changes, s.B)
		w.mu.Unlock()
		if ok {
			w.propose(c, e)
		}
	}
}

// newChange bases a change on what the entry shows.
func (w *world) newChange(e *site.Entry) *change {
	expected := int64(0)
	if now, ok := e.Node.Documents().Current(); ok {
		expected = now.Revision
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	n := len(w.changes) + 1
	c := &change{document: w.document(n), expected: expected, operation: fmt.Sprintf("op-%d", n)}
	w.changes = append(w.changes, c)
	return c
}

func (w *world) propose(c *change, e *site.Entry) {
	w.proposals.Add(1)
	w.background(func() {
		ctx, cancel := context.WithTimeout(w.ctx, operatorPatience)
		defer cancel()
		revision, err := w.site.Propose(ctx, e, c.document, c.expected, c.operation)
		w.proposals.Add(-1)
		w.trace("  %s at %s on %d: revision %d, %v", c.operation, e.ID, c.expected, revision, err)
		if err != nil {
			return
		}
		a := Acceptance{Revision: revision, Operation: c.operation, At: time.Now()}
		w.mu.Lock()
		w.seen.Accepted = append(w.seen.Accepted, a)
		w.mu.Unlock()
		w.checkSpread(a)
	})
}

// awaitOperators waits for the answers to all changes, so that the time to spread
// begins after the last acceptance.
func (w *world) awaitOperators() {
	eventually(operatorPatience, func() bool { return w.proposals.Load() == 0 })
}

// checkSpread notes the nodes that could be reached all the time since the
// acceptance and do not have it SpreadTime later.
func (w *world) checkSpread(a Acceptance) {
	before := w.site.Entries()
	if !wait.For(w.ctx, PropagationTime) {
		return
	}
	entries := w.site.Entries()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.noteReachLocked(entries)
	for _, e := range before {
		select {
		case <-e.Done():
			continue
		default:
		}
		now, ok := e.Node.Documents().Current()
		isReached := !w.faults.storeUnreached[e].After(a.At) && a.At.Sub(w.started[e.ID]) > startTime
		if isReached && (!ok || now.Revision < a.Revision) {
			m := MissedRevision{Node: e.ID, Acceptance: a}
			if ok {
				m.ActualRevision = now.Revision
			}
			w.seen.MissedRevisions = append(w.seen.MissedRevisions, m)
		}
	}
}

// startTime is how long a node may take until it counts as reached.
const startTime = 5 * time.Second

// watch notes the configuration in force at each node whenever it changes.
func (w *world) watch(ctx context.Context) {
	for {
		entries := w.site.Entries()
		w.mu.Lock()
		w.noteReachLocked(entries)
		for _, e := range entries {
			if s, ok := w.sightLocked(e); ok && s.Revision != w.current[e] {
				w.current[e] = s.Revision
				w.seen.ObservedConfigs = append(w.seen.ObservedConfigs, s)
			}
		}
		w.mu.Unlock()
		if !wait.For(ctx, pollInterval) {
			return
		}
	}
}

func (w *world) sightLocked(e *site.Entry) (ObservedConfig, bool) {
	now, ok := e.Node.Documents().Current()
	if !ok {
		return ObservedConfig{}, false
	}
	if w.lives[e] == 0 {
		w.lives[e] = len(w.lives) + 1
	}
	return ObservedConfig{Node: e.ID, Incarnation: w.lives[e], At: time.Now(), Revision: now.Revision,
		Operation: now.Document.OperationID}, true
}

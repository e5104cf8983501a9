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
type documentChange struct {
	document  *config.Document
	expected  int64
	operation string
}

// operatorPatience is how long an operator waits for an answer.
const operatorTimeout = 20 * time.Second

func (h *harness) performOperatorStep(s Step) {
	entries := h.site.Entries()
	e, ok := pick(entries, s.A)
	if !ok {
		return
	}
	switch s.Action {
	case actEdit:
		h.propose(h.newDocumentChange(e), e)
	case actEditRace:
		other, _ := pick(entries, s.B)
		h.propose(h.newDocumentChange(e), e)
		h.propose(h.newDocumentChange(other), other)
	case actEditAgain:
		h.mu.Lock()
		c, ok := pick(h.documentChanges, s.B)
		h.mu.Unlock()
		if ok {
			h.propose(c, e)
		}
	}
}

// newChange bases a change on what the entry shows.
func (h *harness) newDocumentChange(e *site.Entry) *documentChange {
	expected := int64(0)
	if now, ok := e.Node.Documents().Current(); ok {
		expected = now.Revision
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	n := len(h.documentChanges) + 1
	c := &documentChange{document: h.document(n), expected: expected, operation: fmt.Sprintf("op-%d", n)}
	h.documentChanges = append(h.documentChanges, c)
	return c
}

func (h *harness) propose(c *documentChange, e *site.Entry) {
	h.pendingProposals.Add(1)
	h.background(func() {
		ctx, cancel := context.WithTimeout(h.ctx, operatorTimeout)
		defer cancel()
		revision, err := h.site.Propose(ctx, e, c.document, c.expected, c.operation)
		h.pendingProposals.Add(-1)
		h.trace("  %s at %s on %d: revision %d, %v", c.operation, e.ID, c.expected, revision, err)
		if err != nil {
			return
		}
		a := Acceptance{Revision: revision, Operation: c.operation, At: time.Now()}
		h.mu.Lock()
		h.observations.Accepted = append(h.observations.Accepted, a)
		h.mu.Unlock()
		h.checkPropagation(a)
	})
}

// awaitOperators waits for the answers to all changes, so that the time to spread
// begins after the last acceptance.
func (h *harness) awaitOperators() {
	waitUntil(operatorTimeout, func() bool { return h.pendingProposals.Load() == 0 })
}

// checkSpread notes the nodes that could be reached all the time since the
// acceptance and do not have it SpreadTime later.
func (h *harness) checkPropagation(a Acceptance) {
	before := h.site.Entries()
	if !wait.For(h.ctx, PropagationTime) {
		return
	}
	entries := h.site.Entries()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.recordReachabilityLocked(entries)
	for _, e := range before {
		select {
		case <-e.Done():
			continue
		default:
		}
		now, ok := e.Node.Documents().Current()
		isReached := !h.faults.lastStoreUnreachable[e].After(a.At) && a.At.Sub(h.startedAt[e.ID]) > startupGracePeriod
		if isReached && (!ok || now.Revision < a.Revision) {
			m := MissedRevision{Node: e.ID, Acceptance: a}
			if ok {
				m.ActualRevision = now.Revision
			}
			h.observations.MissedRevisions = append(h.observations.MissedRevisions, m)
		}
	}
}

// startTime is how long a node may take until it counts as reached.
const startupGracePeriod = 5 * time.Second

// watch notes the configuration in force at each node whenever it changes.
func (h *harness) watchConfigs(ctx context.Context) {
	for {
		entries := h.site.Entries()
		h.mu.Lock()
		h.recordReachabilityLocked(entries)
		for _, e := range entries {
			if s, ok := h.observeConfigLocked(e); ok && s.Revision != h.lastRevisions[e] {
				h.lastRevisions[e] = s.Revision
				h.observations.ObservedConfigs = append(h.observations.ObservedConfigs, s)
			}
		}
		h.mu.Unlock()
		if !wait.For(ctx, pollInterval) {
			return
		}
	}
}

func (h *harness) observeConfigLocked(e *site.Entry) (ObservedConfig, bool) {
	now, ok := e.Node.Documents().Current()
	if !ok {
		return ObservedConfig{}, false
	}
	if h.incarnations[e] == 0 {
		h.incarnations[e] = len(h.incarnations) + 1
	}
	return ObservedConfig{Node: e.ID, Incarnation: h.incarnations[e], At: time.Now(), Revision: now.Revision,
		Operation: now.Document.OperationID}, true
}

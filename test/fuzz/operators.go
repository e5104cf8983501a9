package fuzz

import (
	"context"
	"fmt"
	"time"

	"buckthornpick/internal/config"
	"buckthornpick/internal/standin/site"
	"buckthornpick/internal/wait"
)

// documentChange is a proposed version of the operators' document, based on the
// revision expected.
type documentChange struct {
	document  *config.Document
	expected  int64
	operation string
}

// operatorTimeout is how long an operator waits for an answer.
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

// newDocumentChange creates a change that is based on the revision in force at the
// entry.
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

// propose proposes a change at an entry in the background. If the change is
// accepted, it records this and checks that the change propagates.
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

// awaitOperators waits for the answers to all proposed changes, so that the last
// acceptance is known before the final configurations are collected.
func (h *harness) awaitOperators() {
	waitUntil(operatorTimeout, func() bool { return h.pendingProposals.Load() == 0 })
}

// checkPropagation records the nodes that lack an accepted revision
// PropagationTime after its acceptance, although the store was reachable for them
// all that time.
func (h *harness) checkPropagation(a Acceptance) {
	entriesAtAcceptance := h.site.Entries()
	if !wait.For(h.ctx, PropagationTime) {
		return
	}
	entries := h.site.Entries()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.recordReachabilityLocked(entries)
	for _, e := range entriesAtAcceptance {
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

// startupGracePeriod is the time after its start during which a node is not
// required to receive revisions in time.
const startupGracePeriod = 5 * time.Second

// watchConfigs polls the revision in force at each node and records its changes.
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

// observeConfigLocked returns the configuration in force at an entry; ok is false
// if it has none. The caller holds h.mu.
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

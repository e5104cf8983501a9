package quarantine

import (
	"context"
	"time"

	"buckthornpick/internal/dispatch"
	"buckthornpick/internal/fault"
	"buckthornpick/internal/peer"
	"buckthornpick/internal/wait"
)

// trialRetryInterval is the time between two requests for the permission to run
// a trial.
const trialRetryInterval = 200 * time.Millisecond

// Permit implements dispatch.Quarantine. A content without a mark runs at once; a
// content on trial waits for the coordinator's permission, and one that has
// reached maxCrashes is refused with fault.Exhausted.
func (q *Quarantine) Permit(ctx context.Context, c dispatch.AttemptRef) (dispatch.Permit, error) {
	if err := q.permitParts(ctx, c); err != nil {
		return nil, err
	}
	permit, err := q.permitContent(ctx, c)
	if err != nil || len(c.Parts) == 0 {
		return permit, err
	}
	return &partsPermit{permit, q, c.Parts}, nil
}

// permitContent permits the whole content of the attempt as Permit does.
func (q *Quarantine) permitContent(ctx context.Context, c dispatch.AttemptRef) (dispatch.Permit, error) {
	for {
		switch n := q.crashCount(c.Fingerprint); {
		case n >= maxCrashes:
			q.refusals.Inc(1)
			return nil, refusalError(c.Fingerprint)
		case n == 0:
			return noopPermit{}, nil
		}
		m := trialMsg{Fingerprint: c.Fingerprint, Server: c.Server, Attempt: string(c.Attempt)}
		isGranted, err := q.requestTrial(ctx, m)
		if err != nil {
			return nil, err
		}
		if isGranted {
			q.log.Log(EvTrial, "fingerprint", c.Fingerprint, "server", c.Server, "attempt", c.Attempt)
			return &trialPermit{q: q, msg: m}, nil
		}
		if !wait.For(ctx, trialRetryInterval) {
			return nil, ctx.Err()
		}
	}
}

// requestTrial asks the coordinator once for the permission to run a trial and
// reports whether it was granted. It returns an error if the coordinator cannot be
// reached, because a content that has crashed a server must not run without
// permission, or if the coordinator reports maxCrashes for the content.
func (q *Quarantine) requestTrial(ctx context.Context, m trialMsg) (bool, error) {
	coordinator, ok := q.cfg.Coordinator()
	if !ok {
		return false, fault.New(fault.Unavailable, "quarantine.trial", "", "there is no coordinator of trials")
	}
	reply, err := peer.Call[trialReply](ctx, q.transport, coordinator, peer.TrialBegin, m)
	if err != nil {
		return false, fault.Wrap(err, fault.Unavailable, "quarantine.trial", coordinator.ID, "coordinator of trials")
	}
	if reply.Crashes >= maxCrashes {
		q.refusals.Inc(1)
		return false, refusalError(m.Fingerprint)
	}
	return reply.IsGranted, nil
}

func (q *Quarantine) handleTrialBegin(_ context.Context, _ peer.Node, m trialMsg) (trialReply, error) {
	crashes := q.crashCount(m.Fingerprint)
	if crashes >= maxCrashes {
		return trialReply{Crashes: crashes}, nil
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return trialReply{IsGranted: q.trials.grant(m, time.Now(), q.cfg.TrialTimeout), Crashes: crashes}, nil
}

func (q *Quarantine) handleTrialEnd(_ peer.Node, decode func(any) error) {
	var m trialMsg
	if decode(&m) == nil {
		q.endTrial(m)
	}
}

func (q *Quarantine) endTrial(m trialMsg) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.trials.release(m)
}

// trialTable holds the permissions that the coordinator has granted: at most one
// per fingerprint and one per backend server.
type trialTable struct {
	byFingerprint map[uint64]trial
	byServer      map[string]trial
}

// trial is a permission granted to an attempt; it expires at until.
type trial struct {
	attempt string
	until   time.Time
}

func newTrialTable() trialTable {
	return trialTable{byFingerprint: map[uint64]trial{}, byServer: map[string]trial{}}
}

// grant grants a trial and reports whether it did: not if another attempt has an
// unexpired trial of the fingerprint or on the backend server.
func (t *trialTable) grant(m trialMsg, now time.Time, timeout time.Duration) bool {
	isFree := func(held trial, ok bool) bool {
		return !ok || held.attempt == m.Attempt || now.After(held.until)
	}
	f, okF := t.byFingerprint[m.Fingerprint]
	s, okS := t.byServer[m.Server]
	if !isFree(f, okF) || !isFree(s, okS) {
		return false
	}
	granted := trial{attempt: m.Attempt, until: now.Add(timeout)}
	t.byFingerprint[m.Fingerprint] = granted
	t.byServer[m.Server] = granted
	return true
}

// release ends the trial of the attempt.
func (t *trialTable) release(m trialMsg) {
	if t.byFingerprint[m.Fingerprint].attempt == m.Attempt {
		delete(t.byFingerprint, m.Fingerprint)
	}
	if t.byServer[m.Server].attempt == m.Attempt {
		delete(t.byServer, m.Server)
	}
}

// trialPermit is the permit of a content on trial. Its methods must be called by
// one goroutine.
type trialPermit struct {
	q          *Quarantine
	msg        trialMsg
	isReleased bool
}

// Succeeded implements dispatch.Permit. It clears the mark of the content.
func (p *trialPermit) Succeeded() { p.q.clearEverywhere(p.msg.Fingerprint) }

// Release implements dispatch.Permit. It returns the permission to the
// coordinator; only the first call has an effect.
func (p *trialPermit) Release() {
	if p.isReleased {
		return
	}
	p.isReleased = true
	coordinator, ok := p.q.cfg.Coordinator()
	switch {
	case !ok:
	case coordinator.ID == p.q.transport.Self().ID:
		p.q.endTrial(p.msg)
	default:
		_ = p.q.transport.Notify(coordinator, peer.TrialEnd, p.msg)
	}
}

// noopPermit is the permit of a content without a mark.
type noopPermit struct{}

func (noopPermit) Succeeded() {}
func (noopPermit) Release()   {}

package quarantine

import (
	"context"
	"time"

	"buckthornpick/internal/dispatch"
	"buckthornpick/internal/fault"
	"buckthornpick/internal/peer"
	"buckthornpick/internal/wait"
)

// trialPause is the time between two requests for a trial's leave.
const trialRetryInterval = 200 * time.Millisecond

// Permit implements dispatch.Quarantine.
func (q *Quarantine) Permit(ctx context.Context, c dispatch.Crash) (dispatch.Permit, error) {
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

// askForTrial asks the coordinator once. A content that has crashed a server
// does not run without its leave.
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

// trialTable holds the coordinator's leaves: at most one for each fingerprint
// and one for each backend server.
type trialTable struct {
	byFingerprint map[uint64]trial
	byServer      map[string]trial
}

type trial struct {
	attempt string
	until   time.Time
}

func newTrialTable() trialTable {
	return trialTable{byFingerprint: map[uint64]trial{}, byServer: map[string]trial{}}
}

// begin gives leave unless another attempt holds the fingerprint or server.
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

func (t *trialTable) release(m trialMsg) {
	if t.byFingerprint[m.Fingerprint].attempt == m.Attempt {
		delete(t.byFingerprint, m.Fingerprint)
	}
	if t.byServer[m.Server].attempt == m.Attempt {
		delete(t.byServer, m.Server)
	}
}

// trialPermit is the leave for one trial. Its methods are called by one
// goroutine.
type trialPermit struct {
	q          *Quarantine
	msg        trialMsg
	isReleased bool
}

// Answered implements dispatch.Permit.
func (p *trialPermit) Answered() { p.q.clearEverywhere(p.msg.Fingerprint) }

// Release implements dispatch.Permit.
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

// freePermit is the permit of a content without a mark.
type noopPermit struct{}

func (noopPermit) Answered() {}
func (noopPermit) Release()  {}

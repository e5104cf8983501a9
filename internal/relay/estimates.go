package relay

import (
	"time"

	"buckthornpick/internal/capacity"
)

// AnswerReports returns what this entry's recent answers say of servers, by server ID.
func (b *Balancer) AnswerReports() map[string]capacity.Report {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.answers.Reports(b.clock())
}

// EstimateChange is a server whose speed or limit has become known to differ from the usual,
// or no longer differs.
type EstimateChange struct {
	Server string
	capacity.Estimate
}

// SetAnswers sets what the recent answers of the other entries say of servers, and updates
// the speeds and limits of servers whose service states how long work takes there. It returns
// changes, of each server one in minChangeInterval.
func (b *Balancer) SetAnswers(others map[string]capacity.Report) []EstimateChange {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock()
	capacity.AddReports(others, b.answers.Reports(now))
	members := map[string][]capacity.Member{}
	for _, s := range b.servers {
		if !s.Leaving && b.statesSlowness[s.Service] {
			members[s.Service] = append(members[s.Service], capacity.Member{ID: s.ID, Incarnation: s.Incarnation, Slots: s.Slots})
		}
	}
	var changes []EstimateChange
	for service, list := range members {
		estimator, ok := b.estimators[service]
		if !ok {
			estimator = capacity.NewEstimator()
			b.estimators[service] = estimator
		}
		estimator.Update(now, list, others)
		for _, m := range list {
			changes = b.applyEstimateLocked(now, b.servers[m.ID], estimator.Estimate(m.ID), changes)
		}
	}
	for service := range b.estimators {
		if members[service] == nil {
			delete(b.estimators, service)
		}
	}
	return changes
}

// minChangeInterval is the least time between two changes of a server that are told.
const minChangeInterval = 10 * time.Second

// applyEstimateLocked passes an estimate to the server's picker and appends to changes if it
// has begun or ceased to differ from the usual.
func (b *Balancer) applyEstimateLocked(now time.Duration, s *server, e capacity.Estimate, changes []EstimateChange) []EstimateChange {
	previous := s.estimate
	s.estimate = e
	if e == previous {
		return changes
	}
	speed := e.Speed
	if !e.IsUnusual() {
		speed = 0 // what this entry has learned itself counts
	}
	b.pickerLocked(s.Service).ApplyCapacity(s.ID, speed, e.Limit)
	isChange := e.IsUnusual() != previous.IsUnusual() || (e.Limit > 0) != (previous.Limit > 0)
	if isChange && (s.estimateToldAt == 0 || now-s.estimateToldAt >= minChangeInterval) {
		s.estimateToldAt = now
		changes = append(changes, EstimateChange{s.ID, e})
	}
	return changes
}

// Estimate returns what the answers of all entries say of a server.
func (b *Balancer) Estimate(server string) capacity.Estimate {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s, ok := b.servers[server]; ok && s.estimate.Speed > 0 {
		return s.estimate
	}
	return capacity.Estimate{Speed: 1}
}

// RecordAnswer records the time of an answer of a server in milliseconds, or as a multiple of
// what was expected. The slowness that the server states is taken out of it. Answers of
// services whose servers state none are not recorded: they are placed as before.
func (b *Balancer) RecordAnswer(server string, incarnation int64, millis float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.recordAnswerLocked(server, incarnation, millis)
}

func (b *Balancer) recordAnswerLocked(server string, incarnation int64, millis float64) {
	s, ok := b.servers[server]
	if !ok || s.target.Incarnation != incarnation || !b.statesSlowness[s.Service] {
		return
	}
	now := b.clock()
	b.answers.Add(now, s.ID, s.Incarnation, s.ownCalls+s.peerCalls, millis/s.load.Slowness(now))
}

// answerMillis returns the time since the call of c was sent in milliseconds.
func answerMillis(c *choice) float64 { return time.Since(c.sentAt).Seconds() * 1000 }

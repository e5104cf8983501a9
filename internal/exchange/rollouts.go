package exchange

import "buckthornpick/internal/rollout"

// statedRollouts returns the latest statement about roll-outs; nil if there is none.
func (x *Exchange) statedRollouts() *rollout.Message {
	if x.Rollouts == nil {
		return nil
	}
	statement := x.Rollouts.Current(x.Clock())
	if statement == nil {
		return nil
	}
	return &rollout.Message{Statement: statement}
}

// ownRollouts returns the latest statement and, while an order runs, what this entry has
// counted; zoneRollouts the same with the sums of its zone.
func (x *Exchange) ownRollouts() *rollout.Message {
	if x.Rollouts == nil || !x.Rollouts.IsRunning() {
		return x.statedRollouts()
	}
	return withEvidence(x.statedRollouts(), x.Board.Own())
}

func (x *Exchange) zoneRollouts() *rollout.Message {
	if x.Rollouts == nil || !x.Rollouts.IsRunning() {
		return x.statedRollouts()
	}
	return withEvidence(x.statedRollouts(), x.Board.Zone())
}

func withEvidence(m *rollout.Message, e rollout.Evidence) *rollout.Message {
	if len(e) == 0 {
		return m
	}
	if m == nil {
		m = &rollout.Message{}
	}
	m.Evidence = e
	return m
}

// learnRollouts takes in what another entry knows of the orders.
func (x *Exchange) learnRollouts(m *rollout.Message) {
	if x.Rollouts == nil || m == nil || m.Statement == nil {
		return
	}
	for _, o := range x.Rollouts.Learn(x.Clock(), *m.Statement) {
		x.Log.Log(rollout.EvLearned, "service", o.Service, "to", o.To, "phase", o.Phase.String(), "order", o.ID, "age_ms", m.Statement.AgeMillis)
	}
}

// recordEntryEvidence and recordZoneEvidence take in what another entry, or the entries of
// another zone, have counted.
func (x *Exchange) recordEntryEvidence(entry, run string, m *rollout.Message) {
	if x.Board != nil && m != nil {
		x.Board.RecordEntry(entry, run, m.Evidence)
	}
}

func (x *Exchange) recordZoneEvidence(zone, hub string, m *rollout.Message) {
	if x.Board != nil && m != nil && zone != "" {
		x.Board.RecordZone(zone, hub, m.Evidence)
	}
}

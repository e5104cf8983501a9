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

// ownRollouts returns the latest statement and what this entry has counted, zoneRollouts the
// same with the sums of its zone.
func (x *Exchange) ownRollouts() *rollout.Message {
	if x.Rollouts == nil {
		return nil
	}
	return withEvidence(x.statedRollouts(), x.Board.Own())
}

func (x *Exchange) zoneRollouts() *rollout.Message {
	if x.Rollouts == nil {
		return nil
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
	if x.Rollouts != nil && m != nil && m.Statement != nil {
		x.Rollouts.Learn(x.Clock(), *m.Statement)
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

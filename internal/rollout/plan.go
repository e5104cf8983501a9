package rollout

import "time"

const (
	// maxOccupancy is the share of the new servers' places that the service's running
	// requests may take when the old servers stop.
	maxOccupancy = 0.8
	// minCapacity is the number of new servers' places for each place of the old ones that
	// is enough whatever is running.
	minCapacity = 0.9
)

// minSurgeAnswers is the number of answers of the new version before the surge.
const minSurgeAnswers = 12

// Capacity is the room of a service's servers that accept requests.
type Capacity struct {
	// OldSlots and NewSlots are the numbers of requests that the servers of the old and of
	// the new version run at once; Running is the number that run at all of them.
	OldSlots, NewSlots, Running int
}

// carries reports whether the new servers can take over all requests.
func (c Capacity) carries() bool {
	if c.NewSlots == 0 {
		return false
	}
	return float64(c.NewSlots) >= minCapacity*float64(c.OldSlots) || float64(c.Running) <= maxOccupancy*float64(c.NewSlots)
}

// Situation is what the holder knows of an order when it decides.
type Situation struct {
	// Now and Deadline are by the same clock.
	Now, Deadline time.Duration
	Duration      time.Duration
	// IsWithdrawn is true if the order is no longer there or another one has replaced it.
	IsWithdrawn bool
	// HasOld is false if no other version served when the order came.
	HasOld   bool
	Capacity Capacity
	// Evidence holds the answers since the order and, after it, those of recent times; see
	// History.
	Evidence []*OrderEvidence
}

// Step is the decision about an order.
type Step struct {
	Phase   Phase
	Reason  string
	Verdict Verdict
}

// Decide returns the phase that an order is in. Its load: an order under full traffic, whose
// new version is good or bad in any of the ways that Judge names, whose servers come late,
// are too few or never come. An outcome is final; the caller must not ask again.
//
// Callers of a service whose old servers have stopped have nothing else if the new ones are
// bad, and nothing to lose if the old ones stay. So what is not seen to be good by the
// deadline is rolled back.
func Decide(b Bounds, s Situation) Step {
	v := judgeAll(s.Evidence)
	if s.IsWithdrawn {
		return Step{PhaseRolledBack, "the order was withdrawn", v}
	}
	if v.IsBad {
		return Step{PhaseRolledBack, v.Reason, v}
	}
	outcomeAt := s.Deadline - b.margin(s.Duration)
	isPromising := v.NewAnswers >= minSurgeAnswers && !v.IsSuspect || !s.HasOld
	isGood := v.IsTested && !v.IsSuspect || !s.HasOld
	switch {
	case s.Now < s.Deadline-time.Duration((1-surgeAt)*float64(s.Duration)), s.Now < outcomeAt && !(isPromising && s.Capacity.carries()):
		return Step{PhaseTrial, "", v}
	case s.Now < outcomeAt-b.handOverSpan(s.Duration), s.Now < outcomeAt && !isGood:
		return Step{PhaseSurge, "", v}
	case s.Now < outcomeAt:
		return Step{PhaseHandOver, "", v}
	case s.Capacity.NewSlots == 0:
		return Step{PhaseRolledBack, "no server of the version accepts requests", v}
	case !s.Capacity.carries():
		return Step{PhaseRolledBack, "the servers of the version are too few for the load", v}
	case v.IsSuspect:
		return Step{PhaseRolledBack, v.Reason, v}
	case !isGood:
		return Step{PhaseRolledBack, "too few answers to tell", v}
	}
	return Step{PhaseCompleted, "no worse than before", v}
}

// judgeAll returns the verdict about all answers, or a worse one about recent answers.
func judgeAll(views []*OrderEvidence) Verdict {
	var all Verdict
	for i, view := range views {
		v := Judge(view)
		if i == 0 {
			all = v
			continue
		}
		if v.IsBad && !all.IsBad {
			all.IsBad, all.Deviations, all.Reason = true, v.Deviations, v.Reason
		}
	}
	return all
}

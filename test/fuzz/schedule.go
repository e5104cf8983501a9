package fuzz

import (
	"fmt"
	"strings"
	"time"

	"pgregory.net/rapid"
)

// Action is what a step does.
type Action string

// Actions of callers, operators, the platform, the store, the network and
// processes.
const (
	actSend          Action = "send"
	actSendMany      Action = "send-many"
	actResend        Action = "resend"
	actHangUp        Action = "hang-up"
	actAttach        Action = "attach"
	actEdit          Action = "edit"
	actEditRace      Action = "edit-race"
	actEditAgain     Action = "edit-again"
	actReclaimServer Action = "reclaim-server"
	actReclaimEntry  Action = "reclaim-entry"
	actReclaimZone   Action = "reclaim-zone"
	actStartServers  Action = "start-servers"
	actStartEntry    Action = "start-entry"
	actStop          Action = "stop"
	actStoreOutage   Action = "store-outage"
	actStoreLapse    Action = "store-outage-lapsing-leases"
	actStoreSlow     Action = "store-slow"
	actStoreLose     Action = "store-lose-answers"
	actStoreLate     Action = "store-late-writes"
	actStoreHeal     Action = "store-heal"
	actCloudOutage   Action = "cloud-outage"
	actCloudHeal     Action = "cloud-heal"
	actCutZones      Action = "cut-zones"
	actCutPlatform   Action = "cut-zone-from-platform"
	actIsolate       Action = "isolate-zone"
	actCutEntry      Action = "cut-entry"
	actPauseEntry    Action = "pause-entry"
	actHealNetwork   Action = "heal-network"
	actKillEntry     Action = "kill-entry"
	actRestartEntry  Action = "restart-entry"
	actStopAndKill   Action = "kill-during-stop"
	actCrashServer   Action = "crash-server"
	actRestartServer Action = "restart-servers"
	actKillServer    Action = "kill-server"
	actTruncate      Action = "truncate-answers"
	actLoseAnswers   Action = "lose-answers"
	actRefuse        Action = "refuse-requests"
	actStall         Action = "stall-server"
	actRepeatEvents  Action = "repeat-events"
	actServersHeal   Action = "heal-servers"
)

// callerActions are drawn for about half of the steps.
var callerActions = []Action{
	actSend, actSend, actSend, actSend, actSendMany, actResend, actResend, actResend, actHangUp, actAttach, actAttach,
}

// gracefulActions are changes, planned stops and reclaims with notice. Accepted
// requests must survive all of them.
var gracefulActions = []Action{
	actEdit, actEditRace, actEditAgain, actReclaimServer, actReclaimEntry, actReclaimZone,
	actStartServers, actStartEntry, actStop,
}

// disruptiveActions are all faults and the graceful actions. They may overlap or be
// repeated at any time.
var disruptiveActions = append([]Action{
	actStoreOutage, actStoreLapse, actStoreSlow, actStoreLose, actStoreLate, actStoreHeal, actStoreHeal,
	actCloudOutage, actCloudHeal, actCutZones, actCutPlatform, actIsolate, actCutEntry, actPauseEntry, actPauseEntry,
	actHealNetwork, actHealNetwork, actKillEntry, actKillEntry, actRestartEntry, actStopAndKill,
	actCrashServer, actRestartServer, actKillServer, actTruncate, actLoseAnswers, actRefuse, actStall,
	actRepeatEvents, actServersHeal, actServersHeal,
}, gracefulActions...)

// Step is one action after a wait. A, B and C select the objects and parameters of
// the action from those that exist when it is performed.
type Step struct {
	// Number is the position in the schedule before it was shrunk.
	Number  int
	Wait    time.Duration
	Action  Action
	A, B, C int
}

// Schedule is the size of the site and the sequence of steps of one history.
type Schedule struct {
	// Zones holds the number of entry nodes of each zone.
	Zones []int
	// IsGraceful is true if the schedule has no faults, only planned stops and
	// reclaims with notice.
	IsGraceful bool
	Steps      []Step
}

// maxSelector is the greatest value of A, B and C of a step.
const maxSelector = 1 << 16

// Schedules generates schedules with the given number of steps.
func Schedules(steps int) *rapid.Generator[Schedule] {
	return rapid.Custom(func(t *rapid.T) Schedule {
		s := Schedule{
			Zones:      rapid.SliceOfN(rapid.IntRange(1, 2), 2, 3).Draw(t, "zones"),
			IsGraceful: rapid.IntRange(0, 3).Draw(t, "calm") == 0,
		}
		others := disruptiveActions
		if s.IsGraceful {
			others = gracefulActions
		}
		for i := range steps {
			step := drawStep(t, others)
			step.Number = i
			s.Steps = append(s.Steps, step)
		}
		return s
	})
}

// stepWaits are the waits between steps, from none to longer than a lease.
var stepWaits = []time.Duration{
	0, time.Millisecond, 5 * time.Millisecond, 30 * time.Millisecond, 120 * time.Millisecond,
	300 * time.Millisecond, 300 * time.Millisecond, 700 * time.Millisecond, 1500 * time.Millisecond,
	3500 * time.Millisecond, 12 * time.Second,
}

func drawStep(t *rapid.T, otherActions []Action) Step {
	actions := callerActions
	if rapid.Bool().Draw(t, "other") {
		actions = otherActions
	}
	selector := rapid.IntRange(0, maxSelector)
	return Step{
		Wait: rapid.SampledFrom(stepWaits).Draw(t, "wait"), Action: rapid.SampledFrom(actions).Draw(t, "action"),
		A: selector.Draw(t, "a"), B: selector.Draw(t, "b"), C: selector.Draw(t, "c"),
	}
}

// GenerateSchedule returns the schedule of a seed.
func GenerateSchedule(seed uint64, steps int) Schedule { return Schedules(steps).Example(int(seed)) }

// String formats the schedule with one step per line.
func (s Schedule) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "zones %v, calm %t\n", s.Zones, s.IsGraceful)
	for _, step := range s.Steps {
		fmt.Fprintf(&b, "%3d  +%-8v %-28s %5d %5d %5d\n", step.Number, step.Wait, step.Action, step.A, step.B, step.C)
	}
	return b.String()
}

// without returns the schedule without the steps [from, to).
func (s Schedule) without(from, to int) Schedule {
	out := s
	out.Steps = append(append([]Step{}, s.Steps[:from]...), s.Steps[to:]...)
	return out
}

// Shrink removes steps from the schedule as long as fails returns true for the rest.
// It tries at most budget schedules.
func Shrink(s Schedule, budget int, fails func(Schedule) bool) Schedule {
	for size := max(len(s.Steps)/2, 1); size > 0; size /= 2 {
		for from := 0; from+size <= len(s.Steps) && budget > 0; budget-- {
			if smaller := s.without(from, from+size); fails(smaller) {
				s = smaller
			} else {
				from += size
			}
		}
	}
	return s
}

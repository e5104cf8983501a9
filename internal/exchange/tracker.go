package exchange

import (
	"slices"
	"time"

	"buckthornpick/internal/capacity"
	"buckthornpick/internal/peer"
	"buckthornpick/internal/quota"
	"buckthornpick/internal/relay"
	"buckthornpick/internal/usage"
)

// silenceTimeout is the time without a message after which an entry counts as
// unreachable. It exceeds the time between two messages, and is short because
// until it ends both sides of a network partition spend the whole quota.
const silenceTimeout = time.Second

// entryTracker tracks the other entries of the site by their messages and
// registrations. It is not safe for concurrent use.
type entryTracker struct {
	// unregisteredGrace is the time after the last message or registration of an
	// entry during which it may still spend from quotas, or its earlier spending
	// still counts.
	unregisteredGrace time.Duration
	// states are by the ID of the entry.
	states map[string]*entryState
	// registered is the time at which each entry was last registered. A large site
	// needs it because most entries send no messages to this one directly.
	registered map[string]time.Duration
	// left holds the entries whose last message said that they leave.
	left map[string]bool
}

// entryState is the latest state that another entry has sent to this one.
type entryState struct {
	receivedAt time.Duration
	run        string
	loads      map[string]relay.Load
	answers    map[string]capacity.Report
	prefill    map[string]relay.PrefillStats
	usage      usage.WindowCounts
	// isLeaving is set by the last message of an entry that stops.
	isLeaving bool
	// isReachable is the result of the last evaluate.
	isReachable bool
}

func newEntryTracker(unregisteredGrace time.Duration) *entryTracker {
	return &entryTracker{unregisteredGrace: unregisteredGrace, states: map[string]*entryState{}, registered: map[string]time.Duration{}, left: map[string]bool{}}
}

// recordState stores the state of an entry. It reports whether the entry has
// already sent a state in the same run of its process.
func (t *entryTracker) recordState(id string, now time.Duration, m *stateMessage) (isKnownRun bool) {
	state, ok := t.states[id]
	if !ok {
		state = &entryState{}
		t.states[id] = state
	}
	isKnownRun = ok && state.run == m.Run
	if !isKnownRun {
		state.prefill, state.usage = nil, nil // of the former run
	}
	state.receivedAt, state.run, state.loads, state.isLeaving, state.answers = now, m.Run, m.Loads, m.IsLeaving, m.Answers
	delete(t.left, id)
	if m.IsLeaving {
		t.left[id] = true
	}
	if m.Prefill != nil {
		state.prefill = m.Prefill
	}
	if m.Usage != nil {
		state.usage = m.Usage
	}
	return isKnownRun
}

// reachabilityChange is the change of an entry to reachable or unreachable.
type reachabilityChange struct {
	id          string
	isReachable bool
	// age is the time since the latest message of the entry.
	age time.Duration
}

// evaluate counts the entries of the site and those that this entry receives
// messages from, and returns the changes of reachability since the last call;
// registered holds the IDs of the other registered entries.
//
// An entry that lost its registration without sending a last message may still
// serve on the other side of a network partition, so it keeps its share of the
// quotas for unregisteredGrace. With hubs this also holds for an entry that never
// sent a message to this one, from its last registration on.
func (t *entryTracker) evaluate(now time.Duration, registered []string, usesHubs bool) (quota.Site, []reachabilityChange) {
	site := quota.Site{Entries: 1 + len(registered), Reachable: 1}
	var changes []reachabilityChange
	isRegistered := map[string]bool{}
	for _, id := range registered {
		isRegistered[id] = true
		t.registered[id] = now
		state := t.states[id]
		if state == nil {
			continue
		}
		isReachable := now-state.receivedAt < silenceTimeout
		if isReachable {
			site.Reachable++
		}
		if state.isReachable != isReachable {
			state.isReachable = isReachable
			changes = append(changes, reachabilityChange{id, isReachable, now - state.receivedAt})
		}
	}
	for id, state := range t.states {
		age := now - state.receivedAt
		switch {
		case isRegistered[id]:
		case state.isLeaving && age >= silenceTimeout, age >= t.unregisteredGrace:
			delete(t.states, id)
		case !state.isLeaving:
			site.Entries++
		}
	}
	for id, registeredAt := range t.registered {
		switch {
		case now-registeredAt >= t.unregisteredGrace:
			delete(t.registered, id)
			delete(t.left, id)
		case usesHubs && !isRegistered[id] && t.states[id] == nil:
			site.Entries++
		}
	}
	return site, changes
}

// unregistered returns the IDs of the entries that were registered less than the given
// time ago, are not among the registered ones now, and have not said that they leave.
func (t *entryTracker) unregistered(now, within time.Duration, registered []peer.Node) []string {
	var ids []string
	for id, at := range t.registered {
		if now-at < within && !t.left[id] && !slices.ContainsFunc(registered, func(n peer.Node) bool { return n.ID == id }) {
			ids = append(ids, id)
		}
	}
	return ids
}

// reachableLoads returns the number of requests that the reachable entries run at
// each backend server.
func (t *entryTracker) reachableLoads() map[string]int {
	running := map[string]int{}
	for _, state := range t.states {
		if !state.isReachable {
			continue
		}
		for server, load := range state.loads {
			running[server] += load.Running
		}
	}
	return running
}

// reachableAnswers returns what the recent answers of the reachable entries say of servers.
func (t *entryTracker) reachableAnswers() map[string]capacity.Report {
	sum := map[string]capacity.Report{}
	for _, state := range t.states {
		if state.isReachable {
			capacity.AddReports(sum, state.answers)
		}
	}
	return sum
}

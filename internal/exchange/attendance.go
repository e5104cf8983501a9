package exchange

import (
	"time"

	"buckthornpick/internal/quota"
	"buckthornpick/internal/relay"
	"buckthornpick/internal/usage"
)

// silence after which an entry is out of touch: longer than the time between
// two messages, and short, since until then both sides of a cut spend the whole
// quota.
const silence = time.Second

// attendance is what is known of the other entries by their messages. It is not
// safe for concurrent use.
type attendance struct {
	// mayServe is how long an entry that is out of touch may still spend from
	// quotas, or what it spent still counts, after it was last heard.
	mayServe time.Duration
	states   map[string]*entryState
	// registered is when each entry of a large site was last registered; most of
	// them are not heard from directly.
	registered map[string]time.Duration
}

// entryState is what is known of another entry.
type entryState struct {
	at    time.Duration
	run   string
	loads map[string]relay.Load
	work  map[string]relay.PrefillStats
	usage usage.WindowCounts
	// isLeaving is set by the last message of an entry that stops.
	isLeaving bool
	isInTouch bool
}

func newAttendance(mayServe time.Duration) *attendance {
	return &attendance{mayServe: mayServe, states: map[string]*entryState{}, registered: map[string]time.Duration{}}
}

// heard takes a message of an entry and reports whether its run was known.
func (a *attendance) heard(id string, now time.Duration, m *state) (isKnown bool) {
	known, ok := a.states[id]
	if !ok {
		known = &entryState{}
		a.states[id] = known
	}
	isKnown = ok && known.run == m.Run
	known.at, known.run, known.loads, known.isLeaving = now, m.Run, m.Loads, m.IsLeaving
	if m.Work != nil {
		known.work = m.Work
	}
	if m.Usage != nil {
		known.usage = m.Usage
	}
	return isKnown
}

// touch is a change of what is believed of an entry.
type touch struct {
	id      string
	inTouch bool
	age     time.Duration
}

// judge counts the site's entries, and returns which came into touch or went
// out of it; registered names the others in the registry. An entry that lost its
// registration without a last message may still serve beyond a cut, so its part
// of the quotas is left to it for a while; in a large site from its registration
// on, since it may not have been heard from directly.
func (a *attendance) judge(now time.Duration, registered []string, isTree bool) (quota.Site, []touch) {
	site := quota.Site{Entries: 1 + len(registered), Reachable: 1}
	var changes []touch
	isRegistered := map[string]bool{}
	for _, id := range registered {
		isRegistered[id] = true
		a.registered[id] = now
		known := a.states[id]
		if known == nil {
			continue
		}
		inTouch := now-known.at < silence
		if inTouch {
			site.Reachable++
		}
		if known.isInTouch != inTouch {
			known.isInTouch = inTouch
			changes = append(changes, touch{id, inTouch, now - known.at})
		}
	}
	for id, known := range a.states {
		age := now - known.at
		switch {
		case isRegistered[id]:
		case known.isLeaving && age >= silence, age >= a.mayServe:
			delete(a.states, id)
		case !known.isLeaving:
			site.Entries++
		}
	}
	for id, at := range a.registered {
		switch {
		case now-at >= a.mayServe:
			delete(a.registered, id)
		case isTree && !isRegistered[id] && a.states[id] == nil:
			site.Entries++
		}
	}
	return site, changes
}

// loads sums what the entries in touch run at each server.
func (a *attendance) loads() map[string]int {
	sums := map[string]int{}
	for _, known := range a.states {
		if !known.isInTouch {
			continue
		}
		for server, load := range known.loads {
			sums[server] += load.Running
		}
	}
	return sums
}

package experiment

import (
	"math/rand/v2"
	"time"

	"buckthornpick/internal/backend"
	"buckthornpick/internal/config"
	"buckthornpick/internal/route"
)

// policy selects the server of each request. It is implemented by *route.Picker
// and by baseline.
type policy interface {
	SetServers(now time.Time, list []route.Server)
	Pick(q route.Query) (route.Choice, error)
	RecordDispatch(now time.Time, id string, q route.Query)
	RecordFirstToken(now time.Time, id string, took time.Duration, c route.Choice)
	ApplyLoadReport(now time.Time, id string, load backend.Load)
	RecordFinish(now time.Time, id string, q route.Query, usage backend.Usage, ok bool)
	CacheEvents(id string, from, to int64, stored, evicted []uint64, gap bool)
}

// Policy names.
const (
	RoundRobin  = "round-robin"
	LeastLoad   = "least-load"
	SessionHash = "session-hash"
	TwoChoices  = "two-choices"
	// RoutePolicy is route.Picker with the request's context as its only cache
	// hint; RouteBlocksPolicy also gives it the hashes of the prompt's blocks and
	// the engines' cache events.
	RoutePolicy       = "route"
	RouteBlocksPolicy = "route-blocks"
)

// Policies lists the names of all policies, baselines first.
var Policies = []string{RoundRobin, LeastLoad, SessionHash, TwoChoices, RoutePolicy, RouteBlocksPolicy}

// IsBaseline reports whether name is a baseline, that is, not a variant of
// route.Picker.
func IsBaseline(name string) bool { return name != RoutePolicy && name != RouteBlocksPolicy }

func newPolicy(name, entryID, zone string, perServer int, target config.LatencyTarget, weights config.RouteWeights, seed uint64) policy {
	if !IsBaseline(name) {
		return route.NewPicker(route.Config{
			Self: entryID, Zone: zone, MaxConcurrentPerServer: perServer,
			Target: target, Weights: weights, BlockTokens: blockTokens,
		})
	}
	return &baseline{
		name: name, perServer: perServer, rng: rand.New(rand.NewPCG(seed, 77)),
		inFlight: map[string]int{}, reported: map[string]int{},
	}
}

// baseline implements the baseline policies. Each of them enforces the limit on
// concurrent requests per server and sends nothing to servers that are leaving.
type baseline struct {
	name      string
	perServer int
	rng       *rand.Rand
	servers   []route.Server
	inFlight  map[string]int
	reported  map[string]int
	next      int
}

func (b *baseline) SetServers(_ time.Time, list []route.Server) {
	b.servers = b.servers[:0]
	for _, s := range list {
		if s.State == route.Live {
			b.servers = append(b.servers, s)
		}
	}
}

func (b *baseline) Pick(q route.Query) (route.Choice, error) {
	var usable []route.Server
	full := false
	for _, s := range b.servers {
		if q.Exclude != nil && q.Exclude(s.ID) {
			continue
		}
		if b.inFlight[s.ID] >= b.perServer {
			full = true
			continue
		}
		usable = append(usable, s)
	}
	if len(usable) == 0 {
		if full {
			return route.Choice{}, &route.SaturatedError{Service: q.Service}
		}
		return route.Choice{}, &route.NoServerError{Service: q.Service}
	}
	return route.Choice{Server: b.choose(q, usable)}, nil
}

func (b *baseline) choose(q route.Query, usable []route.Server) route.Server {
	switch {
	case b.name == LeastLoad:
		return b.leastLoaded(usable, func(s route.Server) int { return b.reported[s.ID] })
	case b.name == SessionHash && q.Context != 0:
		return rendezvousHash(q.Context, usable)
	case b.name == TwoChoices:
		two := []route.Server{usable[b.rng.IntN(len(usable))], usable[b.rng.IntN(len(usable))]}
		return b.leastLoaded(two, func(s route.Server) int { return b.inFlight[s.ID] })
	default:
		b.next++
		return usable[b.next%len(usable)]
	}
}

// leastLoaded returns a server with the lowest load per accelerator; ties are
// broken at random.
func (b *baseline) leastLoaded(usable []route.Server, load func(route.Server) int) route.Server {
	best, lowest, ties := 0, 0.0, 0
	for i, s := range usable {
		l := float64(load(s)) / float64(max(1, s.Accelerators))
		switch {
		case i == 0 || l < lowest:
			best, lowest, ties = i, l, 1
		case l == lowest:
			ties++
			if b.rng.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return usable[best]
}

// rendezvousHash selects the server by rendezvous hashing, so that few contexts
// move to another server when the list of servers changes.
func rendezvousHash(context uint64, usable []route.Server) route.Server {
	best, top := 0, uint64(0)
	for i, s := range usable {
		h := context
		for _, c := range []byte(s.ID) {
			h = (h ^ uint64(c)) * 0x100000001b3
		}
		h = mixHash(h ^ h>>31)
		if i == 0 || h > top {
			best, top = i, h
		}
	}
	return usable[best]
}

func (b *baseline) RecordDispatch(_ time.Time, id string, _ route.Query) { b.inFlight[id]++ }

func (b *baseline) RecordFirstToken(time.Time, string, time.Duration, route.Choice) {}

func (b *baseline) ApplyLoadReport(_ time.Time, id string, load backend.Load) {
	b.reported[id] = load.Running + load.Waiting
}

func (b *baseline) RecordFinish(_ time.Time, id string, _ route.Query, _ backend.Usage, _ bool) {
	b.inFlight[id] = max(0, b.inFlight[id]-1)
}

func (b *baseline) CacheEvents(string, int64, int64, []uint64, []uint64, bool) {}

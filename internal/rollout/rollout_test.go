package rollout

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// model plays an order at a site in virtual time: entries that send requests, servers of an
// old and a new version, and messages that take a while.
type model struct {
	bounds    Bounds
	entries   int
	perSecond float64
	duration  time.Duration
	servers   int
	// bad returns whether an answer of the new version fails or is slower, by the time since
	// the order, the rule and the requests that the server got in the last second.
	bad func(at time.Duration, rule string, busy float64, luck float64) (isFailure bool, slower float64)
	// boot is the time after the order at which the new servers are registered.
	boot time.Duration
	// broken is the part of its answers that one of the new servers fails.
	broken float64
	// cutFrom is when a third of the entries stop to get statements; 0 is never. restartAt is
	// when all entries start again.
	cutFrom, restartAt time.Duration

	rng *rand.Rand
}

// result is what callers and operators saw of a model.
type result struct {
	outcome                Phase
	reason                 string
	all, exposed, badCount int
	// badAt is the time of the 50th bad answer, lastAt that of the last request to the new
	// version before the outcome.
	badAt, lastAt, outcomeAt time.Duration
}

const (
	modelTick    = 20 * time.Millisecond
	modelMessage = 500 * time.Millisecond
	// modelBad is the number of bad answers from which the time to the roll-back counts.
	modelBad = 50
)

// rules of the model with the rates at which their requests fail at any version, and their
// mean times.
var modelRules = []struct {
	name    string
	failing float64
	millis  float64
}{{"book", 0.004, 15}, {"check", 0.14, 15}, {"list", 0.004, 60}}

func (m *model) play() result {
	service := "app"
	gates, boards := make([]*Gate, m.entries), make([]*Board, m.entries)
	var registered []Server
	for i := range m.servers {
		registered = append(registered, Server{ID: fmt.Sprint("old", i), Service: service, Version: "v1", Slots: 8}, Server{ID: fmt.Sprint("new", i), Service: service, Version: "v2", Slots: 8})
	}
	origin := time.Hour
	present := func(now time.Duration) []Server {
		return slices.DeleteFunc(slices.Clone(registered), func(s Server) bool { return s.Version == "v2" && now < origin+m.boot })
	}
	start := func(i int, now time.Duration) {
		gates[i], boards[i] = NewGate(m.bounds, m.rng.Float64()), NewBoard()
		gates[i].SetServers(now, present(now))
	}
	for i := range gates {
		start(i, origin)
	}
	type sent struct {
		at time.Duration
		s  Statement
	}
	type answer struct {
		at, took      time.Duration
		entry         int
		rule, server  string
		version       string
		isBad, failed bool
	}
	var statements []sent
	answers := map[time.Duration][]answer{}
	total := NewBoard()
	busy := map[string]float64{}
	var history History
	order := OrderState{ID: 7, Seen: 7, Service: service, To: "v2", From: []string{"v1"}, Phase: PhaseHeld}
	res := result{outcome: PhaseHeld}
	end := origin + m.duration
	due := 0.0
	for now := origin; now < end; now += modelTick {
		at := now - origin
		if m.restartAt > 0 && at >= m.restartAt && at < m.restartAt+modelTick {
			for i := range gates {
				start(i, now)
			}
		}
		if m.boot > 0 && at >= m.boot && at < m.boot+modelTick {
			for _, g := range gates {
				g.SetServers(now, registered)
			}
		}
		if now%(200*time.Millisecond) == 0 && !order.Phase.IsFinal() {
			evidence := Evidence{}
			for i, b := range boards {
				total.RecordEntry(fmt.Sprint(i), fmt.Sprint(at < m.restartAt), b.Own())
			}
			evidence.merge(total.Total())
			step := Decide(m.bounds, Situation{
				Now: now - modelMessage, Deadline: end - modelMessage, Duration: m.duration, HasOld: true,
				Capacity: Capacity{OldSlots: 8 * m.servers, NewSlots: 8 * m.servers, Running: m.servers}, Evidence: history.Add(now, evidence[service]),
			})
			order.Phase, res.reason = step.Phase, step.Reason
			if step.Phase.IsFinal() {
				res.outcome, res.outcomeAt = step.Phase, at
			}
			order.LeftMillis = (end - now).Milliseconds()
			statements = append(statements, sent{now, Statement{Token: 1, Number: int64(now), Entries: m.entries, Orders: []OrderState{order}}})
		}
		for len(statements) > 0 && now-statements[0].at >= modelMessage {
			for i, g := range gates {
				if m.cutFrom > 0 && at >= m.cutFrom && i%3 == 0 {
					continue
				}
				s := statements[0].s
				s.AgeMillis = modelMessage.Milliseconds()
				g.Learn(now, s)
			}
			statements = statements[1:]
		}
		for server, n := range busy {
			busy[server] = n * math.Exp(-modelTick.Seconds())
		}
		for due += m.perSecond * modelTick.Seconds(); due >= 1; due-- {
			entry, rule := m.rng.IntN(m.entries), modelRules[m.rng.IntN(len(modelRules))]
			route := gates[entry].Choose(now, service, m.rng.Float64())
			version := "v1"
			if route.Versions["v2"] && (route.IsExposed || order.Phase == PhaseCompleted) {
				version = "v2"
			}
			var candidates []string
			for _, s := range registered {
				if s.Version == version && !route.Excluded[s.ID] {
					candidates = append(candidates, s.ID)
				}
			}
			server := candidates[m.rng.IntN(len(candidates))]
			busy[server]++
			a := answer{entry: entry, rule: rule.name, server: server, version: version, failed: m.rng.Float64() < rule.failing}
			slower := 1.0
			res.all++
			if version == "v2" {
				res.exposed++
				res.lastAt = at
				var isFailure bool
				isFailure, slower = m.bad(at, rule.name, busy[server], m.rng.Float64())
				a.isBad, a.failed = isFailure || slower > 1, a.failed || isFailure
				a.failed = a.failed || server == "new0" && m.rng.Float64() < m.broken
			}
			millis := rule.millis * math.Exp(0.5*m.rng.NormFloat64()) * slower
			if m.rng.Float64() < 0.15 {
				millis *= 2.5
			}
			a.took = time.Duration(millis * float64(time.Millisecond))
			a.at = (now + a.took).Truncate(modelTick) + modelTick
			answers[a.at] = append(answers[a.at], a)
		}
		for _, a := range answers[now] {
			(&Recorder{Gate: gates[a.entry], Board: boards[a.entry]}).Record(service, a.rule, a.version, a.server, a.took, a.failed)
			if a.isBad {
				if res.badCount++; res.badCount == modelBad {
					res.badAt = at
				}
			}
		}
		delete(answers, now)
	}
	return res
}

func good(time.Duration, string, float64, float64) (bool, float64) { return false, 1 }

// failsIn and slowIn are versions that are bad in a part of their answers.
func failsIn(part float64) func(time.Duration, string, float64, float64) (bool, float64) {
	return func(_ time.Duration, _ string, _, luck float64) (bool, float64) { return luck < part, 1 }
}

func slowIn(part, times float64) func(time.Duration, string, float64, float64) (bool, float64) {
	return func(_ time.Duration, _ string, _, luck float64) (bool, float64) {
		if luck < part {
			return false, times
		}
		return false, 1
	}
}

type badness = func(time.Duration, string, float64, float64) (bool, float64)

// from makes a version bad only late, under one rule or on busy servers.
func from(late time.Duration, b badness) badness {
	return func(at time.Duration, rule string, busy, luck float64) (bool, float64) {
		if at < late {
			return false, 1
		}
		return b(at, rule, busy, luck)
	}
}

func under(name string, b badness) badness {
	return func(at time.Duration, rule string, busy, luck float64) (bool, float64) {
		if rule != name {
			return false, 1
		}
		return b(at, rule, busy, luck)
	}
}

func busier(limit float64, b badness) badness {
	return func(at time.Duration, rule string, busy, luck float64) (bool, float64) {
		if busy < limit {
			return false, 1
		}
		return b(at, rule, busy, luck)
	}
}

var testBounds = Bounds{Share: 0.1, Slack: 50, Rollback: 5 * time.Second}

// sites are numbers of entries, and of requests a second and servers of the service.
var sites = []struct {
	entries   int
	perSecond float64
	servers   int
}{{1, 90, 3}, {6, 120, 3}, {70, 390, 20}, {109, 500, 60}}

func requireBounded(t *testing.T, m *model, r result) {
	t.Helper()
	require.LessOrEqual(t, float64(r.exposed), m.bounds.Share*float64(r.all)+m.bounds.Slack, "%+v", r)
	if r.badCount >= modelBad && r.outcome == PhaseRolledBack {
		require.LessOrEqual(t, r.lastAt, r.badAt+m.bounds.Rollback, "%+v", r)
	}
}

func TestBadVersionsAreRolledBackWithinTheirBounds(t *testing.T) {
	half := 15 * time.Second
	for name, bad := range map[string]badness{
		"fails": failsIn(0.3), "fails wholly": failsIn(1), "slow": slowIn(0.5, 5), "slow wholly": slowIn(1, 3),
		"fails late": from(half, failsIn(0.3)), "slow late": from(half, slowIn(0.6, 5)),
		"fails under one rule": under("book", failsIn(0.4)), "slow under one rule": under("list", slowIn(0.8, 4)),
		"fails beside other failures": under("check", failsIn(0.5)), "fails under load": busier(6, failsIn(0.5)),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for i, site := range sites {
				m := &model{bounds: testBounds, entries: site.entries, perSecond: site.perSecond, servers: site.servers, duration: 30 * time.Second, bad: bad, rng: rand.New(rand.NewPCG(uint64(i), 1))}
				r := m.play()
				t.Logf("%d entries: %+v", site.entries, r)
				requireBounded(t, m, r)
				require.Equal(t, PhaseRolledBack, r.outcome, "%d entries: %+v", site.entries, r)
			}
		})
	}
}

func TestGoodVersionsAreCompletedDespiteNoise(t *testing.T) {
	runs := 20
	if testing.Short() {
		runs = 6
	}
	wrong := 0
	for i := range runs {
		site := sites[1+i%3]
		m := &model{bounds: testBounds, entries: site.entries, perSecond: site.perSecond, servers: site.servers, duration: 30 * time.Second, bad: good, rng: rand.New(rand.NewPCG(uint64(i), 2))}
		if i%2 == 0 {
			m.broken = 0.4
		}
		if i%4 == 1 {
			m.duration, m.boot = 12*time.Second, 3*time.Second
		}
		r := m.play()
		requireBounded(t, m, r)
		if r.outcome != PhaseCompleted {
			t.Logf("run %d, %d entries: %+v", i, site.entries, r)
			wrong++
		}
	}
	require.LessOrEqual(t, wrong, runs/20)
}

func TestExposureHoldsWithEntriesCutOffAndRestarted(t *testing.T) {
	for i, site := range sites {
		m := &model{
			bounds: testBounds, entries: site.entries, perSecond: site.perSecond, servers: site.servers, duration: 30 * time.Second, bad: failsIn(0.2),
			cutFrom: 5 * time.Second, restartAt: 8 * time.Second, rng: rand.New(rand.NewPCG(uint64(i), 3)),
		}
		r := m.play()
		t.Logf("%+v", r)
		requireBounded(t, m, r)
		require.NotEqual(t, PhaseCompleted, r.outcome, "%+v", r)
	}
}

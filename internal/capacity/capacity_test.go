package capacity

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestContradictingServerIsDistrustedForLonger(t *testing.T) {
	s := Server{}
	now := time.Second
	full, roomy := Statement{Running: 6, Slots: 6, Slowness: 1}, Statement{Slots: 6, Slowness: 1}
	require.False(t, s.RecordTurnedAway(now, full))
	require.True(t, s.IsCheckable(now))
	require.True(t, s.RecordTurnedAway(now, roomy))
	require.False(t, s.RecordTurnedAway(now, roomy), "it is no news")
	require.False(t, s.IsCheckable(now+minDistrust-1))
	now += minDistrust
	require.True(t, s.IsCheckable(now))
	require.True(t, s.RecordTurnedAway(now, roomy))
	require.False(t, s.IsCheckable(now+minDistrust))
	for range 10 {
		now += maxDistrust
		s.RecordTurnedAway(now, roomy)
	}
	require.True(t, s.IsCheckable(now+maxDistrust))
}

func TestChecksOfSilentServerPause(t *testing.T) {
	s := Server{}
	require.True(t, s.RecordCheck(0, false))
	require.False(t, s.IsCheckable(minCheckPause-1))
	require.False(t, s.RecordCheck(minCheckPause, false), "it is no news")
	require.False(t, s.IsCheckable(2*minCheckPause))
	require.True(t, s.IsCheckable(3*minCheckPause))
	s.RecordCheck(3*minCheckPause, true)
	require.True(t, s.RecordCheck(4*minCheckPause, false))
}

func TestSlownessIsForgotten(t *testing.T) {
	s := Server{}
	require.Equal(t, 1.0, s.Slowness(0))
	s.Record(time.Second, Statement{Slowness: 3})
	require.Equal(t, 3.0, s.Slowness(time.Second))
	require.InDelta(t, 2, s.Slowness(time.Second+slownessMemory/2), 0.01)
	require.Equal(t, 1.0, s.Slowness(time.Second+slownessMemory))
}

// model is a service of a few servers, whose load many entries put there. Work takes longer
// at random times, and beyond a server's knee.
type model struct {
	rng     *rand.Rand
	servers []modelServer
	// told are the loads that entries have heard of, and toldAt when they did.
	told   []int
	toldAt time.Duration
}

type modelServer struct {
	slots, knee int
	speed       float64
	// learned is the speed that entries know, 1 unless they have learned it.
	learned float64
	// lie replaces the server's statements; nil for true ones.
	lie      func(Statement) Statement
	slowness float64
	spans    [][2]time.Duration
	checks   int
	known    Server
}

const (
	modelWork     = 60 * time.Millisecond
	modelTarget   = 300 * time.Millisecond
	modelLag      = 300 * time.Millisecond
	modelPeriod   = 600 * time.Millisecond
	modelSpread   = 0.5
	modelSlowed   = 2.5
	modelRequests = 20000
)

// running returns the requests that run at a time, which may lie up to modelDelay before
// the latest arrival.
func (s *modelServer) running(now time.Duration) int {
	s.spans = slices.DeleteFunc(s.spans, func(span [2]time.Duration) bool { return span[1] < now-modelDelay })
	n := 0
	for _, span := range s.spans {
		if span[0] <= now && now < span[1] {
			n++
		}
	}
	return n
}

func (s *modelServer) state(now time.Duration) Statement {
	stated := Statement{Running: s.running(now), Slots: s.slots, Slowness: s.slowness}
	if s.lie != nil {
		stated = s.lie(stated)
	}
	return stated
}

// run returns when a request that arrives now is answered, and false if it is turned away.
func (m *model) run(s *modelServer, now time.Duration) (time.Duration, bool) {
	running := s.running(now)
	if running >= s.slots {
		s.known.RecordTurnedAway(now, s.state(now))
		return 0, false
	}
	took := float64(modelWork) * s.speed * s.slowness * math.Exp(modelSpread*m.rng.NormFloat64()-modelSpread*modelSpread/2)
	if running >= s.knee {
		took *= float64(running+1) / float64(s.knee)
	}
	end := now + time.Duration(took)
	s.spans = append(s.spans, [2]time.Duration{now, end})
	return end, true
}

// checked selects a server as the relay does: the less loaded one of two by what entries
// have heard, and others if it does not take the request well when it is asked.
func (m *model) checked(now time.Duration) int {
	order := m.rng.Perm(len(m.servers))
	if m.cost(order[1]) < m.cost(order[0]) {
		order[0], order[1] = order[1], order[0]
	}
	list, asked := make([]Candidate, 0, len(order)), make([]int, 0, len(order))
	for _, i := range order[:min(len(order), 1+MaxAlternatives)] {
		s := &m.servers[i]
		if !s.known.IsCheckable(now) {
			if len(list) == 0 {
				return i
			}
			continue
		}
		c := Candidate{Latency: float64(modelWork.Milliseconds()) * s.learned, Stated: s.state(now), Limit: s.knee}
		c.IsKnown = true
		s.checks++
		list, asked = append(list, c), append(asked, i)
		if len(list) == 1 && c.TakesWell() {
			return i
		}
	}
	return asked[Choose(list)]
}

// cost is that of a server to a picker that has heard of its load.
func (m *model) cost(i int) float64 { return float64(30+m.told[i]) * m.servers[i].learned }

func (m *model) twoChoices(time.Duration) int {
	a, b := m.rng.IntN(len(m.servers)), m.rng.IntN(len(m.servers))
	if m.told[b] < m.told[a] {
		return b
	}
	return a
}

func (m *model) leastTold(time.Duration) int {
	best := 0
	for i := range m.told {
		if m.told[i] < m.told[best] {
			best = i
		}
	}
	return best
}

// modelDelay is the time between the answer to a question and the arrival of the request.
const modelDelay = 2 * time.Millisecond

// play sends requests at a rate in requests a second and returns the shares that were
// turned away at first and that were answered late or not at all. A request that is turned
// away is sent once more.
func (m *model) play(perSecond float64, pick func(time.Duration) int) (turnedAway, late float64) {
	now, changeAt := time.Duration(0), time.Duration(0)
	m.told = make([]int, len(m.servers))
	for range modelRequests {
		now += time.Duration(m.rng.ExpFloat64() / perSecond * float64(time.Second))
		if now >= m.toldAt+modelLag {
			for i := range m.servers {
				m.told[i] = m.servers[i].running(now)
			}
			m.toldAt = now
		}
		for ; changeAt <= now; changeAt += modelPeriod {
			for i := range m.servers {
				m.servers[i].slowness = 1
				if m.rng.Float64() < 0.15 {
					m.servers[i].slowness = modelSlowed
				}
			}
		}
		end, ok := m.run(&m.servers[pick(now-modelDelay)], now)
		if !ok {
			turnedAway++
			end, ok = m.run(&m.servers[m.rng.IntN(len(m.servers))], now)
		}
		if !ok || end-now > modelTarget {
			late++
		}
	}
	return turnedAway / modelRequests, late / modelRequests
}

func newModel(servers ...modelServer) *model {
	return &model{rng: rand.New(rand.NewPCG(1, 2)), servers: servers}
}

func threeServers(change func(i int, s *modelServer)) *model {
	m := newModel(make([]modelServer, 3)...)
	for i := range m.servers {
		m.servers[i] = modelServer{slots: 6, knee: 6, speed: 1, learned: 1, slowness: 1}
		change(i, &m.servers[i])
	}
	return m
}

// TestCallersOfFewServersGetBetterAnswers plays 127 requests a second of many entries at
// three servers, and compares what callers get.
func TestCallersOfFewServersGetBetterAnswers(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func(i int, s *modelServer)
		// turnedAway and late are the largest shares of today's.
		turnedAway, late float64
	}{
		{"alike", func(int, *modelServer) {}, 0.25, 0.5},
		{"one is three times slower", func(i int, s *modelServer) { s.speed = 1 + 2*float64(i/2) }, 0.5, 0.9},
		{"one is three times slower, which is learned", func(i int, s *modelServer) { s.speed = 1 + 2*float64(i/2); s.learned = s.speed }, 0.25, 0.4},
		{"slow down before they are full", func(_ int, s *modelServer) { s.knee = 4 }, 0.25, 0.5},
		{"one always states that it is idle", func(i int, s *modelServer) {
			if i == 0 {
				s.lie = func(Statement) Statement { return Statement{Slots: 6, Slowness: 1} }
			}
		}, 1, 1},
		{"one always states that it is full", func(i int, s *modelServer) {
			if i == 0 {
				s.lie = func(Statement) Statement { return Statement{Running: 6, Slots: 6, Slowness: 20} }
			}
		}, 1, 1.25},
	} {
		t.Run(tc.name, func(t *testing.T) {
			today, least, checked := threeServers(tc.change), threeServers(tc.change), threeServers(tc.change)
			away0, late0 := today.play(127, today.twoChoices)
			away1, late1 := least.play(127, least.leastTold)
			away, late := checked.play(127, checked.checked)
			asked := checked.servers[0].checks + checked.servers[1].checks + checked.servers[2].checks
			t.Logf("turned away / late: two choices %.3f %.3f, least loaded %.3f %.3f, checked %.3f %.3f, asked %.2f a request",
				away0, late0, away1, late1, away, late, float64(asked)/modelRequests)
			require.LessOrEqual(t, away, tc.turnedAway*away0)
			require.LessOrEqual(t, late, tc.late*late0)
		})
	}
}

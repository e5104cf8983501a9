package exchange

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"buckthornpick/internal/capacity"
	"buckthornpick/internal/follow"
	"buckthornpick/internal/upstream"
)

const answeringServers = 9

// recordAnswers records answers at entries for some time, of which each server gives ten a
// second; s0 takes slowdown times as long as the others. Entries for which isOld is true
// report none, as those of a former version.
func (s *testSite) recordAnswers(span time.Duration, slowdown float64, isOld func(id string) bool) {
	const step = 100 * time.Millisecond
	next := 0
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(step) {
		for server := range answeringServers {
			next++
			e := s.entries[s.nodes[next*7%len(s.nodes)].ID]
			millis := 60.0
			if server == 0 {
				millis *= slowdown
			}
			if e != nil && !isOld(e.self.ID) {
				e.Balancer.RecordAnswer(fmt.Sprint("s", server), 1, millis)
			}
		}
	}
}

func TestAllEntriesOfLargeSiteLearnSlowServer(t *testing.T) {
	withTestSite(t, 8, func(s *testSite) {
		var servers []follow.Server
		for i := range answeringServers {
			servers = append(servers, follow.Server{ID: fmt.Sprint("s", i), Service: "app", Incarnation: 1, Slots: 6})
		}
		usual, ok := capacity.NewStatement(1, 0, 6, 1)
		require.True(t, ok)
		for _, e := range s.entries {
			e.Balancer.SetServers(servers)
			e.Balancer.RecordLoad(upstream.Target{ID: "s0", Incarnation: 1}, usual, false)
		}
		requireSpeeds := func(isSlow bool) {
			t.Helper()
			for id, e := range s.entries {
				require.Equal(t, isSlow, e.Balancer.Estimate("s0").Speed > 1.5, "%s: %v", id, e.Balancer.Estimate("s0"))
				for i := 1; i < answeringServers; i++ {
					require.Equal(t, 1.0, e.Balancer.Estimate(fmt.Sprint("s", i)).Speed, "%s", id)
				}
			}
		}
		none, half := func(string) bool { return false }, func(id string) bool { return (id[0]+id[2])%2 == 0 }
		time.Sleep(settleTime)
		s.recordAnswers(3*time.Second, 1, none)
		requireSpeeds(false)
		s.recordAnswers(2*time.Second+settleTime, 4, none)
		requireSpeeds(true)
		for _, id := range s.hubs("b") {
			s.kill(id)
		}
		s.recordAnswers(4*time.Second, 4, none)
		requireSpeeds(true)
		s.recordAnswers(5*time.Second, 1, none)
		requireSpeeds(false)
		s.recordAnswers(5*time.Second, 4, half)
		requireSpeeds(true)
	})
}

func TestAnswersTakeFewBytes(t *testing.T) {
	answers := capacity.NewAnswers()
	for server := range 63 {
		for range 8 {
			answers.Add(time.Second, fmt.Sprintf("i-%010x", server), time.Now().UnixMilli()+int64(server), 20, 80)
		}
	}
	bytes := func(m any) int {
		data, err := msgpack.Marshal(m)
		require.NoError(t, err)
		return len(data)
	}
	of63 := bytes(sumsMessage{Answers: answers.Reports(time.Second)}) - bytes(sumsMessage{})
	t.Logf("%d bytes for the answers of 63 servers", of63)
	require.LessOrEqual(t, of63, 63*30)
}

package entry_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"buckthornpick/internal/fleet"
	"buckthornpick/internal/kv"
	"buckthornpick/internal/kv/etcd"
	"buckthornpick/internal/netx"
)

// A VM that a planner is draining must get no new work from any entry, and must get
// work again when the drain is cancelled. Each zone must report its demand.
func TestDrainedServersGetNoNewWork(t *testing.T) {
	withSite(t, nil, func(s *testSite) {
		client := netx.HTTPClient(s.network.Host("planner", ""), netx.HTTPOptions{})
		defer client.CloseIdleConnections()
		store := etcd.New(etcd.Config{Endpoint: "http://store:8080"}, client, metrics.NewRegistry())
		mark := func(state fleet.ZoneState) {
			value, err := json.Marshal(state)
			require.NoError(s.t, err)
			_, err = store.Txn(s.t.Context(), nil, []kv.Op{kv.Put(fleet.StatePrefix+"a", value)})
			require.NoError(s.t, err)
			time.Sleep(5 * time.Second)
		}
		var drained string
		for _, sv := range s.Servers() {
			if sv.Engine != nil && sv.Zone == "a" {
				drained = sv.ID
			}
		}
		round := 0
		runsAt := func() int {
			round++ // makes every prompt new
			sv, _ := s.Server(drained)
			for _, e := range s.Entries() {
				for i := range 4 {
					r, err := s.send(e, "POST", "/v1/chat/completions", nil, []byte(`{"model":"`+testModel+
						`","max_tokens":4,"messages":[{"role":"user","content":"`+fmt.Sprint(round, i, e.ID)+`"}]}`))
					require.NoError(s.t, err)
					require.Equal(s.t, "completed", r.outcome(), "%s", r.tail())
				}
			}
			return len(sv.Engine.Executions())
		}
		before := runsAt()
		require.Positive(s.t, before)
		mark(fleet.ZoneState{Draining: []fleet.Drain{{VM: drained, Since: time.Now()}}})
		require.Equal(s.t, before, runsAt())
		mark(fleet.ZoneState{})
		require.Greater(s.t, runsAt(), before)
		for _, zone := range []string{"a", "b", "c"} {
			value, _ := s.Store.Peek(fleet.DemandPrefix + zone)
			var d fleet.ZoneDemand
			require.NoError(s.t, json.Unmarshal(value, &d), zone)
			require.Contains(s.t, d.Requests, "audit")
		}
	})
}

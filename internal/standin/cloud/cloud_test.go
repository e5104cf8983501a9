package cloud

import (
	"context"
	"encoding/json"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"buckthornpick/internal/provider"
)

func list(t *testing.T, s *Server) []provider.VM {
	t.Helper()
	w := httptest.NewRecorder()
	s.ServeHTTP(w, httptest.NewRequest("GET", "/v1/vms", nil))
	var out vmList
	require.NoError(t, json.NewDecoder(w.Body).Decode(&out))
	return out.VMs
}

func TestVMLifecycle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		startedAt := time.Now()
		ended := make(chan time.Duration, 2)
		s := New(Settings{
			Offers:       []provider.Offer{{Zone: "a", Class: "c", Reclaimable: true, PricePerHour: 3600}},
			OnLive:       func(vm provider.VM) string { return vm.ID + ":80" },
			OnTerminated: func(provider.VM) { ended <- time.Since(startedAt) },
		})
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		wg.Go(func() { _ = s.Run(ctx) })
		vm, err := s.start(provider.VMSpec{OperationID: "o", Zone: "a", Class: "c", Reclaimable: true})
		require.NoError(t, err)
		require.Empty(t, list(t, s), "the list lags")

		time.Sleep(2500 * time.Millisecond)
		require.Equal(t, provider.VMLive, s.VMs()[0].State)
		require.Equal(t, provider.VMStarting, list(t, s)[0].State, "the list lags")
		time.Sleep(time.Second)
		require.Equal(t, vm.ID+":80", list(t, s)[0].Address)

		require.Equal(t, []string{vm.ID}, s.ReclaimZone("a", 5*time.Second))
		require.False(t, s.Reclaim(vm.ID, time.Second), "it is leaving already")
		require.Equal(t, provider.VMLive, list(t, s)[0].State, "the list lags")
		time.Sleep(6 * time.Second)
		require.Len(t, ended, 1)
		require.Equal(t, 8500*time.Millisecond, <-ended)
		require.InDelta(t, 8.5, s.Cost(), 1e-6)
		cancel()
		wg.Wait()
	})
}

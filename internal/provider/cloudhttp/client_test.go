package cloudhttp

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"buckthornpick/internal/fault"
	"buckthornpick/internal/provider"
	"buckthornpick/internal/standin/cloud"
	"buckthornpick/internal/telemetry"
)

func startServer(t *testing.T, settings cloud.Settings) (*cloud.Server, *Client) {
	t.Helper()
	settings.Offers = []provider.Offer{{Zone: "a", Class: "small", Reclaimable: true, PricePerHour: 2, Accelerators: 1}}
	s := cloud.New(settings)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = s.Run(ctx) })
	srv := httptest.NewServer(s)
	t.Cleanup(func() { srv.Close(); cancel(); wg.Wait() })
	return s, New(srv.URL, srv.Client(), telemetry.Discard())
}

func spec(operation string) provider.VMSpec {
	return provider.VMSpec{OperationID: operation, Zone: "a", Class: "small", Reclaimable: true, Service: "audit"}
}

func TestStartIsIdempotentAfterLostResponse(t *testing.T) {
	s, c := startServer(t, cloud.Settings{})
	s.SetFaults(cloud.Faults{LoseAnswers: true})
	_, err := c.StartVM(t.Context(), spec("op1"))
	require.True(t, fault.Is(err, fault.Ambiguous), "%v", err)
	s.SetFaults(cloud.Faults{})
	vm, err := c.StartVM(t.Context(), spec("op1"))
	require.NoError(t, err)
	require.Len(t, s.VMs(), 1)
	require.Equal(t, s.VMs()[0].ID, vm.ID)

	other := spec("op1")
	other.Service = "report"
	_, err = c.StartVM(t.Context(), other)
	require.True(t, fault.Is(err, fault.Conflict), "%v", err)
	require.NoError(t, c.StopVM(t.Context(), vm.ID))
	require.NoError(t, c.StopVM(t.Context(), vm.ID))
	require.Equal(t, provider.VMTerminated, s.VMs()[0].State)
}

func TestRefusedStartsAndOutages(t *testing.T) {
	s, c := startServer(t, cloud.Settings{})
	s.SetRefusal("a", "small", true)
	_, err := c.StartVM(t.Context(), spec("op1"))
	require.True(t, fault.Is(err, fault.Exhausted), "%v", err)
	s.SetRefusal("a", "small", false)
	_, err = c.StartVM(t.Context(), spec("op1"))
	require.NoError(t, err, "a refused start does not use up its operation ID")

	s.SetFaults(cloud.Faults{Outage: true})
	_, err = c.ListVMs(t.Context())
	require.True(t, fault.Is(err, fault.Unavailable), "%v", err)
	_, err = c.StartVM(t.Context(), spec("op2"))
	require.True(t, fault.Is(err, fault.Unavailable), "%v", err)
}

func TestPricesAndNotices(t *testing.T) {
	s, c := startServer(t, cloud.Settings{})
	s.SetPrice("a", "small", true, 3)
	offers, err := c.Offers(t.Context())
	require.NoError(t, err)
	require.Equal(t, 3.0, offers[0].PricePerHour)

	got := make(chan []provider.Notice, 1)
	go func() { list, _ := c.Notices(context.Background(), 0); got <- list }()
	s.Add(provider.VM{ID: "v1", Zone: "a", Reclaimable: true})
	s.Add(provider.VM{ID: "v2", Zone: "a"})
	s.Add(provider.VM{ID: "v3", Zone: "a", Reclaimable: true})
	require.Equal(t, []string{"v1", "v3"}, s.ReclaimZone("a", time.Hour))
	list := <-got
	require.Len(t, list, 2)
	require.Equal(t, list[0].Wave, list[1].Wave)
	c.NoticeWait = time.Millisecond
	list, err = c.Notices(t.Context(), list[1].Sequence)
	require.NoError(t, err)
	require.Empty(t, list)
}

func TestMalformedResponse(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("x")) }))
	defer srv.Close()
	_, err := New(srv.URL, srv.Client(), telemetry.Discard()).ListVMs(t.Context())
	require.True(t, fault.Is(err, fault.Protocol), "%v", err)
}

func TestUnchangedListIsServedFromETag(t *testing.T) {
	s := cloud.New(cloud.Settings{ListLag: time.Nanosecond})
	var statuses []int
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		recorder := httptest.NewRecorder()
		s.ServeHTTP(recorder, r)
		statuses = append(statuses, recorder.Code)
		for name, values := range recorder.Header() {
			w.Header()[name] = values
		}
		w.WriteHeader(recorder.Code)
		_, _ = w.Write(recorder.Body.Bytes())
	}))
	defer srv.Close()
	c := New(srv.URL, srv.Client(), telemetry.Discard())
	for _, id := range []string{"vm-1", "", "vm-2", ""} {
		if id != "" {
			s.Add(provider.VM{ID: id, Zone: "a", State: provider.VMLive})
		}
		vms, err := c.ListVMs(t.Context())
		require.NoError(t, err)
		require.Equal(t, s.VMs(), vms)
	}
	require.Equal(t, []int{http.StatusOK, http.StatusNotModified, http.StatusOK, http.StatusNotModified}, statuses)
}

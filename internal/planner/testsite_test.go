package planner_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"buckthornpick/internal/config"
	"buckthornpick/internal/confstore"
	"buckthornpick/internal/fleet"
	"buckthornpick/internal/kv"
	"buckthornpick/internal/kv/etcd"
	"buckthornpick/internal/netx"
	"buckthornpick/internal/planner"
	"buckthornpick/internal/provider"
	"buckthornpick/internal/provider/cloudhttp"
	"buckthornpick/internal/standin/cloud"
	"buckthornpick/internal/standin/engine"
	storesim "buckthornpick/internal/standin/kv"
	"buckthornpick/internal/standin/memnet"
	"buckthornpick/internal/telemetry"
)

const service = "audit"

// stabilisation replaces the defaults of one minute to keep the tests short.
const stabilisation = 10 * time.Second

// receivedOrder is an order received by an engine, and whether it was accepted.
type receivedOrder struct {
	engine   string
	token    int64
	accepted bool
}

// testSite is a platform with three zones, engines and planners, in virtual time.
type testSite struct {
	t             *testing.T
	network       *memnet.Network
	store         *storesim.Server
	cloud         *cloud.Server
	client        kv.Store
	ctx           context.Context
	wg            sync.WaitGroup
	closers       []func()
	checksFencing bool
	models        []string

	mu            sync.Mutex
	engines       map[string]*engine.Server
	received      []receivedOrder
	orderDelay    time.Duration      // network delay of the first lease holder's orders
	firstToken    int64              // fencing token of the first lease holder
	startRequests map[string]int     // by zone
	demand        map[string]float64 // by service
}

// withTestSite runs f on a site whose service has the given models. Engines start
// with the model "base" only.
func withTestSite(t *testing.T, checksFencing bool, models []string, f func(site *testSite)) {
	withLaggingTestSite(t, 0, checksFencing, models, f)
}

// withLaggingTestSite is withTestSite with a lagging VM list; 0 selects the
// default lag.
func withLaggingTestSite(t *testing.T, lag time.Duration, checksFencing bool, models []string, f func(site *testSite)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		site := &testSite{t: t, ctx: ctx, network: memnet.New(1), store: storesim.New(1), checksFencing: checksFencing, models: models,
			engines: map[string]*engine.Server{}, startRequests: map[string]int{}, demand: map[string]float64{}}
		var offers []provider.Offer
		for i, zone := range []string{"a", "b", "c"} {
			offers = append(offers, provider.Offer{Zone: zone, Class: "gpu", Reclaimable: true,
				PricePerHour: 1 + 0.01*float64(i), Accelerators: 1})
		}
		site.cloud = cloud.New(cloud.Settings{Offers: offers, OnLive: site.startEngine, ListLag: lag})
		defer site.close(cancel)
		site.run(site.store.Run)
		site.run(site.cloud.Run)
		site.serve("store", "platform", site.store)
		site.serve("cloud", "platform", http.HandlerFunc(site.countStarts))
		http := netx.HTTPClient(site.network.Host("test", "platform"), netx.HTTPOptions{})
		site.closers = append(site.closers, http.CloseIdleConnections)
		site.client = etcd.New(etcd.Config{Endpoint: "http://store:80"}, http, metrics.NewRegistry())
		site.proposeDocument()
		site.run(site.reportDemand)
		f(site)
	})
}

// close stops all goroutines and servers, also after a test failure.
func (s *testSite) close(cancel func()) {
	cancel()
	s.mu.Lock()
	closers := s.closers
	s.mu.Unlock()
	for _, c := range closers {
		c()
	}
	s.wg.Wait()
}

func (s *testSite) run(f func(context.Context) error) { s.wg.Go(func() { _ = f(s.ctx) }) }

func (s *testSite) serve(host, zone string, h http.Handler) string {
	l, err := s.network.Host(host, zone).Listen(host + ":80")
	require.NoError(s.t, err)
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	s.wg.Go(func() { _ = server.Serve(l) })
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closers = append(s.closers, func() { _ = server.Close() })
	return host + ":80"
}

func (s *testSite) proposeDocument() {
	doc := &config.Document{
		Services: []config.Service{{Name: service, Kind: config.ModelService, Models: s.models, ChecksFencing: s.checksFencing}},
		Rules: []config.Rule{{Name: "all", When: config.When{Services: []string{service}},
			Then: config.Then{Service: service}}},
	}
	documents := confstore.New(confstore.Config{Self: "test"}, s.client, telemetry.Discard(), nil)
	_, err := documents.Propose(s.ctx, confstore.Change{Document: doc, OperationID: "first"})
	require.NoError(s.t, err)
}

// countStarts counts the start requests by zone and forwards all requests to the
// platform.
func (s *testSite) countStarts(w http.ResponseWriter, req *http.Request) {
	if req.Method == http.MethodPost {
		body, _ := io.ReadAll(req.Body)
		var spec provider.VMSpec
		_ = json.Unmarshal(body, &spec)
		s.mu.Lock()
		s.startRequests[spec.Zone]++
		s.mu.Unlock()
		req.Body = io.NopCloser(bytes.NewReader(body))
	}
	s.cloud.ServeHTTP(w, req)
}

func (s *testSite) startsIn(zone string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.startRequests[zone]
}

func (s *testSite) startEngine(vm provider.VM) string {
	e := engine.New(engine.Settings{ID: vm.ID, Models: []string{"base"}, ChecksFencing: s.checksFencing})
	s.run(e.Run)
	s.mu.Lock()
	s.engines[vm.ID] = e
	s.mu.Unlock()
	return s.serve(vm.ID, "engines", http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if req.URL.Path == "/v1/orders" {
			s.deliverOrder(w, req, e)
			return
		}
		e.ServeHTTP(w, req)
	}))
}

// deliverOrder passes an order to the engine after the delay, even if the sender
// has closed the connection.
func (s *testSite) deliverOrder(w http.ResponseWriter, req *http.Request, e *engine.Server) {
	body, _ := io.ReadAll(req.Body)
	var o engine.Order
	_ = json.Unmarshal(body, &o)
	s.mu.Lock()
	if s.firstToken == 0 {
		s.firstToken = o.FencingNumber
	}
	delay := s.orderDelay
	if o.FencingNumber != s.firstToken {
		delay = 0
	}
	s.mu.Unlock()
	time.Sleep(delay)
	req.Body = io.NopCloser(bytes.NewReader(body))
	status := &statusRecorder{ResponseWriter: w}
	e.ServeHTTP(status, req)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.received = append(s.received, receivedOrder{req.Host, o.FencingNumber, status.code == http.StatusNoContent})
}

type statusRecorder struct {
	http.ResponseWriter
	code int
}

func (w *statusRecorder) WriteHeader(code int) {
	w.code = code
	w.ResponseWriter.WriteHeader(code)
}

func (s *testSite) setOrderDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.orderDelay = d
}

func (s *testSite) receivedOrders() []receivedOrder {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]receivedOrder{}, s.received...)
}

// setDemand sets the number of requests that reportDemand writes for zone a, in
// place of its entries.
func (s *testSite) setDemand(requests float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.demand[service] = requests
}

func (s *testSite) reportDemand(ctx context.Context) error {
	for ctx.Err() == nil {
		s.mu.Lock()
		value, err := json.Marshal(fleet.ZoneDemand{At: time.Now(), Requests: s.demand})
		s.mu.Unlock()
		if err == nil {
			_, err = s.client.Txn(ctx, nil, []kv.Op{kv.Put(fleet.DemandPrefix+"a", value)})
		}
		_ = err // retried in the next iteration
		select {
		case <-ctx.Done():
		case <-time.After(2 * time.Second):
		}
	}
	return nil
}

// startPlanner starts a planner on a host of the network zone "host-<id>" and
// returns a function that kills it.
func (s *testSite) startPlanner(id, zone string, configure func(*planner.Config)) (kill func()) {
	client := netx.HTTPClient(s.network.Host(id, "host-"+id), netx.HTTPOptions{})
	cfg := planner.Config{ID: id, Zone: zone, StandbyInterval: 200 * time.Millisecond,
		StabilisationTime: stabilisation, ReclaimBackoff: stabilisation,
		Demand: fleet.DemandConfig{RequestsPerAccelerator: 10, InitialUtilisation: 1, SmoothingTime: time.Second, ScaleDownDelay: stabilisation}}
	if configure != nil {
		configure(&cfg)
	}
	log := telemetry.Discard()
	api := cloudhttp.New("http://cloud:80", client, log)
	api.NoticeWait = time.Second
	p := planner.New(cfg, planner.Deps{
		Store: etcd.New(etcd.Config{Endpoint: "http://store:80"}, client, metrics.NewRegistry()),
		Cloud: api, Lister: api, Notices: api, Engines: client, Log: log, Registry: metrics.NewRegistry(),
	})
	ctx, cancel := context.WithCancel(s.ctx)
	done := make(chan struct{})
	s.wg.Go(func() {
		defer close(done)
		_ = p.Run(ctx)
		client.CloseIdleConnections()
	})
	return func() {
		s.network.KillHost(id)
		cancel()
		<-done
	}
}

// startPlanners starts one planner in each zone.
func (s *testSite) startPlanners(configure func(*planner.Config)) {
	for _, zone := range []string{"a", "b", "c"} {
		s.startPlanner("p-"+zone, zone, configure)
	}
}

// liveByZone returns the number of live VMs by zone.
func (s *testSite) liveByZone() map[string]int {
	out := map[string]int{}
	for _, vm := range s.cloud.VMs() {
		if vm.State == provider.VMLive {
			out[vm.Zone]++
		}
	}
	return out
}

func (s *testSite) liveCount() int {
	n := 0
	for _, count := range s.liveByZone() {
		n += count
	}
	return n
}

// drainingCount returns the number of VMs marked as draining in the store.
func (s *testSite) drainingCount() int {
	n := 0
	for _, zone := range []string{"a", "b", "c"} {
		value, _ := s.store.Peek(fleet.StatePrefix + zone)
		var state fleet.ZoneState
		if value != nil && json.Unmarshal(value, &state) == nil {
			n += len(state.Draining)
		}
	}
	return n
}

// waitUntil waits until ok returns true and returns the elapsed time. It fails
// the test if that takes longer than limit.
func (s *testSite) waitUntil(limit time.Duration, what string, ok func() bool) time.Duration {
	s.t.Helper()
	started := time.Now()
	for !ok() {
		if time.Since(started) > limit {
			s.t.Fatalf("not within %s: %s; live %v, start requests %v", limit, what, s.liveByZone(), s.startRequests)
		}
		time.Sleep(100 * time.Millisecond)
	}
	return time.Since(started)
}

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

// hold stands for the minute of the defaults; the bubbles are kept short.
const stabilisation = 10 * time.Second

// arrival is one order as an engine took or refused it.
type receivedOrder struct {
	engine   string
	token    int64
	accepted bool
}

// rig is a platform with three zones, engines and planners, in virtual time.
type testSite struct {
	t             *testing.T
	network       *memnet.Network
	store         *storesim.Server
	cloud         *cloud.Server
	client        kv.Store
	ctx           context.Context
	goroutines    sync.WaitGroup
	closers       []func()
	checksFencing bool
	models        []string

	mu            sync.Mutex
	engines       map[string]*engine.Server
	received      []receivedOrder
	orderDelay    time.Duration // of the first holder's orders on their way
	firstToken    int64
	startRequests map[string]int
	demand        map[string]float64
}

// withRig runs f with the models that the service has; engines start with none
// of them.
func withTestSite(t *testing.T, checksFencing bool, models []string, f func(r *testSite)) {
	withLaggingTestSite(t, 0, checksFencing, models, f)
}

// withLaggingRig is withRig with a VM list that lags; 0 is the default.
func withLaggingTestSite(t *testing.T, lag time.Duration, checksFencing bool, models []string, f func(r *testSite)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		r := &testSite{t: t, ctx: ctx, network: memnet.New(1), store: storesim.New(1), checksFencing: checksFencing, models: models,
			engines: map[string]*engine.Server{}, startRequests: map[string]int{}, demand: map[string]float64{}}
		var offers []provider.Offer
		for i, zone := range []string{"a", "b", "c"} {
			offers = append(offers, provider.Offer{Zone: zone, Class: "gpu", Reclaimable: true,
				PricePerHour: 1 + 0.01*float64(i), Accelerators: 1})
		}
		r.cloud = cloud.New(cloud.Settings{Offers: offers, OnLive: r.startEngine, ListLag: lag})
		defer r.close(cancel)
		r.run(r.store.Run)
		r.run(r.cloud.Run)
		r.serve("store", "platform", r.store)
		r.serve("cloud", "platform", http.HandlerFunc(r.countStarts))
		http := netx.HTTPClient(r.network.Host("test", "platform"), netx.HTTPOptions{})
		r.closers = append(r.closers, http.CloseIdleConnections)
		r.client = etcd.New(etcd.Config{Endpoint: "http://store:80"}, http, metrics.NewRegistry())
		r.proposeDocument()
		r.run(r.reportDemand)
		f(r)
	})
}

// close ends everything that runs, also after a failure.
func (r *testSite) close(cancel func()) {
	cancel()
	r.mu.Lock()
	closers := r.closers
	r.mu.Unlock()
	for _, c := range closers {
		c()
	}
	r.goroutines.Wait()
}

func (r *testSite) run(f func(context.Context) error) { r.goroutines.Go(func() { _ = f(r.ctx) }) }

func (r *testSite) serve(host, zone string, h http.Handler) string {
	l, err := r.network.Host(host, zone).Listen(host + ":80")
	require.NoError(r.t, err)
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	r.goroutines.Go(func() { _ = server.Serve(l) })
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closers = append(r.closers, func() { _ = server.Close() })
	return host + ":80"
}

func (r *testSite) proposeDocument() {
	doc := &config.Document{
		Services: []config.Service{{Name: service, Kind: config.ModelService, Models: r.models, ChecksFencing: r.checksFencing}},
		Rules: []config.Rule{{Name: "all", When: config.When{Services: []string{service}},
			Then: config.Then{Service: service}}},
	}
	documents := confstore.New(confstore.Config{Self: "test"}, r.client, telemetry.Discard(), nil)
	_, err := documents.Propose(r.ctx, confstore.Change{Document: doc, OperationID: "first"})
	require.NoError(r.t, err)
}

// countStarts counts the starts asked for by zone.
func (r *testSite) countStarts(w http.ResponseWriter, req *http.Request) {
	if req.Method == http.MethodPost {
		body, _ := io.ReadAll(req.Body)
		var spec provider.VMSpec
		_ = json.Unmarshal(body, &spec)
		r.mu.Lock()
		r.startRequests[spec.Zone]++
		r.mu.Unlock()
		req.Body = io.NopCloser(bytes.NewReader(body))
	}
	r.cloud.ServeHTTP(w, req)
}

func (r *testSite) startRequestsIn(zone string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.startRequests[zone]
}

func (r *testSite) startEngine(vm provider.VM) string {
	e := engine.New(engine.Settings{ID: vm.ID, Models: []string{"base"}, ChecksFencing: r.checksFencing})
	r.run(e.Run)
	r.mu.Lock()
	r.engines[vm.ID] = e
	r.mu.Unlock()
	return r.serve(vm.ID, "engines", http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if req.URL.Path == "/v1/orders" {
			r.deliverOrder(w, req, e)
			return
		}
		e.ServeHTTP(w, req)
	}))
}

// deliver hands an order to the engine after the delay, also if its sender has
// gone.
func (r *testSite) deliverOrder(w http.ResponseWriter, req *http.Request, e *engine.Server) {
	body, _ := io.ReadAll(req.Body)
	var o engine.Order
	_ = json.Unmarshal(body, &o)
	r.mu.Lock()
	if r.firstToken == 0 {
		r.firstToken = o.FencingNumber
	}
	delay := r.orderDelay
	if o.FencingNumber != r.firstToken {
		delay = 0
	}
	r.mu.Unlock()
	time.Sleep(delay)
	req.Body = io.NopCloser(bytes.NewReader(body))
	status := &statusRecorder{ResponseWriter: w}
	e.ServeHTTP(status, req)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.received = append(r.received, receivedOrder{req.Host, o.FencingNumber, status.code == http.StatusNoContent})
}

type statusRecorder struct {
	http.ResponseWriter
	code int
}

func (w *statusRecorder) WriteHeader(code int) {
	w.code = code
	w.ResponseWriter.WriteHeader(code)
}

func (r *testSite) setOrderDelay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.orderDelay = d
}

func (r *testSite) receivedOrders() []receivedOrder {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]receivedOrder{}, r.received...)
}

// setDemand tells the load that the entries of zone a report.
func (r *testSite) setDemand(requests float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.demand[service] = requests
}

func (r *testSite) reportDemand(ctx context.Context) error {
	for ctx.Err() == nil {
		r.mu.Lock()
		value, err := json.Marshal(fleet.ZoneDemand{At: time.Now(), Requests: r.demand})
		r.mu.Unlock()
		if err == nil {
			_, err = r.client.Txn(ctx, nil, []kv.Op{kv.Put(fleet.DemandPrefix+"a", value)})
		}
		_ = err // sent again in the next round
		select {
		case <-ctx.Done():
		case <-time.After(2 * time.Second):
		}
	}
	return nil
}

// planner starts a planner on a host of the network zone "host-<id>" and
// returns a function that kills it.
func (r *testSite) startPlanner(id, zone string, tune func(*planner.Config)) (kill func()) {
	client := netx.HTTPClient(r.network.Host(id, "host-"+id), netx.HTTPOptions{})
	cfg := planner.Config{ID: id, Zone: zone, StandbyInterval: 200 * time.Millisecond,
		StabilisationTime: stabilisation, ReclaimBackoff: stabilisation,
		Demand: fleet.DemandConfig{RequestsPerAccelerator: 10, InitialUtilisation: 1, SmoothingTime: time.Second, ScaleDownDelay: stabilisation}}
	if tune != nil {
		tune(&cfg)
	}
	log := telemetry.Discard()
	api := cloudhttp.New("http://cloud:80", client, log)
	api.NoticeWait = time.Second
	p := planner.New(cfg, planner.Deps{
		Store: etcd.New(etcd.Config{Endpoint: "http://store:80"}, client, metrics.NewRegistry()),
		Cloud: api, Lister: api, Notices: api, Engines: client, Log: log, Registry: metrics.NewRegistry(),
	})
	ctx, cancel := context.WithCancel(r.ctx)
	done := make(chan struct{})
	r.goroutines.Go(func() {
		defer close(done)
		_ = p.Run(ctx)
		client.CloseIdleConnections()
	})
	return func() {
		r.network.KillHost(id)
		cancel()
		<-done
	}
}

// planners starts one planner in each zone.
func (r *testSite) startPlanners(tune func(*planner.Config)) {
	for _, zone := range []string{"a", "b", "c"} {
		r.startPlanner("p-"+zone, zone, tune)
	}
}

// live counts the live VMs by zone.
func (r *testSite) liveByZone() map[string]int {
	out := map[string]int{}
	for _, vm := range r.cloud.VMs() {
		if vm.State == provider.VMLive {
			out[vm.Zone]++
		}
	}
	return out
}

func (r *testSite) liveCount() int {
	n := 0
	for _, count := range r.liveByZone() {
		n += count
	}
	return n
}

// drains counts the VMs that are marked for the entries.
func (r *testSite) drainingCount() int {
	n := 0
	for _, zone := range []string{"a", "b", "c"} {
		value, _ := r.store.Peek(fleet.StatePrefix + zone)
		var state fleet.ZoneState
		if value != nil && json.Unmarshal(value, &state) == nil {
			n += len(state.Draining)
		}
	}
	return n
}

// await returns the time until ok holds, and fails the test if it takes longer
// than limit.
func (r *testSite) waitUntil(limit time.Duration, what string, ok func() bool) time.Duration {
	r.t.Helper()
	began := time.Now()
	for !ok() {
		if time.Since(began) > limit {
			r.t.Fatalf("not within %s: %s; live %v, asked %v", limit, what, r.liveByZone(), r.startRequests)
		}
		time.Sleep(100 * time.Millisecond)
	}
	return time.Since(began)
}

package fuzz

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"buckthornpick/internal/config"
	"buckthornpick/internal/entry"
	"buckthornpick/internal/standin/engine"
	"buckthornpick/internal/standin/memnet"
	"buckthornpick/internal/standin/oldersystem"
	"buckthornpick/internal/standin/plainservice"
	"buckthornpick/internal/standin/site"
	"buckthornpick/internal/telemetry"
)

// Options change how histories are run.
type Options struct {
	// Tune changes each entry's configuration, for instance to inject a bug. May
	// be nil.
	Tune site.Tune
	// Stop performs a planned stop of an entry; nil is Entry.Stop.
	Stop func(*site.Entry)
	// Log returns the logger of a node; nil discards logs.
	Log func(node, zone string) *telemetry.Logger
	// Trace prints each step when it is performed; may be nil.
	Trace func(format string, args ...any)
}

// harness drives a running site: it makes the callers' and operators' requests,
// injects faults and records what the oracle checks.
type harness struct {
	options Options
	network *memnet.Network
	site    *site.Site
	client  *http.Client
	zones   []string
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup
	// pendingProposals counts the document changes that wait for an answer.
	pendingProposals atomic.Int64

	// mu guards the fields below.
	mu               sync.Mutex
	calls            []*call
	openConnections  []*connection
	endedConnections []*connection
	observations     Observations
	documentChanges  []*documentChange
	noticedAt        map[string]time.Time // entries and servers by ID, first reclaim notice
	startedAt        map[string]time.Time // entries by ID, last start
	stoppedAt        map[*site.Entry]time.Time
	killedEntries    map[*site.Entry]bool
	killedServers    map[*site.Server]bool
	incarnations     map[*site.Entry]int
	lastRevisions    map[*site.Entry]int64
	faults           faults
	restartedServers []*http.Server
	// pendingRepeats is the number of events that are still to be delivered
	// twice.
	pendingRepeats int
}

// zoneNames are the availability zones of a history. Callers and the platform are
// outside all of them, in callerZone and platformZone.
var zoneNames = []string{"a", "b", "c"}

const (
	callerZone   = "callers"
	platformZone = ""
	// setUpTimeout bounds the start of a site.
	setUpTimeout = time.Minute
)

func newHarness(seed uint64, s Schedule, o Options) (*harness, error) {
	n := memnet.New(seed)
	n.SetLatency(time.Millisecond, time.Millisecond/2)
	h := &harness{
		options: o, network: n, zones: zoneNames[:len(s.Zones)],
		noticedAt: map[string]time.Time{}, startedAt: map[string]time.Time{}, stoppedAt: map[*site.Entry]time.Time{},
		killedEntries: map[*site.Entry]bool{}, incarnations: map[*site.Entry]int{}, killedServers: map[*site.Server]bool{}, lastRevisions: map[*site.Entry]int64{},
		faults: newFaults(),
	}
	h.ctx, h.cancel = context.WithCancel(context.Background())
	h.observations.IsGraceful = s.IsGraceful
	callers := n.Host("caller", callerZone)
	h.client = &http.Client{
		Transport: &http.Transport{
			DisableKeepAlives: true, DisableCompression: true,
			DialContext: func(ctx context.Context, _, address string) (net.Conn, error) { return callers.Dial(ctx, address) },
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	document := h.document(0)
	var err error
	h.site, err = site.Start(h.siteOptions(seed, s, document))
	if err != nil {
		return nil, err
	}
	return h, h.configure(document)
}

func (h *harness) siteOptions(seed uint64, s Schedule, document *config.Document) site.Options {
	o := site.Options{
		Seed: seed, Fabric: site.Memory(h.network), Document: document, Log: h.options.Log, Tune: h.tune,
		Older: &oldersystem.Settings{Models: []string{modelName}},
	}
	var servers []string
	for i, count := range s.Zones {
		for range count {
			o.Entries = append(o.Entries, h.zones[i])
		}
		servers = append(servers, h.zones[i], h.zones[i])
	}
	o.Servers = []site.ServerSpec{
		{Service: "audit", Kind: config.ModelService, Zones: servers, Class: "g1", PricePerHour: 1,
			Engine: engine.Settings{Models: []string{modelName}}},
		{Service: "report", Kind: config.PlainService, Zones: h.zones, Class: "c1", PricePerHour: 0.2,
			Plain: plainservice.Settings{ServiceTime: 80 * time.Millisecond}},
	}
	return o
}

// specOf returns the specification of a service's servers.
func (h *harness) specOf(service string) site.ServerSpec {
	for _, spec := range h.siteOptions(0, Schedule{}, nil).Servers {
		if spec.Service == service {
			return spec
		}
	}
	return site.ServerSpec{}
}

// document returns the n-th version of the operators' document.
func (h *harness) document(n int) *config.Document {
	older := &config.OlderSystem{Address: "older:8080", PricePerHour: 1}
	return &config.Document{
		Organisations: []config.Organisation{{Name: organisation, KeyHashes: []string{site.KeyHash(bearerKey)}}},
		Services: []config.Service{
			{Name: "audit", Kind: config.ModelService, Models: []string{modelName}, TimeoutSeconds: 30},
			{Name: "report", Kind: config.PlainService, TimeoutSeconds: 30,
				NonRepeatable: []config.CallMatch{{Method: "POST", PathPrefix: "/exports"}}},
		},
		Rules: []config.Rule{
			{Name: fmt.Sprintf("audit-%d", n), When: config.When{Services: []string{"audit"}},
				Then: config.Then{Service: "audit", OlderSystemShare: float64(n%3) * 0.2}},
			{Name: "report", When: config.When{Services: []string{"report"}},
				Then: config.Then{Service: "report", OlderSystemShare: float64(n%2) * 0.3}},
		},
		OlderSystem: older,
	}
}

// tune records the start of an entry, applies Options.Tune and wraps the entry's
// client of backend servers.
func (h *harness) tune(c *entry.Config) {
	h.mu.Lock()
	h.startedAt[c.Self.ID] = time.Now()
	h.mu.Unlock()
	if h.options.Tune != nil {
		h.options.Tune(c)
	}
	c.Backends = &recordingClient{Client: c.Backends, harness: h, entry: c.Self.ID}
}

// configure proposes the first document and waits until every entry is ready with
// it.
func (h *harness) configure(document *config.Document) error {
	entries := h.site.Entries()
	if !waitUntil(setUpTimeout, func() bool {
		for _, e := range entries {
			if len(e.Node.Members().Table().Members) != len(entries) {
				return false
			}
		}
		return true
	}) {
		return fmt.Errorf("the entries did not become members of one another's tables")
	}
	if _, err := h.site.Propose(h.ctx, entries[0], document, 0, "first"); err != nil {
		return fmt.Errorf("first document: %w", err)
	}
	if !waitUntil(setUpTimeout, func() bool {
		for _, e := range entries {
			if e.Node.Ready() != nil || len(e.Node.Inventory().View().VMs) == 0 {
				return false
			}
		}
		return true
	}) {
		return fmt.Errorf("the entries did not become ready")
	}
	return nil
}

const pollInterval = 100 * time.Millisecond

// waitUntil polls ok until it is true or the limit has passed, and returns the
// result.
func waitUntil(limit time.Duration, ok func() bool) bool {
	for began := time.Now(); time.Since(began) < limit; time.Sleep(pollInterval) {
		if ok() {
			return true
		}
	}
	return false
}

// background runs f in a goroutine for which close waits.
func (h *harness) background(f func()) {
	h.wg.Add(1)
	go func() {
		defer h.wg.Done()
		f()
	}()
}

func (h *harness) trace(format string, args ...any) {
	if h.options.Trace != nil {
		h.options.Trace(format, args...)
	}
}

func (h *harness) connectionOpened(c *connection) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.openConnections = append(h.openConnections, c)
}

func (h *harness) connectionClosed(c *connection) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i, o := range h.openConnections {
		if o == c {
			h.openConnections = append(h.openConnections[:i], h.openConnections[i+1:]...)
			break
		}
	}
	h.endedConnections = append(h.endedConnections, c)
	h.observations.Submissions = append(h.observations.Submissions, c.sub)
	s := c.sub
	h.trace("  call %d at %s (attach %t after %d, non-repeatable %t): %q responded %t redirected %t hung up %t expected break %q err %v, %d events, began %v",
		s.Call.Number, s.Entry, s.IsAttach, s.After, s.Call.NonRepeatable, s.Outcome, s.GotResponse, s.Redirected, s.HungUp, s.ExpectedBreak, s.Err, len(s.Events), s.Began)
}

func (h *harness) recordID(c *call, id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if id != "" {
		c.id = id
	}
}

func (h *harness) requestID(c *call) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return c.id
}

// close stops all callers, servers and nodes. Network faults must have ended
// before.
func (h *harness) close() {
	h.cancel()
	for _, server := range h.restartedServers {
		_ = server.Close()
	}
	h.wg.Wait()
	if h.site != nil {
		h.site.Close()
	}
	h.client.CloseIdleConnections()
	time.Sleep(idleConnectionWait)
}

// idleConnectionWait exceeds the time for which HTTP clients keep an idle
// connection.
const idleConnectionWait = time.Minute

package site

import (
	"context"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"buckthornpick/internal/backend"
	"buckthornpick/internal/entry"
	"buckthornpick/internal/gateway"
	"buckthornpick/internal/kv/etcd"
	"buckthornpick/internal/member"
	"buckthornpick/internal/membudget"
	"buckthornpick/internal/netx"
	"buckthornpick/internal/peer"
	"buckthornpick/internal/provider"
	"buckthornpick/internal/provider/cloudhttp"
	"buckthornpick/internal/telemetry"
	"buckthornpick/internal/tunnel"
)

// Tune changes the configuration of an entry before it starts.
type Tune func(*entry.Config)

// Secret is the shared secret with which the nodes of the site authenticate to
// each other.
const Secret = "stand-in site"

// Entry is an entry node of the site, which takes callers' requests.
type Entry struct {
	ID, Zone string
	// URL is the base URL of the listener for callers.
	URL      string
	Node     *entry.Node
	Registry metrics.Registry
	// Memory bounds what callers hold; nil is no bound.
	Memory *membudget.Budget

	site     *Site
	server   *http.Server
	clients  []*http.Client
	stop     context.CancelFunc
	kill     context.CancelFunc
	done     chan struct{}
	killOnce sync.Once
}

// StartEntry starts an entry node on a new VM.
func (s *Site) StartEntry(zone string) (*Entry, error) {
	return s.StartEntryOn(s.newHostName("entry-"+zone), zone)
}

// StartEntryOn starts an entry node on the VM with the ID. An earlier entry node
// may have run on the same VM.
func (s *Site) StartEntryOn(id, zone string) (*Entry, error) {
	network := s.options.Fabric.Host(id, zone)
	address := s.options.Fabric.Address(id, "http")
	listener, err := network.Listen(address)
	if err != nil {
		return nil, err
	}
	e := &Entry{ID: id, Zone: zone, URL: "http://" + address, Registry: metrics.NewRegistry(),
		site: s, done: make(chan struct{})}
	self := member.Member{ID: id, Zone: zone, Address: s.options.Fabric.Address(id, "peer"), HTTPAddress: address}
	if s.options.MemoryBytes > 0 {
		capacity, _ := membudget.Capacity(s.options.MemoryBytes)
		e.Memory = membudget.New(capacity, telemetry.Discard(), e.Registry)
	}
	e.Node = entry.New(s.entryConfig(e, self, network))
	e.server = &http.Server{ReadHeaderTimeout: time.Minute, IdleTimeout: time.Hour}
	callers := netx.NewCallerListener(listener, netx.CallerOptions{MaxConnections: s.options.MaxCallers, Memory: e.Memory})
	p := &entry.Process{Node: e.Node, Callers: callers, Server: e.server}
	s.Cloud.Add(provider.VM{ID: id, Zone: zone, Class: "entry", Reclaimable: true})
	s.addEntry(e)
	e.run(p)
	if s.options.Planners {
		s.startPlanner(e, network)
	}
	return e, nil
}

func (s *Site) entryConfig(e *Entry, self member.Member, network netx.Network) entry.Config {
	log := telemetry.Discard()
	if s.options.Log != nil {
		log = s.options.Log(self.ID, self.Zone)
	}
	platformOptions := netx.HTTPOptions{CloseIdleOnTimeout: true}
	storeClient := e.client(network, platformOptions)
	cloudClient := e.client(network, platformOptions)
	cloud := cloudhttp.New(s.cloudURL, cloudClient, log)
	tunnels := tunnel.New(network)
	servers := backend.NewHTTPClient(e.client(tunnels, netx.HTTPOptions{}), log)
	c := entry.Config{
		Self: self, Secret: []byte(Secret), Seeds: s.seeds(self.ID), Network: network, Tunnels: tunnels,
		Store:  etcd.New(etcd.Config{Endpoint: s.storeURL}, storeClient, e.Registry),
		Lister: cloud, Notices: cloud,
		Backends: servers, KV: servers,
		Log: log, Registry: e.Registry,
		Gateway: gateway.Config{Memory: e.Memory},
	}
	if s.options.Tune != nil {
		s.options.Tune(&c)
	}
	return c
}

// client returns an HTTP client whose idle connections are closed when the
// entry's process ends.
func (e *Entry) client(n netx.Network, o netx.HTTPOptions) *http.Client {
	o.MaxIdlePerHost, o.DialTimeout = 64, time.Second
	c := netx.HTTPClient(n, o)
	e.clients = append(e.clients, c)
	return c
}

// seeds returns the entries, other than self, that are in their own member table.
func (s *Site) seeds(self string) []peer.Node {
	var out []peer.Node
	for _, e := range s.Entries() {
		if m, ok := e.Node.Members().Table().Find(e.ID); ok && e.ID != self {
			out = append(out, peer.Node{ID: m.ID, Zone: m.Zone, Address: m.Address})
		}
	}
	return out
}

// run runs the entry's process in the background.
func (e *Entry) run(p *entry.Process) {
	stopCtx, stop := context.WithCancel(context.Background())
	e.stop = stop
	killCtx, kill := context.WithCancel(context.Background())
	e.kill = kill
	go func() {
		defer close(e.done)
		defer e.closeClients()
		_ = p.RunUntilKilled(stopCtx, killCtx)
	}()
}

func (e *Entry) closeClients() {
	for _, c := range e.clients {
		c.CloseIdleConnections()
	}
}

// Stop starts a graceful stop, as SIGTERM does. The channel that Done returns is
// closed when the stop has finished.
func (e *Entry) Stop() { e.stop() }

// Done returns a channel that is closed when the entry's process has ended.
func (e *Entry) Done() <-chan struct{} { return e.done }

// Kill ends the entry's process at once, as SIGKILL does, and waits for its end.
func (e *Entry) Kill() {
	e.killOnce.Do(func() {
		e.site.options.Fabric.Kill(e.ID)
		e.kill()
		_ = e.server.Close()
		<-e.done
		e.stop()
	})
}

func (s *Site) addEntry(e *Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries[e.ID] = e
}

// Entry returns the entry node last started with the ID, whether or not it still
// runs.
func (s *Site) Entry(id string) (*Entry, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[id]
	return e, ok
}

// Entries returns the entries whose processes have not ended, ordered by ID.
func (s *Site) Entries() []*Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*Entry
	for _, e := range s.entries {
		select {
		case <-e.done:
		default:
			out = append(out, e)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

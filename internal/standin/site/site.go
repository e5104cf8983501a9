// Package site starts a complete small site: the stand-ins for store and cloud,
// backend servers, the older system and entry nodes, over TCP on the loopback
// interface or over an in-memory network. `buckthornpick-dev` and tests use it.
package site

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"buckthornpick/internal/config"
	"buckthornpick/internal/netx"
	"buckthornpick/internal/planner"
	"buckthornpick/internal/provider"
	"buckthornpick/internal/standin/cloud"
	"buckthornpick/internal/standin/engine"
	"buckthornpick/internal/standin/kv"
	"buckthornpick/internal/standin/oldersystem"
	"buckthornpick/internal/standin/plainservice"
	"buckthornpick/internal/telemetry"
)

// Fabric provides the network and the addresses of hosts.
type Fabric interface {
	// Host returns the network as seen by the host.
	Host(name, zone string) netx.Network
	// Address returns a free "host:port" for a listener of the host.
	Address(host, listener string) string
	// Kill ends every connection of the host, as killing its process would.
	Kill(host string)
}

// ServerSpec describes the backend servers of one service.
type ServerSpec struct {
	Service string
	Kind    config.ServiceKind
	// Zones holds one zone per server; a zone may occur more than once.
	Zones []string
	// Class and PricePerHour are the class and the price of the servers' VMs.
	Class        string
	PricePerHour float64
	// Engine applies to servers of model services, Plain to those of plain
	// services.
	Engine engine.Settings
	Plain  plainservice.Settings
}

// Options describe a site.
type Options struct {
	Seed   uint64
	Fabric Fabric
	// Entries holds one zone per entry node; a zone may occur more than once.
	Entries []string
	Servers []ServerSpec
	// Document is the initial configuration; Start sets the address of its older
	// system.
	Document *config.Document
	Older    *oldersystem.Settings
	Cloud    cloud.Settings
	// Log returns the logger of an entry node; nil discards all logs.
	Log func(node, zone string) *telemetry.Logger
	// Tune changes an entry's configuration before it starts; may be nil.
	Tune Tune
	// MemoryBytes is the memory of an entry's VM, of which callers hold a share, and MaxCallers
	// the number of their connections to it; 0 is no bound.
	MemoryBytes int64
	MaxCallers  int
	// Planners runs a planner on the VM of each entry; default false.
	Planners bool
	// TunePlanner changes a planner's configuration before it starts; may be
	// nil.
	TunePlanner func(*planner.Config)
}

// Site is a running site. It is safe for concurrent use.
type Site struct {
	Store   *kv.Server
	Cloud   *cloud.Server
	Older   *oldersystem.Server
	options Options

	storeURL   string
	cloudURL   string
	ctx        context.Context
	cancel     context.CancelFunc
	background sync.WaitGroup

	mu      sync.Mutex
	entries map[string]*Entry
	servers map[string]*Server
	names   map[string]int // number of host names assigned, by prefix
}

// Start starts the stand-ins, the backend servers and the entries.
func Start(o Options) (*Site, error) {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Site{
		options: o, ctx: ctx, cancel: cancel, Store: kv.New(o.Seed),
		entries: map[string]*Entry{}, servers: map[string]*Server{}, names: map[string]int{},
	}
	o.Cloud.OnTerminated = s.vmTerminated
	o.Cloud.OnLive = s.vmBecameLive
	s.Cloud = cloud.New(o.Cloud)
	if err := s.startPlatform(); err != nil {
		cancel()
		return nil, err
	}
	for _, spec := range o.Servers {
		for _, zone := range spec.Zones {
			if _, err := s.StartServer(spec, zone); err != nil {
				s.Close()
				return nil, err
			}
		}
	}
	for _, zone := range o.Entries {
		if _, err := s.StartEntry(zone); err != nil {
			s.Close()
			return nil, err
		}
	}
	return s, nil
}

// Close kills all entries and backend servers, stops the stand-ins and waits for
// their goroutines.
func (s *Site) Close() {
	for _, e := range s.Entries() {
		e.Kill()
	}
	for _, sv := range s.Servers() {
		sv.Kill()
	}
	s.cancel()
	s.background.Wait()
}

func (s *Site) startPlatform() error {
	s.run(s.Store.Run)
	s.run(s.Cloud.Run)
	var err error
	if s.storeURL, err = s.serve("store", "", s.Store); err != nil {
		return err
	}
	if s.cloudURL, err = s.serve("cloud", "", s.Cloud); err != nil {
		return err
	}
	if s.options.Older == nil {
		return nil
	}
	s.Older = oldersystem.New(*s.options.Older)
	s.run(s.Older.Run)
	url, err := s.serve("older", "", s.Older)
	if err == nil && s.options.Document != nil && s.options.Document.OlderSystem != nil {
		s.options.Document.OlderSystem.Address = url[len("http://"):]
	}
	return err
}

// run runs f in the background; its context ends when the site closes.
func (s *Site) run(f func(context.Context) error) {
	s.background.Add(1)
	go func() {
		defer s.background.Done()
		_ = f(s.ctx)
	}()
}

// serve runs an HTTP server on a host until the site closes.
func (s *Site) serve(host, zone string, h http.Handler) (url string, err error) {
	_, address, err := s.listenAndServe(s.ctx, host, zone, h)
	return "http://" + address, err
}

func (s *Site) listenAndServe(ctx context.Context, host, zone string, h http.Handler) (*http.Server, string, error) {
	address := s.options.Fabric.Address(host, "http")
	l, err := s.options.Fabric.Host(host, zone).Listen(address)
	if err != nil {
		return nil, "", err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	s.background.Add(1)
	go func() {
		defer s.background.Done()
		_ = server.Serve(l)
	}()
	context.AfterFunc(ctx, func() { _ = server.Close() })
	return server, address, nil
}

// newHostName returns an unused host name with the prefix.
func (s *Site) newHostName(prefix string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.names[prefix]++
	return fmt.Sprintf("%s-%d", prefix, s.names[prefix])
}

// vmTerminated kills the process on a VM that the cloud has terminated.
func (s *Site) vmTerminated(vm provider.VM) {
	if e, ok := s.Entry(vm.ID); ok {
		e.Kill()
	}
	if sv, ok := s.Server(vm.ID); ok {
		sv.Kill()
	}
}

// vmBecameLive starts the backend server on a VM that the cloud has started and
// returns its address, or "" if it can't.
func (s *Site) vmBecameLive(vm provider.VM) string {
	for _, spec := range s.options.Servers {
		if spec.Service == vm.Service {
			sv, err := s.startServerOn(spec, vm.ID, vm.Zone)
			if err != nil {
				return ""
			}
			return sv.Address
		}
	}
	return ""
}

// loopback is a Fabric that uses the operating system's loopback interface. All
// its hosts share one network, and Kill has no effect.
type loopback struct{}

// Loopback returns a Fabric that uses TCP on 127.0.0.1.
func Loopback() Fabric { return loopback{} }

func (loopback) Host(string, string) netx.Network { return netx.TCP{} }

func (loopback) Kill(string) {}

// Address implements Fabric. It finds a free port by opening and closing a
// listener.
func (loopback) Address(string, string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "127.0.0.1:0"
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// Package site composes a whole small site: the platform's stand-ins, backend
// servers, the older system and entry nodes, over TCP on loopback or over an
// in-memory network. It serves `buckthornpick-dev` and the tests.
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

// Fabric gives hosts their network and addresses.
type Fabric interface {
	// Host returns the network as the host sees it.
	Host(name, zone string) netx.Network
	// Address returns a free "host:port" for a listener of the host.
	Address(host, listener string) string
	// Kill ends every connection of the host, as the death of its process
	// does.
	Kill(host string)
}

// ServerSpec describes the backend servers of one service.
type ServerSpec struct {
	Service string
	Kind    config.ServiceKind
	// Zones holds the zone of each server.
	Zones []string
	// Class and PricePerHour describe their VMs.
	Class        string
	PricePerHour float64
	Engine       engine.Settings
	Plain        plainservice.Settings
}

// Options describe a site.
type Options struct {
	Seed   uint64
	Fabric Fabric
	// Entries holds the zone of each entry node.
	Entries []string
	Servers []ServerSpec
	// Document is the first configuration; its older system's address is
	// filled in.
	Document *config.Document
	Older    *oldersystem.Settings
	Cloud    cloud.Settings
	// Log returns the logger of an entry node; nil discards.
	Log func(node, zone string) *telemetry.Logger
	// Tune changes an entry's configuration before it starts; may be nil.
	Tune Tune
	// Planners runs a planner beside each entry; default false.
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

	storeURL string
	cloudURL string
	ctx      context.Context
	cancel   context.CancelFunc
	work     sync.WaitGroup

	mu      sync.Mutex
	entries map[string]*Entry
	servers map[string]*Server
	names   map[string]int
}

// Start starts the stand-ins, the backend servers and the entries.
func Start(o Options) (*Site, error) {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Site{
		options: o, ctx: ctx, cancel: cancel, Store: kv.New(o.Seed),
		entries: map[string]*Entry{}, servers: map[string]*Server{}, names: map[string]int{},
	}
	o.Cloud.OnTerminated = s.terminated
	o.Cloud.OnLive = s.becameLive
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

// Close ends everything at once.
func (s *Site) Close() {
	for _, e := range s.Entries() {
		e.Kill()
	}
	for _, sv := range s.Servers() {
		sv.Kill()
	}
	s.cancel()
	s.work.Wait()
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

func (s *Site) run(f func(context.Context) error) {
	s.work.Add(1)
	go func() {
		defer s.work.Done()
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
	s.work.Add(1)
	go func() {
		defer s.work.Done()
		_ = server.Serve(l)
	}()
	context.AfterFunc(ctx, func() { _ = server.Close() })
	return server, address, nil
}

// name returns a fresh host name with the prefix.
func (s *Site) name(prefix string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.names[prefix]++
	return fmt.Sprintf("%s-%d", prefix, s.names[prefix])
}

// terminated ends the process of a VM that the cloud has taken back.
func (s *Site) terminated(vm provider.VM) {
	if e, ok := s.Entry(vm.ID); ok {
		e.Kill()
	}
	if sv, ok := s.Server(vm.ID); ok {
		sv.Kill()
	}
}

// becameLive starts the process of a VM that the cloud has started.
func (s *Site) becameLive(vm provider.VM) string {
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

// loopback is a Fabric on the operating system's loopback interface.
type loopback struct{}

// Loopback returns a Fabric that uses TCP on 127.0.0.1.
func Loopback() Fabric { return loopback{} }

func (loopback) Host(string, string) netx.Network { return netx.TCP{} }

func (loopback) Kill(string) {}

// Address reserves a free port by opening and closing it.
func (loopback) Address(string, string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "127.0.0.1:0"
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

package site

import (
	"context"
	"net/http"

	"buckthornpick/internal/config"
	"buckthornpick/internal/provider"
	"buckthornpick/internal/standin/engine"
	"buckthornpick/internal/standin/plainservice"
)

// Server is a backend server of the site. Exactly one of Engine and Plain is set.
type Server struct {
	ID, Zone, Service, Address string
	Engine                     *engine.Server
	Plain                      *plainservice.Server

	site   *Site
	http   *http.Server
	cancel context.CancelFunc
}

// StartServer starts a backend server on a new VM.
func (s *Site) StartServer(spec ServerSpec, zone string) (*Server, error) {
	sv, err := s.startServerOn(spec, s.newHostName(spec.Service+"-"+zone), zone)
	if err != nil {
		return nil, err
	}
	s.Cloud.Add(provider.VM{
		ID: sv.ID, Zone: zone, Class: spec.Class, Service: spec.Service, Address: sv.Address,
		Reclaimable: true, PricePerHour: spec.PricePerHour, Accelerators: AcceleratorsOf(spec),
	})
	return sv, nil
}

// AcceleratorsOf returns the number of accelerators of the server's VM.
func AcceleratorsOf(spec ServerSpec) int {
	if spec.Kind == config.ModelService {
		return 1
	}
	return 0
}

func (s *Site) startServerOn(spec ServerSpec, id, zone string) (*Server, error) {
	ctx, cancel := context.WithCancel(s.ctx)
	sv := &Server{ID: id, Zone: zone, Service: spec.Service, site: s, cancel: cancel}
	h := sv.provision(spec)
	if sv.Engine != nil {
		s.run(func(context.Context) error { return sv.Engine.Run(ctx) })
	}
	var err error
	sv.http, sv.Address, err = s.listenAndServe(ctx, id, zone, h)
	if err != nil {
		cancel()
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.servers[id] = sv
	return sv, nil
}

// provision creates the engine or plain service of the server and returns its
// handler.
func (sv *Server) provision(spec ServerSpec) http.Handler {
	if spec.Kind == config.PlainService {
		settings := spec.Plain
		settings.OnCrash = sv.dropConnections
		sv.Plain = plainservice.New(settings)
		return sv.Plain
	}
	settings := spec.Engine
	settings.ID = sv.ID
	settings.OnCrash = sv.dropConnections
	sv.Engine = engine.New(settings)
	return sv.Engine
}

func (sv *Server) dropConnections() { sv.site.options.Fabric.Kill(sv.ID) }

// Kill ends the server's process at once.
func (sv *Server) Kill() {
	sv.cancel()
	_ = sv.http.Close()
	sv.site.options.Fabric.Kill(sv.ID)
}

// Servers returns all backend servers started so far, including those that have
// ended, in no fixed order.
func (s *Site) Servers() []*Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*Server, 0, len(s.servers))
	for _, sv := range s.servers {
		out = append(out, sv)
	}
	return out
}

// Server returns the backend server with the ID.
func (s *Site) Server(id string) (*Server, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sv, ok := s.servers[id]
	return sv, ok
}

// Restart restarts the process of a crashed server at the same address. An engine
// restarts with an empty cache and no attempts.
func (sv *Server) Restart() error {
	l, err := sv.site.options.Fabric.Host(sv.ID, sv.Zone).Listen(sv.Address)
	if err != nil {
		return err
	}
	if sv.Engine != nil {
		sv.Engine.Restart()
	} else {
		sv.Plain.Restart()
	}
	server := &http.Server{Handler: sv.http.Handler, ReadHeaderTimeout: sv.http.ReadHeaderTimeout}
	sv.site.background.Go(func() { _ = server.Serve(l) })
	context.AfterFunc(sv.site.ctx, func() { _ = server.Close() })
	return nil
}

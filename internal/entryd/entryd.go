// Package entryd creates and runs an entry process from its settings file.
package entryd

import (
	"context"
	"crypto/tls"
	"errors"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"buckthornpick/internal/admin"
	"buckthornpick/internal/cli"
	"buckthornpick/internal/config"
	"buckthornpick/internal/entry"
	"buckthornpick/internal/fault"
	"buckthornpick/internal/membudget"
	"buckthornpick/internal/netx"
	"buckthornpick/internal/telemetry"
)

// Daemon returns the description of the buckthornpick-entry binary.
func Daemon() cli.Daemon[config.EntrySettings] {
	return cli.Daemon[config.EntrySettings]{
		Name:  "buckthornpick-entry",
		Usage: "take callers' requests, own and route them, and stream the answers back",
		Node: func(s *config.EntrySettings) (config.NodeSettings, *config.LogSettings) {
			return s.Node, &s.Log
		},
		Run: Run,
	}
}

// Run runs an entry. When ctx ends or an operator requests a drain, the entry
// performs a planned stop, and Run returns after it.
func Run(ctx context.Context, s config.EntrySettings, p *cli.Process) error {
	network := netx.TCP{}
	memory := membudget.ForProcess(s.Limits.MemoryBytes(), p.Log, p.Metrics)
	cfg, cleanup, err := nodeConfig(s, network, p)
	if err != nil {
		return err
	}
	defer cleanup()
	cfg.Gateway.Memory = memory
	node := entry.New(cfg)
	callers, tlsConfig, err := listen(network, s, memory, p.Log)
	if err != nil {
		return err
	}
	drain, requestDrain := context.WithCancel(ctx)
	defer requestDrain()
	adminSrv, err := adminServer(s, node, requestDrain, p)
	if err != nil {
		return err
	}
	process := &entry.Process{
		Node: node, Callers: callers, TLS: tlsConfig, Server: callerServer(s),
		ReadyDelay:    time.Duration(s.Drain.ReadyDelay),
		ShutdownGrace: time.Duration(s.Drain.Grace),
	}
	return runWithAdmin(drain, process, adminSrv)
}

// runWithAdmin runs the entry, and the admin server until the entry has stopped.
func runWithAdmin(ctx context.Context, process *entry.Process, adminSrv *cli.AdminServer) error {
	adminCtx, stopAdmin := context.WithCancel(context.WithoutCancel(ctx))
	defer stopAdmin()
	var g errgroup.Group
	g.Go(func() error { return adminSrv.Run(adminCtx) })
	g.Go(func() error {
		defer stopAdmin()
		return process.Run(ctx)
	})
	return g.Wait()
}

func callerServer(s config.EntrySettings) *http.Server {
	return &http.Server{
		ReadHeaderTimeout: time.Duration(s.Callers.ReadHeaderTimeout),
		IdleTimeout:       time.Duration(s.Callers.IdleTimeout),
		MaxHeaderBytes:    s.Bounds.MaxHeaderBytes,

		DisableGeneralOptionsHandler: true,
	}
}

// listen opens the listener for callers. The TLS configuration is nil if there is none.
func listen(n netx.Network, s config.EntrySettings, memory *membudget.Budget, log *telemetry.Logger) (*netx.CallerListener, *tls.Config, error) {
	tlsConfig, err := cli.ServerTLS(s.Callers.TLS, log)
	if err != nil {
		return nil, nil, err
	}
	l, err := n.Listen(s.Callers.Address)
	if err != nil {
		return nil, nil, fault.Wrap(err, fault.Unavailable, "callers.listen", s.Callers.Address, "cannot listen")
	}
	log.Log(cli.EvListening, "listener", "callers", "address", l.Addr().String(), "tls", tlsConfig != nil)
	netx.BoundReceiveBuffers(l)
	return netx.NewCallerListener(l, netx.CallerOptions{MaxConnections: s.MaxCallers(), Memory: memory}), tlsConfig, nil
}

func adminServer(s config.EntrySettings, node *entry.Node, drain func(), p *cli.Process) (*cli.AdminServer, error) {
	token, err := config.LoadSecret(s.Admin.Token, s.Admin.TokenFile)
	if err != nil {
		return nil, err
	}
	tlsConfig, err := cli.ServerTLS(s.Admin.TLS, p.Log)
	if err != nil {
		return nil, err
	}
	handler := AdminHandler(s.Node, s.Admin.Pprof, token, node, drain, p)
	return cli.ListenAdmin(netx.TCP{}, s.Admin.Address, tlsConfig, handler, p.Log)
}

// AdminHandler returns the handler of an entry's admin listener. If token is empty,
// the operators' API is disabled.
func AdminHandler(s config.NodeSettings, pprof bool, token string, node *entry.Node, drain func(), p *cli.Process) http.Handler {
	pages := &cli.AdminPages{Metrics: p.Metrics, Ready: node.Ready, Pprof: pprof}
	if token != "" {
		pages.API = admin.New(admin.Config{
			Node: s.ID, Zone: s.Zone, Region: s.Region, Version: cli.FullVersion(),
			Token: token, Document: node.Documents(), Members: memberLister{node}, Drainer: drainFunc(drain), Log: p.Log,
		}).Handler()
	}
	return pages.Handler()
}

// memberLister lists the members of the current table for the operators' API.
type memberLister struct{ node *entry.Node }

// Members implements admin.Members.
func (m memberLister) Members() []admin.Member {
	var out []admin.Member
	for _, member := range m.node.Members().Table().Members {
		out = append(out, admin.Member{ID: member.ID, Zone: member.Zone, State: m.stateOf(member.ID), AdminURL: member.AdminURL})
	}
	return out
}

// Member states reported by the operators' API.
const (
	stateLive    = "live"
	stateLeaving = "leaving"
)

// stateOf returns stateLeaving for a member whose VM has received a reclaim notice.
func (m memberLister) stateOf(id string) string {
	if _, hasReclaimNotice := m.node.Inventory().View().Deadlines[id]; hasReclaimNotice {
		return stateLeaving
	}
	return stateLive
}

// drainFunc implements admin.Drainer by calling itself. It starts a planned stop.
type drainFunc func()

// Drain implements admin.Drainer.
func (d drainFunc) Drain(context.Context) error {
	if d == nil {
		return errors.New("this process cannot be drained")
	}
	d()
	return nil
}

// Package plannerd creates and runs a planner process from its settings file.
package plannerd

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"buckthornpick/internal/cli"
	"buckthornpick/internal/config"
	"buckthornpick/internal/kv/etcd"
	"buckthornpick/internal/netx"
	"buckthornpick/internal/planner"
	"buckthornpick/internal/provider/cloudhttp"
)

// idleConns bounds idle connections to one address.
const idleConns = 8

// Daemon returns the description of the buckthornpick-planner binary.
func Daemon() cli.Daemon[config.PlannerSettings] {
	return cli.Daemon[config.PlannerSettings]{
		Name:  "buckthornpick-planner",
		Usage: "start, drain and stop VMs and place models, for one zone at a time",
		Node: func(s *config.PlannerSettings) (config.NodeSettings, *config.LogSettings) {
			return s.Node, &s.Log
		},
		Run: Run,
	}
}

// Run runs a planner until ctx ends. The admin server runs until the planner has
// released its zone.
func Run(ctx context.Context, s config.PlannerSettings, p *cli.Process) error {
	tlsConfig, err := cli.ServerTLS(s.Admin.TLS, p.Log)
	if err != nil {
		return err
	}
	client := netx.HTTPClient(netx.TCP{}, netx.HTTPOptions{MaxIdlePerHost: idleConns, CloseIdleOnTimeout: true})
	defer client.CloseIdleConnections()
	cloud := cloudhttp.New(s.Cloud.URL, client, p.Log)
	worker := planner.New(planner.Config{
		ID: s.Node.ID, Zone: s.Node.Zone, ActionTimeout: time.Duration(s.Cloud.Timeout),
	}, planner.Deps{
		Store: etcd.New(etcd.Config{Endpoint: s.Store.URL, Timeout: time.Duration(s.Store.Timeout)}, client, p.Metrics),
		Cloud: cloud, Lister: cloud, Notices: cloud, Engines: client, Log: p.Log, Registry: p.Metrics,
	})
	pages := &cli.AdminPages{Metrics: p.Metrics, Pprof: s.Admin.Pprof}
	server, err := cli.ListenAdmin(netx.TCP{}, s.Admin.Address, tlsConfig, pages.Handler(), p.Log)
	if err != nil {
		return err
	}
	adminCtx, stopAdmin := context.WithCancel(context.WithoutCancel(ctx))
	defer stopAdmin()
	var g errgroup.Group
	g.Go(func() error { return server.Run(adminCtx) })
	g.Go(func() error {
		defer stopAdmin()
		return worker.Run(ctx)
	})
	return g.Wait()
}

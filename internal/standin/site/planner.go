package site

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"

	"buckthornpick/internal/kv/etcd"
	"buckthornpick/internal/netx"
	"buckthornpick/internal/planner"
	"buckthornpick/internal/provider/cloudhttp"
	"buckthornpick/internal/telemetry"
)

// noticeWait is the longest time of one call of a planner that waits for reclaim
// notices.
const noticeWait = 2 * time.Second

// startPlanner runs a planner on the entry's VM until the entry's process ends.
func (s *Site) startPlanner(e *Entry, network netx.Network) {
	log := telemetry.Discard()
	if s.options.Log != nil {
		log = s.options.Log(e.ID+"-planner", e.Zone)
	}
	registry := metrics.NewRegistry()
	client := netx.HTTPClient(network, netx.HTTPOptions{})
	cloud := cloudhttp.New(s.cloudURL, client, log)
	cloud.NoticeWait = noticeWait
	cfg := planner.Config{ID: e.ID, Zone: e.Zone}
	if s.options.TunePlanner != nil {
		s.options.TunePlanner(&cfg)
	}
	p := planner.New(cfg, planner.Deps{
		Store: etcd.New(etcd.Config{Endpoint: s.storeURL}, client, registry),
		Cloud: cloud, Lister: cloud, Notices: cloud, Engines: client, Log: log, Registry: registry,
	})
	ctx, cancel := context.WithCancel(s.ctx)
	go func() {
		<-e.done
		cancel()
	}()
	s.run(func(context.Context) error {
		defer client.CloseIdleConnections()
		return p.Run(ctx)
	})
}

// Package relayd creates and runs a relay process from its settings file.
package relayd

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"buckthornpick/internal/blame"
	"buckthornpick/internal/cli"
	"buckthornpick/internal/clock"
	"buckthornpick/internal/config"
	"buckthornpick/internal/duty"
	"buckthornpick/internal/exchange"
	"buckthornpick/internal/fault"
	"buckthornpick/internal/follow"
	"buckthornpick/internal/lease"
	"buckthornpick/internal/membudget"
	"buckthornpick/internal/netx"
	"buckthornpick/internal/originstore"
	"buckthornpick/internal/peer"
	"buckthornpick/internal/quota"
	"buckthornpick/internal/relay"
	"buckthornpick/internal/upstream"
	"buckthornpick/internal/usage"
)

// Adapter connects a relay to the platform that it runs on: header formats, store
// and cloud clients, and the keys and decoders of stored data.
type Adapter struct {
	Codec         relay.Codec
	Store         func(s config.RelaySettings, client *http.Client, p *cli.Process) follow.Store
	Cloud         func(s config.RelaySettings, client *http.Client) duty.Cloud
	ReadinessPath string

	DocumentKey    string
	DecodeDocument func([]byte) (*config.Document, error)
	ServersPrefix  string
	DecodeServer   func(key string, value []byte) (follow.Server, error)
	// Rollouts are the keys of roll-outs; needed if the settings' bounds allow any.
	Rollouts duty.RolloutKeys
}

// Daemon returns the description of the buckthornpick-relay binary.
func Daemon(a Adapter) cli.Daemon[config.RelaySettings] {
	return cli.Daemon[config.RelaySettings]{
		Name:    "buckthornpick-relay",
		Usage:   "forward requests that name each attempt, and share quotas and duties with the other entries",
		Reloads: true,
		Node: func(s *config.RelaySettings) (config.NodeSettings, *config.LogSettings) {
			return s.Node, &s.Log
		},
		Run: func(ctx context.Context, s config.RelaySettings, p *cli.Process) error {
			process := New(a, s, p, netx.TCP{}, clock.Boot)
			stop := process.reloadOnSignal()
			defer stop()
			return process.Run(ctx)
		},
	}
}

const (
	// documentPollWait is the interval at which an unchanged document is
	// confirmed. API keys are refused when the document was not confirmed for most
	// of the revocation time.
	documentPollWait = 900 * time.Millisecond
	// serversPollWait and serversPollPause batch the registry's heartbeats, because
	// each call to the store has a cost. They are bounded by the rule that a
	// draining server receives no requests from 2 s after the store acknowledged
	// its state. peerPollPause is the pause of entries that poll other entries
	// instead of the store.
	serversPollWait  = 2 * time.Second
	serversPollPause = 500 * time.Millisecond
	peerPollPause    = 250 * time.Millisecond
	// entriesPollWait is the wait of a poll for changes to the site's entries.
	entriesPollWait = 8 * time.Second

	// revokeMargin is subtracted from the revocation time. It covers the second for
	// which a poll may return nothing although the document has changed, and the
	// duration of a call.
	revokeMargin = 1200 * time.Millisecond

	dialTimeout = 1500 * time.Millisecond
	// dutyStandbyInterval is the mean interval at which a candidate checks the
	// duty lease while another entry holds it. Usage is due 10 s after its window.
	dutyStandbyInterval = 2 * time.Second
	leaseClockMargin    = 300 * time.Millisecond

	// peerPingInterval and peerPingTimeout detect connections that stopped
	// delivering; messages are sent five times a second.
	peerPingInterval = 700 * time.Millisecond
	peerPingTimeout  = 700 * time.Millisecond

	maxHeaderBytes = 64 << 10
	// maxProbeHeaderBytes is that of the readiness probe.
	maxProbeHeaderBytes = 8 << 10
	maxBodyBytes        = 4 << 20
	readHeaderTimeout   = 10 * time.Second
	// idleTimeout exceeds every idle timeout that the operators' document may set
	// for callers.
	idleTimeout = 2 * time.Minute
	// maxIdlePlatformConns bounds idle connections to the store and to the cloud
	// API, each.
	maxIdlePlatformConns = 8
)

// DutyLeaseKey is the store key that holds the lease on the site-wide duties.
const DutyLeaseKey = "buckthornpick/duties"

// Process is a relay process: the relay, its caches of stored data, its
// connections to other entries and its background tasks.
type Process struct {
	adapter  Adapter
	settings config.RelaySettings
	cli      *cli.Process
	network  netx.Network
	clock    clock.Clock

	platformClient   *http.Client // for the store and the cloud API
	pool             *upstream.Pool
	store            follow.Store
	zoneStore        *follow.ZoneStore
	cloud            duty.Cloud
	documents        *follow.Documents
	documentFollower *follow.Follower
	servers          *follow.Servers
	serversFollower  *follow.Follower
	entries          *follow.Entries
	siteSize         *follow.SiteSize
	crashes          *blame.Tracker
	entriesFollower  *follow.Follower
	secret           *follow.Secret
	transport        *peer.Transport
	exchange         *exchange.Exchange
	usageCounts      *usage.Counts
	balancer         *relay.Balancer
	origins          *relay.Origins
	declarer         *originstore.Declarer
	archive          *originstore.Archive
	spending         *relay.SpendingKeeper
	relay            *relay.Relay
	dutyLease        *lease.Lease
	// rollouts is nil if the settings allow no roll-outs.
	rollouts *rollouts
	// isDraining is set during a planned stop and makes the readiness probe fail.
	isDraining atomic.Bool
	memory     *membudget.Budget
}

// New creates a process that opens its listeners and connections on n.
func New(a Adapter, s config.RelaySettings, p *cli.Process, n netx.Network, c clock.Clock) *Process {
	process := &Process{adapter: a, settings: s, cli: p, network: n, clock: c}
	process.platformClient = netx.HTTPClient(n, netx.HTTPOptions{MaxIdlePerHost: maxIdlePlatformConns, DialTimeout: dialTimeout, CloseIdleOnTimeout: true})
	process.store = a.Store(s, process.platformClient, p)
	if s.Cloud != "" {
		process.cloud = a.Cloud(s, process.platformClient)
	}
	process.memory = membudget.ForProcess(s.Limits.MemoryBytes(), p.Log, p.Metrics)
	process.provisionRollouts()
	process.provisionFollowers()
	process.provisionRelay()
	return process
}

// provisionFollowers creates the caches of stored data, the followers that keep
// them up to date, and the transport to other entries.
func (p *Process) provisionFollowers() {
	a, log := p.adapter, p.cli.Log
	self := peer.Node{ID: p.settings.Node.ID, Zone: p.settings.Node.Zone, Address: p.settings.Peers}
	p.siteSize = follow.NewSiteSize(p.clock)
	p.entries = follow.NewEntries(self, p.siteSize, log)
	p.secret = follow.NewSecret(log)
	p.transport = peer.New(self, p.network, log, p.cli.Metrics, peer.Options{
		SecretSource: p.secret.Bytes, PingInterval: peerPingInterval, IdlePingInterval: peerPingInterval, PingTimeout: peerPingTimeout,
		MaxHandshakes: p.settings.MaxHandshakes(),
	})
	// The origins of streams learn of a second version before requests are sent there.
	p.documents = follow.NewDocuments(a.DocumentKey, a.DecodeDocument, log, func(d *follow.Document) {
		p.exchange.ShareOrigins(p.origins.SetDocument(d))
		p.balancer.SetDocument(d)
	})
	p.servers = follow.NewServers(a.ServersPrefix, a.DecodeServer, p.clock, log, func(list []follow.Server) {
		p.exchange.ShareOrigins(p.origins.SetServers(list))
		p.rollouts.setServers(list)
		p.balancer.SetServers(list)
	})
	p.zoneStore = follow.NewZoneStore(p.store, self, p.transport, p.entries, p.clock, log, a.DocumentKey, a.ServersPrefix, follow.EntriesPrefix)
	newFollower := func(o follow.Options, storePause time.Duration, sink follow.Sink) *follow.Follower {
		f := follow.New(o, p.zoneStore, sink, p.clock, log)
		p.zoneStore.ShareChanges(f, storePause)
		return f
	}
	p.documentFollower = newFollower(follow.Options{Name: "document", Prefix: a.DocumentKey, Wait: documentPollWait}, 0, p.documents)
	p.origins = relay.NewOrigins(p.clock, func() time.Duration { return p.serversFollower.Age() })
	p.documents.SetFollower(p.documentFollower)
	p.serversFollower = newFollower(follow.Options{Name: "servers", Prefix: a.ServersPrefix, Wait: serversPollWait, Pause: peerPollPause}, serversPollPause, p.servers)
	p.entriesFollower = newFollower(follow.Options{Name: "entries", Prefix: follow.EntriesPrefix, Wait: entriesPollWait}, 0, p.entries)
}

// provisionRelay creates the relay, the exchange with other entries and the duty
// lease.
func (p *Process) provisionRelay() {
	b, log := p.settings.Bounds, p.cli.Log
	p.pool = upstream.NewPool(p.network, p.cli.Metrics)
	p.pool.SetMaxOpen(p.settings.MaxUpstream())
	p.balancer = relay.NewBalancer(p.settings.Node.ID, p.settings.Node.Zone, p.clock, p.pool)
	run := exchange.RunName(p.settings.Node.ID, time.Now())
	p.usageCounts = usage.NewCounts(run, b.UsageWindow(), clock.NewWall(p.clock, time.Now))
	quotas := relay.NewQuotas(b.QuotaWindow(), p.clock)
	quotas.AllowSlack(b.QuotaSlackTokens)
	p.crashes = blame.New(p.clock, p.cli.Log)
	p.archive = originstore.NewArchive(originstore.ArchiveConfig{Store: p.store, RunName: run, Clock: p.clock, Log: log, Metrics: p.cli.Metrics})
	gate, board, recorder := p.rollouts.parts()
	p.exchange = exchange.New(exchange.Config{
		Rollouts: gate, Board: board,
		Transport: p.transport, Entries: p.entries, Size: p.siteSize, Balancer: p.balancer, Quotas: quotas, Crashes: p.crashes, Origins: p.origins, Archive: p.archive,
		Counts: p.usageCounts, Clock: p.clock, Log: log, UnregisteredGrace: p.maxDocumentAge() + b.QuotaWindow(),
	}, run)
	p.relay = relay.New(relay.Config{
		Codec: p.adapter.Codec, Documents: p.documents, Balancer: p.balancer, Servers: p.servers, Pool: p.pool, Quotas: quotas, Crashes: p.crashes, Origins: p.origins, OriginStore: p.archive,
		Rollouts: recorder,
		Peers:    p.exchange, Usage: p.usageCounts, Zone: p.settings.Node.Zone, Clock: p.clock, Log: log, Metrics: p.cli.Metrics, Memory: p.memory,
		Limits: relay.Limits{
			MaxDocumentAge:      p.maxDocumentAge(),
			MaxRefusalAge:       b.ApplyDelay(),
			Retries:             quota.RetryLimits{Ratio: b.RepeatRatio, Slack: b.RepeatSlack, Span: b.RepeatWindow()},
			DefaultMaxBodyBytes: maxBodyBytes,
		},
	})
	p.exchange.HandleDetours(p.relay)
	p.declarer = originstore.NewDeclarer(originstore.DeclarerConfig{
		Store: p.store, Origins: p.origins, Clock: p.clock, Log: log, IsFirstStart: p.settings.Bootstrap, Maintains: p.exchange.KeepsOrigins,
		Share: p.exchange.ShareOrigins,
	})
	p.spending = &relay.SpendingKeeper{Store: p.store, Quotas: quotas, Site: p.exchange.Site, IsKeeper: p.exchange.KeepsSpending, Clock: p.clock, Log: log}
	p.dutyLease = lease.New(lease.Config{
		Key: DutyLeaseKey, Holder: p.settings.Node.ID, TTL: b.LeaseDuration(), ClockMargin: leaseClockMargin, StandbyInterval: dutyStandbyInterval,
		IsCandidate: p.canHoldDutyLease,
	}, p.store, log)
}

// canHoldDutyLease reports whether this entry may hold the duty lease. The
// holder must know the usage and load of all other entries, and should be one of
// the few of its zone that call the store: a hub on a large site, and an entry that
// polls the store on a small one.
func (p *Process) canHoldDutyLease() bool {
	if p.exchange.HasHubs() {
		return p.exchange.IsHub()
	}
	return p.zoneStore.PollsStore()
}

// maxDocumentAge is the time for which API keys are accepted after the document
// was last confirmed.
func (p *Process) maxDocumentAge() time.Duration {
	return p.settings.Bounds.RevocationDelay() - revokeMargin
}

// Run serves until ctx ends, and then performs a planned stop.
func (p *Process) Run(ctx context.Context) error {
	defer p.platformClient.CloseIdleConnections()
	defer p.pool.Close()
	listeners, err := p.listen()
	if err != nil {
		return err
	}
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	g, runCtx := errgroup.WithContext(runCtx)
	for _, run := range p.backgroundTasks() {
		g.Go(func() error { return run(runCtx) })
	}
	for l, server := range map[net.Listener]*http.Server{listeners.callers: p.callerServer(listeners.callers), listeners.readiness: p.readinessServer(listeners.readiness)} {
		g.Go(func() error { return serve(server, l) })
		g.Go(func() error {
			<-runCtx.Done()
			return server.Close()
		})
	}
	if p.settings.Metrics != "" {
		pages := &cli.AdminPages{Metrics: p.cli.Metrics, Ready: p.checkReady, Where: http.HandlerFunc(p.relay.ServeWhere)}
		admin, err := cli.ListenAdmin(p.network, p.settings.Metrics, nil, pages.Handler(), p.cli.Log)
		if err != nil {
			return err
		}
		g.Go(func() error { return admin.Run(runCtx) })
	}
	g.Go(func() error {
		select {
		case <-ctx.Done():
			p.stop(listeners.callers)
		case <-runCtx.Done():
		}
		return errStopped
	})
	if err := g.Wait(); !errors.Is(err, errStopped) {
		return err
	}
	return nil
}

// errStopped cancels the errgroup after a planned stop.
var errStopped = errors.New("stopped")

// backgroundTasks returns the functions that Run starts in goroutines, apart from
// the listeners. Without a cloud API there are no site-wide duties.
func (p *Process) backgroundTasks() []func(context.Context) error {
	tasks := []func(context.Context) error{
		p.documentFollower.Run, p.serversFollower.Run, p.servers.Run, p.entriesFollower.Run, p.transport.Run, p.exchange.Run, p.pool.WatchPath, p.declarer.Run, p.archive.Run, p.spending.Run,
		func(ctx context.Context) error { return p.entries.Register(ctx, p.store) },
		func(ctx context.Context) error { return p.siteSize.LoadStored(ctx, p.store, p.cli.Log) },
		func(ctx context.Context) error { return p.crashes.LoadStored(ctx, p.store) },
		func(ctx context.Context) error { return p.secret.Run(ctx, p.store) },
	}
	tasks = append(tasks, p.rolloutTasks()...)
	if p.cloud != nil || p.rollouts != nil {
		tasks = append(tasks, func(ctx context.Context) error {
			err := p.dutyLease.Run(ctx)
			p.dutyLease.Release(context.WithoutCancel(ctx))
			return err
		})
	}
	if p.cloud == nil {
		return tasks
	}
	if slices.Contains(p.settings.Duties, config.DutyUsage) {
		reporter := &duty.Reporter{Lease: p.dutyLease, Store: p.store, Cloud: p.cloud, Counts: p.usageCounts, Size: p.siteSize, Crashes: p.crashes, Log: p.cli.Log}
		tasks = append(tasks, reporter.Run)
	}
	if slices.Contains(p.settings.Duties, config.DutyScaling) {
		scaler := duty.NewScaler(duty.ScalerConfig{
			Lease: p.dutyLease, Cloud: p.cloud, Documents: p.documents, Balancer: p.balancer,
			Demand: p.exchange, AreServersKnown: p.serversFollower.HasListed, IsRollingOut: p.rollouts.isRollingOut, Clock: p.clock, Log: p.cli.Log,
		})
		tasks = append(tasks, scaler.Run)
	}
	return tasks
}

// listeners holds the listeners of callers and of the readiness probe.
type listeners struct {
	callers   *netx.CallerListener
	readiness *netx.CallerListener
}

func (p *Process) listen() (listeners, error) {
	var l listeners
	accepted, err := p.openListener("callers", p.settings.Callers)
	if err != nil {
		return l, err
	}
	netx.BoundReceiveBuffers(accepted)
	logClosed := func(peer net.Addr, reason netx.TimeoutReason, waited time.Duration) {
		p.cli.Log.Log(EvCallerClosed, "peer", peer.String(), "reason", string(reason), "waited_ms", waited.Milliseconds())
	}
	l.callers = netx.NewCallerListener(accepted, netx.CallerOptions{
		Timeouts: p.callerTimeouts, OnTimeout: logClosed, MaxConnections: p.settings.MaxCallers(), Memory: p.memory,
	})
	accepted, err = p.openListener("readiness", p.settings.Readiness)
	if err != nil {
		return l, err
	}
	l.readiness = netx.NewProbeListener(accepted, logClosed, p.cli.Log)
	return l, nil
}

func (p *Process) openListener(name, address string) (net.Listener, error) {
	l, err := p.network.Listen(address)
	if err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, name+".listen", address, "cannot listen")
	}
	p.cli.Log.Log(cli.EvListening, "listener", name, "address", address)
	return l, nil
}

// serve runs s on l. It returns nil after s was shut down.
func serve(s *http.Server, l net.Listener) error {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// callerServer returns the HTTP server of callers. Its fixed timeouts are upper
// bounds; those of the current document are enforced by the listener.
func (p *Process) callerServer(callers *netx.CallerListener) *http.Server {
	server := &http.Server{
		Handler: netx.BoundUnreadBodies(p.relay), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		// net/http would answer "OPTIONS *" with a success that no backend server gave.
		DisableGeneralOptionsHandler: true,
	}
	callers.Attach(server)
	return server
}

// callerTimeouts returns the header and idle timeout of the current document.
func (p *Process) callerTimeouts() (header, idle time.Duration) {
	doc, _ := p.documents.Current()
	if doc == nil {
		return 0, 0
	}
	limits := doc.CallerLimits
	return time.Duration(limits.HeaderTimeoutMillis) * time.Millisecond, time.Duration(limits.IdleTimeoutMillis) * time.Millisecond
}

func (p *Process) readinessServer(l *netx.CallerListener) *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+p.adapter.ReadinessPath, func(w http.ResponseWriter, _ *http.Request) {
		if err := p.checkReady(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
		}
	})
	server := &http.Server{Handler: netx.BoundUnreadBodies(mux), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxProbeHeaderBytes}
	l.Attach(server)
	return server
}

// checkReady returns an error if this entry must not receive callers.
func (p *Process) checkReady() error {
	doc, _ := p.documents.Current()
	switch {
	case p.isDraining.Load():
		return errors.New("draining")
	case doc == nil:
		return errors.New("no document yet")
	case !p.rollouts.isInformed():
		return errors.New("the orders of roll-outs are not known yet")
	case !p.relay.InRotation():
		return errors.New("the document was not confirmed for too long")
	}
	return nil
}

// reloadOnSignal reads the settings file again at each SIGHUP until the returned
// function is called. The values read at startup stay in force; reload logs whether
// a restart is needed to apply the new ones.
func (p *Process) reloadOnSignal() (stop func()) {
	done := make(chan struct{})
	go func() {
		for {
			select {
			case <-p.cli.Hangups:
				p.reload()
			case <-done:
				return
			}
		}
	}()
	return func() { close(done) }
}

// reload reads the settings file and logs whether it is valid, and whether its node,
// callers, store, bounds or limits settings differ from those in force. Other settings are
// not compared.
func (p *Process) reload() {
	next, err := config.Load[config.RelaySettings](p.cli.Settings)
	if err != nil {
		p.cli.Log.Log(EvReloadFailed, "error", err.Error())
		return
	}
	p.cli.Log.Log(EvReloaded, "restart_due", next.Node != p.settings.Node || next.Callers != p.settings.Callers || next.Store != p.settings.Store || next.Bounds != p.settings.Bounds || next.Limits != p.settings.Limits)
}

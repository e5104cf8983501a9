package relayd

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"os/signal"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"buckthornpick/internal/cli"
	"buckthornpick/internal/clock"
	"buckthornpick/internal/config"
	"buckthornpick/internal/duty"
	"buckthornpick/internal/exchange"
	"buckthornpick/internal/fault"
	"buckthornpick/internal/follow"
	"buckthornpick/internal/lease"
	"buckthornpick/internal/netx"
	"buckthornpick/internal/peer"
	"buckthornpick/internal/quota"
	"buckthornpick/internal/relay"
	"buckthornpick/internal/upstream"
	"buckthornpick/internal/usage"
)

// Adapter is what a relay needs of the platform that it runs on.
type Adapter struct {
	Codec         relay.Codec
	Store         func(s config.RelaySettings, client *http.Client, p *cli.Process) follow.Store
	Cloud         func(s config.RelaySettings, client *http.Client) duty.Cloud
	ReadinessPath string

	DocumentKey    string
	DecodeDocument func([]byte) (*config.Document, error)
	ServersPrefix  string
	DecodeServer   func(key string, value []byte) (follow.Server, error)
}

// Daemon returns the description of the buckthornpick-relay binary.
func Daemon(a Adapter) cli.Daemon[config.RelaySettings] {
	return cli.Daemon[config.RelaySettings]{
		Name:  "buckthornpick-relay",
		Usage: "forward requests that name each attempt, and share quotas and duties with the other entries",
		Node: func(s *config.RelaySettings) (config.NodeSettings, *config.LogSettings) {
			return s.Node, &s.Log
		},
		Run: func(ctx context.Context, s config.RelaySettings, p *cli.Process) error {
			x := New(a, s, p, netx.TCP{}, clock.Boot)
			stop := x.reloadOnSignal()
			defer stop()
			return x.Run(ctx)
		},
	}
}

const (
	// documentWait is how often the document is confirmed without changes: keys
	// are refused when it was not confirmed for most of the revocation time.
	documentWait = time.Second
	// serversWait and serversPause let the registry's heartbeats gather, since each
	// call to the store has its price; leaving servers must get nothing from 2 s
	// after the store's acknowledgement. askPause is that of entries which ask
	// others in place of the store.
	serversWait  = 2 * time.Second
	serversPause = 500 * time.Millisecond
	askPause     = 250 * time.Millisecond
	// entriesWait is the wait for changes of the site's entries.
	entriesWait = 8 * time.Second

	// revokeMargin is taken off the revocation time: a watch may hear nothing
	// for a second while changes are made, and a call takes its time.
	revokeMargin = 1200 * time.Millisecond

	dialTimeout = 1500 * time.Millisecond
	// dutyStandby is the mean time between looks at duties that another entry
	// holds: usage is due 10 s after its window.
	dutyStandby = 2 * time.Second
	leaseMargin = 300 * time.Millisecond

	// peerSilence and peerTimeout find connections that went silent; messages
	// come five times a second.
	peerSilence = 700 * time.Millisecond
	peerTimeout = 700 * time.Millisecond

	maxHeaderBytes    = 64 << 10
	maxBodyBytes      = 4 << 20
	readHeaderTimeout = 10 * time.Second
	// idleTimeout is above any that the operators' document gives callers.
	idleTimeout = 2 * time.Minute
	// maxIdleToPlatform bounds kept connections to the store or the cloud API.
	maxIdleToPlatform = 8
)

// DutyLeaseKey is the store key that holds the lease on the site-wide duties.
const DutyLeaseKey = "buckthornpick/duties"

// Process is a relay with everything that it works with.
type Process struct {
	adapter Adapter
	s       config.RelaySettings
	p       *cli.Process
	network netx.Network
	clock   clock.Clock

	client    *http.Client // for the store and the cloud API
	pool      *upstream.Pool
	store     follow.Store
	zone      *follow.ZoneStore
	cloud     duty.Cloud
	documents *follow.Documents
	document  *follow.Follower
	servers   *follow.Servers
	registry  *follow.Follower
	entries   *follow.Entries
	size      *follow.SiteSize
	members   *follow.Follower
	secret    *follow.Secret
	transport *peer.Transport
	exchange  *exchange.Exchange
	counts    *usage.Counts
	balancer  *relay.Balancer
	relay     *relay.Relay
	lease     *lease.Lease
	// isDraining fails readiness during a planned stop.
	isDraining atomic.Bool
}

// New provisions a process that opens its listeners and connections on n.
func New(a Adapter, s config.RelaySettings, p *cli.Process, n netx.Network, c clock.Clock) *Process {
	x := &Process{adapter: a, s: s, p: p, network: n, clock: c}
	x.client = netx.HTTPClient(n, netx.HTTPOptions{MaxIdlePerHost: maxIdleToPlatform, DialTimeout: dialTimeout})
	x.store = a.Store(s, x.client, p)
	if s.Cloud != "" {
		x.cloud = a.Cloud(s, x.client)
	}
	x.provisionViews()
	x.provisionRelay()
	return x
}

func (x *Process) provisionViews() {
	a, log := x.adapter, x.p.Log
	self := peer.Node{ID: x.s.Node.ID, Zone: x.s.Node.Zone, Address: x.s.Peers}
	x.size = follow.NewSiteSize(x.clock)
	x.entries = follow.NewEntries(self, x.size, log)
	x.secret = follow.NewSecret(log)
	x.transport = peer.New(self, x.network, log, x.p.Metrics, peer.Options{
		SecretSource: x.secret.Bytes, PingInterval: peerSilence, IdlePingInterval: peerSilence, PingTimeout: peerTimeout,
	})
	x.documents = follow.NewDocuments(a.DocumentKey, a.DecodeDocument, log, func(d *follow.Document) { x.balancer.SetDocument(d) })
	x.servers = follow.NewServers(a.ServersPrefix, a.DecodeServer, x.clock, log, func(list []follow.Server) { x.balancer.SetServers(list) })
	x.zone = follow.NewZoneStore(x.store, self, x.transport, x.entries, x.clock, log, a.DocumentKey, a.ServersPrefix, follow.EntriesPrefix)
	follower := func(o follow.Options, storePause time.Duration, sink follow.Sink) *follow.Follower {
		f := follow.New(o, x.zone, sink, x.clock, log)
		x.zone.ShareChanges(f, storePause)
		return f
	}
	x.document = follower(follow.Options{Name: "document", Prefix: a.DocumentKey, Wait: documentWait}, 0, x.documents)
	x.documents.SetFollower(x.document)
	x.registry = follower(follow.Options{Name: "servers", Prefix: a.ServersPrefix, Wait: serversWait, Pause: askPause}, serversPause, x.servers)
	x.members = follower(follow.Options{Name: "entries", Prefix: follow.EntriesPrefix, Wait: entriesWait}, 0, x.entries)
}

func (x *Process) provisionRelay() {
	b, log := x.s.Bounds, x.p.Log
	x.pool = upstream.NewPool(x.network, x.p.Metrics)
	x.balancer = relay.NewBalancer(x.s.Node.ID, x.s.Node.Zone, x.clock, x.pool)
	run := exchange.RunName(x.s.Node.ID, time.Now())
	x.counts = usage.NewCounts(run, b.UsageWindow(), clock.NewWall(x.clock, time.Now))
	quotas := relay.NewQuotas(b.QuotaWindow(), x.clock)
	crashes := relay.NewCrashTracker(x.clock)
	x.exchange = exchange.New(exchange.Config{
		Transport: x.transport, Entries: x.entries, Size: x.size, Balancer: x.balancer, Quotas: quotas, Crashes: crashes,
		Counts: x.counts, Clock: x.clock, Log: log, UnregisteredGrace: x.keyLife() + b.QuotaWindow(),
	}, run)
	x.relay = relay.New(relay.Config{
		Codec: x.adapter.Codec, Documents: x.documents, Balancer: x.balancer, Pool: x.pool, Quotas: quotas, Crashes: crashes,
		Peers: x.exchange, Usage: x.counts, Zone: x.s.Node.Zone, Clock: x.clock, Log: log, Metrics: x.p.Metrics,
		Limits: relay.Limits{
			MaxDocumentAge:      x.keyLife(),
			Retries:             quota.RetryLimits{Ratio: b.RepeatRatio, Slack: b.RepeatSlack, Span: b.RepeatWindow()},
			DefaultMaxBodyBytes: maxBodyBytes,
		},
	})
	x.lease = lease.New(lease.Config{
		Key: DutyLeaseKey, Holder: x.s.Node.ID, TTL: b.Lease(), ClockMargin: leaseMargin, StandbyInterval: dutyStandby,
		IsCandidate: x.mayHoldDuties,
	}, x.store, log)
}

// mayHoldDuties reports whether this entry knows the usage and the work of all
// others, and is one of the few of its zone that call the store.
func (x *Process) mayHoldDuties() bool {
	if x.exchange.HasHubs() {
		return x.exchange.IsHub()
	}
	return x.zone.PollsStore()
}

// keyLife is how long keys may be used after the document was last confirmed.
func (x *Process) keyLife() time.Duration { return x.s.Bounds.Revoke() - revokeMargin }

// Run serves until ctx ends, and then finishes what it has begun.
func (x *Process) Run(ctx context.Context) error {
	defer x.client.CloseIdleConnections()
	defer x.pool.Close()
	listeners, err := x.listen()
	if err != nil {
		return err
	}
	life, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	g, life := errgroup.WithContext(life)
	for _, run := range x.duties() {
		g.Go(func() error { return run(life) })
	}
	callers := x.callerServer()
	for l, server := range map[net.Listener]*http.Server{listeners.callers: callers, listeners.readiness: x.readinessServer()} {
		g.Go(func() error { return serve(server, l) })
		g.Go(func() error {
			<-life.Done()
			return server.Close()
		})
	}
	if x.s.Metrics != "" {
		pages := &cli.Pages{Metrics: x.p.Metrics, Ready: x.ready}
		admin, err := cli.ListenAdmin(x.network, x.s.Metrics, nil, pages.Handler(), x.p.Log)
		if err != nil {
			return err
		}
		g.Go(func() error { return admin.Run(life) })
	}
	g.Go(func() error {
		select {
		case <-ctx.Done():
			x.stop(callers)
		case <-life.Done():
		}
		return errStopped
	})
	if err := g.Wait(); !errors.Is(err, errStopped) {
		return err
	}
	return nil
}

// errStopped ends the run group after a planned stop.
var errStopped = errors.New("stopped")

// duties are the goroutines of the process besides its listeners.
func (x *Process) duties() []func(context.Context) error {
	list := []func(context.Context) error{
		x.document.Run, x.registry.Run, x.servers.Run, x.members.Run, x.transport.Run, x.exchange.Run,
		func(ctx context.Context) error { return x.entries.Register(ctx, x.store) },
		func(ctx context.Context) error { return x.size.LoadStored(ctx, x.store, x.p.Log) },
		func(ctx context.Context) error { return x.secret.LoadOrCreate(ctx, x.store) },
	}
	if x.cloud == nil {
		return list
	}
	list = append(list, func(ctx context.Context) error {
		err := x.lease.Run(ctx)
		x.lease.Release(context.WithoutCancel(ctx))
		return err
	})
	if slices.Contains(x.s.Duties, config.DutyUsage) {
		reporter := &duty.Reporter{Lease: x.lease, Store: x.store, Cloud: x.cloud, Counts: x.counts, Size: x.size, Log: x.p.Log}
		list = append(list, reporter.Run)
	}
	if slices.Contains(x.s.Duties, config.DutyScaling) {
		scaler := duty.NewScaler(duty.ScalerConfig{
			Lease: x.lease, Cloud: x.cloud, Documents: x.documents, Balancer: x.balancer,
			Demand: x.exchange, Clock: x.clock, Log: x.p.Log,
		})
		list = append(list, scaler.Run)
	}
	return list
}

type listeners struct{ callers, readiness net.Listener }

func (x *Process) listen() (listeners, error) {
	var l listeners
	var err error
	if l.callers, err = x.open("callers", x.s.Callers); err != nil {
		return l, err
	}
	l.callers = netx.LimitListener(l.callers, x.s.Bounds.MaxConnections)
	l.readiness, err = x.open("readiness", x.s.Readiness)
	return l, err
}

func (x *Process) open(name, address string) (net.Listener, error) {
	l, err := x.network.Listen(address)
	if err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, name+".listen", address, "cannot listen")
	}
	x.p.Log.Log(cli.EvListening, "listener", name, "address", address)
	return l, nil
}

func serve(s *http.Server, l net.Listener) error {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func (x *Process) callerServer() *http.Server {
	limits := newConnLimits(func() config.CallerLimits {
		if doc, _ := x.documents.Current(); doc != nil {
			return doc.CallerLimits
		}
		return config.CallerLimits{}
	})
	return &http.Server{
		Handler: x.relay, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnState: limits.track,
	}
}

func (x *Process) readinessServer() *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+x.adapter.ReadinessPath, func(w http.ResponseWriter, _ *http.Request) {
		if err := x.ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
		}
	})
	return &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
}

// ready returns why callers should go to other entries, nil if they need not.
func (x *Process) ready() error {
	doc, age := x.documents.Current()
	switch {
	case x.isDraining.Load():
		return errors.New("draining")
	case doc == nil:
		return errors.New("no document yet")
	case age > x.keyLife():
		return errors.New("the document was not confirmed for too long")
	}
	return nil
}

// reloadOnSignal reads the settings again at each SIGHUP, until the returned
// function is called. Addresses and bounds are those of the start; the log tells
// whether a restart is due.
func (x *Process) reloadOnSignal() (stop func()) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	done := make(chan struct{})
	go func() {
		for {
			select {
			case <-signals:
				x.reload()
			case <-done:
				return
			}
		}
	}()
	return func() {
		signal.Stop(signals)
		close(done)
	}
}

func (x *Process) reload() {
	next, err := config.Load[config.RelaySettings](x.p.Settings)
	if err != nil {
		x.p.Log.Log(EvReloadFailed, "error", err.Error())
		return
	}
	x.p.Log.Log(EvReloaded, "restart_due", next.Node != x.s.Node || next.Callers != x.s.Callers || next.Store != x.s.Store || next.Bounds != x.s.Bounds)
}

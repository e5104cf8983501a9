package planner

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"buckthornpick/internal/config"
	"buckthornpick/internal/confstore"
	"buckthornpick/internal/fault"
	"buckthornpick/internal/fleet"
	"buckthornpick/internal/kv"
	"buckthornpick/internal/lease"
	"buckthornpick/internal/provider"
	"buckthornpick/internal/telemetry"
	"buckthornpick/internal/wait"
)

// Deps holds the clients and services that a planner uses.
type Deps struct {
	Store   kv.Store
	Cloud   provider.Cloud
	Lister  provider.Lister
	Notices provider.NoticeSource
	// Engines is the HTTP client for calls to engines and to the servers of
	// plain services.
	Engines  *http.Client
	Log      *telemetry.Logger
	Registry metrics.Registry
}

// leasePrefix is the prefix of the keys, one for each zone, that are bound to
// the lease of the zone's acting planner.
const leasePrefix = "bp/planner/"

// Planner manages the fleet of one zone while it holds the zone's lease.
type Planner struct {
	cfg       Config
	deps      Deps
	log       *telemetry.Logger
	lease     *lease.Lease
	documents *confstore.Store
	notices   noticeState
	wake      chan struct{} // capacity 1: starts the next round immediately

	// The fields below are used only by the goroutine of runRounds.
	token      int64                             // fencing token of the lease that the fields below belong to
	estimators map[string]*fleet.DemandEstimator // by service
	demands    map[string]fleet.Demand           // last estimates, by service
	// differenceSince holds when a difference between plan and fleet was first
	// seen.
	differenceSince  map[differenceKey]time.Time
	operationCounter int                     // numbers the operations started under this lease
	unsentOperations map[string]bool         // operation IDs never sent to the platform
	engines          map[string]*engineState // by VM ID
	loadLimiter      *rate.Limiter
	// loggedDifferences holds the difference that was last logged for an offer.
	// A key without an offer records that EvSettling was logged for the service.
	loggedDifferences map[differenceKey]int
}

// differenceKey identifies a difference between plan and fleet that must last
// for StabilisationTime, or has been logged.
type differenceKey struct {
	service string
	offer   fleet.OfferKey
	// isGrowth is true for a plan with more VMs than the fleet and false for one
	// with fewer. Keys of loggedDifferences do not use it.
	isGrowth bool
}

// noticeState holds the reclaim notices received.
type noticeState struct {
	mu           sync.Mutex
	lastSequence int64
	deadlines    map[string]time.Time // by VM ID
}

// New returns a planner that is idle until Run is called.
func New(cfg Config, deps Deps) *Planner {
	cfg = cfg.withDefaults()
	p := &Planner{cfg: cfg, deps: deps, log: deps.Log, wake: make(chan struct{}, 1)}
	p.lease = lease.New(lease.Config{
		Key: leasePrefix + cfg.Zone, Holder: cfg.ID, TTL: cfg.LeaseTTL, ClockMargin: cfg.DriftMargin, StandbyInterval: cfg.StandbyInterval,
	}, deps.Store, deps.Log)
	p.notices.deadlines = map[string]time.Time{}
	p.documents = confstore.New(confstore.Config{Self: cfg.ID, WatchesStore: p.Acting}, deps.Store, deps.Log, deps.Registry)
	p.resetState()
	return p
}

// Acting reports whether this planner holds the zone's lease now.
func (p *Planner) Acting() bool {
	_, _, err := p.lease.Check()
	return err == nil
}

// Run competes for the zone's lease, and plans for the zone while it holds it,
// until ctx ends. At shutdown it releases the lease after its last action.
func (p *Planner) Run(ctx context.Context) error {
	var g errgroup.Group
	for _, task := range []func(context.Context) error{p.lease.Run, p.documents.Run, p.followNotices, p.runRounds} {
		g.Go(func() error { return task(ctx) })
	}
	err := g.Wait()
	p.lease.Release(ctx)
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// resetState discards the in-memory state of an earlier lease.
func (p *Planner) resetState() {
	p.estimators = map[string]*fleet.DemandEstimator{}
	p.demands = map[string]fleet.Demand{}
	p.differenceSince = map[differenceKey]time.Time{}
	p.loggedDifferences = map[differenceKey]int{}
	p.unsentOperations = map[string]bool{}
	p.engines = map[string]*engineState{}
	p.loadLimiter = rate.NewLimiter(rate.Limit(p.cfg.LoadsPerSecond), 1)
	p.operationCounter = 0
}

// runRounds runs planning rounds until ctx ends.
func (p *Planner) runRounds(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := p.runRound(ctx); err != nil && ctx.Err() == nil {
			p.incCounter("planner_rounds_failed_total")
			p.log.Log(EvRoundFailed, "error", err)
		}
		timer := time.NewTimer(p.cfg.Interval)
		select {
		case <-ctx.Done():
		case <-p.wake:
		case <-timer.C:
		}
		timer.Stop()
	}
	return nil
}

// runRound reads the state of the site, plans every service and carries out the
// resulting actions. Every action checks the lease again.
func (p *Planner) runRound(ctx context.Context) error {
	token, _, err := p.lease.Check()
	p.setGauge("planner_acting", err == nil)
	if err != nil {
		return nil // this planner does not hold the lease
	}
	if p.token != token {
		p.resetState()
		p.token = token
	}
	snapshot, ok := p.documents.Current()
	if !ok {
		return nil
	}
	s, err := p.readSite(ctx, snapshot.Document)
	if err != nil {
		return err
	}
	p.pruneState(s)
	for i := range snapshot.Document.Services {
		p.planService(ctx, s, &snapshot.Document.Services[i])
	}
	if err := p.saveState(ctx, s); err != nil {
		return err
	}
	if err := p.startVMs(ctx, s); err != nil {
		return err
	}
	if err := p.stopDrainedVMs(ctx, s); err != nil {
		return err
	}
	return p.placeModels(ctx, s)
}

// followNotices reads reclaim notices while this planner holds the lease.
func (p *Planner) followNotices(ctx context.Context) error {
	for ctx.Err() == nil {
		if !p.Acting() {
			wait.For(ctx, p.cfg.Interval/2)
			continue
		}
		p.notices.mu.Lock()
		lastSequence := p.notices.lastSequence
		p.notices.mu.Unlock()
		list, err := p.deps.Notices.Notices(ctx, lastSequence)
		if err != nil {
			wait.For(ctx, p.cfg.Interval/2)
			continue
		}
		if len(list) > 0 {
			p.recordNotices(list)
		}
	}
	return nil
}

func (p *Planner) recordNotices(list []provider.Notice) {
	p.notices.mu.Lock()
	for _, n := range list {
		p.notices.deadlines[n.VM] = n.Deadline
		p.notices.lastSequence = max(p.notices.lastSequence, n.Sequence)
	}
	p.notices.mu.Unlock()
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// withLease checks the lease immediately before it calls f, and ends the context
// of f with the lease or after ActionTimeout. It returns an error without
// calling f if the lease is not held or was lost since the round began.
func (p *Planner) withLease(ctx context.Context, f func(ctx context.Context, token int64) error) error {
	ctx, cancel := context.WithTimeout(ctx, p.cfg.ActionTimeout)
	defer cancel()
	token, until, err := p.lease.Check()
	if err != nil {
		return err
	}
	if token != p.token {
		return fault.New(fault.Conflict, "planner.act", p.cfg.Zone, "the lease has changed since the round began")
	}
	ctx, cancelDeadline := context.WithDeadline(ctx, until)
	defer cancelDeadline()
	return f(ctx, token)
}

func (p *Planner) incCounter(name string) {
	metrics.GetOrRegisterCounter(name, p.deps.Registry).Inc(1)
}

func (p *Planner) setGauge(name string, on bool) {
	value := int64(0)
	if on {
		value = 1
	}
	metrics.GetOrRegisterGauge(name, p.deps.Registry).Update(value)
}

// isModel reports whether the service is served by engines, which need
// accelerators.
func isModel(s *config.Service) bool { return s.Kind == config.ModelService }

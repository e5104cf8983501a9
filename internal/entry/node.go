package entry

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"buckthornpick/internal/backend"
	"buckthornpick/internal/claim"
	"buckthornpick/internal/config"
	"buckthornpick/internal/confstore"
	"buckthornpick/internal/dispatch"
	"buckthornpick/internal/gateway"
	"buckthornpick/internal/inventory"
	"buckthornpick/internal/kv"
	"buckthornpick/internal/limit"
	"buckthornpick/internal/member"
	"buckthornpick/internal/netx"
	"buckthornpick/internal/peer"
	"buckthornpick/internal/pool"
	"buckthornpick/internal/provider"
	"buckthornpick/internal/quarantine"
	"buckthornpick/internal/spread"
	"buckthornpick/internal/telemetry"
)

// Config holds what a node is made of.
type Config struct {
	// Self is the node's ID (its VM's ID), zone and addresses.
	Self member.Member
	// Secret authenticates nodes to each other.
	Secret []byte
	// Seeds are nodes to ask before there is a table; may be empty.
	Seeds []peer.Node

	Network  netx.Network
	Store    kv.Store
	Lister   provider.Lister
	Notices  provider.NoticeSource
	Backends backend.Client
	// KV moves KV cache between engines; may be nil.
	KV       dispatch.KVMover
	Log      *telemetry.Logger
	Registry metrics.Registry

	Gateway   gateway.Config
	Dispatch  dispatch.Config
	Member    member.Config
	Inventory inventory.Config
	Claim     claim.Config
	Limit     limit.Config
	Peer      peer.Options
	Spread    spread.Config
	Drain     DrainConfig
}

// Node is one entry node.
type Node struct {
	cfg        Config
	log        *telemetry.Logger
	own        ownership
	transport  *peer.Transport
	members    *member.Membership
	documents  *confstore.Store
	inventory  *inventory.Inventory
	pools      *pool.Set
	admitter   *limit.Admitter
	ledger     *claim.Ledger
	owner      *dispatch.Dispatcher
	spreader   *spread.Spreader
	gateway    *gateway.Gateway
	quarantine *quarantine.Quarantine
	minter     minter
	drains     drains
	drain      *drainState
	departures *departures
	heirsCache heirsCache

	// tableChangedAt is the time of the last new table, in Unix nanoseconds.
	tableChangedAt atomic.Int64
	provisionedAt  time.Time
	// searches counts the callers' requests whose owner is being looked for.
	searches atomic.Int64
}

// pollers is the number of members of a zone that read the platform's lists
// and watch the store.
const pollers = 2

// New provisions a node; it does nothing until Run.
func New(cfg Config) *Node {
	n := &Node{cfg: cfg, log: cfg.Log, drain: newDrainState(), provisionedAt: time.Now()}
	self := nodeOf(cfg.Self)
	cfg.Peer.Secret = cfg.Secret
	cfg.Peer.MaxFrameBytes = max(cfg.Peer.MaxFrameBytes, maxFrame(cfg))
	n.transport = peer.New(self, cfg.Network, cfg.Log, cfg.Registry, cfg.Peer)
	cfg.Member.Self = cfg.Self
	cfg.Member.GapWindow = gapWindow(cfg)
	cfg.Member.IsAlive = func(id string) bool {
		isAlive, _ := n.transport.Reachable(id)
		return isAlive
	}
	n.members = member.New(cfg.Member, cfg.Store, cfg.Log, cfg.Registry)
	n.departures = newDepartures(n.members)
	n.own = ownership{OwnershipTracker: &claim.OwnershipTracker{}, self: cfg.Self.ID, members: n.members}
	n.documents = confstore.New(confstore.Config{Self: cfg.Self.ID, WatchesStore: n.isPoller}, cfg.Store, cfg.Log, cfg.Registry)
	cfg.Inventory.IsPoller = n.isPoller
	n.inventory = inventory.New(cfg.Inventory, cfg.Lister, cfg.Notices, cfg.Log)
	n.pools = pool.New(cfg.Self.ID, cfg.Self.Zone)
	cfg.Limit.Log = cfg.Log
	n.admitter = limit.NewAdmitter(cfg.Limit)
	n.ledger = claim.New(cfg.Claim, n.own, cfg.Store, n.transport, cfg.Log, cfg.Registry)
	n.quarantine = quarantine.New(quarantine.Config{Peers: n.otherNodes, Coordinator: n.trialCoordinator},
		n.transport, cfg.Log, cfg.Registry)
	n.owner = dispatch.New(cfg.Dispatch, n.dispatchDeps())
	n.spreader = n.newSpreader()
	n.gateway = gateway.New(cfg.Gateway, n, cfg.Log, cfg.Registry)
	n.handlePeers()
	return n
}

// frameMargin is the room for everything in a message but body and answer.
const frameMargin = 1 << 20

// maxFrame returns the size of the largest message: the transfer of a request
// of the largest body with the largest answer.
func maxFrame(cfg Config) int {
	return int(cfg.Gateway.WithDefaults().MaxBodyBytes) + cfg.Dispatch.WithDefaults().AnswerBytes + frameMargin
}

// gapMargin covers the time from the lapse of a lease to the removal of its
// holder, and clocks that differ.
const gapMargin = time.Minute

// gapWindow returns how long a lost owner's requests may still be sent again:
// it may run them without the store for OwnerModeLimit, and callers may resend
// them for KeyWindow.
func gapWindow(cfg Config) time.Duration {
	d := cfg.Dispatch.WithDefaults()
	return max(cfg.Member.GapWindow, d.KeyWindow+d.OwnerModeLimit+gapMargin)
}

func (n *Node) dispatchDeps() dispatch.Deps {
	return dispatch.Deps{
		Document: n.documents.Current, Pools: n.pools, Claims: n.ledger, Ownership: n.own,
		Backends: n.cfg.Backends, KV: n.cfg.KV, Admitter: n.admitter, Quarantine: n.quarantine, Forward: n.passOn,
		Zone: n.cfg.Self.Zone, Log: n.cfg.Log, Registry: n.cfg.Registry,
	}
}

// trialPartition is the partition whose owner coordinates trials.
const trialPartition = 0

func (n *Node) trialCoordinator() (peer.Node, bool) {
	m, ok := n.members.Table().Owner(trialPartition)
	return nodeOf(m), ok
}

// isPoller reports whether this node reads the platform and watches the store
// for its zone. A node without a table does, so that it can start. Members that
// do not answer do not count: their leases last for a while after their death.
func (n *Node) isPoller() bool {
	return rankInZone(n.members.Table(), n.cfg.Self.ID, n.transport.IsUnreachable) < pollers
}

// Run runs the node's duties until ctx ends.
func (n *Node) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for _, duty := range []func(context.Context) error{
		n.transport.Run, n.members.Run, n.documents.Run, n.inventory.Run,
		n.ledger.Run, n.owner.Run, n.spreader.Run, n.departures.Run,
		n.applyDocuments, n.applyViews, n.applyTables, n.pullFromSeeds, n.preloadClaims, n.reportDemand,
	} {
		g.Go(func() error { return duty(ctx) })
	}
	return g.Wait()
}

// Handler returns the HTTP handler of the callers' listener.
func (n *Node) Handler() http.Handler { return n.gateway.Handler() }

// Documents returns the operators' document as this node sees it.
func (n *Node) Documents() *confstore.Store { return n.documents }

// Members returns the node's membership.
func (n *Node) Members() *member.Membership { return n.members }

// Inventory returns the node's view of the site.
func (n *Node) Inventory() *inventory.Inventory { return n.inventory }

// Running returns the number of requests owned here that have not ended.
func (n *Node) Running() int { return n.owner.Running() }

// Document implements gateway.Node.
func (n *Node) Document() (*config.Document, bool) {
	snapshot, ok := n.documents.Current()
	if !ok {
		return nil, false
	}
	return snapshot.Document, true
}

// Ready returns nil if the node serves callers.
func (n *Node) Ready() error {
	if n.drain.isDraining() {
		return errDraining
	}
	if _, ok := n.documents.Current(); !ok {
		return errNoDocument
	}
	return nil
}

// applyDocuments puts new documents in force.
func (n *Node) applyDocuments(ctx context.Context) error {
	documents, stop := n.documents.Subscribe()
	defer stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case snapshot := <-documents:
			doc := snapshot.Document
			n.pools.SetServices(time.Now(), doc.Services)
			n.admitter.Configure(doc.Organisations, doc.Services)
			n.applyCapacity(doc)
			n.spreader.Changed()
		}
	}
}

// applyViews gives new views of the site to the pickers.
func (n *Node) applyViews(ctx context.Context) error {
	views, stop := n.inventory.Subscribe()
	defer stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case view := <-views:
			n.pools.SetView(time.Now(), view)
			if doc, ok := n.Document(); ok {
				n.applyCapacity(doc)
			}
			n.noticeOwnDeadline(view)
			n.spreader.Changed()
		}
	}
}

// applyTables reacts to new tables of members.
func (n *Node) applyTables(ctx context.Context) error {
	tables, stop := n.members.Subscribe()
	defer stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case table := <-tables:
			n.tableChangedAt.Store(time.Now().UnixNano())
			n.own.observe(table)
			n.minter.setPartitions(ownedPartitions(table, n.cfg.Self.ID))
			n.spreader.Changed()
		}
	}
}

const (
	defaultPerServer = 64
	// olderSystemCapacity bounds this node's requests at the older system.
	olderSystemCapacity = 256
)

// applyCapacity tells the admitter how many servers each service has.
func (n *Node) applyCapacity(doc *config.Document) {
	for _, s := range doc.Services {
		perServer := s.MaxConcurrentPerServer
		if perServer == 0 {
			perServer = defaultPerServer
		}
		n.admitter.SetCapacity(s.Name, n.pools.AvailableServers(s.Name), perServer)
	}
	if doc.OlderSystem != nil {
		n.admitter.SetCapacity(dispatch.OlderSystem, 1, olderSystemCapacity)
	}
}

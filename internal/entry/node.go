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
	"buckthornpick/internal/tunnel"
)

// Config holds a node's identity, its dependencies and the configuration of its
// components.
type Config struct {
	// Self is the node's ID (its VM's ID), zone and addresses.
	Self member.Member
	// Secret authenticates nodes to each other.
	Secret []byte
	// Seeds are the nodes to contact before the node has a table of members; may
	// be empty.
	Seeds []peer.Node

	Network  netx.Network
	Store    kv.Store
	Lister   provider.Lister
	Notices  provider.NoticeSource
	Backends backend.Client
	// KV moves KV cache between engines; nil disables this.
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
	// Tunnels is the network of Backends, which opens connections by way of other nodes if
	// necessary; default one that Backends does not use.
	Tunnels *tunnel.Network
}

// Node is one entry node.
type Node struct {
	cfg             Config
	log             *telemetry.Logger
	ownership       ownership
	transport       *peer.Transport
	members         *member.Membership
	documents       *confstore.Store
	inventory       *inventory.Inventory
	pools           *pool.Set
	admitter        *limit.Admitter
	ledger          *claim.Ledger
	dispatcher      *dispatch.Dispatcher
	spreader        *spread.Gossiper
	gateway         *gateway.Gateway
	quarantine      *quarantine.Quarantine
	minter          minter
	drainingVMs     drainingVMs // VMs that the planners are draining
	drain           *drainState // progress of this node's own shutdown
	departures      *departureBatcher
	successorsCache successorsCache

	// tableChangedAt is when the table of members last changed, in Unix
	// nanoseconds.
	tableChangedAt atomic.Int64
	createdAt      time.Time
	// ownerSearches is the number of callers' requests whose owner is being
	// searched for.
	ownerSearches atomic.Int64
}

// pollersPerZone is the number of members per zone that poll the platform's VM
// lists and watch the store.
const pollersPerZone = 2

// New creates a node. It is inactive until Run is called.
func New(cfg Config) *Node {
	if cfg.Tunnels == nil {
		cfg.Tunnels = tunnel.New(cfg.Network)
	}
	n := &Node{cfg: cfg, log: cfg.Log, drain: newDrainState(), createdAt: time.Now()}
	self := nodeOf(cfg.Self)
	cfg.Peer.Secret = cfg.Secret
	cfg.Peer.MaxFrameBytes = max(cfg.Peer.MaxFrameBytes, maxFrameBytes(cfg))
	n.transport = peer.New(self, cfg.Network, cfg.Log, cfg.Registry, cfg.Peer)
	cfg.Member.Self = cfg.Self
	cfg.Member.GapWindow = gapWindow(cfg)
	cfg.Member.IsAlive = func(id string) bool {
		isAlive, _ := n.transport.Reachable(id)
		return isAlive
	}
	n.members = member.New(cfg.Member, cfg.Store, cfg.Log, cfg.Registry)
	n.departures = newDepartureBatcher(n.members)
	n.ownership = ownership{OwnershipTracker: &claim.OwnershipTracker{}, self: cfg.Self.ID, members: n.members}
	n.documents = confstore.New(confstore.Config{Self: cfg.Self.ID, WatchesStore: n.isPoller}, cfg.Store, cfg.Log, cfg.Registry)
	cfg.Inventory.IsPoller = n.isPoller
	n.inventory = inventory.New(cfg.Inventory, cfg.Lister, cfg.Notices, cfg.Log)
	n.pools = pool.New(cfg.Self.ID, cfg.Self.Zone)
	cfg.Limit.Log = cfg.Log
	n.admitter = limit.NewAdmitter(cfg.Limit)
	n.ledger = claim.New(cfg.Claim, n.ownership, cfg.Store, n.transport, cfg.Log, cfg.Registry)
	n.quarantine = quarantine.New(quarantine.Config{Peers: n.otherNodes, Coordinator: n.trialCoordinator},
		n.transport, cfg.Log, cfg.Registry)
	n.dispatcher = dispatch.New(cfg.Dispatch, n.dispatchDeps())
	n.spreader = n.newSpreader()
	n.gateway = gateway.New(cfg.Gateway, n, cfg.Log, cfg.Registry)
	n.handlePeers()
	cfg.Tunnels.Attach(tunnel.Config{Transport: n.transport, Others: n.otherNodes, Servers: n.serverAddresses, Log: cfg.Log})
	return n
}

// serverAddresses returns the addresses of the backend servers.
func (n *Node) serverAddresses() []string {
	var list []string
	for _, vm := range n.inventory.View().VMs {
		if vm.Address != "" {
			list = append(list, vm.Address)
		}
	}
	return list
}

// frameMarginBytes is reserved for the parts of a message other than the request
// body and the answer.
const frameMarginBytes = 1 << 20

// maxFrameBytes returns the size of the largest message between nodes: the
// transfer of a request with the largest body and the largest answer.
func maxFrameBytes(cfg Config) int {
	return int(cfg.Gateway.WithDefaults().MaxBodyBytes) + cfg.Dispatch.WithDefaults().AnswerBytes + frameMarginBytes
}

// gapMargin covers the time between the expiry of a lease and the removal of its
// holder from the table, and clock skew.
const gapMargin = time.Minute

// gapWindow returns how long after the loss of an owner its requests may be sent
// again: the owner may run them without the store for OwnerModeLimit, and callers
// may resend them for KeyWindow.
func gapWindow(cfg Config) time.Duration {
	d := cfg.Dispatch.WithDefaults()
	return max(cfg.Member.GapWindow, d.KeyWindow+d.OwnerModeLimit+gapMargin)
}

func (n *Node) dispatchDeps() dispatch.Deps {
	return dispatch.Deps{
		Document: n.documents.Current, Pools: n.pools, Claims: n.ledger, Ownership: n.ownership,
		Backends: n.cfg.Backends, KV: n.cfg.KV, Admitter: n.admitter, Quarantine: n.quarantine, Forward: n.transferToOwner,
		ConfirmNew: n.confirmNew,
		Zone:       n.cfg.Self.Zone, Log: n.cfg.Log, Registry: n.cfg.Registry,
	}
}

// trialPartition is the partition whose owner coordinates quarantine trials.
const trialPartition = 0

func (n *Node) trialCoordinator() (peer.Node, bool) {
	m, ok := n.members.Table().Owner(trialPartition)
	return nodeOf(m), ok
}

// isPoller reports whether this node polls the platform and watches the store on
// behalf of its zone. A node without a table does so too, so that it can start.
// Members that do not respond are not counted: their leases outlive them for a
// while.
func (n *Node) isPoller() bool {
	return rankInZone(n.members.Table(), n.cfg.Self.ID, n.transport.IsUnreachable) < pollersPerZone
}

// Run runs the node's background tasks until ctx ends.
func (n *Node) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for _, task := range []func(context.Context) error{
		n.transport.Run, n.members.Run, n.documents.Run, n.inventory.Run,
		n.ledger.Run, n.dispatcher.Run, n.spreader.Run, n.departures.Run,
		n.applyDocuments, n.applyViews, n.applyTables, n.pullFromSeeds, n.preloadClaims, n.reportDemand, n.cfg.Tunnels.Run,
	} {
		g.Go(func() error { return task(ctx) })
	}
	return g.Wait()
}

// Handler returns the HTTP handler of the callers' listener.
func (n *Node) Handler() http.Handler { return n.gateway.Handler() }

// Documents returns the node's copy of the operators' document.
func (n *Node) Documents() *confstore.Store { return n.documents }

// Members returns the node's membership.
func (n *Node) Members() *member.Membership { return n.members }

// Inventory returns the node's view of the site's VMs and reclaim notices.
func (n *Node) Inventory() *inventory.Inventory { return n.inventory }

// Running returns the number of unfinished requests owned by this node.
func (n *Node) Running() int { return n.dispatcher.Running() }

// Document implements gateway.Node.
func (n *Node) Document() (*config.Document, bool) {
	snapshot, ok := n.documents.Current()
	if !ok {
		return nil, false
	}
	return snapshot.Document, true
}

// Ready returns nil if the node serves callers, else the reason why not.
func (n *Node) Ready() error {
	if n.drain.isDraining() {
		return errDraining
	}
	if _, ok := n.documents.Current(); !ok {
		return errNoDocument
	}
	return nil
}

// applyDocuments applies new versions of the operators' document.
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
			n.spreader.NotifyChanged()
		}
	}
}

// applyViews applies new views of the site to the backend server pools, and checks
// them for a reclaim notice of this node's own VM.
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
			n.deliverOwnDeadline(view)
			n.spreader.NotifyChanged()
		}
	}
}

// applyTables applies new versions of the table of members.
func (n *Node) applyTables(ctx context.Context) error {
	tables, stop := n.members.Subscribe()
	defer stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case table := <-tables:
			n.tableChangedAt.Store(time.Now().UnixNano())
			n.ownership.observeTable(table)
			n.minter.setPartitions(ownedPartitions(table, n.cfg.Self.ID))
			n.spreader.NotifyChanged()
		}
	}
}

const (
	// defaultMaxPerServer is the number of concurrent requests per backend server
	// of a service that sets none.
	defaultMaxPerServer = 64
	// olderSystemCapacity bounds this node's concurrent requests to the older system.
	olderSystemCapacity = 256
)

// applyCapacity updates the admitter with the number of live servers of each
// service.
func (n *Node) applyCapacity(doc *config.Document) {
	for _, s := range doc.Services {
		perServer := s.MaxConcurrentPerServer
		if perServer == 0 {
			perServer = defaultMaxPerServer
		}
		n.admitter.SetCapacity(s.Name, n.pools.AvailableServers(s.Name), perServer)
	}
	if doc.OlderSystem != nil {
		n.admitter.SetCapacity(dispatch.OlderSystem, 1, olderSystemCapacity)
	}
}

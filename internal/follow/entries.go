package follow

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"buckthornpick/internal/fault"
	"buckthornpick/internal/kv"
	"buckthornpick/internal/netx"
	"buckthornpick/internal/peer"
	"buckthornpick/internal/telemetry"
	"buckthornpick/internal/wait"
)

// EntriesPrefix is the prefix of the keys under which the site's entries
// register, one leased key per entry.
const EntriesPrefix = "buckthornpick/entries/"

const (
	// registrationTTL is the lease time of a registration, after which a failed
	// entry is removed: long enough for a restart, short enough that the failed
	// entry's share of the quotas is soon redistributed.
	registrationTTL = 4 * time.Second
	// renewInterval leaves time for two more attempts within registrationTTL
	// after a failed renewal.
	renewInterval = 1300 * time.Millisecond
)

// Entries is the view of the entries registered at the site. It is safe for
// concurrent use.
type Entries struct {
	self peer.Node
	size *SiteSize
	log  *telemetry.Logger

	// isOwnKeyRemoved is set when this entry's own key was removed. This happens
	// if a delayed write of a previous run binds the key to that run's lease,
	// which then expires.
	isOwnKeyRemoved atomic.Bool

	mu    sync.Mutex
	nodes map[string]peer.Node
}

// NewEntries returns a view without other entries. size is updated with the
// state of this entry's own registration.
func NewEntries(self peer.Node, size *SiteSize, log *telemetry.Logger) *Entries {
	return &Entries{self: self, size: size, log: log, nodes: map[string]peer.Node{}}
}

// Others returns the other entries, sorted by ID.
func (e *Entries) Others() []peer.Node {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := make([]peer.Node, 0, len(e.nodes))
	for _, n := range e.nodes {
		list = append(list, n)
	}
	slices.SortFunc(list, func(a, b peer.Node) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// Replace implements Sink.
func (e *Entries) Replace(entries []kv.Entry) {
	e.mu.Lock()
	defer e.mu.Unlock()
	present := map[string]bool{}
	for _, entry := range entries {
		present[entry.Key[len(EntriesPrefix):]] = true
		e.putLocked(entry)
	}
	for id := range e.nodes {
		if !present[id] {
			e.removeLocked(id)
		}
	}
}

// Apply implements Sink.
func (e *Entries) Apply(events []kv.Event) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, event := range events {
		if event.Deleted {
			e.removeLocked(event.Entry.Key[len(EntriesPrefix):])
		} else {
			e.putLocked(event.Entry)
		}
	}
}

// StoreRestored implements Sink.
func (e *Entries) StoreRestored() {}

// StoreRecovered implements Sink.
func (e *Entries) StoreRecovered(time.Duration) {}

func (e *Entries) putLocked(entry kv.Entry) {
	var node peer.Node
	if err := json.Unmarshal(entry.Value, &node); err != nil || EntriesPrefix+node.ID != entry.Key || !netx.IsHostPort(node.Address) {
		e.log.Log(EvEntryUnreadable, "key", entry.Key, "revision", entry.ModRevision)
		return
	}
	if node.ID == e.self.ID || e.nodes[node.ID] == node {
		return
	}
	e.nodes[node.ID] = node
	e.log.Log(EvEntryChanged, "entry", node.ID, "entry_zone", node.Zone, "address", node.Address, "state", "present", "revision", entry.ModRevision)
}

func (e *Entries) removeLocked(id string) {
	if id == e.self.ID {
		e.isOwnKeyRemoved.Store(true)
		e.size.SetRegistered(false)
		return
	}
	if _, known := e.nodes[id]; known {
		delete(e.nodes, id)
		e.log.Log(EvEntryChanged, "entry", id, "state", "gone")
	}
}

// Register writes this entry's own key under a lease and renews it until ctx
// ends; then it revokes the lease, which removes the key. It registers anew in each
// generation of the store, where the key is lost or the lease ID may be another's. It
// always returns nil.
func (e *Entries) Register(ctx context.Context, store kv.Store) error {
	var lease kv.LeaseID
	var generation int64
	for ctx.Err() == nil {
		var err error
		if e.isOwnKeyRemoved.Swap(false) || kv.Generation(store) != generation {
			lease = 0
		}
		if lease == 0 {
			generation = kv.Generation(store)
			lease, err = e.register(ctx, store)
		} else if err = store.KeepAlive(ctx, lease); fault.Is(err, fault.Conflict) {
			lease = 0
			e.size.SetRegistered(false)
			continue
		}
		if err == nil && kv.Generation(store) != generation {
			e.size.SetRegistered(false)
			continue
		}
		e.size.SetRegistered(err == nil)
		pause := renewInterval
		if err != nil && ctx.Err() == nil {
			e.log.Log(EvRegisterFailed, "step", fault.Step(err), "peer", fault.Peer(err), "error", err.Error())
			pause = maxBackoff
		}
		wait.For(ctx, pause)
	}
	if lease != 0 && kv.Generation(store) == generation {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
		defer cancel()
		if err := store.Revoke(ctx, lease); err != nil {
			e.log.Log(EvRegisterFailed, "step", fault.Step(err), "peer", fault.Peer(err), "error", err.Error())
		}
	}
	return nil
}

// register writes this entry's own key under a new lease.
func (e *Entries) register(ctx context.Context, store kv.Store) (kv.LeaseID, error) {
	value, err := json.Marshal(e.self)
	if err != nil {
		return 0, err
	}
	lease, err := store.Grant(ctx, registrationTTL)
	if err != nil {
		return 0, err
	}
	result, err := store.Txn(ctx, nil, []kv.Op{kv.PutWithLease(EntriesPrefix+e.self.ID, value, lease)})
	if err != nil {
		return 0, err
	}
	e.log.Log(EvRegistered, "lease", lease, "revision", result.Revision, "address", e.self.Address)
	return lease, nil
}

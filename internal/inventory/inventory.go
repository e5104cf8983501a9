// Package inventory maintains a node's view of the site's VMs: the platform's
// VM list, which lags, corrected by reclaim notices. A few members poll the
// platform; the others receive the view from peers.
package inventory

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"buckthornpick/internal/provider"
	"buckthornpick/internal/telemetry"
	"buckthornpick/internal/wait"
)

// View is the state of the site's VMs as known to one node. It is immutable once
// published.
type View struct {
	// Version increases with every change of the list that a poller reads. It
	// is the poller's clock in microseconds, so that lists of several pollers
	// are ordered. Notices do not change it: all pollers receive a notice at the
	// same time, and each would create a version that the others do not have.
	Version int64 `msgpack:"v"`
	// VMs holds the VMs by ID, with notices applied: a VM under notice is
	// marked as leaving.
	VMs map[string]provider.VM `msgpack:"m"`
	// Deadlines holds the reclaim deadlines of the VMs under notice.
	Deadlines map[string]time.Time `msgpack:"d"`
	// LastNotice is the sequence number of the last notice received.
	LastNotice int64 `msgpack:"n"`
}

// Servers returns the backend servers of a service, sorted by ID.
func (v *View) Servers(service string) []provider.VM {
	var out []provider.VM
	for _, vm := range v.VMs {
		if vm.Service == service {
			out = append(out, vm)
		}
	}
	slices.SortFunc(out, func(a, b provider.VM) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// Config holds the settings of an inventory.
type Config struct {
	// ListInterval is the time between reads of the VM list. Default 1 s.
	ListInterval time.Duration
	// RetryInterval is the wait after a failed call. Default 500 ms.
	RetryInterval time.Duration
	// IsPoller reports whether this node currently polls the platform. If nil,
	// it always does.
	IsPoller func() bool
	// NoticeRetention is how long a VM stays marked as leaving after its
	// deadline, so that a lagging list does not make it live again. Default
	// 10 min.
	NoticeRetention time.Duration
}

func (c Config) withDefaults() Config {
	if c.ListInterval == 0 {
		c.ListInterval = time.Second
	}
	if c.RetryInterval == 0 {
		c.RetryInterval = 500 * time.Millisecond
	}
	if c.NoticeRetention == 0 {
		c.NoticeRetention = 10 * time.Minute
	}
	if c.IsPoller == nil {
		c.IsPoller = func() bool { return true }
	}
	return c
}

// Inventory maintains the current view and publishes it to subscribers. It is
// safe for concurrent use.
type Inventory struct {
	cfg     Config
	lister  provider.Lister
	notices provider.NoticeSource
	log     *telemetry.Logger

	mu          sync.Mutex
	view        *View
	subscribers map[chan *View]struct{}
	// recentChanges holds the last maxRecentChanges changes of the list, oldest
	// first.
	recentChanges []listChange
	// needsFullList is set after a delta whose result did not match its
	// checksum.
	needsFullList bool
}

// New returns an inventory that polls lister and notices while it runs.
func New(cfg Config, lister provider.Lister, notices provider.NoticeSource, log *telemetry.Logger) *Inventory {
	return &Inventory{
		cfg: cfg.withDefaults(), lister: lister, notices: notices, log: log,
		view:        &View{VMs: map[string]provider.VM{}, Deadlines: map[string]time.Time{}},
		subscribers: map[chan *View]struct{}{},
	}
}

// Run polls the platform while this node is a poller, until ctx ends.
func (i *Inventory) Run(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		defer close(done)
		i.pollNotices(ctx)
	}()
	i.pollList(ctx)
	<-done
	return nil
}

// View returns the current view.
func (i *Inventory) View() *View {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.view
}

// Subscribe returns a channel that holds the latest view not yet received,
// initially the current view, and a function that ends the subscription.
func (i *Inventory) Subscribe() (<-chan *View, func()) {
	ch := make(chan *View, 1)
	i.mu.Lock()
	defer i.mu.Unlock()
	ch <- i.view
	i.subscribers[ch] = struct{}{}
	return ch, func() {
		i.mu.Lock()
		defer i.mu.Unlock()
		delete(i.subscribers, ch)
	}
}

// MergeView merges a view received from a peer and reports whether it had a newer
// list or newer notices. Notices are merged even if the peer's list is older.
func (i *Inventory) MergeView(other *View) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if other.Version <= i.view.Version && other.LastNotice <= i.view.LastNotice {
		return false
	}
	next := &View{
		Version:    max(other.Version, i.view.Version),
		LastNotice: max(other.LastNotice, i.view.LastNotice),
		VMs:        i.view.VMs,
		Deadlines:  maps.Clone(i.view.Deadlines),
	}
	if other.Version > i.view.Version {
		next.VMs = other.VMs
		i.needsFullList = false
	}
	maps.Copy(next.Deadlines, other.Deadlines)
	i.publishLocked(next)
	return true
}

func (i *Inventory) pollList(ctx context.Context) {
	for {
		pause := i.cfg.ListInterval
		if i.cfg.IsPoller() {
			vms, err := i.lister.ListVMs(ctx)
			if err != nil {
				i.log.Log(EvListFailed, "error", err)
				pause = i.cfg.RetryInterval
			} else {
				i.applyList(vms)
			}
		}
		if !wait.For(ctx, withJitter(pause)) {
			return
		}
	}
}

func (i *Inventory) pollNotices(ctx context.Context) {
	for {
		if !i.cfg.IsPoller() {
			if !wait.For(ctx, i.cfg.RetryInterval) {
				return
			}
			continue
		}
		notices, err := i.notices.Notices(ctx, i.View().LastNotice)
		if err == nil {
			i.applyNotices(notices)
			continue
		}
		if ctx.Err() == nil {
			i.log.Log(EvNoticesFailed, "error", err)
		}
		if !wait.For(ctx, i.cfg.RetryInterval) {
			return
		}
	}
}

// applyList replaces the VMs with the list read from the platform. A list equal
// to the current one does not create a new version.
func (i *Inventory) applyList(vms []provider.VM) {
	byID := make(map[string]provider.VM, len(vms))
	for _, vm := range vms {
		byID[vm.ID] = vm
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	next := &View{VMs: byID, Deadlines: maps.Clone(i.view.Deadlines), LastNotice: i.view.LastNotice}
	markLeaving(next)
	if maps.Equal(next.VMs, i.view.VMs) {
		return
	}
	next.Version = max(time.Now().UnixMicro(), i.view.Version+1)
	i.publishLocked(next)
}

// applyNotices marks the VMs under notice as leaving.
func (i *Inventory) applyNotices(notices []provider.Notice) {
	if len(notices) == 0 {
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	next := &View{
		Version: i.view.Version, VMs: i.view.VMs,
		Deadlines: maps.Clone(i.view.Deadlines), LastNotice: i.view.LastNotice,
	}
	for _, n := range notices {
		next.Deadlines[n.VM] = n.Deadline
		next.LastNotice = max(next.LastNotice, n.Sequence)
		i.log.Log(EvNotice, "vm", n.VM, "vmZone", n.Zone, "deadline", n.Deadline, "wave", n.Wave)
	}
	i.publishLocked(next)
}

// publishLocked applies the notices to the view's VMs, makes it the current view
// and sends it to all subscribers. The caller holds i.mu.
func (i *Inventory) publishLocked(v *View) {
	i.pruneDeadlines(v)
	markLeaving(v)
	i.recordChangeLocked(v)
	i.view = v
	for ch := range i.subscribers {
		select {
		case <-ch:
		default:
		}
		ch <- v
	}
}

func (i *Inventory) pruneDeadlines(v *View) {
	oldest := time.Now().Add(-i.cfg.NoticeRetention)
	maps.DeleteFunc(v.Deadlines, func(_ string, deadline time.Time) bool { return deadline.Before(oldest) })
}

// markLeaving replaces the view's VMs by a copy in which those under notice are
// marked as leaving.
func markLeaving(v *View) {
	vms := maps.Clone(v.VMs)
	for id := range v.Deadlines {
		vm, ok := vms[id]
		if ok && vm.State != provider.VMTerminated {
			vm.State = provider.VMLeaving
			vms[id] = vm
		}
	}
	v.VMs = vms
}

// jitterFraction is the maximum jitter, as a fraction of the interval.
const jitterFraction = 0.1

func withJitter(d time.Duration) time.Duration {
	return d + time.Duration(rand.Float64()*jitterFraction*float64(d))
}

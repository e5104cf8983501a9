// Package duty implements the tasks that only one entry of a site, the holder of
// a lease, carries out at a time: reporting the usage of organisations, and
// ordering backend servers.
package duty

import (
	"context"
	"encoding/json"
	"maps"
	"strconv"
	"time"

	"buckthornpick/internal/fault"
	"buckthornpick/internal/follow"
	"buckthornpick/internal/kv"
	"buckthornpick/internal/lease"
	"buckthornpick/internal/telemetry"
	"buckthornpick/internal/usage"
	"buckthornpick/internal/wait"
)

// UsagePrefix is the prefix of the keys that hold the reported counts of each
// window. The counts are stored before the first report, so that a repeated report
// of a window, also by another holder, has the same counts.
const UsagePrefix = "buckthornpick/usage/"

// Cloud is the API of the cloud that the duties call with the fencing token of
// their lease. Errors: fault.Conflict means that a holder with a higher token has
// called, fault.Unavailable that the call had no effect, fault.Ambiguous that it
// may have had one.
type Cloud interface {
	// ReportUsage reports the number of requests of each organisation in a window.
	ReportUsage(ctx context.Context, token, window int64, counts map[string]int) error
	// OrderServers sets the number of backend servers of one kind.
	OrderServers(ctx context.Context, token int64, o ServerOrder) error
}

// ServerOrder is the desired number of backend servers of one kind (on
// reclaimable or on-demand VMs) for a service in a zone.
type ServerOrder struct {
	Service, Zone string
	IsReclaimable bool
	Count         int
}

// SnapshotKey is the key of the snapshot: the counts of windows that are not
// reported yet, by the run of the entry that counted.
const SnapshotKey = "buckthornpick/usage-snapshot"

const (
	// snapshotInterval is the time between snapshots. The counts of this time are
	// lost if all entries fail at once.
	snapshotInterval = 500 * time.Millisecond
	// reportInterval is the time between checks for windows to report.
	reportInterval = 300 * time.Millisecond
	// settleTime is the time between the end of a window and its report. The last
	// messages of the other entries arrive within it.
	settleTime = 1500 * time.Millisecond
	// catchUpWindows is the number of ended windows that a new holder reports again.
	catchUpWindows = 3
	// storedWindows is the number of windows whose counts are kept in the store.
	storedWindows = 8
	// callTimeout bounds one call to the store or the cloud.
	callTimeout = 1200 * time.Millisecond
)

// Reporter reports the usage of each window to the cloud while it holds the lease.
type Reporter struct {
	Lease  *lease.Lease
	Store  kv.Store
	Cloud  Cloud
	Counts *usage.Counts
	Size   *follow.SiteSize
	Log    *telemetry.Logger

	// nextWindow is the first window that this process has not reported since it
	// acquired the lease with token.
	nextWindow int64
	token      int64
	// snapshotAt is when the last snapshot was started.
	snapshotAt time.Time
}

// Run reports until ctx is done.
func (r *Reporter) Run(ctx context.Context) error {
	for wait.For(ctx, reportInterval) {
		token, _, err := r.Lease.Check()
		if err != nil {
			continue
		}
		window, elapsed := r.Counts.CurrentWindow()
		if token != r.token {
			if err := r.restore(ctx); err != nil {
				r.Log.Log(EvSnapshotFailed, "token", token, "step", fault.Step(err), "peer", fault.Peer(err), "error", err.Error())
				continue
			}
			r.token, r.nextWindow = token, window-catchUpWindows
		}
		last := window - 1
		if elapsed < settleTime {
			last--
		}
		r.nextWindow = max(r.nextWindow, window-catchUpWindows)
		for r.nextWindow <= last && ctx.Err() == nil && r.report(ctx, r.nextWindow) {
			r.nextWindow++
		}
		if time.Since(r.snapshotAt) >= snapshotInterval {
			r.snapshotAt = time.Now()
			r.snapshot(ctx)
		}
	}
	return nil
}

// restore loads the snapshot of the previous holder.
func (r *Reporter) restore(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entry, found, err := r.Store.Get(ctx, SnapshotKey)
	if err != nil || !found {
		return err
	}
	runs := map[string]usage.WindowCounts{}
	if err := json.Unmarshal(entry.Value, &runs); err != nil {
		// The next snapshot replaces it; only the counts of entries that no longer run
		// are lost.
		r.Log.Log(EvSnapshotFailed, "step", "usage.restore", "revision", entry.ModRevision, "error", err.Error())
		return nil
	}
	r.Counts.Restore(runs)
	return nil
}

// snapshot stores the counts of windows that are not reported yet, and the number
// of entries. A failed snapshot does harm only if all entries fail before the next
// one.
func (r *Reporter) snapshot(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	value, err := json.Marshal(r.Counts.Snapshot())
	if err == nil {
		ops := []kv.Op{kv.Put(SnapshotKey, value)}
		if n, ok := r.Size.LastEstimate(); ok {
			ops = append(ops, kv.Put(follow.SiteSizeKey, []byte(strconv.Itoa(n))))
		}
		_, err = r.Store.Txn(ctx, []kv.Compare{r.Lease.Guard(r.token)}, ops)
	}
	if err != nil && ctx.Err() == nil {
		r.Log.Log(EvSnapshotFailed, "token", r.token, "step", fault.Step(err), "peer", fault.Peer(err), "error", err.Error())
	}
}

// report stores and reports the counts of one window. It returns whether it
// succeeded.
func (r *Reporter) report(ctx context.Context, window int64) bool {
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	counts, err := r.storeCounts(ctx, window)
	if err == nil {
		err = r.Cloud.ReportUsage(ctx, r.token, window, counts)
	}
	if err != nil {
		r.Log.Log(EvReportFailed, "window", window, "token", r.token, "step", fault.Step(err), "peer", fault.Peer(err), "error", err.Error())
		if fault.Is(err, fault.Conflict) {
			r.Lease.MarkLost(r.token, "a later holder has acted")
		}
		return false
	}
	r.Log.Log(EvReported, "window", window, "token", r.token, "counts", counts)
	return true
}

// storeCounts stores the counts of a window and returns them. If counts of the
// window are stored already, it returns those.
func (r *Reporter) storeCounts(ctx context.Context, window int64) (map[string]int, error) {
	counts := r.Counts.Sum(window)
	value, err := json.Marshal(counts)
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "usage.settle", "", "cannot encode the counts")
	}
	key := usageKey(window)
	result, err := r.Store.Txn(ctx,
		[]kv.Compare{{Key: key}, r.Lease.Guard(r.token)},
		[]kv.Op{kv.Put(key, value), kv.Delete(usageKey(window - storedWindows))})
	if err == nil && result.Succeeded {
		return counts, nil
	}
	if err != nil && !fault.Is(err, fault.Ambiguous) {
		return nil, err
	}
	// This or an earlier holder has stored the counts, or the response to this
	// transaction was lost.
	entry, found, err := r.Store.Get(ctx, key)
	if err != nil {
		return nil, err
	}
	if !found {
		return nil, fault.New(fault.Unavailable, "usage.settle", "", "window %d is not stored", window)
	}
	stored := map[string]int{}
	if err := json.Unmarshal(entry.Value, &stored); err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "usage.settle", "", "the counts of window %d cannot be read", window)
	}
	if !maps.Equal(stored, counts) {
		r.Log.Log(EvCountsDiffer, "window", window, "stored", stored, "known", counts)
	}
	return stored, nil
}

func usageKey(window int64) string { return UsagePrefix + strconv.FormatInt(window, 10) }

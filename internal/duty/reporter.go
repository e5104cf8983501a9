// Package duty holds the duties that one entry of a site at a time carries out
// for all: reporting what organisations used, and ordering backend servers.
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

// UsagePrefix holds the counts of each window as they are reported. They are
// stored before the first report, so that every report of a window, also by
// another holder, is an exact repeat.
const UsagePrefix = "buckthornpick/usage/"

// Cloud takes the calls of the duties. Errors: fault.Conflict means that a later
// holder has called, fault.Unavailable that the call had no effect,
// fault.Ambiguous that it may have had one.
type Cloud interface {
	ReportUsage(ctx context.Context, token, window int64, counts map[string]int) error
	OrderServers(ctx context.Context, token int64, o ServerOrder) error
}

// ServerOrder is the wanted number of a service's backend servers of one kind in
// a zone.
type ServerOrder struct {
	Service, Zone string
	IsReclaimable bool
	Count         int
}

// SnapshotKey holds the counts of windows that are not reported yet, by run.
const SnapshotKey = "buckthornpick/usage-snapshot"

const (
	// snapshotInterval is the time between snapshots: what is counted in it is
	// lost if all entries die at once.
	snapshotInterval = 500 * time.Millisecond
	// reportInterval is the time between looks at windows that are due.
	reportInterval = 300 * time.Millisecond
	// settleTime is how long after its end a window is reported: the last
	// messages of the other entries have arrived by then.
	settleTime = 1500 * time.Millisecond
	// catchUp is the number of ended windows that a new holder looks at.
	catchUp = 3
	// storedWindows is the number of windows whose counts stay in the store.
	storedWindows = 8
	// callTimeout bounds one call of a duty.
	callTimeout = 1200 * time.Millisecond
)

// Reporter reports the usage of each window while it holds the lease.
type Reporter struct {
	Lease  *lease.Lease
	Store  kv.Store
	Cloud  Cloud
	Counts *usage.Counts
	Size   *follow.SiteSize
	Log    *telemetry.Logger

	// next is the first window that is not reported, by the holder with token.
	next  int64
	token int64
	// snapshotAt is when the last snapshot was written.
	snapshotAt time.Time
}

// Run reports until ctx ends.
func (r *Reporter) Run(ctx context.Context) error {
	for wait.For(ctx, reportInterval) {
		token, _, err := r.Lease.Check()
		if err != nil {
			continue
		}
		window, into := r.Counts.Now()
		if token != r.token {
			if err := r.restore(ctx); err != nil {
				r.Log.Log(EvSnapshotFailed, "token", token, "step", fault.Step(err), "peer", fault.Peer(err), "error", err.Error())
				continue
			}
			r.token, r.next = token, window-catchUp
		}
		last := window - 1
		if into < settleTime {
			last--
		}
		r.next = max(r.next, window-catchUp)
		for r.next <= last && ctx.Err() == nil && r.report(ctx, r.next) {
			r.next++
		}
		if time.Since(r.snapshotAt) >= snapshotInterval {
			r.snapshotAt = time.Now()
			r.snapshot(ctx)
		}
	}
	return nil
}

// restore takes what the holder before had counted.
func (r *Reporter) restore(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entry, found, err := r.Store.Get(ctx, SnapshotKey)
	if err != nil || !found {
		return err
	}
	runs := map[string]usage.Windows{}
	if err := json.Unmarshal(entry.Value, &runs); err != nil {
		// A new snapshot replaces it; the counts of living entries are known.
		r.Log.Log(EvSnapshotFailed, "step", "usage.restore", "revision", entry.ModRevision, "error", err.Error())
		return nil
	}
	r.Counts.Restore(runs)
	return nil
}

// snapshot stores the counts of windows that are not reported yet, and the number
// of entries. A failure costs nothing unless all entries die before the next one.
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

// report brings one window's counts to the cloud and reports whether it did.
func (r *Reporter) report(ctx context.Context, window int64) bool {
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	counts, err := r.settle(ctx, window)
	if err == nil {
		err = r.Cloud.ReportUsage(ctx, r.token, window, counts)
	}
	if err != nil {
		r.Log.Log(EvReportFailed, "window", window, "token", r.token, "step", fault.Step(err), "peer", fault.Peer(err), "error", err.Error())
		if fault.Is(err, fault.Conflict) {
			r.Lease.Lose(r.token, "a later holder has acted")
		}
		return false
	}
	r.Log.Log(EvReported, "window", window, "token", r.token, "counts", counts)
	return true
}

// settle stores the window's counts, or returns those that are stored.
func (r *Reporter) settle(ctx context.Context, window int64) (map[string]int, error) {
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
	// Written before, by this or an earlier holder, or the answer was lost.
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

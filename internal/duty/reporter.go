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

	"buckthornpick/internal/blame"
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

// GenerationKey is the key of the usageGeneration of the current holder.
const GenerationKey = "buckthornpick/usage-generation"

// usageGeneration is the generation of the store for which the stored counts are
// complete from window SafeFrom on. Counts of earlier windows may have been stored
// and reported before the store came back from a copy, which lost them.
type usageGeneration struct {
	Generation int64 `json:"generation"`
	SafeFrom   int64 `json:"safeFrom"`
	// Token is the fencing token of the holder that wrote this, the first one that reports
	// in the generation.
	Token int64 `json:"token,omitempty"`
}

// Reporter reports the usage of each window to the cloud while it holds the lease.
type Reporter struct {
	Lease  *lease.Lease
	Store  kv.Store
	Cloud  Cloud
	Counts *usage.Counts
	Size   *follow.SiteSize
	// Crashes holds the evidence against content, which is stored while any is blocked.
	Crashes *blame.Tracker
	Log     *telemetry.Logger

	// token is the latest fencing token for which takeOver succeeded, nextWindow the first
	// window that this process has not reported since then.
	token      int64
	nextWindow int64
	// stored holds the counts of recent windows that this process has seen stored, so
	// that it repeats them if the store loses them.
	stored map[int64]map[string]int
	// generation is the latest generation of the store, openFrom the first window that
	// nobody can have stored before it was seen.
	generation, openFrom int64
	// safeFrom is the usageGeneration's, ownFrom the first window that only this
	// process can have reported. Both belong to token.
	safeFrom, ownFrom int64
	// snapshotAt is when the last snapshot was started.
	snapshotAt time.Time
	// mayHaveStoredBlocked is true if the store may hold evidence against content that is
	// no longer blocked.
	mayHaveStoredBlocked bool
}

// Run reports until ctx is done.
func (r *Reporter) Run(ctx context.Context) error {
	for wait.For(ctx, reportInterval) {
		r.recordGeneration()
		window, elapsed := r.Counts.CurrentWindow()
		tenure, err := r.Lease.CheckTenure()
		if err != nil || lease.Generation(tenure.Token) != r.generation {
			continue
		}
		if tenure.Token != r.token {
			if err := r.takeOver(ctx, tenure); err != nil {
				r.Log.Log(EvSnapshotFailed, "token", tenure.Token, "step", fault.Step(err), "peer", fault.Peer(err), "error", err.Error())
				continue
			}
			r.nextWindow = window - catchUpWindows
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

// recordGeneration notes a new generation of the store. Another holder may have stored and
// reported every window that it could take for settled when the generation was seen.
func (r *Reporter) recordGeneration() {
	if generation := kv.Generation(r.Store); generation != r.generation {
		r.generation, r.openFrom = generation, r.firstUnsettled(time.Now())
	}
}

// firstUnsettled returns the first window that no process can have taken for settled at a
// time in the past, up to a clock skew of half the settle time.
func (r *Reporter) firstUnsettled(at time.Time) int64 {
	window, elapsed := r.Counts.WindowBefore(time.Since(at))
	if elapsed < settleTime/2 {
		window--
	}
	return window
}

// takeOver prepares the reports under a new token, which this process acquired or with
// which it goes on after a restore of the store. What it sets follows from the tenure and
// the store alone, and not from the time of the call: the store may go away before any
// call succeeds, and come back in a later generation.
func (r *Reporter) takeOver(ctx context.Context, tenure lease.Tenure) error {
	if err := r.restore(ctx); err != nil {
		return err
	}
	safeFrom, isFirst, err := r.claimGeneration(ctx, tenure.Token)
	if err != nil {
		return err
	}
	if kv.Generation(r.Store) != lease.Generation(tenure.Token) {
		return fault.New(fault.Unavailable, "usage.take-over", "", "the store was restored from a copy")
	}
	r.ownFrom = r.firstOwnWindow(tenure, isFirst)
	r.safeFrom, r.token = safeFrom, tenure.Token
	r.Log.Log(EvDutyTaken, "token", tenure.Token, "first_token", tenure.First, "is_first", isFirst,
		"held_ms", time.Since(tenure.Since).Milliseconds(), "safe_from", r.safeFrom, "own_from", r.ownFrom)
	return nil
}

// claimGeneration returns the first window of which the stored counts are complete in the
// generation of a token, and whether this process was the first to report in it. The first
// one records the window.
func (r *Reporter) claimGeneration(ctx context.Context, token int64) (safeFrom int64, isFirst bool, err error) {
	generation := lease.Generation(token)
	if generation == 0 {
		return 0, true, nil // the store has no generations and never loses counts
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entry, found, err := r.Store.Get(ctx, GenerationKey)
	if err != nil {
		return 0, false, err
	}
	var known usageGeneration
	if found {
		_ = json.Unmarshal(entry.Value, &known) // unreadable: as if there were none
	}
	if known.Generation == generation {
		return known.SafeFrom, known.Token == token, nil
	}
	value, err := json.Marshal(usageGeneration{Generation: generation, SafeFrom: r.openFrom, Token: token})
	if err != nil {
		return 0, false, fault.Wrap(err, fault.Invalid, "usage.generation", "", "cannot encode")
	}
	result, err := r.Store.Txn(ctx, []kv.Compare{r.Lease.Guard(token)}, []kv.Op{kv.Put(GenerationKey, value)})
	if err == nil && !result.Succeeded {
		err = fault.New(fault.Conflict, "usage.generation", "", "the lease is not held")
	}
	return r.openFrom, true, err
}

// firstOwnWindow returns the first window that only this process can have reported: the
// first one that was not settled when its tenure began. If another process may have
// reported in a later generation of the tenure before this one did, the tenure counts
// from the current token on.
func (r *Reporter) firstOwnWindow(t lease.Tenure, isFirst bool) int64 {
	if t.Token == t.First {
		return r.firstUnsettled(t.Since)
	}
	// checked is the latest earlier token of the tenure before which no other process reported.
	checked := max(r.token, t.First)
	if !isFirst || lease.Generation(t.Token) != lease.Generation(checked)+1 {
		return r.firstUnsettled(t.AcquiredAt)
	}
	own := r.firstUnsettled(t.Since)
	if r.token >= t.First {
		own = max(own, r.ownFrom) // raised when an earlier token was taken over
	}
	return own
}

// restore loads the snapshot of the previous holder.
func (r *Reporter) restore(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r.mayHaveStoredBlocked = true // by the previous holder
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

// snapshot stores the counts of windows that are not reported yet, the number of
// entries and the evidence against blocked content. A failed snapshot does harm only if
// all entries fail before the next one.
func (r *Reporter) snapshot(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	value, err := json.Marshal(r.Counts.Snapshot())
	if err == nil {
		ops := []kv.Op{kv.Put(SnapshotKey, value)}
		if n, ok := r.Size.LastEstimate(); ok {
			ops = append(ops, kv.Put(follow.SiteSizeKey, []byte(strconv.Itoa(n))))
		}
		isRecalled := r.Crashes.IsRecalled() // before its evidence is encoded
		blocked, isEmpty, encodeErr := r.Crashes.EncodeBlocked()
		isDue := encodeErr == nil && isRecalled && (!isEmpty || r.mayHaveStoredBlocked)
		if isDue {
			ops = append(ops, kv.Put(blame.BlockedKey, blocked))
		}
		_, err = r.Store.Txn(ctx, []kv.Compare{r.Lease.Guard(r.token)}, ops)
		if err == nil && isDue {
			r.mayHaveStoredBlocked = !isEmpty
		}
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
	if err == nil && counts == nil {
		r.Log.Log(EvWindowLost, "window", window, "token", r.token, "safe_from", r.safeFrom)
		return true
	}
	if err == nil && kv.Generation(r.Store) != lease.Generation(r.token) {
		err = fault.New(fault.Unavailable, "usage.settle", "", "the store was restored from a copy")
	}
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
// window are stored already, it returns those. It returns nil if the store may have
// lost counts that were reported and that this process does not know.
func (r *Reporter) storeCounts(ctx context.Context, window int64) (map[string]int, error) {
	counts, isKnown := r.stored[window]
	if !isKnown {
		counts = r.Counts.Sum(window)
	}
	if !isKnown && window < r.safeFrom && window < r.ownFrom {
		return r.readCounts(ctx, window, counts)
	}
	value, err := json.Marshal(counts)
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "usage.settle", "", "cannot encode the counts")
	}
	key := usageKey(window)
	result, err := r.Store.Txn(ctx,
		[]kv.Compare{{Key: key}, r.Lease.Guard(r.token)},
		[]kv.Op{kv.Put(key, value), kv.Delete(usageKey(window - storedWindows))})
	if err == nil && result.Succeeded {
		r.keep(window, counts)
		return counts, nil
	}
	if err != nil && !fault.Is(err, fault.Ambiguous) {
		return nil, err
	}
	// This or an earlier holder has stored the counts, or the response to this
	// transaction was lost.
	stored, err := r.readCounts(ctx, window, counts)
	if err == nil && stored == nil {
		err = fault.New(fault.Unavailable, "usage.settle", "", "window %d is not stored", window)
	}
	return stored, err
}

// readCounts returns the stored counts of a window, or nil if there are none. counts
// are those that this process knows.
func (r *Reporter) readCounts(ctx context.Context, window int64, counts map[string]int) (map[string]int, error) {
	entry, found, err := r.Store.Get(ctx, usageKey(window))
	if err != nil || !found {
		return nil, err
	}
	stored := map[string]int{}
	if err := json.Unmarshal(entry.Value, &stored); err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "usage.settle", "", "the counts of window %d cannot be read", window)
	}
	if !maps.Equal(stored, counts) {
		r.Log.Log(EvCountsDiffer, "window", window, "stored", stored, "known", counts)
	}
	r.keep(window, stored)
	return stored, nil
}

// keep remembers the stored counts of a window.
func (r *Reporter) keep(window int64, counts map[string]int) {
	if r.stored == nil {
		r.stored = map[int64]map[string]int{}
	}
	r.stored[window] = counts
	maps.DeleteFunc(r.stored, func(w int64, _ map[string]int) bool { return w <= window-storedWindows })
}

func usageKey(window int64) string { return UsagePrefix + strconv.FormatInt(window, 10) }

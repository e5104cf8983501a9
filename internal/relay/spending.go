package relay

import (
	"context"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"buckthornpick/internal/clock"
	"buckthornpick/internal/fault"
	"buckthornpick/internal/kv"
	"buckthornpick/internal/quota"
	"buckthornpick/internal/strictmsg"
	"buckthornpick/internal/telemetry"
	"buckthornpick/internal/wait"
)

// SpendingKey is the key of the copy of the organisations' spending, which outlives the
// failure of all entries. One entry of the site writes it.
const SpendingKey = "buckthornpick/spending"

const (
	// spendingInterval is the time between two copies. What was spent since the last one
	// counts as unknown after a failure of all entries.
	spendingInterval = 300 * time.Millisecond
	// spendingRetry is the time between two attempts to read the copy after a start.
	spendingRetry = 200 * time.Millisecond
	// minSpendingAge is the least age of a copy that is assumed: a restart takes longer.
	minSpendingAge = 500 * time.Millisecond
	spendingFormat = 1
)

// storedSpending is the value of SpendingKey. Times are in Unix milliseconds.
type storedSpending struct {
	Format       int                  `msgpack:"f"`
	CopiedAt     int64                `msgpack:"t"`
	UnknownShare float64              `msgpack:"u,omitempty"`
	Gaps         []storedGap          `msgpack:"g,omitempty"`
	Parts        map[string][]float64 `msgpack:"p,omitempty"`
}

type storedGap struct {
	From int64 `msgpack:"f"`
	To   int64 `msgpack:"t"`
}

// SpendingKeeper copies the spending of all entries to the store, and recalls the copy
// after a start.
type SpendingKeeper struct {
	Store  kv.Store
	Quotas *Quotas
	Site   func() quota.Site
	// IsKeeper reports whether this entry is the one that copies the spending.
	IsKeeper func() bool
	Clock    clock.Clock
	Log      *telemetry.Logger
}

// Run recalls the stored copy and then writes copies until ctx ends. It always returns nil.
func (k *SpendingKeeper) Run(ctx context.Context) error {
	wall := clock.NewWall(k.Clock, time.Now)
	for {
		err := k.recall(ctx, wall)
		if err == nil {
			break
		}
		k.Log.Log(EvSpendingUnknown, "step", fault.Step(err), "peer", fault.Peer(err), "error", err.Error())
		if !wait.For(ctx, spendingRetry) {
			return nil
		}
	}
	for wait.For(ctx, spendingInterval) {
		if !k.IsKeeper() {
			continue
		}
		if err := k.copy(ctx, wall); err != nil && ctx.Err() == nil {
			k.Log.Log(EvSpendingNotCopied, "step", fault.Step(err), "peer", fault.Peer(err), "error", err.Error())
		}
	}
	return nil
}

// recall reads the copy and bounds the spending before the start by it.
func (k *SpendingKeeper) recall(ctx context.Context, wall *clock.Wall) error {
	entry, found, err := k.Store.Get(ctx, SpendingKey)
	if err != nil || !found {
		return err
	}
	var stored storedSpending
	if err := strictmsg.Unmarshal(entry.Value, &stored); err != nil || stored.Format != spendingFormat {
		k.Log.Log(EvSpendingUnreadable, "revision", entry.ModRevision, "format", stored.Format)
		return nil
	}
	now := k.Clock()
	// The difference of two wall clocks may be negative.
	age := max(minSpendingAge, wall.Now()-millisDuration(stored.CopiedAt))
	toClock := func(unixMillis int64) time.Duration {
		return now - age + millisDuration(unixMillis-stored.CopiedAt)
	}
	spending := &SpendingCopy{CopiedAt: now - age, Parts: stored.Parts, UnknownShare: stored.UnknownShare}
	for _, gap := range stored.Gaps {
		spending.Gaps = append(spending.Gaps, quota.Gap{From: toClock(gap.From), To: toClock(gap.To)})
	}
	k.Quotas.Recall(spending)
	k.Log.Log(EvSpendingRecalled, "organisations", len(stored.Parts), "age_ms", age.Milliseconds(), "unknown_share", stored.UnknownShare, "revision", entry.ModRevision)
	return nil
}

// copy writes a copy of the spending, if this entry knows it.
func (k *SpendingKeeper) copy(ctx context.Context, wall *clock.Wall) error {
	spending := k.Quotas.Copy(k.Site())
	if spending == nil || spending.isEmpty() {
		return nil
	}
	toUnixMillis := func(at time.Duration) int64 { return (wall.Now() + at - k.Clock()).Milliseconds() }
	stored := storedSpending{Format: spendingFormat, CopiedAt: toUnixMillis(spending.CopiedAt), UnknownShare: spending.UnknownShare, Parts: spending.Parts}
	for _, gap := range spending.Gaps {
		stored.Gaps = append(stored.Gaps, storedGap{From: toUnixMillis(gap.From), To: toUnixMillis(gap.To)})
	}
	value, err := msgpack.Marshal(stored)
	if err != nil {
		return err
	}
	_, err = k.Store.Txn(ctx, nil, []kv.Op{kv.Put(SpendingKey, value)})
	return err
}

func millisDuration(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

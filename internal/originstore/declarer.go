package originstore

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"buckthornpick/internal/clock"
	"buckthornpick/internal/fault"
	"buckthornpick/internal/kv"
	"buckthornpick/internal/relay"
	"buckthornpick/internal/telemetry"
	"buckthornpick/internal/wait"
)

const (
	// refreshInterval is how often an entry reads the declarations again, well within
	// copyValidity.
	refreshInterval = 2 * time.Minute
	// writeJitter is the longest wait before an entry writes declarations, so that one of
	// the entries that see a change writes it for all.
	writeJitter = 80 * time.Millisecond
	// retireInterval is how often an entry that maintains the declarations looks for those
	// that are no longer in use.
	retireInterval = 10 * time.Second
	// minBackoff and maxBackoff bound the wait after a failed call.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 400 * time.Millisecond
)

// Declarer declares the origins that this entry may send streams to, and keeps a copy of
// the declarations.
type Declarer struct {
	DeclarerConfig
	wall *clock.Wall

	// The following fields belong to Run.

	// copy is what this entry has last read or written; nil before.
	copy *Declarations
	// readAt is when the call began that confirmed the copy.
	readAt    time.Duration
	retiredAt time.Duration
}

// DeclarerConfig holds the dependencies and settings of a Declarer.
type DeclarerConfig struct {
	Store   kv.Store
	Origins *relay.Origins
	Clock   clock.Clock
	Log     *telemetry.Logger
	// IsFirstStart is true if the whole site starts for the first time, so that there are
	// no streams of earlier entries.
	IsFirstStart bool
	// Maintains reports whether this entry retires declarations.
	Maintains func() bool
	// Share sends records of streams to other entries, whose rules have got a second
	// origin.
	Share func([]relay.OriginRecord)
}

// NewDeclarer returns a Declarer.
func NewDeclarer(c DeclarerConfig) *Declarer {
	return &Declarer{DeclarerConfig: c, wall: clock.NewWall(c.Clock, time.Now)}
}

// Run declares origins until ctx ends. It always returns nil.
func (d *Declarer) Run(ctx context.Context) error {
	backoff := minBackoff
	for ctx.Err() == nil {
		changed := d.Origins.UsesChanged()
		if uses, ok := d.Origins.Uses(); ok && !d.isUpToDate(uses) {
			if err := d.update(ctx, uses); err != nil {
				if ctx.Err() == nil && !fault.Is(err, fault.Conflict) {
					d.Log.Log(EvDeclareFailed, "step", fault.Step(err), "peer", fault.Peer(err), "error", err.Error())
				}
				wait.For(ctx, backoff/2+rand.N(backoff/2))
				backoff = min(2*backoff, maxBackoff)
				continue
			}
			backoff = minBackoff
		}
		timer := time.NewTimer(retireInterval)
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
	return nil
}

// isUpToDate reports whether the copy needs neither to be read again nor to be changed.
func (d *Declarer) isUpToDate(uses relay.OriginUses) bool {
	now := d.Clock()
	if d.copy == nil || d.copy.Generation != kv.Generation(d.Store) || now-d.readAt >= refreshInterval || !d.copy.covers(uses) {
		return false
	}
	if !d.Maintains() || now-d.retiredAt < retireInterval {
		return true
	}
	return !d.copy.clone().retire(uses, d.wall.Now())
}

// update reads the declarations and writes them if they lack what is in use. Its error is
// of kind fault.Conflict if another entry has written them meanwhile.
func (d *Declarer) update(ctx context.Context, uses relay.OriginUses) error {
	for isRead := false; ; isRead = true {
		sentAt := d.Clock()
		generation := kv.Generation(d.Store)
		stored, revision, err := readDeclarations(ctx, d.Store)
		if err != nil {
			return err
		}
		if generation != 0 && generation != kv.Generation(d.Store) {
			return fault.New(fault.Conflict, "origins.declare", DeclarationsKey, "the store was restored meanwhile")
		}
		next, isChanged := d.next(stored, uses, kv.Generation(d.Store))
		if !isChanged {
			d.adopt(next, sentAt)
			return nil
		}
		if !isRead && !d.Maintains() && wait.For(ctx, rand.N(writeJitter)) {
			continue // another entry may have written them
		}
		return d.write(ctx, next, revision, sentAt)
	}
}

// next returns the declarations that should be stored, and whether they differ from the
// stored ones. stored is nil if there are none.
func (d *Declarer) next(stored *Declarations, uses relay.OriginUses, generation int64) (next *Declarations, isChanged bool) {
	now := d.wall.Now()
	next = newDeclarations()
	if stored != nil {
		next = stored.clone()
	}
	isNew := stored == nil || stored.Generation != generation
	if isNew {
		next.Generation, isChanged = generation, true
		if stored != nil || d.copy != nil || !d.IsFirstStart {
			next.CompleteAt = (now + relay.OriginRetention).Milliseconds()
		}
		next.IsUpgrade = stored == nil && d.copy == nil && !d.IsFirstStart
	}
	if d.copy != nil && (isNew || d.copy.Generation != generation) {
		// The other entries that were running then declare theirs again too.
		next.merge(d.copy)
		next.CompleteAt, isChanged = min(next.CompleteAt, (now+redeclareTime).Milliseconds()), true
	}
	if !next.covers(uses) {
		next.declare(uses)
		isChanged = true
	}
	if d.Maintains() && d.Clock()-d.retiredAt >= retireInterval {
		d.retiredAt = d.Clock()
		isChanged = next.retire(uses, now) || isChanged
	}
	return next, isChanged
}

func (d *Declarer) write(ctx context.Context, next *Declarations, revision int64, sentAt time.Duration) error {
	value, err := next.encode()
	if err != nil {
		return err
	}
	generation := kv.Generation(d.Store)
	result, err := d.Store.Txn(ctx, []kv.Compare{{Key: DeclarationsKey, ModRevision: revision}}, []kv.Op{kv.Put(DeclarationsKey, value)})
	if err != nil {
		return err
	}
	if !result.Succeeded || generation != kv.Generation(d.Store) {
		return fault.New(fault.Conflict, "origins.declare", DeclarationsKey, "another entry has written the declarations")
	}
	d.Log.Log(EvDeclared, "revision", result.Revision, "origins", len(next.Origins), "rules", len(next.Rules), "bytes", len(value))
	d.adopt(next, sentAt)
	return nil
}

// adopt makes the declarations this entry's copy.
func (d *Declarer) adopt(next *Declarations, readAt time.Duration) {
	d.copy, d.readAt = next, readAt
	d.Share(d.Origins.SetDeclared(next.declared(readAt+copyValidity, d.Clock()+next.completeIn(next.Generation, d.wall.Now()))))
}

// declared returns the declarations as the relay needs them.
func (d *Declarations) declared(validUntil, completeAt time.Duration) relay.DeclaredOrigins {
	declared := relay.DeclaredOrigins{
		InUse: relay.OriginUses{Origins: map[relay.StreamOrigin]bool{}, Rules: map[relay.RuleService]bool{}}, ByRule: map[string][]relay.StreamOrigin{},
		ValidUntil: validUntil, CompleteAt: completeAt, IsUpgrade: d.IsUpgrade,
	}
	for origin, goneAt := range d.Origins {
		declared.InUse.Origins[origin] = goneAt == 0
	}
	for rule, goneAt := range d.Rules {
		declared.InUse.Rules[rule] = goneAt == 0
		if _, ok := declared.ByRule[rule.Rule]; !ok {
			declared.ByRule[rule.Rule] = d.candidates(rule.Rule)
		}
	}
	return declared
}

// readDeclarations reads the declarations and their revision; both are zero if there are
// none.
func readDeclarations(ctx context.Context, store kv.Store) (*Declarations, int64, error) {
	entry, found, err := store.Get(ctx, DeclarationsKey)
	if err != nil || !found {
		return nil, 0, err
	}
	d, err := decodeDeclarations(entry.Value)
	return d, entry.ModRevision, err
}

// lockedWall makes a clock.Wall safe for concurrent use.
type lockedWall struct {
	mu   sync.Mutex
	wall *clock.Wall
}

func (w *lockedWall) now() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.wall.Now()
}

package claim

import (
	"context"
	"sort"
	"time"

	"buckthornpick/internal/fault"
	"buckthornpick/internal/kv"
	"buckthornpick/internal/request"
)

// partition holds the claims of one partition during one uninterrupted period
// of ownership; each period has its own value. It is guarded by Ledger.mu,
// except that err is set before loaded is closed and is constant afterwards.
type partition struct {
	number     int
	ownedSince int64 // revision of the table that began the period of ownership
	loaded     chan struct{}
	err        error

	claims  map[request.ID]storedClaim
	pending map[request.ID]*write
	// keys holds the store keys of the partition by time bucket.
	keys map[int64][]string
}

// storedClaim is a claim with the time bucket of its store key.
type storedClaim struct {
	Claim
	bucket int64
}

// loadedPartition returns the claims of a partition that this node owns. It
// reads them from the store if they were not read in the current period of
// ownership.
func (l *Ledger) loadedPartition(ctx context.Context, number int) (*partition, error) {
	for {
		since, ok := l.ownership.OwnedSince(number)
		if !ok {
			return nil, conflict("partition %d is owned by another node", number)
		}
		p, err := l.partitionSince(number, since)
		if err != nil {
			return nil, err
		}
		select {
		case <-p.loaded:
		case <-ctx.Done():
			return nil, fault.Wrap(ctx.Err(), fault.Unavailable, "claim.load", "", "partition %d is not read yet", number)
		case <-l.stopped:
			return nil, unavailable("the ledger has stopped")
		}
		if p.err != nil {
			return nil, p.err
		}
		if now, ok := l.ownership.OwnedSince(number); ok && now == since {
			return p, nil
		}
	}
}

// partitionSince returns the partition's value for the period of ownership that
// began at table revision since. If there is none, it creates one and starts
// loading it.
func (l *Ledger) partitionSince(number int, since int64) (*partition, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p := l.partitions[number]; p != nil && p.ownedSince >= since {
		return p, nil
	}
	if l.closing || !l.running {
		return nil, unavailable("the ledger is not running")
	}
	p := &partition{
		number: number, ownedSince: since, loaded: make(chan struct{}),
		claims: map[request.ID]storedClaim{}, pending: map[request.ID]*write{}, keys: map[int64][]string{},
	}
	l.partitions[number] = p
	l.wg.Go(func() { l.loadPartition(p) })
	return p, nil
}

// loadPartition reads the partition and closes p.loaded. If the read fails, it
// removes p from the ledger, so that the next caller tries again.
func (l *Ledger) loadPartition(p *partition) {
	select {
	case l.loadSlots <- struct{}{}:
		defer func() { <-l.loadSlots }()
		p.err = l.readPartition(p)
	case <-l.stopped:
		p.err = unavailable("the ledger has stopped")
	}
	if p.err != nil {
		l.log.Log(EvLoadFailed, "partition", p.number, "error", p.err.Error())
		l.mu.Lock()
		if l.partitions[p.number] == p {
			delete(l.partitions, p.number)
		}
		l.mu.Unlock()
	} else {
		l.log.Log(EvLoaded, "partition", p.number, "claims", len(p.claims), "since", p.ownedSince)
	}
	close(p.loaded)
}

// readPartition fills p with the claims in the store. It fails if the store
// answers with a state older than the table that began the period of ownership.
func (l *Ledger) readPartition(p *partition) error {
	ctx, cancel := context.WithTimeout(l.runCtx, l.config.WriteTimeout)
	defer cancel()
	prefix := partitionPrefix(l.config.Prefix, p.number)
	snap, err := l.store.List(ctx, prefix)
	if err != nil {
		return fault.Wrap(err, fault.Unavailable, "claim.load", "store", "read partition %d", p.number)
	}
	if snap.Revision < p.ownedSince {
		return fault.New(fault.Unavailable, "claim.load", "store", "read at revision %d, before the table's %d", snap.Revision, p.ownedSince)
	}
	sort.SliceStable(snap.Entries, func(i, j int) bool {
		return snap.Entries[i].ModRevision < snap.Entries[j].ModRevision
	})
	for _, e := range snap.Entries {
		if err := l.addEntry(p, prefix, e); err != nil {
			l.log.Log(EvBadRecord, "key", e.Key, "error", err.Error())
			return fault.Wrap(err, fault.Unavailable, "claim.load", "store", "key %s", e.Key)
		}
	}
	l.loadedBytes.Update(entriesSize(snap.Entries))
	return nil
}

// addEntry adds the claims of one store entry to p. Entries must be added in
// the order of their ModRevision, so that later claims replace earlier ones.
func (l *Ledger) addEntry(p *partition, prefix string, e kv.Entry) error {
	bucket, err := bucketOfKey(e.Key, prefix)
	if err != nil {
		return err
	}
	claims, err := decodeClaims(e.Value)
	if err != nil {
		return err
	}
	p.keys[bucket] = append(p.keys[bucket], e.Key)
	for _, c := range claims {
		p.claims[c.Request] = storedClaim{c, bucket}
	}
	return nil
}

func entriesSize(entries []kv.Entry) int64 {
	n := 0
	for _, e := range entries {
		n += len(e.Key) + len(e.Value)
	}
	return int64(n)
}

// checkWrite returns an error if c must not be written after the claims that
// are stored or being written. isCommitted is true if c is already stored. The
// caller holds Ledger.mu.
func (p *partition) checkWrite(c Claim, amend bool) (isCommitted bool, err error) {
	if w := p.pending[c.Request]; w != nil {
		if w.abandoned.Load() {
			return false, ambiguous("an earlier claim of %s may be written", c.Request)
		}
		return false, conflict("another claim of %s is being written", c.Request)
	}
	current, exists := p.claims[c.Request]
	switch {
	case exists && current.sameAttempt(c):
		return true, nil
	case !amend && (!exists || current.Released):
		return false, nil
	case amend && exists && !current.Released && (c.Number == current.Number+1 || c.Released && c.Number == current.Number):
		return false, nil
	case !exists:
		return false, conflict("%s has no claim to amend", c.Request)
	}
	return false, conflict("%s is claimed as attempt %d by %s", c.Request, current.Number, current.Owner)
}

// expiredKeys returns, by bucket, the keys of the buckets that ended before
// limit. The caller holds Ledger.mu.
func (p *partition) expiredKeys(limit time.Time, length time.Duration) map[int64][]string {
	out := map[int64][]string{}
	for bucket, keys := range p.keys {
		if (bucket+1)*int64(length) <= limit.UnixNano() {
			out[bucket] = keys
		}
	}
	return out
}

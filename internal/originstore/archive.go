package originstore

import (
	"context"
	"encoding/binary"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rcrowley/go-metrics"
	"github.com/vmihailenco/msgpack/v5"

	"buckthornpick/internal/clock"
	"buckthornpick/internal/fault"
	"buckthornpick/internal/kv"
	"buckthornpick/internal/relay"
	"buckthornpick/internal/strictmsg"
	"buckthornpick/internal/telemetry"
	"buckthornpick/internal/wait"
)

// RecordsPrefix is the prefix of the keys of archived records: one key for each segment,
// named by the run of the entry that wrote it and a number.
const RecordsPrefix = "buckthornpick/origins/records/"

const (
	// archiveInterval is the shortest time between two writes of records.
	archiveInterval = 200 * time.Millisecond
	// segmentTime is how long records are added to a segment. Each write repeats the
	// newest segment, and each read gets all of them.
	segmentTime = 4 * time.Second
	// archiveLeaseTTL bounds how long the records of a failed entry are kept, renewed
	// every archiveRenewInterval while there are any.
	archiveLeaseTTL      = relay.OriginRetention + 30*time.Second
	archiveRenewInterval = 30 * time.Second
	// maxOpsPerWrite is below the limit of the store for one transaction.
	maxOpsPerWrite = 30
	// maxArchivedRows limits the records that one entry keeps in the store.
	maxArchivedRows = 1 << 16
	// recordsReadInterval is the shortest time between two reads of all records.
	recordsReadInterval = 300 * time.Millisecond
	readTimeout         = time.Second
)

// row is the archived record of one stream.
type row struct {
	// key is a hash of the attempt's ID.
	key       uint64
	origin    relay.StreamOrigin
	expiresAt time.Duration
}

// keyOf returns the key of an attempt's row.
func keyOf(attemptID string) uint64 { return xxhash.Sum64String(attemptID) }

// segment is a group of rows that is stored under one key.
type segment struct {
	number    int
	startedAt time.Duration
	rows      []row
	// isStored is true if the stored value holds all rows.
	isStored bool
}

// encodedSegment is the stored form of a segment: for each row its key and the index of
// its origin.
type encodedSegment struct {
	Format  int                  `msgpack:"f"`
	Origins []relay.StreamOrigin `msgpack:"o"`
	Keys    []byte               `msgpack:"k"`
	Indexes []byte               `msgpack:"i"`
}

// Archive keeps records of streams' origins in the store, and finds those that were
// written there. It is safe for concurrent use.
type Archive struct {
	ArchiveConfig
	wall lockedWall

	added chan struct{}

	mu       sync.Mutex
	segments []*segment
	next     int
	rowCount int

	// found holds the records that were last read.
	found        map[uint64]relay.StreamOrigin
	declarations sharedRead[*Declarations]
	records      sharedRead[map[uint64]relay.StreamOrigin]

	// lease and leaseGeneration belong to Run; renewedAt is when it was last renewed.
	lease           kv.LeaseID
	leaseGeneration int64
	renewedAt       time.Duration

	writes, reads metrics.Counter
	stored        metrics.Gauge
}

// ArchiveConfig holds the dependencies of an Archive.
type ArchiveConfig struct {
	Store kv.Store
	// RunName names the lifetime of this process.
	RunName string
	Clock   clock.Clock
	Log     *telemetry.Logger
	Metrics metrics.Registry
}

// NewArchive returns an archive without records of this run.
func NewArchive(c ArchiveConfig) *Archive {
	a := &Archive{
		ArchiveConfig: c, added: make(chan struct{}, 1), wall: lockedWall{wall: clock.NewWall(c.Clock, time.Now)},
		writes: metrics.GetOrRegisterCounter("origins.store_writes_total", c.Metrics),
		reads:  metrics.GetOrRegisterCounter("origins.store_reads_total", c.Metrics),
		stored: metrics.GetOrRegisterGauge("origins.archived", c.Metrics),
	}
	a.declarations = sharedRead[*Declarations]{read: a.readDeclarations}
	a.records = sharedRead[map[uint64]relay.StreamOrigin]{read: a.readRecords, interval: recordsReadInterval}
	return a
}

// Add archives records. It implements exchange.Archive.
func (a *Archive) Add(records []relay.OriginRecord) {
	a.mu.Lock()
	now := a.Clock()
	for _, record := range records {
		lifetime := relay.OriginRetention
		if record.Remaining > 0 {
			lifetime = min(lifetime, record.Remaining)
		}
		s := a.openSegmentLocked(now)
		s.rows = append(s.rows, row{key: keyOf(record.AttemptID), origin: record.Origin, expiresAt: now + lifetime})
		s.isStored = false
		a.rowCount++
	}
	a.mu.Unlock()
	select {
	case a.added <- struct{}{}:
	default:
	}
}

// openSegmentLocked returns the segment that rows are added to.
func (a *Archive) openSegmentLocked(now time.Duration) *segment {
	if n := len(a.segments); n > 0 && now-a.segments[n-1].startedAt < segmentTime {
		return a.segments[n-1]
	}
	a.next++
	s := &segment{number: a.next, startedAt: now}
	a.segments = append(a.segments, s)
	return s
}

// Run writes added records to the store until ctx ends. Callers may return after that, so
// the records stay until their lease expires. It always returns nil.
func (a *Archive) Run(ctx context.Context) error {
	for {
		timer := time.NewTimer(archiveRenewInterval)
		select {
		case <-a.added:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return nil
		}
		timer.Stop()
		for ctx.Err() == nil {
			isMore, err := a.write(ctx)
			if err != nil && ctx.Err() == nil {
				a.Log.Log(EvArchiveFailed, "step", fault.Step(err), "peer", fault.Peer(err), "error", err.Error())
			}
			if !isMore {
				break
			}
			wait.For(ctx, archiveInterval)
		}
		wait.For(ctx, archiveInterval)
	}
}

// write stores the segments that are not stored yet and removes the expired ones, as far
// as one transaction allows. It reports whether there is more to write.
func (a *Archive) write(ctx context.Context) (isMore bool, err error) {
	generation := kv.Generation(a.Store)
	if generation != a.leaseGeneration {
		a.forgetStored()
	}
	ops, written, expired := a.collect()
	if len(ops) == 0 {
		return false, a.renew(ctx)
	}
	if a.lease == 0 {
		lease, err := a.Store.Grant(ctx, archiveLeaseTTL)
		if err != nil {
			return true, err
		}
		a.lease, a.leaseGeneration, a.renewedAt = lease, generation, a.Clock()
	}
	for i := range ops {
		if !ops[i].Delete {
			ops[i].Lease = a.lease
		}
	}
	a.writes.Inc(1)
	_, err = a.Store.Txn(ctx, nil, ops)
	if fault.Is(err, fault.Conflict) {
		a.forgetStored()
		return true, err
	}
	if err != nil {
		return true, err
	}
	return a.confirm(written, expired), a.renew(ctx)
}

// forgetStored makes all segments be written again, under a new lease.
func (a *Archive) forgetStored() {
	a.lease, a.leaseGeneration = 0, kv.Generation(a.Store)
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, s := range a.segments {
		s.isStored = false
	}
}

// collect returns the writes that are due, the number of rows in each segment that they
// store, and the segments that they remove.
func (a *Archive) collect() (ops []kv.Op, written map[*segment]int, expired []*segment) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.Clock()
	written = map[*segment]int{}
	excess := a.rowCount - maxArchivedRows
	for _, s := range a.segments {
		isExpired := excess > 0 || !slices.ContainsFunc(s.rows, func(r row) bool { return r.expiresAt > now })
		if len(ops) >= maxOpsPerWrite {
			break
		}
		switch {
		case isExpired:
			excess -= len(s.rows)
			expired = append(expired, s)
			ops = append(ops, kv.Delete(a.storeKey(s)))
		case !s.isStored:
			value, err := msgpack.Marshal(s.encode())
			if err != nil {
				continue // strings and bytes can always be encoded
			}
			written[s] = len(s.rows)
			ops = append(ops, kv.Put(a.storeKey(s), value))
		}
	}
	return ops, written, expired
}

// storeKey returns the key of a segment. Keys sort as their segments: of two records of one
// stream the later one counts.
func (a *Archive) storeKey(s *segment) string {
	return fmt.Sprintf("%s%s/%08d", RecordsPrefix, a.RunName, s.number)
}

// confirm records what a transaction has written and removed. It reports whether rows
// were added meanwhile.
func (a *Archive) confirm(written map[*segment]int, expired []*segment) (isMore bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for s, n := range written {
		s.isStored = len(s.rows) == n
	}
	a.segments = slices.DeleteFunc(a.segments, func(s *segment) bool {
		if !slices.Contains(expired, s) {
			return false
		}
		a.rowCount -= len(s.rows)
		return true
	})
	a.stored.Update(int64(a.rowCount))
	return slices.ContainsFunc(a.segments, func(s *segment) bool { return !s.isStored })
}

// renew renews the lease if it is due and there are records.
func (a *Archive) renew(ctx context.Context) error {
	a.mu.Lock()
	isEmpty := len(a.segments) == 0
	a.mu.Unlock()
	if a.lease == 0 || isEmpty || a.Clock()-a.renewedAt < archiveRenewInterval {
		return nil
	}
	err := a.Store.KeepAlive(ctx, a.lease)
	if fault.Is(err, fault.Conflict) {
		a.forgetStored()
		return nil
	}
	if err == nil {
		a.renewedAt = a.Clock()
	}
	return err
}

func (s *segment) encode() encodedSegment {
	e := encodedSegment{Format: format}
	for _, r := range s.rows {
		i := slices.Index(e.Origins, r.origin)
		if i < 0 {
			if len(e.Origins) > 255 {
				continue // more origins at a time than releases can bring about
			}
			i = len(e.Origins)
			e.Origins = append(e.Origins, r.origin)
		}
		e.Keys = binary.BigEndian.AppendUint64(e.Keys, r.key)
		e.Indexes = append(e.Indexes, byte(i))
	}
	return e
}

// decodeSegment adds the rows of a stored segment to rows.
func decodeSegment(value []byte, rows map[uint64]relay.StreamOrigin) error {
	var e encodedSegment
	if err := strictmsg.Unmarshal(value, &e); err != nil {
		return err
	}
	if e.Format != format || len(e.Keys) != 8*len(e.Indexes) {
		return fault.New(fault.Invalid, "origins.decode", RecordsPrefix, "unknown format %d", e.Format)
	}
	for n, i := range e.Indexes {
		if int(i) < len(e.Origins) {
			rows[binary.BigEndian.Uint64(e.Keys[8*n:])] = e.Origins[i]
		}
	}
	return nil
}

// Find implements relay.OriginStore.
func (a *Archive) Find(ctx context.Context, rule, attemptID string) (relay.StoredOrigin, error) {
	if origin, ok := a.findRow(attemptID); ok {
		return relay.StoredOrigin{IsKnown: true, Origin: origin}, nil
	}
	declarations, err := a.declarations.get(ctx)
	if err != nil {
		return relay.StoredOrigin{}, err
	}
	answer := relay.StoredOrigin{CompleteIn: redeclareTime}
	if declarations != nil {
		answer.Seen = declarations.candidates(rule)
		answer.CompleteIn = declarations.completeIn(kv.Generation(a.Store), a.wall.now())
		answer.IsUpgrade = declarations.IsUpgrade && declarations.Generation == kv.Generation(a.Store)
	}
	if answer.CompleteIn == 0 && len(answer.Seen) <= 1 {
		if len(answer.Seen) == 1 {
			answer.IsOnly, answer.Origin = true, answer.Seen[0]
		}
		return answer, nil
	}
	if _, err := a.records.get(ctx); err != nil {
		return relay.StoredOrigin{}, err
	}
	if origin, ok := a.findRow(attemptID); ok {
		return relay.StoredOrigin{IsKnown: true, Origin: origin}, nil
	}
	return answer, nil
}

// findRow looks for a record among those that were last read.
func (a *Archive) findRow(attemptID string) (relay.StreamOrigin, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	origin, ok := a.found[keyOf(attemptID)]
	return origin, ok && attemptID != ""
}

func (a *Archive) readDeclarations(ctx context.Context) (*Declarations, error) {
	a.reads.Inc(1)
	declarations, _, err := readDeclarations(ctx, a.Store)
	return declarations, err
}

// readRecords reads the records of all entries.
func (a *Archive) readRecords(ctx context.Context) (map[uint64]relay.StreamOrigin, error) {
	a.reads.Inc(1)
	snapshot, err := a.Store.List(ctx, RecordsPrefix)
	if err != nil {
		return nil, err
	}
	rows := map[uint64]relay.StreamOrigin{}
	for _, entry := range snapshot.Entries {
		if err := decodeSegment(entry.Value, rows); err != nil {
			a.Log.Log(EvRecordsUnreadable, "key", entry.Key, "revision", entry.ModRevision, "error", err.Error())
		}
	}
	a.Log.Log(EvRecordsRead, "records", len(rows), "segments", len(snapshot.Entries))
	a.mu.Lock()
	defer a.mu.Unlock()
	a.found = rows
	return rows, nil
}

package slopes

import (
	"context"
	"fmt"
	"math"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"buckthornpick/internal/backend"
	"buckthornpick/internal/claim"
	"buckthornpick/internal/kv"
	"buckthornpick/internal/kv/etcd"
	"buckthornpick/internal/netx"
	"buckthornpick/internal/peer"
	"buckthornpick/internal/request"
	"buckthornpick/internal/standin/site"
	"buckthornpick/internal/telemetry"
	"buckthornpick/internal/wait"

	kvstandin "buckthornpick/internal/standin/kv"
)

const (
	claimNodes    = 10
	claimDuration = 3 * time.Second
	// ledgerStartDelay gives the ledgers time to start.
	ledgerStartDelay = 200 * time.Millisecond
	// warmUpConcurrency limits the concurrent claims before the measurement.
	warmUpConcurrency = 256
	claimTable        = "slopes/table"
	claimPrefix       = "claims/"
)

// claimRates are in claims per second.
var claimRates = []int{50, 200, 400, 1200}

// measureClaims measures the cost of claims (the at-most-once records of
// requests) in one zone of ten nodes against the number of claims per second.
func measureClaims(ctx context.Context, _ Options, out *Results) error {
	for _, rate := range claimRates {
		if err := measureClaimsAt(ctx, rate, out); err != nil {
			return err
		}
	}
	return nil
}

func measureClaimsAt(ctx context.Context, rate int, out *Results) error {
	z, err := newClaimZone(ctx)
	if err != nil {
		return err
	}
	defer z.stop()
	wait.For(ctx, ledgerStartDelay)
	if err := z.warmUp(ctx); err != nil {
		return err
	}
	before, sent, memory, began := z.store.Calls()["txn"], peerBytes(z.meter), liveBytes(), time.Now()
	committed, err := z.run(ctx, rate)
	if err != nil {
		return err
	}
	seconds := time.Since(began).Seconds()
	add := func(quantity, unit string, y float64) {
		out.Add("claims", quantity, unit, "claims/s in a zone", math.Round(float64(committed)/seconds), y)
	}
	add("claims: bytes to peers per claim", "B", (peerBytes(z.meter)-sent)/float64(committed))
	add("claims: store transactions, one zone", "calls/s", float64(z.store.Calls()["txn"]-before)/seconds)
	stored, err := z.storedBytes(ctx)
	if err != nil {
		return err
	}
	add("claims: bytes in the store per claim", "B", stored/float64(committed+request.Partitions))
	add("claims: memory per claim, store stand-in included", "B", (liveBytes()-memory)/float64(committed))
	return nil
}

// claimZone holds the claim ledgers of one zone; each node owns an equal share of
// the partitions.
type claimZone struct {
	meter   *meter
	store   *kvstandin.Server
	client  kv.Store
	ledgers []*claim.Ledger
	// sent is the number of claims started so far and the number of the next.
	sent   int
	cancel context.CancelFunc
	work   sync.WaitGroup
}

func newClaimZone(ctx context.Context) (*claimZone, error) {
	ctx, cancel := context.WithCancel(ctx)
	z := &claimZone{meter: newMeter(1), store: kvstandin.New(1), cancel: cancel}
	network := z.meter
	listener, err := network.Host("store", "").Listen("store:8080")
	if err != nil {
		cancel()
		return nil, err
	}
	server := &http.Server{Handler: z.store, ReadHeaderTimeout: time.Minute}
	z.work.Go(func() { _ = server.Serve(listener) })
	z.work.Go(func() { _ = z.store.Run(ctx) })
	context.AfterFunc(ctx, func() { _ = server.Close() })
	z.client = storeClient(network.Host("probe", ""))
	written, err := z.client.Txn(ctx, nil, []kv.Op{kv.Put(claimTable, []byte("table"))})
	if err != nil {
		z.stop()
		return nil, err
	}
	z.startLedgers(ctx, written.Revision)
	return z, nil
}

func storeClient(n netx.Network) kv.Store {
	client := netx.HTTPClient(n, netx.HTTPOptions{MaxIdlePerHost: 64})
	return etcd.New(etcd.Config{Endpoint: "http://store:8080"}, client, metrics.NewRegistry())
}

func (z *claimZone) startLedgers(ctx context.Context, tableRevision int64) {
	writer := peer.Node{ID: "entry-0", Zone: "a", Address: "entry-0" + peerPort}
	for i := range claimNodes {
		id := fmt.Sprintf("entry-%d", i)
		host := z.meter.Host(id, "a")
		t := peer.New(peer.Node{ID: id, Zone: "a", Address: id + peerPort}, host, telemetry.Discard(),
			metrics.NewRegistry(), peer.Options{Secret: []byte(site.Secret)})
		own := &claimOwnership{OwnershipTracker: &claim.OwnershipTracker{}, writer: writer}
		own.Observe(tableRevision, 0, func(p int) bool { return p%claimNodes == i })
		l := claim.New(claim.Config{}, own, storeClient(host), t, telemetry.Discard(), metrics.NewRegistry())
		z.ledgers = append(z.ledgers, l)
		z.work.Go(func() { _ = t.Run(ctx) })
		z.work.Go(func() { _ = l.Run(ctx) })
	}
}

func (z *claimZone) stop() {
	z.cancel()
	z.work.Wait()
}

// warmUp commits one claim in each partition, so that all partitions are loaded.
func (z *claimZone) warmUp(ctx context.Context) error {
	var g errgroup.Group
	g.SetLimit(warmUpConcurrency)
	for ; z.sent < request.Partitions; z.sent++ {
		number := z.sent
		g.Go(func() error {
			_, err := z.commit(ctx, number)
			return err
		})
	}
	return g.Wait()
}

// run commits claims at the given rate per second for claimDuration and returns
// the number committed.
func (z *claimZone) run(ctx context.Context, rate int) (int, error) {
	var wg sync.WaitGroup
	var committed atomic.Int64
	var failure atomic.Pointer[error]
	first, began := z.sent, time.Now()
	for time.Since(began) < claimDuration && ctx.Err() == nil {
		for due := first + int(time.Since(began).Seconds()*float64(rate)); z.sent < due; z.sent++ {
			number := z.sent
			wg.Go(func() {
				n, err := z.commit(ctx, number)
				committed.Add(int64(n))
				if err != nil {
					failure.Store(&err)
				}
			})
		}
		wait.For(ctx, time.Millisecond)
	}
	wg.Wait()
	if err := failure.Load(); err != nil {
		return int(committed.Load()), *err
	}
	return int(committed.Load()), nil
}

// commit commits a claim for the request with this number on the owner of its
// partition. It returns the number of claims committed, 0 or 1.
func (z *claimZone) commit(ctx context.Context, number int) (int, error) {
	// The first four digits of a request ID determine its partition.
	id := request.ID(fmt.Sprintf("%04x%028x", number%request.Partitions, number))
	owner := id.Partition() % claimNodes
	err := z.ledgers[owner].Commit(ctx, claim.Claim{
		Request: id, Organisation: "organisation-1", Service: "report", Owner: fmt.Sprintf("entry-%d", owner),
		Incarnation: 1, Target: backend.Target{ID: "server-a-00001", Address: "10.0.0.1:8000"},
		Attempt: backend.AttemptID(id), Number: 1, Fingerprint: uint64(number),
	})
	if err != nil {
		return 0, err
	}
	return 1, nil
}

func (z *claimZone) storedBytes(ctx context.Context) (float64, error) {
	snapshot, err := z.client.List(ctx, claimPrefix)
	sum := 0
	for _, e := range snapshot.Entries {
		sum += len(e.Key) + len(e.Value)
	}
	return float64(sum), err
}

// claimOwnership implements claim.Ownership for a member table that never
// changes.
type claimOwnership struct {
	*claim.OwnershipTracker
	writer peer.Node
}

// TableKey implements claim.Ownership.
func (o *claimOwnership) TableKey() string { return claimTable }

// Writer implements claim.Ownership.
func (o *claimOwnership) Writer() (peer.Node, bool) { return o.writer, true }

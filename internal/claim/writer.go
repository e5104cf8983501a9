package claim

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"buckthornpick/internal/fault"
	"buckthornpick/internal/kv"
)

// writer merges batches of several nodes into transactions. It keeps nothing
// and decides nothing: every batch carries its own guards.
type writer struct {
	config       Config
	store        kv.Store
	tableKey     string
	queue        chan *job
	inFlight     chan struct{}
	stopped      chan struct{} // closed when run is ending
	transactions metrics.Counter
}

// job is one batch at the writer; fate takes one result.
type job struct {
	batch
	fate chan fate
}

const writerQueue = 1024

func newWriter(cfg Config, store kv.Store, tableKey string, registry metrics.Registry) *writer {
	return &writer{
		config: cfg, store: store, tableKey: tableKey,
		queue:        make(chan *job, writerQueue),
		inFlight:     make(chan struct{}, cfg.WriterInFlight),
		stopped:      make(chan struct{}),
		transactions: metrics.GetOrRegisterCounter("claim.transactions", registry),
	}
}

// submit writes b together with others and returns its fate.
func (w *writer) submit(ctx context.Context, b batch) fate {
	if !w.valid(b) {
		return fateUnavailable
	}
	j := &job{batch: b, fate: make(chan fate, 1)}
	select {
	case w.queue <- j:
	default:
		return fateUnavailable
	}
	select {
	case f := <-j.fate:
		return f
	case <-ctx.Done():
		return fateAmbiguous
	case <-w.stopped:
		return fateAmbiguous
	}
}

// valid reports whether b is within bounds and writes claims only.
func (w *writer) valid(b batch) bool {
	if len(b.Records) == 0 || len(b.Records) > maxTxnKeys || b.size() > maxTxnBytes {
		return false
	}
	for _, r := range b.Records {
		if !strings.HasPrefix(r.Key, w.config.Prefix) || len(r.Value) == 0 {
			return false
		}
	}
	return true
}

// run starts at most one transaction per WriteInterval, with all that has come
// until then.
func (w *writer) run(ctx context.Context) {
	defer close(w.stopped)
	var wg sync.WaitGroup
	defer wg.Wait()
	var carried *job // did not fit into the last transaction
	for {
		select {
		case w.inFlight <- struct{}{}:
		case <-ctx.Done():
			return
		}
		first := carried
		if first == nil {
			select {
			case first = <-w.queue:
			case <-ctx.Done():
				return
			}
		}
		var jobs []*job
		jobs, carried = w.merge(first)
		wg.Go(func() {
			w.commit(ctx, jobs)
			<-w.inFlight
		})
		select {
		case <-time.After(w.config.WriteInterval):
		case <-ctx.Done():
			return
		}
	}
}

// merge takes jobs of the same table that fit into one transaction; carried is
// the first that does not.
func (w *writer) merge(first *job) (jobs []*job, carried *job) {
	jobs = []*job{first}
	keys, size := len(first.Records), first.size()
	for {
		select {
		case j := <-w.queue:
			keys += len(j.Records)
			size += j.size()
			if j.Table != first.Table || keys > maxTxnKeys || size > maxTxnBytes {
				return jobs, j
			}
			jobs = append(jobs, j)
		default:
			return jobs, nil
		}
	}
}

func (w *writer) commit(ctx context.Context, jobs []*job) {
	batches := make([]batch, len(jobs))
	for i, j := range jobs {
		batches[i] = j.batch
	}
	f := w.txn(ctx, batches)
	moved := f == fateConflict && w.tableMoved(ctx, jobs[0].Table)
	for _, j := range jobs {
		own := f
		if f == fateConflict {
			if len(jobs) > 1 && !moved { // one of them was written or given up before
				own = w.txn(ctx, []batch{j.batch})
			}
			if own == fateConflict {
				own = w.explain(ctx, j.batch, moved)
			}
		}
		j.fate <- own
	}
}

// explain finds out why the guards of b failed. The table is read before the
// key: once it has moved, no copy of b can take effect any more.
func (w *writer) explain(ctx context.Context, b batch, moved bool) fate {
	moved = moved || w.tableMoved(ctx, b.Table)
	ctx, cancel := context.WithTimeout(ctx, w.config.WriteTimeout)
	defer cancel()
	e, found, err := w.store.Get(ctx, b.guard().Key)
	switch {
	case err != nil:
		return fateAmbiguous
	case found && len(e.Value) > 0:
		return fateWritten
	case found || moved:
		return fateConflict
	}
	return fateAmbiguous
}

func (w *writer) txn(ctx context.Context, batches []batch) fate {
	ctx, cancel := context.WithTimeout(ctx, w.config.WriteTimeout)
	defer cancel()
	w.transactions.Inc(1)
	guards, ops := w.transaction(batches)
	res, err := w.store.Txn(ctx, guards, ops)
	switch {
	case fault.Is(err, fault.Unavailable):
		return fateUnavailable
	case err != nil:
		return fateAmbiguous
	case !res.Succeeded:
		return fateConflict
	}
	return fateWritten
}

func (w *writer) transaction(batches []batch) ([]kv.Compare, []kv.Op) {
	guards := []kv.Compare{{Key: w.tableKey, ModRevision: batches[0].Table}}
	var ops []kv.Op
	for _, b := range batches {
		guards = append(guards, b.guard())
		for _, r := range b.Records {
			ops = append(ops, kv.Put(r.Key, r.Value))
		}
	}
	return guards, ops
}

func (w *writer) tableMoved(ctx context.Context, revision int64) bool {
	ctx, cancel := context.WithTimeout(ctx, w.config.WriteTimeout)
	defer cancel()
	e, found, err := w.store.Get(ctx, w.tableKey)
	return err == nil && (!found || e.ModRevision != revision)
}

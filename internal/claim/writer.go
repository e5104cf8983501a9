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

// writer merges batches of several nodes into transactions. It keeps no state
// about claims and makes no decisions, because every batch carries its own
// conditions.
type writer struct {
	config       Config
	store        kv.Store
	tableKey     string
	queue        chan *writerJob
	inFlight     chan struct{}
	stopped      chan struct{} // closed when run returns
	transactions metrics.Counter
}

// writerJob is a batch in the writer's queue.
type writerJob struct {
	batch
	outcome chan outcome // receives the result; capacity 1
}

const writerQueueLength = 1024

func newWriter(cfg Config, store kv.Store, tableKey string, registry metrics.Registry) *writer {
	return &writer{
		config: cfg, store: store, tableKey: tableKey,
		queue:        make(chan *writerJob, writerQueueLength),
		inFlight:     make(chan struct{}, cfg.WriterInFlight),
		stopped:      make(chan struct{}),
		transactions: metrics.GetOrRegisterCounter("claim.transactions", registry),
	}
}

// submit queues b, to be written together with other batches, and returns its
// outcome.
func (w *writer) submit(ctx context.Context, b batch) outcome {
	if !w.isValid(b) {
		return outcomeUnavailable
	}
	j := &writerJob{batch: b, outcome: make(chan outcome, 1)}
	select {
	case w.queue <- j:
	default:
		return outcomeUnavailable
	}
	select {
	case o := <-j.outcome:
		return o
	case <-ctx.Done():
		return outcomeAmbiguous
	case <-w.stopped:
		return outcomeAmbiguous
	}
}

// isValid reports whether b is within the limits of a transaction and writes
// only keys of claims.
func (w *writer) isValid(b batch) bool {
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

// run writes queued batches until ctx ends. It starts at most one transaction
// per WriteInterval, with the batches queued by then.
func (w *writer) run(ctx context.Context) {
	defer close(w.stopped)
	var wg sync.WaitGroup
	defer wg.Wait()
	var leftover *writerJob // taken from the queue, but not part of the last transaction
	for {
		select {
		case w.inFlight <- struct{}{}:
		case <-ctx.Done():
			return
		}
		first := leftover
		if first == nil {
			select {
			case first = <-w.queue:
			case <-ctx.Done():
				return
			}
		}
		var jobs []*writerJob
		jobs, leftover = w.merge(first)
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

// merge takes jobs with the same table revision from the queue, up to the limits
// of a transaction. leftover is the first job that cannot be part of it, nil if
// the queue is empty.
func (w *writer) merge(first *writerJob) (jobs []*writerJob, leftover *writerJob) {
	jobs = []*writerJob{first}
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

// commit writes the jobs in one transaction and sends each its outcome. If that
// transaction fails although the table has not changed, it writes them one by
// one, because the condition of a single batch makes the whole transaction fail.
func (w *writer) commit(ctx context.Context, jobs []*writerJob) {
	batches := make([]batch, len(jobs))
	for i, j := range jobs {
		batches[i] = j.batch
	}
	o := w.runTxn(ctx, batches)
	tableChanged := o == outcomeConflict && w.hasTableChanged(ctx, jobs[0].Table)
	for _, j := range jobs {
		jobOutcome := o
		if o == outcomeConflict {
			if len(jobs) > 1 && !tableChanged { // one of them was written or abandoned before
				jobOutcome = w.runTxn(ctx, []batch{j.batch})
			}
			if jobOutcome == outcomeConflict {
				jobOutcome = w.diagnoseFailure(ctx, j.batch, tableChanged)
			}
		}
		j.outcome <- jobOutcome
	}
}

// diagnoseFailure determines the outcome of b after its conditions have failed.
// It reads the table before the key, because once the table has changed, no copy
// of b can take effect any more.
func (w *writer) diagnoseFailure(ctx context.Context, b batch, tableChanged bool) outcome {
	tableChanged = tableChanged || w.hasTableChanged(ctx, b.Table)
	ctx, cancel := context.WithTimeout(ctx, w.config.WriteTimeout)
	defer cancel()
	e, found, err := w.store.Get(ctx, b.guard().Key)
	switch {
	case err != nil:
		return outcomeAmbiguous
	case found && len(e.Value) > 0:
		return outcomeWritten
	case found || tableChanged:
		return outcomeConflict
	}
	return outcomeAmbiguous
}

// runTxn writes the batches in one transaction. outcomeConflict means that a
// condition failed; the outcome of the single batches is then not known yet.
func (w *writer) runTxn(ctx context.Context, batches []batch) outcome {
	ctx, cancel := context.WithTimeout(ctx, w.config.WriteTimeout)
	defer cancel()
	w.transactions.Inc(1)
	guards, ops := w.buildTxn(batches)
	res, err := w.store.Txn(ctx, guards, ops)
	switch {
	case fault.Is(err, fault.Unavailable):
		return outcomeUnavailable
	case err != nil:
		return outcomeAmbiguous
	case !res.Succeeded:
		return outcomeConflict
	}
	return outcomeWritten
}

// buildTxn returns the conditions and operations of one transaction with the
// batches, which must have the same table revision.
func (w *writer) buildTxn(batches []batch) ([]kv.Compare, []kv.Op) {
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

// hasTableChanged reports whether the stored table is known to have another
// revision than the given one.
func (w *writer) hasTableChanged(ctx context.Context, revision int64) bool {
	ctx, cancel := context.WithTimeout(ctx, w.config.WriteTimeout)
	defer cancel()
	e, found, err := w.store.Get(ctx, w.tableKey)
	return err == nil && (!found || e.ModRevision != revision)
}

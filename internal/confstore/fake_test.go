package confstore

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"buckthornpick/internal/fault"
	"buckthornpick/internal/kv"
)

// txnFault is the fault injected into one transaction.
type txnFault int

const (
	// answered: no fault; the result is returned.
	answered txnFault = iota
	// lostAfterApply: the transaction takes effect, its response is lost.
	lostAfterApply
	// lostBeforeApply: the transaction takes no effect, its response is lost.
	lostBeforeApply
	// appliedLater: the response is lost, and the transaction arrives only when the
	// test calls applyDelayed.
	appliedLater
)

// fakeStore is an in-memory kv.Store with fault injection.
type fakeStore struct {
	mu       sync.Mutex
	entries  map[string]kv.Entry
	revision int64
	down     bool
	// silent makes watches hang: they deliver nothing and do not end.
	silent   bool
	faults   []txnFault
	delayed  []func()
	watchers map[chan kv.WatchBatch]string
	calls    int
	// beforeTxn is called before each transaction, without mu held.
	beforeTxn func()
	// nextFault returns the fault of each transaction after those in faults.
	nextFault func() txnFault
}

func newFake() *fakeStore {
	return &fakeStore{entries: map[string]kv.Entry{}, watchers: map[chan kv.WatchBatch]string{}}
}

// beginCall counts a call; it fails while the store is down.
func (f *fakeStore) beginCall() error {
	f.calls++
	if f.down {
		return fault.New(fault.Unavailable, "kv", "fake", "down")
	}
	return nil
}

func (f *fakeStore) Get(_ context.Context, key string) (kv.Entry, bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.beginCall(); err != nil {
		return kv.Entry{}, false, err
	}
	e, ok := f.entries[key]
	return e, ok, nil
}

func (f *fakeStore) List(_ context.Context, prefix string) (kv.Snapshot, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.beginCall(); err != nil {
		return kv.Snapshot{}, err
	}
	snapshot := kv.Snapshot{Revision: f.revision}
	for k, e := range f.entries {
		if strings.HasPrefix(k, prefix) {
			snapshot.Entries = append(snapshot.Entries, e)
		}
	}
	sort.Slice(snapshot.Entries, func(i, j int) bool { return snapshot.Entries[i].Key < snapshot.Entries[j].Key })
	return snapshot, nil
}

func (f *fakeStore) Txn(_ context.Context, guards []kv.Compare, ops []kv.Op) (kv.TxnResult, error) {
	if f.beforeTxn != nil {
		f.beforeTxn()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.beginCall(); err != nil {
		return kv.TxnResult{}, err
	}
	outcome := answered
	if len(f.faults) > 0 {
		outcome, f.faults = f.faults[0], f.faults[1:]
	} else if f.nextFault != nil {
		outcome = f.nextFault()
	}
	switch outcome {
	case lostAfterApply:
		f.apply(guards, ops)
	case appliedLater:
		f.delayed = append(f.delayed, func() { f.apply(guards, ops) })
	case answered:
		return kv.TxnResult{Succeeded: f.apply(guards, ops), Revision: f.revision}, nil
	}
	return kv.TxnResult{}, fault.New(fault.Ambiguous, "kv", "fake", "response lost")
}

// apply runs a transaction and reports whether its guards held. f.mu must be held.
func (f *fakeStore) apply(guards []kv.Compare, ops []kv.Op) bool {
	for _, g := range guards {
		if f.entries[g.Key].ModRevision != g.ModRevision {
			return false
		}
	}
	f.revision++
	for _, op := range ops {
		f.write(op)
	}
	return true
}

func (f *fakeStore) write(op kv.Op) {
	e := kv.Entry{Key: op.Key, Value: op.Value, ModRevision: f.revision}
	f.entries[op.Key] = e
	if op.Delete {
		delete(f.entries, op.Key)
	}
	for ch, prefix := range f.watchers {
		if strings.HasPrefix(op.Key, prefix) && !f.silent {
			ch <- kv.WatchBatch{Events: []kv.Event{{Entry: e, Deleted: op.Delete}}, Revision: f.revision}
		}
	}
}

// applyDelayed applies the transactions that were delayed with appliedLater.
func (f *fakeStore) applyDelayed() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, d := range f.delayed {
		d()
	}
	f.delayed = nil
}

// setDown starts or ends an outage; a start ends all watches.
func (f *fakeStore) setDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
	if down {
		for ch := range f.watchers {
			close(ch)
			delete(f.watchers, ch)
		}
	}
}

func (f *fakeStore) put(key string, value []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.apply(nil, []kv.Op{kv.Put(key, value)})
}

func (f *fakeStore) callCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls
}

func (f *fakeStore) Watch(ctx context.Context, prefix string, _ int64) (<-chan kv.WatchBatch, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.beginCall(); err != nil {
		return nil, err
	}
	const watchBuffer = 64
	ch := make(chan kv.WatchBatch, watchBuffer)
	f.watchers[ch] = prefix
	context.AfterFunc(ctx, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if _, open := f.watchers[ch]; open {
			delete(f.watchers, ch)
			close(ch)
		}
	})
	return ch, nil
}

func (f *fakeStore) Grant(context.Context, time.Duration) (kv.LeaseID, error) { return 1, nil }
func (f *fakeStore) KeepAlive(context.Context, kv.LeaseID) error              { return nil }
func (f *fakeStore) Revoke(context.Context, kv.LeaseID) error                 { return nil }

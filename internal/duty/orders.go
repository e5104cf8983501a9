package duty

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"buckthornpick/internal/clock"
	"buckthornpick/internal/fault"
	"buckthornpick/internal/kv"
	"buckthornpick/internal/rollout"
	"buckthornpick/internal/telemetry"
	"buckthornpick/internal/wait"
)

// RolloutKeys are the keys and formats in which operators order roll-outs and read their
// status.
type RolloutKeys struct {
	// OrdersPrefix is the prefix of the keys of orders, one for each service.
	OrdersPrefix string
	// DecodeOrder decodes an order, whose ID it leaves 0.
	DecodeOrder func(key string, value []byte) (rollout.Order, error)
	// StatusKey returns the key of the status of a service's order, and EncodeStatus its
	// value for a phase.
	StatusKey    func(service string) string
	EncodeStatus func(to string, phase rollout.Phase) ([]byte, error)
}

// orderSource reads orders and their states from the store.
type orderSource struct {
	store kv.Store
	keys  RolloutKeys
	log   *telemetry.Logger
}

// storedRecord is a rollout.Record with the revision of its key.
type storedRecord struct {
	rollout.Record
	modRevision int64
}

// orders returns the orders by service. Unreadable ones are logged and left out.
func (s *orderSource) decodeOrders(generation int64, entries []kv.Entry) map[string]rollout.Order {
	orders := map[string]rollout.Order{}
	for _, e := range entries {
		order, err := s.keys.DecodeOrder(e.Key, e.Value)
		if err != nil {
			s.log.Log(EvRolloutUnreadable, "key", e.Key, "revision", e.ModRevision, "error", err.Error())
			continue
		}
		order.ID = rollout.NewID(generation, e.ModRevision)
		orders[order.Service] = order
	}
	return orders
}

// records returns the stored states by service.
func (s *orderSource) records(ctx context.Context) (map[string]storedRecord, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	snapshot, err := s.store.List(ctx, rollout.RecordPrefix)
	if err != nil {
		return nil, err
	}
	records := map[string]storedRecord{}
	for _, e := range snapshot.Entries {
		record, err := rollout.DecodeRecord(e.Value)
		if err != nil {
			s.log.Log(EvRolloutUnreadable, "key", e.Key, "revision", e.ModRevision, "error", err.Error())
			record = rollout.Record{Service: e.Key[len(rollout.RecordPrefix):]}
		}
		records[record.Service] = storedRecord{record, e.ModRevision}
	}
	return records, nil
}

// OrderReader reads the orders of roll-outs when an entry starts, and when it needs to know
// whether there is an order and no holder tells it.
type OrderReader struct {
	Store kv.Store
	Keys  RolloutKeys
	Gate  *rollout.Gate
	Clock clock.Clock
	Log   *telemetry.Logger
}

const (
	// readerInterval is the time between checks whether the orders must be read, readPause
	// the mean pause after a read.
	readerInterval = 100 * time.Millisecond
	readPause      = 700 * time.Millisecond
)

// Run reads until ctx is done, and always returns nil.
func (r *OrderReader) Run(ctx context.Context) error {
	source := &orderSource{r.Store, r.Keys, r.Log}
	for pause := time.Duration(0); wait.For(ctx, pause); {
		pause = readerInterval
		if !r.Gate.NeedsReading(r.Clock()) {
			continue
		}
		if err := r.read(ctx, source); err != nil && ctx.Err() == nil {
			r.Log.Log(EvRolloutFailed, "step", fault.Step(err), "peer", fault.Peer(err), "error", err.Error())
		}
		if r.Gate.IsInformed() {
			pause = readPause/2 + rand.N(readPause)
		}
	}
	return nil
}

// read takes what the store holds in. It allows no exposure: an order without an outcome
// holds its version back.
func (r *OrderReader) read(ctx context.Context, source *orderSource) error {
	sent := r.Clock()
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	snapshot, err := r.Store.List(ctx, r.Keys.OrdersPrefix)
	if err != nil {
		return err
	}
	records, err := source.records(ctx)
	if err != nil {
		return err
	}
	statement := rollout.Statement{ConfirmedMillis: (r.Clock() - sent).Milliseconds()}
	for service, order := range source.decodeOrders(snapshot.Generation, snapshot.Entries) {
		state := rollout.OrderState{ID: order.ID, Seen: order.ID, Service: service, To: order.To}
		if record, ok := records[service]; ok {
			if stored := record.State(); stored.IsSame(&order) {
				state = stored
			}
		}
		statement.Orders = append(statement.Orders, state)
	}
	for _, o := range r.Gate.Learn(r.Clock(), statement) {
		r.Log.Log(rollout.EvLearned, "service", o.Service, "to", o.To, "phase", o.Phase.String(), "order", o.ID, "from_store", true)
	}
	return nil
}

// orderView is what the holder has read of the orders.
type orderView struct {
	// token is that of the lease under which it was read.
	token                int64
	generation, revision int64
	orders               map[string]rollout.Order
	// writtenAt holds the time after which each order was written.
	writtenAt map[string]time.Duration
	// confirmedAt is when the last answered call was sent, answeredAt when it was answered.
	confirmedAt, answeredAt time.Duration
}

const (
	// orderPollWait is the longest time that a poll for orders waits. A server of a version
	// that appears beside another one waits for the answer after it.
	orderPollWait = 700 * time.Millisecond
	// orderPollPause is the pause after a poll that failed, or while the lease is not held.
	orderPollPause = 200 * time.Millisecond
	// pollDelay is the most time between an order and the answer of a poll that waits for it.
	pollDelay = 50 * time.Millisecond
	// maxUnseen is how long before it was first read an order counts as written at most, if
	// no entry knows of a time at which it was not there.
	maxUnseen = 5 * time.Second
)

// watch keeps the view of the orders up to date while the lease is held.
func (r *Rollouts) watch(ctx context.Context) error {
	isFailing := false // the first of several failures is logged
	for pause := time.Duration(0); wait.For(ctx, pause); {
		token, _, err := r.Lease.Check()
		if err != nil {
			r.view.Store(nil)
			pause = orderPollPause
			continue
		}
		view := r.view.Load()
		if view == nil || view.token != token || view.generation != kv.Generation(r.Store) {
			view, err = r.listOrders(ctx, token)
		} else {
			view, err = r.pollOrders(ctx, view)
		}
		pause = 0
		if err != nil {
			if !isFailing && ctx.Err() == nil {
				r.Log.Log(EvRolloutFailed, "step", fault.Step(err), "peer", fault.Peer(err), "error", err.Error())
			}
			isFailing, pause = true, orderPollPause
			continue
		}
		isFailing = false
		r.view.Store(view)
	}
	return nil
}

func (r *Rollouts) listOrders(ctx context.Context, token int64) (*orderView, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := r.Clock()
	snapshot, err := r.Store.List(ctx, r.Keys.OrdersPrefix)
	if err != nil {
		return nil, err
	}
	earliest := sent - maxUnseen
	if at, ok := r.Gate.ConfirmedAt(); ok {
		earliest = max(earliest, at)
	}
	view := &orderView{
		token: token, generation: snapshot.Generation, revision: snapshot.Revision, confirmedAt: sent, answeredAt: r.Clock(),
		orders: r.source.decodeOrders(snapshot.Generation, snapshot.Entries), writtenAt: map[string]time.Duration{},
	}
	for service := range view.orders {
		view.writtenAt[service] = earliest
	}
	return view, nil
}

// pollOrders returns the view after the next changes, or nil if it must be read again.
func (r *Rollouts) pollOrders(ctx context.Context, view *orderView) (*orderView, error) {
	ctx, cancel := context.WithTimeout(ctx, orderPollWait+callTimeout)
	defer cancel()
	sent := r.Clock()
	batch, err := r.Store.Poll(ctx, r.Keys.OrdersPrefix, view.revision, orderPollWait)
	if err != nil {
		return nil, err
	}
	if batch.Compacted || batch.Generation != view.generation {
		return nil, nil
	}
	now := r.Clock()
	next := *view
	next.revision, next.confirmedAt, next.answeredAt = max(view.revision, batch.Revision), sent, now
	if len(batch.Events) == 0 {
		return &next, nil
	}
	writtenAt := view.answeredAt
	if now-sent > pollDelay {
		writtenAt = now - pollDelay // the poll was waiting for it
	}
	next.orders, next.writtenAt = map[string]rollout.Order{}, map[string]time.Duration{}
	for service, order := range view.orders {
		isChanged := slices.ContainsFunc(batch.Events, func(e kv.Event) bool { return e.Entry.Key == r.Keys.OrdersPrefix+service })
		if !isChanged {
			next.orders[service], next.writtenAt[service] = order, view.writtenAt[service]
		}
	}
	for _, e := range batch.Events {
		if e.Deleted {
			continue
		}
		for service, order := range r.source.decodeOrders(batch.Generation, []kv.Entry{e.Entry}) {
			next.orders[service], next.writtenAt[service] = order, writtenAt
		}
	}
	return &next, nil
}

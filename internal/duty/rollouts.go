package duty

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"buckthornpick/internal/clock"
	"buckthornpick/internal/fault"
	"buckthornpick/internal/follow"
	"buckthornpick/internal/kv"
	"buckthornpick/internal/lease"
	"buckthornpick/internal/rollout"
	"buckthornpick/internal/telemetry"
	"buckthornpick/internal/wait"
)

// RolloutsConfig holds the dependencies of Rollouts.
type RolloutsConfig struct {
	Lease  *lease.Lease
	Store  follow.Store
	Keys   RolloutKeys
	Bounds rollout.Bounds
	Gate   *rollout.Gate
	Board  *rollout.Board
	// Running returns the number of requests that all entries run at a service.
	Running func(service string) int
	// Entries returns the number of the site's entries.
	Entries func() int
	Clock   clock.Clock
	Log     *telemetry.Logger
	Metrics metrics.Registry
}

// Rollouts carries out the operators' orders of roll-outs while it holds the lease: it
// decides, tells the entries, and records the outcome.
//
// Invariant: the outcome of an order is written once, in one transaction with its status and
// under the condition that its record has not changed. So a later holder, or a call that
// takes effect late, cannot write another one.
type Rollouts struct {
	RolloutsConfig
	source *orderSource
	wall   *clock.Wall
	view   atomic.Pointer[orderView]

	// token is that under which active was read; number counts the statements of it.
	token, number int64
	active        map[string]*activeOrder
	// mustLoad is set if the records in the store may differ from active.
	mustLoad bool
}

// activeOrder is an order that this process carries out, or whose outcome it knows.
type activeOrder struct {
	storedRecord
	// deadline is by the clock of this process, duration that of the order.
	deadline, duration time.Duration
	phase              rollout.Phase
	// decided is the outcome that is not written yet; PhaseHeld if there is none. reason is
	// that of the outcome.
	decided rollout.Phase
	reason  string
	// mustRead is set if a write may have taken effect.
	mustRead bool
	// retryAt is when a failed write is repeated.
	retryAt time.Duration
	history rollout.History
	// superseded is the record of the order before, if the store has come back from a copy
	// that holds it, perhaps with that order; nil otherwise.
	superseded *rollout.Record
}

const (
	// rolloutInterval is the time between two decisions.
	rolloutInterval = 100 * time.Millisecond
	// rolloutRetryPause is the pause before a failed write is repeated.
	rolloutRetryPause = 200 * time.Millisecond
	// commitTime is the time in which entries learn that an order is to be completed before
	// that is written, and the old servers stop; minWriteTime is left before the deadline.
	commitTime   = 400 * time.Millisecond
	minWriteTime = 300 * time.Millisecond
	// unknownServersMargin is how long before the deadline an order is taken up although the
	// service has no servers.
	unknownServersMargin = 2 * time.Second
	// stoppedFor is the time after the deadline in which nothing is sent to the old versions
	// of a completed order. Later, operators may have brought them back without an order.
	stoppedFor = 30 * time.Second
	// defaultRolloutDuration is that of an order which names none.
	defaultRolloutDuration = time.Minute
)

// NewRollouts returns a duty that knows no orders yet.
func NewRollouts(c RolloutsConfig) *Rollouts {
	return &Rollouts{RolloutsConfig: c, source: &orderSource{c.Store, c.Keys, c.Log}, wall: clock.NewWall(c.Clock, time.Now)}
}

// Run carries out orders until ctx is done.
func (r *Rollouts) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return r.watch(ctx) })
	g.Go(func() error {
		for wait.For(ctx, rolloutInterval) {
			r.step(ctx)
		}
		return nil
	})
	return g.Wait()
}

// step decides about all orders and tells the entries.
func (r *Rollouts) step(ctx context.Context) {
	token, _, err := r.Lease.Check()
	view := r.view.Load()
	if err != nil || view == nil || view.token != token {
		return
	}
	if r.token != token {
		r.token, r.number, r.mustLoad = token, 0, true
	}
	if r.mustLoad {
		if err := r.load(ctx); err != nil {
			r.logFailure(err, "")
			return
		}
		r.mustLoad = false
	}
	for _, service := range slices.Sorted(maps.Keys(view.orders)) {
		order := view.orders[service]
		a := r.active[service]
		switch {
		case a != nil && a.hasSuperseded(&order):
			// Operators write the later order again.
		case a == nil || !a.isOf(&order):
			r.begin(ctx, &order, view.writtenAt[service])
		case a.Seen != order.ID:
			a.Seen = order.ID
			r.write(ctx, a, a.Outcome, a.Reason)
		}
	}
	for service, a := range r.active {
		order, isOrdered := view.orders[service]
		isReplaced := isOrdered && !a.isOf(&order) && !a.hasSuperseded(&order)
		// In a copy the order may be missing until operators write it again.
		isDeleted := !isOrdered && rollout.Generation(a.Seen) == view.generation
		r.advance(ctx, a, isReplaced || isDeleted)
	}
	r.issue(token, view.confirmedAt)
}

// isOf reports whether the order is the one that was read.
func (a *activeOrder) isOf(order *rollout.Order) bool {
	state := a.State()
	return state.IsSame(order)
}

// hasSuperseded reports whether the order is the one before this, in a copy of the store. The
// record in the copy tells that, or that of this order, which may have been written since.
func (a *activeOrder) hasSuperseded(order *rollout.Order) bool {
	return a.HasReplaced(order) || a.superseded != nil && a.superseded.IsRestored(order)
}

// load reads the records of the holder before. What the entries know is later if the store has
// come back from a copy: no holder tells of an order before its record is stored.
func (r *Rollouts) load(ctx context.Context) error {
	records, err := r.source.records(ctx)
	if err != nil {
		return err
	}
	r.active = map[string]*activeOrder{}
	now, wall := r.Clock(), r.wall.Now()
	for service, record := range records {
		a := &activeOrder{storedRecord: record, phase: record.Outcome}
		a.duration = time.Duration(record.DeadlineMillis-record.OrderedMillis) * time.Millisecond
		a.deadline = now + time.Duration(record.DeadlineMillis)*time.Millisecond - wall
		r.recall(a)
		r.active[service] = a
	}
	for _, known := range r.Gate.Stated() {
		stored := r.active[known.Service]
		if stored != nil && stored.ID >= known.ID {
			continue
		}
		a := r.restore(&known)
		if stored != nil {
			a.modRevision, a.superseded = stored.modRevision, &stored.Record
		}
		r.active[known.Service] = a
	}
	return nil
}

// restore returns an order that the store has lost with its record.
func (r *Rollouts) restore(known *rollout.KnownOrder) *activeOrder {
	a := &activeOrder{deadline: known.Deadline, duration: cmp.Or(known.Duration(), defaultRolloutDuration)}
	a.Record = rollout.Record{ID: known.ID, Seen: known.Seen, Service: known.Service, To: known.To}
	a.DeadlineMillis = (r.wall.Now() + a.deadline - r.Clock()).Milliseconds()
	a.OrderedMillis = a.DeadlineMillis - a.duration.Milliseconds()
	r.recall(a)
	return a
}

// recall takes over what the entries know of an order: its deadline by a clock that does not
// step, and an outcome that was decided and not written, or that the store has lost.
func (r *Rollouts) recall(a *activeOrder) {
	known, ok := r.Gate.Known(a.Service)
	if !ok || !known.IsSame(&rollout.Order{ID: a.Seen, To: a.To}) {
		return
	}
	if known.IsStated {
		a.ID, a.From, a.Barred, a.deadline = known.ID, known.From, known.Barred, known.Deadline
	}
	if known.Phase.IsFinal() && !a.Outcome.IsFinal() {
		a.decided, a.reason = known.Phase, "decided by an earlier holder"
	}
}

// begin takes up an order that has no record: a new one, or one whose record the store has
// lost. An order that it replaces is rolled back first.
func (r *Rollouts) begin(ctx context.Context, order *rollout.Order, writtenAt time.Duration) {
	duration := cmp.Or(order.Duration, defaultRolloutDuration)
	revision := int64(0)
	if former := r.active[order.Service]; former != nil {
		if former.To != "" && former.To != order.To && !former.Outcome.IsFinal() {
			r.advance(ctx, former, true)
			if !former.Outcome.IsFinal() {
				return
			}
		}
		revision = former.modRevision
	}
	a := &activeOrder{deadline: writtenAt + duration, duration: duration}
	a.modRevision = revision
	a.Record = rollout.Record{ID: order.ID, Seen: order.ID, Service: order.Service, To: order.To}
	if former := r.active[order.Service]; former != nil {
		a.Barred = barredBy(former, order.To)
		a.FormerSeen, a.FormerTo = former.Seen, former.To
	}
	versions := r.Gate.Versions(order.Service)
	if len(versions) == 0 && r.Clock() < a.deadline-unknownServersMargin {
		return // the servers are not known yet
	}
	for _, version := range versions {
		if version != order.To && !slices.Contains(a.Barred, version) {
			a.From = append(a.From, version)
		}
	}
	r.recall(a)
	a.DeadlineMillis = (r.wall.Now() + a.deadline - r.Clock()).Milliseconds()
	a.OrderedMillis = a.DeadlineMillis - duration.Milliseconds()
	if !r.write(ctx, a, a.decided, a.reason) {
		r.mustLoad = true
		return
	}
	r.active[order.Service] = a
	r.Log.Log(EvRolloutOrdered, "service", a.Service, "to", a.To, "from", a.From, "order", a.ID, "token", r.token,
		"left_ms", (a.deadline - r.Clock()).Milliseconds(), "duration_ms", duration.Milliseconds())
}

// barredBy returns the versions that get nothing after an order, for the next one.
func barredBy(former *activeOrder, to string) []string {
	barred := slices.Clone(former.Barred)
	if former.Outcome == rollout.PhaseRolledBack && !slices.Contains(barred, former.To) {
		barred = append(barred, former.To)
	}
	return slices.DeleteFunc(barred, func(version string) bool { return version == to })
}

// advance decides about an order and writes its outcome.
func (r *Rollouts) advance(ctx context.Context, a *activeOrder, isWithdrawn bool) {
	if a.To == "" || a.Outcome.IsFinal() {
		a.phase = a.Outcome
		return
	}
	now := r.Clock()
	evidence := r.Board.Total()[a.Service]
	if evidence != nil && evidence.ID != a.ID {
		evidence = nil
	}
	step := rollout.Decide(r.Bounds, rollout.Situation{
		Now: now, Deadline: a.deadline, Duration: a.duration, IsWithdrawn: isWithdrawn, HasOld: len(a.From) > 0,
		Capacity: r.capacity(a), Evidence: a.history.Add(now, evidence),
	})
	if a.decided != rollout.PhaseRolledBack && step.Phase.IsFinal() && step.Phase != a.decided {
		a.decided, a.reason = step.Phase, step.Reason
		if step.Phase == rollout.PhaseCompleted {
			a.retryAt = min(now+commitTime, max(now, a.deadline-minWriteTime))
		}
		r.logDecision(a, &step)
	}
	if !a.decided.IsFinal() {
		if a.phase != step.Phase {
			r.Log.Log(EvRolloutAdvanced, "service", a.Service, "to", a.To, "phase", step.Phase.String(), "left_ms", (a.deadline - now).Milliseconds(),
				"old_answers", step.Verdict.OldAnswers, "new_answers", step.Verdict.NewAnswers, "deviations", step.Verdict.Deviations)
		}
		a.phase = step.Phase
		return
	}
	a.phase = rollout.PhaseCommit
	if a.decided == rollout.PhaseRolledBack {
		a.phase = rollout.PhaseRolledBack
	}
	if now >= a.retryAt {
		r.resolve(ctx, a)
	}
}

func (r *Rollouts) capacity(a *activeOrder) rollout.Capacity {
	c := rollout.Capacity{Running: r.Running(a.Service)}
	for version, slots := range r.Gate.Places(a.Service) {
		switch {
		case version == a.To:
			c.NewSlots = slots
		case slices.Contains(a.From, version):
			c.OldSlots += slots
		}
	}
	return c
}

func (r *Rollouts) logDecision(a *activeOrder, step *rollout.Step) {
	v := &step.Verdict
	r.Log.Log(EvRolloutDecided, "service", a.Service, "to", a.To, "outcome", step.Phase.String(), "reason", step.Reason, "order", a.ID,
		"left_ms", (a.deadline - r.Clock()).Milliseconds(), "old_answers", v.OldAnswers, "new_answers", v.NewAnswers, "deviations", v.Deviations, "token", r.token)
}

// resolve writes the decided outcome, unless another one is stored.
func (r *Rollouts) resolve(ctx context.Context, a *activeOrder) {
	if !r.write(ctx, a, a.decided, a.reason) {
		a.retryAt = r.Clock() + rolloutRetryPause
	}
	if !a.Outcome.IsFinal() {
		return
	}
	a.phase = a.Outcome
	metrics.GetOrRegisterCounter("rollout."+map[rollout.Phase]string{rollout.PhaseCompleted: "completed_total", rollout.PhaseRolledBack: "rolled_back_total"}[a.Outcome], r.Metrics).Inc(1)
	r.Log.Log(EvRolloutEnded, "service", a.Service, "to", a.To, "outcome", a.Outcome.String(), "reason", a.Reason, "order", a.ID,
		"left_ms", (a.deadline - r.Clock()).Milliseconds(), "token", r.token)
}

// write stores the record of an order with an outcome, and its status with it. It reports
// whether the record is stored; if another outcome is, it adopts that.
func (r *Rollouts) write(ctx context.Context, a *activeOrder, outcome rollout.Phase, reason string) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if a.mustRead {
		if err := r.reread(ctx, a); err != nil {
			r.logFailure(err, a.Service)
			return false
		}
		if a.Outcome.IsFinal() {
			return true
		}
	}
	next := a.Record
	next.Outcome, next.Reason = outcome, reason
	result, err := r.put(ctx, &next, a.modRevision)
	if err != nil || !result.Succeeded {
		a.mustRead = true
		if err == nil {
			err = fault.New(fault.Conflict, "rollout.write", a.Service, "the record has changed or the lease is not held")
		}
		r.logFailure(err, a.Service)
		return false
	}
	a.Record, a.modRevision = next, result.Revision
	return true
}

func (r *Rollouts) put(ctx context.Context, record *rollout.Record, modRevision int64) (kv.TxnResult, error) {
	value, err := record.Encode()
	if err != nil {
		return kv.TxnResult{}, err
	}
	status, err := r.Keys.EncodeStatus(record.To, record.Outcome)
	if err != nil {
		return kv.TxnResult{}, err
	}
	key := rollout.RecordPrefix + record.Service
	return r.Store.Txn(ctx, []kv.Compare{r.Lease.Guard(r.token), {Key: key, ModRevision: modRevision}},
		[]kv.Op{kv.Put(key, value), kv.Put(r.Keys.StatusKey(record.Service), status)})
}

// reread takes over the stored record of an order, which a write without an answer, or
// another holder, may have changed.
func (r *Rollouts) reread(ctx context.Context, a *activeOrder) error {
	entry, found, err := r.Store.Get(ctx, rollout.RecordPrefix+a.Service)
	if err != nil {
		return err
	}
	a.mustRead, a.modRevision = false, entry.ModRevision
	if !found {
		return nil
	}
	if stored, err := rollout.DecodeRecord(entry.Value); err == nil && stored.ID == a.ID && stored.To == a.To {
		a.Record = stored
	}
	return nil
}

// issue tells the entries of all orders.
func (r *Rollouts) issue(token int64, confirmedAt time.Duration) {
	if _, _, err := r.Lease.Check(); err != nil || r.token != token {
		return
	}
	now := r.Clock()
	r.number++
	s := rollout.Statement{Token: token, Number: r.number, ConfirmedMillis: (now - confirmedAt).Milliseconds(), Entries: r.Entries()}
	services := map[string]bool{}
	for _, service := range slices.Sorted(maps.Keys(r.active)) {
		a := r.active[service]
		if a.To == "" {
			continue
		}
		services[service] = true
		state := a.State()
		state.Phase, state.LeftMillis = a.phase, (a.deadline - now).Milliseconds()
		state.DurationMillis = a.duration.Milliseconds()
		if a.Outcome == rollout.PhaseCompleted && now > a.deadline+stoppedFor {
			state.From = nil
		}
		s.Orders = append(s.Orders, state)
	}
	r.Board.Forget(services)
	for _, o := range r.Gate.Learn(now, s) {
		r.Log.Log(rollout.EvLearned, "service", o.Service, "to", o.To, "phase", o.Phase.String(), "order", o.ID, "age_ms", 0)
	}
}

func (r *Rollouts) logFailure(err error, service string) {
	r.Log.Log(EvRolloutFailed, "service", service, "token", r.token, "step", fault.Step(err), "peer", fault.Peer(err), "error", err.Error())
}

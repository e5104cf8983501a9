// Package membudget keeps a process within the memory of its VM, whatever its callers send.
// One Budget per process counts the bytes that connections, heads, bodies and answers hold.
// Bytes are reserved as data arrives and before memory for it is allocated; what callers
// declare counts for nothing. When there is no room, decide names the holders that yield.
package membudget

import (
	"context"
	"runtime"
	"runtime/debug"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"buckthornpick/internal/telemetry"
)

// Account is what reserved bytes are for.
type Account string

// Accounts of a budget.
const (
	// Connections: buffers and goroutines of callers' connections, and the heads of their
	// requests.
	Connections Account = "connections"
	// Bodies: bodies of callers' requests.
	Bodies Account = "bodies"
	// Answers: answers that are complete here and wait for their callers to read them.
	Answers Account = "answers"
)

const (
	// budgetShare is the share of the VM's memory that the budget covers. The rest is for
	// the program, its state of the site, and memory that waits for its collection.
	budgetShare = 0.4
	// runtimeShare is the share of the VM's memory at which the collector works harder.
	runtimeShare = 0.75
	// defaultMemory is the assumed memory of a VM in bytes if the settings name none.
	defaultMemory = 512_000_000
)

// Capacity returns the size of the budget in bytes on a VM with memory bytes, and the
// limit for the runtime; memory 0 is unknown, and the runtime then has no limit.
func Capacity(memory int64) (budget, runtimeLimit int64) {
	if memory <= 0 {
		budget, _ = Capacity(defaultMemory)
		return budget, 0
	}
	return int64(budgetShare * float64(memory)), int64(runtimeShare * float64(memory))
}

// Budget is the memory that callers may take, all together. It is safe for concurrent use.
type Budget struct {
	log      *telemetry.Logger
	capacity int64
	yielded  metrics.Counter
	refused  metrics.Counter

	mu       sync.Mutex
	used     int64
	accounts map[Account]int64
	holders  map[*Holder]struct{}
	// waiters are in the order in which their holders were opened, so that large bodies are
	// completed one after the other.
	waiters []*waiter
	// decidedAt and loggedAt are the times of the last decision and of its log line.
	decidedAt, loggedAt time.Time
}

// waiter is a holder that waits for room.
type waiter struct {
	holder *Holder
	bytes  int64
	since  time.Time
	// isGranted is set once the bytes are reserved, and woken closed then or when the
	// holder has yielded.
	isGranted bool
	woken     chan struct{}
}

// ForProcess returns the budget of a process on a VM with memory bytes, 0 if that is unknown,
// and sets the limit for the runtime.
func ForProcess(memory int64, log *telemetry.Logger, registry metrics.Registry) *Budget {
	capacity, limit := Capacity(memory)
	if limit > 0 {
		debug.SetMemoryLimit(limit)
	}
	registry.GetOrRegister("process.goroutines", metrics.NewFunctionalGauge(func() int64 { return int64(runtime.NumGoroutine()) }))
	return New(capacity, log, registry)
}

// New returns a budget of capacity bytes.
func New(capacity int64, log *telemetry.Logger, registry metrics.Registry) *Budget {
	b := &Budget{
		log: log, capacity: capacity, accounts: map[Account]int64{}, holders: map[*Holder]struct{}{},
		yielded: metrics.GetOrRegisterCounter("memory.yielded_total", registry),
		refused: metrics.GetOrRegisterCounter("memory.refused_total", registry),
	}
	gauge := func(name string, f func() int64) {
		registry.GetOrRegister(name, metrics.NewFunctionalGauge(func() int64 {
			b.mu.Lock()
			defer b.mu.Unlock()
			return f()
		}))
	}
	gauge("memory.budget_bytes", func() int64 { return b.capacity })
	gauge("memory.waiting", func() int64 { return int64(len(b.waiters)) })
	for _, a := range []Account{Connections, Bodies, Answers} {
		gauge("memory."+string(a)+"_bytes", func() int64 { return b.accounts[a] })
	}
	return b
}

// Used returns the bytes that are reserved.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Holder holds bytes of a budget. The methods of a nil Holder have no effect, and reserve
// without a bound.
type Holder struct {
	budget  *Budget
	account Account
	group   string
	// yield ends what the bytes are held for; nil while that must not be done.
	yield    func()
	openedAt time.Time

	// The following fields are guarded by the budget's mutex.
	bytes      int64
	progress   progress
	hasYielded bool
	// waiter is nil unless the holder waits for room.
	waiter *waiter
}

// Open returns a holder without bytes. The group is what many holders of one crowd have in
// common, such as the address of their caller. yield is called once if
// the holder has to give its bytes back, which its owner does later by Close. yield must not
// block or use the budget, and is not called after Keep or Close. A nil Budget returns a nil Holder.
func (b *Budget) Open(a Account, group string, yield func()) *Holder {
	if b == nil {
		return nil
	}
	now := time.Now()
	h := &Holder{budget: b, account: a, group: group, yield: yield, openedAt: now, progress: startProgress(now)}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.holders[h] = struct{}{}
	return h
}

// Reserve adds n bytes to the holder, after waiting for room for up to patience. It returns
// false if there is none, if ctx ends or if the holder has yielded. A holder must not be
// used by two calls at a time.
func (h *Holder) Reserve(ctx context.Context, n int64, patience time.Duration) bool {
	if h == nil {
		return true
	}
	b := h.budget
	start := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.mustQueue(h, n) && b.take(h, n) {
		return true
	}
	w := &waiter{holder: h, bytes: n, since: start, woken: make(chan struct{})}
	h.waiter = w
	at, _ := slices.BinarySearchFunc(b.waiters, w, func(a, b *waiter) int { return a.holder.openedAt.Compare(b.holder.openedAt) })
	b.waiters = slices.Insert(b.waiters, at, w)
	defer func() {
		h.waiter = nil
		h.progress.excuse(time.Since(start))
	}()
	for {
		now := time.Now()
		b.makeRoom(now)
		switch {
		case w.isGranted:
			return true
		case h.hasYielded || ctx.Err() != nil || now.Sub(start) >= patience:
			b.removeWaiter(w)
			b.refused.Inc(1)
			return false
		}
		// Any waiter can decide, so that many need not wake often.
		pause := decisionInterval * time.Duration(1+len(b.waiters)/8)
		b.mu.Unlock()
		timer := time.NewTimer(min(pause, patience-now.Sub(start)))
		select {
		case <-w.woken:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		b.mu.Lock()
	}
}

// ReserveTo adds as many bytes as the holder lacks to n, if there is room for them at once,
// and otherwise returns false.
func (h *Holder) ReserveTo(n int64) bool {
	if h == nil {
		return true
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if h.bytes >= n || h.budget.take(h, n-h.bytes) {
		return true
	}
	h.budget.refused.Inc(1)
	return false
}

// IsLargeWith reports whether the holder is large with n bytes more.
func (h *Holder) IsLargeWith(n int64) bool {
	if h == nil {
		return false
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	return h.bytes+n > SmallBytes
}

// take reserves n bytes if there is room. The mutex must be held.
func (b *Budget) take(h *Holder, n int64) bool {
	if h.hasYielded || b.used+n > limitFor(b.capacity, h.bytes+n) {
		return false
	}
	h.bytes += n
	b.used += n
	b.accounts[h.account] += n
	return true
}

// mustQueue reports whether a large holder must not take room at once, since an older large
// one waits for it. The mutex must be held.
func (b *Budget) mustQueue(h *Holder, n int64) bool {
	if h.bytes+n <= SmallBytes || len(b.waiters) == 0 {
		return false
	}
	return slices.ContainsFunc(b.waiters, func(w *waiter) bool {
		return w.holder.openedAt.Before(h.openedAt) && w.holder.bytes+w.bytes > SmallBytes
	})
}

// grant gives room to waiters. Those with large holders do not overtake each other. The mutex
// must be held.
func (b *Budget) grant() {
	isLargeBlocked := false
	b.waiters = slices.DeleteFunc(b.waiters, func(w *waiter) bool {
		isLarge := w.holder.bytes+w.bytes > SmallBytes
		if isLarge && isLargeBlocked || !b.take(w.holder, w.bytes) {
			isLargeBlocked = isLargeBlocked || isLarge
			return false
		}
		w.isGranted = true
		close(w.woken)
		return true
	})
}

// removeWaiter ends a wait in vain. The mutex must be held.
func (b *Budget) removeWaiter(w *waiter) {
	b.waiters = slices.DeleteFunc(b.waiters, func(other *waiter) bool { return other == w })
}

// makeRoom makes holders yield if waiters need room. The mutex must be held.
func (b *Budget) makeRoom(now time.Time) {
	if now.Sub(b.decidedAt) < decisionInterval {
		return
	}
	b.decidedAt = now
	s := shortage{now: now, capacity: b.capacity, used: b.used}
	for _, w := range b.waiters {
		s.wanted = append(s.wanted, want{bytes: w.bytes, total: w.holder.bytes + w.bytes, since: w.since})
	}
	var claims []claim
	var owners []*Holder
	for h := range b.holders {
		switch {
		case h.hasYielded:
			s.returning += h.bytes
		case h.yield != nil && h.bytes > 0:
			c := claim{group: h.group, bytes: h.bytes, openedAt: h.openedAt, stalledSince: h.stalledSince(now)}
			if h.waiter != nil {
				c.wants = h.waiter.bytes
			}
			claims = append(claims, c)
			owners = append(owners, h)
		}
	}
	victims := decide(s, claims)
	for _, i := range victims {
		b.makeYield(owners[i])
	}
	if now.Sub(b.loggedAt) >= logInterval {
		b.loggedAt = now
		b.log.Log(EvShort, "used", b.used, "budget", b.capacity, "bodies", b.accounts[Bodies], "connections", b.accounts[Connections], "answers", b.accounts[Answers],
			"waiting", len(b.waiters), "yielding", len(victims), "yielded_total", b.yielded.Count(), "refused_total", b.refused.Count())
	}
}

// makeYield makes a holder yield. The mutex must be held.
func (b *Budget) makeYield(h *Holder) {
	h.hasYielded = true
	b.yielded.Inc(1)
	if h.waiter != nil && !h.waiter.isGranted {
		b.removeWaiter(h.waiter)
		close(h.waiter.woken)
	}
	h.yield()
}

// stalledSince returns since when the holder has made too little progress. The time for which
// it waits for room does not count. The mutex must be held.
func (h *Holder) stalledSince(now time.Time) time.Time {
	if h.waiter != nil {
		return h.progress.paidUntil.Add(now.Sub(h.waiter.since))
	}
	return h.progress.paidUntil
}

// Progress records that n bytes moved.
func (h *Holder) Progress(n int) {
	if h == nil {
		return
	}
	now := time.Now()
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.progress.add(n, now)
}

// StalledFor returns for how long the holder has moved less than the least rate.
func (h *Holder) StalledFor(now time.Time) time.Duration {
	if h == nil {
		return 0
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	return max(0, now.Sub(h.stalledSince(now)))
}

// Keep keeps the bytes until Close: yield is not called any more. It returns false if it was
// called before.
func (h *Holder) Keep() bool { return h.SetYield(nil) }

// SetYield replaces the function that ends what the bytes are held for, which begins anew.
// It returns false if the holder has yielded.
func (h *Holder) SetYield(yield func()) bool {
	if h == nil {
		return true
	}
	now := time.Now()
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.yield, h.progress = yield, startProgress(now)
	return !h.hasYielded
}

// HasYielded reports whether the holder was made to yield.
func (h *Holder) HasYielded() bool {
	if h == nil {
		return false
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	return h.hasYielded
}

// Return gives back all bytes above keep.
func (h *Holder) Return(keep int64) {
	if h == nil {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.returnLocked(keep)
}

// Close gives all bytes back. It may be called again.
func (h *Holder) Close() {
	if h == nil {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.returnLocked(0)
	delete(h.budget.holders, h)
	h.yield = nil
}

func (h *Holder) returnLocked(keep int64) {
	n := h.bytes - keep
	if n <= 0 {
		return
	}
	b := h.budget
	h.bytes -= n
	b.used -= n
	b.accounts[h.account] -= n
	b.grant()
}

package fuzz

import (
	"context"
	"errors"
	"io"
	"slices"
	"strings"
	"sync"
	"testing"

	"buckthornpick/internal/backend"
	"buckthornpick/internal/entry"
	"buckthornpick/internal/fault"
	"buckthornpick/internal/kv"
	"buckthornpick/internal/provider"
	"buckthornpick/internal/request"
	"buckthornpick/internal/standin/site"
)

// injectedBug is a deliberate bug in the system and the invariants, any of which
// the oracle must report as violated.
type injectedBug struct {
	name string
	// seed is the first seed that detects the bug; 0 if none is known.
	seed       uint64
	invariants []string
	options    func() Options
}

// withTune returns options that change each entry's configuration.
func withTune(tune site.Tune) func() Options {
	return func() Options { return Options{Tune: tune} }
}

// withStoreBug returns options that replace the store's transactions by txn.
func withStoreBug(txn func(next kv.Store, ctx context.Context, guards []kv.Compare, ops []kv.Op) (kv.TxnResult, error)) func() Options {
	return withTune(func(c *entry.Config) { c.Store = &buggyStore{Store: c.Store, txn: txn} })
}

// withBackendBug returns options that give each entry a copy of b as its client
// of backend servers.
func withBackendBug(b buggyClient) func() Options {
	return withTune(func(c *entry.Config) {
		client := b
		client.Client = c.Backends
		c.Backends = &client
	})
}

// withSwappedRequests returns options under which entries send an earlier request
// of the same service in the place of the current one.
func withSwappedRequests() Options {
	return withBackendBug(buggyClient{swapWith: &previousRequest{}})()
}

const (
	claimPrefix = "claims/"
	documentKey = "bp/config/current"
)

var injectedBugs = []injectedBug{
	{"claims are not written", 70, []string{"at most once"}, withStoreBug(withoutClaims)},
	{"guards of claims dropped", 0, []string{"at most once"}, withStoreBug(withoutGuards(claimPrefix))},
	{"guard of the document dropped", 7, []string{"configuration is one", "configuration is kept", "configuration never falls"}, withStoreBug(withoutGuards(documentKey))},
	{"failed writes count as written", 119, []string{"at most once", "configuration is one", "configuration is kept", "configuration in time"}, withStoreBug(failedAsWritten)},
	{"truncated answer passed as complete", 42, []string{"whole and own"}, withBackendBug(buggyClient{hidesTruncation: true})},
	{"resume offset ignored", 2, []string{"whole and own"}, withBackendBug(buggyClient{ignoresOffset: true})},
	{"lost event hidden", 1, []string{"whole and own"}, withBackendBug(buggyClient{losesEvents: true})},
	{"repeated event renumbered", 1, []string{"whole and own"}, withBackendBug(buggyClient{renumbers: true})},
	{"another request's answer", 1, []string{"whole and own"}, withSwappedRequests},
	{"continuation not sent", 16, []string{"whole and own", "at most once"}, withBackendBug(buggyClient{forgetsContinuation: true})},
	{"not sent said of sent attempts", 12, []string{"not-run is true", "at most once"}, withBackendBug(buggyClient{reportsNotSent: true})},
	{"cancel believed but not made", 0, []string{"at most once"}, withBackendBug(buggyClient{skipsCancel: true})},
	{"leaving servers look live", 36, []string{"no work for leaving"}, withTune(hideNotices)},
	{"planned stop cuts connections", 23, []string{"answered"}, func() Options {
		return Options{Stop: func(e *site.Entry) { go e.Kill() }}
	}},
}

const (
	// maxBugHistories bounds the seeds tried for a bug, from its own seed on.
	// More than one is needed because the order of goroutines, and with it what
	// a history detects, differs from run to run.
	maxBugHistories = 25
)

// TestOracleDetectsInjectedBugs runs the system with one bug injected at a time.
// The oracle must report a violation for each bug, and must not report the same
// violation for the same history without the bug. If FUZZ_BREAK_HISTORIES is set,
// the test tries that many seeds from 1 on for every bug, including those for
// which no detecting seed is known.
func TestOracleDetectsInjectedBugs(t *testing.T) {
	steps := intFromEnv(t, "FUZZ_STEPS", defaultSteps)
	shrinks := intFromEnv(t, "FUZZ_BREAK_SHRINK", 0)
	search := intFromEnv(t, "FUZZ_BREAK_HISTORIES", 0)
	for _, b := range injectedBugs {
		first, last := b.seed, b.seed+maxBugHistories-1
		if search > 0 {
			first, last = 1, uint64(search)
		} else if b.seed == 0 {
			t.Logf("%s: no detecting seed is known, see docs/FUZZ.md", b.name)
			continue
		}
		t.Run(b.name, func(t *testing.T) {
			t.Parallel()
			for seed := first; seed <= last; seed++ {
				s := GenerateSchedule(seed, steps)
				v, ok := b.isDetected(t, seed, s)
				if !ok {
					continue
				}
				if shrinks > 0 {
					s = Shrink(s, shrinks, func(s Schedule) bool { _, ok := b.isDetected(t, seed, s); return ok })
				}
				t.Logf("%s: caught by seed %d, %d of %d steps: %.200s", b.name, seed, len(s.Steps), steps, v)
				return
			}
			t.Errorf("%s: not caught by seeds %d to %d", b.name, first, last)
		})
	}
}

// isDetected reports whether the oracle detects the bug in the history, and does
// not report the same violation without the bug.
func (b injectedBug) isDetected(t *testing.T, seed uint64, s Schedule) (Violation, bool) {
	for _, v := range runHistory(t, seed, s, b.options()) {
		if slices.Contains(b.invariants, v.Invariant) && !reproduces(t, seed, s, nil, v.Invariant) {
			return v, true
		}
	}
	return Violation{}, false
}

// buggyStore is a store whose transactions are replaced by txn.
type buggyStore struct {
	kv.Store
	txn func(next kv.Store, ctx context.Context, guards []kv.Compare, ops []kv.Op) (kv.TxnResult, error)
}

// Txn implements kv.Store.
func (s *buggyStore) Txn(ctx context.Context, guards []kv.Compare, ops []kv.Op) (kv.TxnResult, error) {
	return s.txn(s.Store, ctx, guards, ops)
}

// withoutClaims drops the writes of claims and reports them as successful.
func withoutClaims(next kv.Store, ctx context.Context, guards []kv.Compare, ops []kv.Op) (kv.TxnResult, error) {
	kept := slices.DeleteFunc(slices.Clone(ops), func(o kv.Op) bool { return strings.HasPrefix(o.Key, claimPrefix) })
	if len(kept) == 0 {
		return kv.TxnResult{Succeeded: true, Revision: 1}, nil
	}
	return next.Txn(ctx, guards, kept)
}

// withoutGuards drops the guards of transactions that write keys with the prefix.
func withoutGuards(prefix string) func(kv.Store, context.Context, []kv.Compare, []kv.Op) (kv.TxnResult, error) {
	return func(next kv.Store, ctx context.Context, guards []kv.Compare, ops []kv.Op) (kv.TxnResult, error) {
		if slices.ContainsFunc(ops, func(o kv.Op) bool { return strings.HasPrefix(o.Key, prefix) }) {
			guards = nil
		}
		return next.Txn(ctx, guards, ops)
	}
}

// failedAsWritten reports success for transactions that failed or whose result is
// unknown.
func failedAsWritten(next kv.Store, ctx context.Context, guards []kv.Compare, ops []kv.Op) (kv.TxnResult, error) {
	result, err := next.Txn(ctx, guards, ops)
	if err != nil && (fault.Is(err, fault.Unavailable) || fault.Is(err, fault.Ambiguous)) {
		return kv.TxnResult{Succeeded: true, Revision: 1}, nil
	}
	return result, err
}

// buggyClient is a client of backend servers with the bugs that its fields
// select.
type buggyClient struct {
	backend.Client
	hidesTruncation, ignoresOffset, losesEvents, renumbers bool
	forgetsContinuation, reportsNotSent, skipsCancel       bool
	// swapWith, if not nil, supplies the request to send in the place of the
	// entry's own.
	swapWith *previousRequest
}

// previousRequest holds the last request that was sent.
type previousRequest struct {
	mu sync.Mutex
	r  *request.Request
}

// swap stores r and returns the request stored before it, or r itself if that
// request is of another kind or differs in streaming.
func (p *previousRequest) swap(r *request.Request) *request.Request {
	p.mu.Lock()
	defer p.mu.Unlock()
	last := p.r
	p.r = r
	if last == nil || last.Kind != r.Kind || last.Stream != r.Stream {
		return r
	}
	return last
}

// Start implements backend.Client.
func (c *buggyClient) Start(ctx context.Context, t backend.Target, r *request.Request, id backend.AttemptID, from *backend.Continuation) (backend.Answer, error) {
	after := 0
	if from != nil {
		after = len(from.Events)
	}
	if c.forgetsContinuation {
		from = nil
	}
	if c.swapWith != nil {
		r = c.swapWith.swap(r)
	}
	a, err := c.Client.Start(ctx, t, r, id, from)
	return c.answer(a, after), c.misreportAsNotSent(err)
}

// Resume implements backend.Client.
func (c *buggyClient) Resume(ctx context.Context, t backend.Target, r *request.Request, id backend.AttemptID, after int) (backend.Answer, error) {
	from := after
	if c.ignoresOffset {
		from = 0
	}
	a, err := c.Client.Resume(ctx, t, r, id, from)
	return c.answer(a, after), c.misreportAsNotSent(err)
}

// Cancel implements backend.Client.
func (c *buggyClient) Cancel(ctx context.Context, t backend.Target, id backend.AttemptID) error {
	if c.skipsCancel {
		return nil
	}
	return c.Client.Cancel(ctx, t, id)
}

func (c *buggyClient) answer(a backend.Answer, after int) backend.Answer {
	if a == nil {
		return nil
	}
	return &buggyAnswer{Answer: a, client: c, sequence: after}
}

// misreportAsNotSent reports an attempt that may have run as never sent, if the
// client has this bug.
func (c *buggyClient) misreportAsNotSent(err error) error {
	var attempt *backend.AttemptError
	if !c.reportsNotSent || !errors.As(err, &attempt) || attempt.Progress != backend.MayHaveRun {
		return err
	}
	misreported := *attempt
	misreported.Progress = backend.NotSent
	return &misreported
}

// buggyAnswer is an answer with the bugs of its client.
type buggyAnswer struct {
	backend.Answer
	client   *buggyClient
	sequence int
	last     *request.Event
}

// faultySequence is the sequence number of the event that is dropped, or that is
// repeated under the next number.
const faultySequence = 5

// Next implements backend.Answer.
func (a *buggyAnswer) Next() (request.Event, error) {
	ev, err := a.Answer.Next()
	if err != nil {
		if a.client.hidesTruncation {
			return ev, io.EOF
		}
		return ev, a.client.misreportAsNotSent(err)
	}
	if a.client.losesEvents && ev.Sequence == faultySequence {
		if ev, err = a.Answer.Next(); err != nil {
			return ev, err
		}
	}
	if a.client.renumbers && a.last != nil && a.last.Sequence == faultySequence {
		ev.Data, ev.Tokens = a.last.Data, a.last.Tokens
	}
	a.sequence++
	if a.client.losesEvents || a.client.ignoresOffset || a.client.forgetsContinuation {
		ev.Sequence = a.sequence
	}
	a.last = &ev
	return ev, nil
}

// hideNotices hides reclaim notices and the leaving state of VMs from an entry.
func hideNotices(c *entry.Config) {
	c.Notices = noNotices{}
	c.Lister = liveLister{c.Lister}
}

// noNotices is a source that never delivers a notice.
type noNotices struct{}

// Notices implements provider.NoticeSource.
func (noNotices) Notices(ctx context.Context, _ int64) ([]provider.Notice, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// liveLister lists leaving VMs as live.
type liveLister struct{ provider.Lister }

// ListVMs implements provider.Lister.
func (l liveLister) ListVMs(ctx context.Context) ([]provider.VM, error) {
	vms, err := l.Lister.ListVMs(ctx)
	for i := range vms {
		if vms[i].State == provider.VMLeaving {
			vms[i].State = provider.VMLive
		}
	}
	return vms, err
}

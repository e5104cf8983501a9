// Package quarantine stops requests whose content crashes backend servers.
//
// Requests with the same fingerprint have the same content. When a backend server crashes while
// it runs a request, the request's fingerprint is marked on every reachable node
// before the caller gets an answer. A content with one crash is on trial: a
// coordinator permits only one attempt of it at a time on the whole site, and
// only one marked content at a time on each backend server. After the second
// crash the content is refused. A trial that ends with a complete answer clears
// the mark, so that requests that merely ran on the same server as the one that
// caused the crash can continue.
//
// Requests that are not alike may share a part of their prompts that crashes servers.
// Package blame finds such parts: crashes count against all parts that ran there,
// answers clear parts, and requests with a part that remains are refused.
//
// Sending a request again does not reset its mark: the mark expires when
// Config.Retention has passed since the last crash.
package quarantine

import (
	"context"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"buckthornpick/internal/blame"
	"buckthornpick/internal/dispatch"
	"buckthornpick/internal/fault"
	"buckthornpick/internal/peer"
	"buckthornpick/internal/telemetry"
)

// maxCrashes is the number of crashes after which a content is refused.
const maxCrashes = 2

// Config holds the parameters of a Quarantine.
type Config struct {
	// Peers returns the other nodes.
	Peers func() []peer.Node
	// Coordinator returns the node that permits trials; it may be this node. ok
	// is false if there is none.
	Coordinator func() (node peer.Node, ok bool)
	// Retention is the time after the last crash at which a mark expires.
	// Default 1 h.
	Retention time.Duration
	// PropagationTimeout bounds the wait for peers to confirm a crash. Default
	// 500 ms.
	PropagationTimeout time.Duration
	// TrialTimeout is the time after which the permission for a trial expires.
	// Default 60 s.
	TrialTimeout time.Duration
	// MaxMarks bounds the number of marks; the oldest is evicted first. Default
	// 4096.
	MaxMarks int
}

const (
	defaultRetention          = time.Hour
	defaultPropagationTimeout = 500 * time.Millisecond
	defaultTrialTimeout       = time.Minute
	defaultMaxMarks           = 4096
)

func (c Config) withDefaults() Config {
	if c.Retention == 0 {
		c.Retention = defaultRetention
	}
	if c.PropagationTimeout == 0 {
		c.PropagationTimeout = defaultPropagationTimeout
	}
	if c.TrialTimeout == 0 {
		c.TrialTimeout = defaultTrialTimeout
	}
	if c.MaxMarks == 0 {
		c.MaxMarks = defaultMaxMarks
	}
	return c
}

// mark records the crashes of one fingerprint.
type mark struct {
	// crashes holds the IDs of the crashed backend servers by attempt.
	crashes   map[string]string
	lastCrash time.Time
}

// Quarantine implements dispatch.Quarantine. It is safe for concurrent use.
//
// Lock order: no other lock is taken while mu is held.
type Quarantine struct {
	cfg       Config
	transport *peer.Transport
	log       *telemetry.Logger
	crashes   metrics.Counter
	refusals  metrics.Counter

	mu    sync.Mutex
	marks map[uint64]*mark // by fingerprint
	// parts holds the evidence against parts of prompts. partsVersion is the wall time
	// of its last change in microseconds; it is guarded by mu.
	parts        *blame.Tracker
	partsVersion int64
	trials       trialTable // used if this node is the coordinator
}

// New returns a quarantine and registers its message handlers with t.
func New(cfg Config, t *peer.Transport, log *telemetry.Logger, registry metrics.Registry) *Quarantine {
	q := &Quarantine{
		cfg: cfg.withDefaults(), transport: t, log: log,
		crashes:  metrics.GetOrRegisterCounter("quarantine_crashes_total", registry),
		refusals: metrics.GetOrRegisterCounter("quarantine_refused_total", registry),
		marks:    map[uint64]*mark{},
		trials:   newTrialTable(),
	}
	start := time.Now()
	q.parts = blame.New(func() time.Duration { return time.Since(start) }, log)
	t.Handle(peer.CrashMark, peer.HandleCall(q.handleCrashMark))
	t.HandleNotify(peer.CrashClear, q.handleCrashClear)
	t.Handle(peer.TrialBegin, peer.HandleCall(q.handleTrialBegin))
	t.HandleNotify(peer.TrialEnd, q.handleTrialEnd)
	t.Handle(peer.PartTrial, peer.HandleCall(q.handlePartTrial))
	return q
}

// RecordCrash implements dispatch.Quarantine. It marks the fingerprint on this node
// and on its peers.
func (q *Quarantine) RecordCrash(ctx context.Context, c dispatch.AttemptRef) {
	m := crashMsg{
		Fingerprint: c.Fingerprint, Attempt: string(c.Attempt), Server: c.Server,
		Parts: c.Parts, Crash: blame.NewCrash(c.Server, 0, c.LostAt, minRestartTime), AgeMillis: time.Since(c.LostAt).Milliseconds(),
	}
	n := q.recordCrash(m)
	q.crashes.Inc(1)
	q.log.Log(EvCrash, "fingerprint", c.Fingerprint, "attempt", c.Attempt, "server", c.Server, "crashes", n)
	q.notifyPeers(ctx, m)
}

// notifyPeers sends a crash to all peers. It returns when every peer has answered
// or Config.PropagationTimeout has passed.
func (q *Quarantine) notifyPeers(ctx context.Context, m crashMsg) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), q.cfg.PropagationTimeout)
	defer cancel()
	var work sync.WaitGroup
	for _, p := range q.cfg.Peers() {
		work.Go(func() {
			if _, err := peer.Call[crashReply](ctx, q.transport, p, peer.CrashMark, m); err != nil {
				q.log.Log(EvMarkNotDelivered, "peer", p.ID, "fingerprint", m.Fingerprint, "error", err)
			}
		})
	}
	work.Wait()
}

// recordCrash records a crash and returns the number of crashes of the
// fingerprint.
func (q *Quarantine) recordCrash(m crashMsg) int {
	q.recordPartsCrash(m)
	q.mu.Lock()
	defer q.mu.Unlock()
	q.expireLocked(time.Now())
	known, ok := q.marks[m.Fingerprint]
	if !ok {
		known = &mark{crashes: map[string]string{}}
		q.marks[m.Fingerprint] = known
	}
	known.crashes[m.Attempt] = m.Server
	known.lastCrash = time.Now()
	return len(known.crashes)
}

// crashCount returns the number of crashes of the fingerprint, 0 if its mark has
// expired.
func (q *Quarantine) crashCount(fingerprint uint64) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	m, ok := q.marks[fingerprint]
	if !ok || time.Since(m.lastCrash) > q.cfg.Retention {
		return 0
	}
	return len(m.crashes)
}

// expireLocked removes expired marks, and the oldest one if the number of marks
// has reached Config.MaxMarks.
func (q *Quarantine) expireLocked(now time.Time) {
	var oldest uint64
	var oldestAt time.Time
	for fingerprint, m := range q.marks {
		if now.Sub(m.lastCrash) > q.cfg.Retention {
			delete(q.marks, fingerprint)
			continue
		}
		if oldestAt.IsZero() || m.lastCrash.Before(oldestAt) {
			oldest, oldestAt = fingerprint, m.lastCrash
		}
	}
	if len(q.marks) >= q.cfg.MaxMarks {
		delete(q.marks, oldest)
	}
}

// clearMark removes the mark of a content whose trial ended with a complete
// answer, unless the content has reached maxCrashes.
func (q *Quarantine) clearMark(fingerprint uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if m, ok := q.marks[fingerprint]; ok && len(m.crashes) < maxCrashes {
		delete(q.marks, fingerprint)
	}
}

// clearEverywhere clears the mark of a content whose trial ended with a complete
// answer, on this node and on the peers. The peers do not confirm the message.
func (q *Quarantine) clearEverywhere(fingerprint uint64) {
	q.clearMark(fingerprint)
	for _, p := range q.cfg.Peers() {
		_ = q.transport.Notify(p, peer.CrashClear, clearMsg{Fingerprint: fingerprint})
	}
}

func (q *Quarantine) handleCrashMark(_ context.Context, _ peer.Node, m crashMsg) (crashReply, error) {
	return crashReply{Crashes: q.recordCrash(m)}, nil
}

func (q *Quarantine) handleCrashClear(_ peer.Node, decode func(any) error) {
	var m clearMsg
	if decode(&m) != nil {
		return
	}
	if len(m.Parts) > 0 {
		q.mergeParts(m.Parts)
		return
	}
	q.clearMark(m.Fingerprint)
}

// refusalError returns the error for a content that has reached maxCrashes.
func refusalError(fingerprint uint64) error {
	return fault.New(fault.Exhausted, "quarantine.permit", "",
		"this request crashed %d backend servers and is refused (fingerprint %016x)", maxCrashes, fingerprint)
}

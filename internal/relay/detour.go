package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"buckthornpick/internal/blame"
	"buckthornpick/internal/fault"
	"buckthornpick/internal/membudget"
	"buckthornpick/internal/upstream"
	"buckthornpick/internal/wait"
)

// An entry without a path to any server of a service makes its calls to them by way of
// another entry: a detour. The entry that has the caller chooses the server, has the
// permits, quotas and retries of the request, and counts the call. The other entry only
// sends it, over its own connections, and never by another detour. What a server says of
// itself counts at both.

// DetourCall is a call to a server that an entry makes for another one.
type DetourCall struct {
	Service     string `msgpack:"v"`
	Server      string `msgpack:"s"`
	Incarnation int64  `msgpack:"i,omitempty"`
	AttemptID   string `msgpack:"a"`
	// KeyHash is that of the caller's key; empty if the call needs none.
	KeyHash string        `msgpack:"k,omitempty"`
	Content blame.Content `msgpack:"c"`
	Method  string        `msgpack:"m"`
	URI     string        `msgpack:"u"`
	Host    string        `msgpack:"h"`
	Header  http.Header   `msgpack:"f"`
	Body    []byte        `msgpack:"b,omitempty"`
	// RemainingMillis is the time until the deadline.
	RemainingMillis int64 `msgpack:"r"`
}

// ErrCannotHelp is the cause of an error of ServeDetour if the entry makes no calls for
// others at present. Nothing was sent.
var ErrCannotHelp = errors.New("this entry makes no calls for others")

// ErrNoDetour is the error of Peers.Detour if no other entry can make the call. Nothing was
// sent.
var ErrNoDetour = errors.New("no other entry has a path to servers")

// do sends the request to the server of c, by a detour if this entry has no path to any
// server of the service. lastEventID is that of the event after which a stream goes on;
// empty for its start. Errors are those of upstream.Pool.Do, and ErrNoDetour.
func (q *request) do(ctx context.Context, c *choice, lastEventID string) (*upstream.Response, error) {
	pool := q.relay.Pool
	if pool.HasPath(c.target.Group) {
		resp, err := q.doDirectly(ctx, c, lastEventID)
		isUnreached := err != nil && !upstream.MayHaveBeenSent(err) && !fault.Is(err, fault.Exhausted)
		if !isUnreached || pool.HasPath(c.target.Group) || ctx.Err() != nil {
			return resp, err
		}
	}
	resp, err := q.doByDetour(ctx, c, lastEventID)
	if !errors.Is(err, ErrNoDetour) {
		return resp, err
	}
	switch isReached, isAny := pool.FindPath(ctx, c.target); {
	case isReached:
		return q.doDirectly(ctx, c, lastEventID)
	case isAny:
		return nil, fault.New(fault.Unavailable, "relay.detour", c.target.ID, "no entry reaches it, and this one reaches others")
	}
	return nil, err
}

func (q *request) doDirectly(ctx context.Context, c *choice, lastEventID string) (*upstream.Response, error) {
	return q.relay.Pool.Do(ctx, c.target, q.buildRequest(c, lastEventID, time.Until(q.deadline)))
}

func (q *request) doByDetour(ctx context.Context, c *choice, lastEventID string) (*upstream.Response, error) {
	remaining := time.Until(q.deadline)
	r := q.buildRequest(c, lastEventID, remaining)
	// The body is joined and encoded once more.
	memory := q.relay.Memory.Open(membudget.Bodies, callerHost(q.r), nil)
	defer memory.Close()
	if !memory.Reserve(ctx, 2*int64(r.Body.Len()), answerRoomPatience) {
		return nil, fault.Wrap(membudget.ErrShort, fault.Exhausted, "relay.detour", c.target.ID, "not sent")
	}
	call := DetourCall{
		Service: c.target.Group, Server: c.target.ID, Incarnation: c.target.Incarnation, AttemptID: q.info.AttemptID, Content: q.content,
		Method: r.Method, URI: r.URI, Host: r.Host, Header: r.Header, Body: r.Body.Join(), RemainingMillis: remaining.Milliseconds(),
	}
	if !q.policy.Public {
		call.KeyHash = q.info.KeyHash
	}
	resp, entry, err := q.relay.Peers.Detour(ctx, &call)
	c.via = entry
	return resp, err
}

// ServeDetour makes a call for another entry. The error is fault.Unavailable or
// fault.Exhausted if nothing was sent, with the cause ErrCannotHelp if that holds for calls
// to all servers of the service. The call counts as in progress until the response's body is
// closed.
func (r *Relay) ServeDetour(ctx context.Context, from string, call *DetourCall) (*upstream.Response, error) {
	if reason := r.obstacleToDetour(call); reason != "" {
		return nil, cannotHelp(reason)
	}
	target, ok := r.Balancer.usableTarget(call.Server, call.Incarnation)
	if !ok {
		return nil, fault.New(fault.Unavailable, "relay.detour", call.Server, "the server is unknown, leaves or wants no requests")
	}
	memory := r.Memory.Open(membudget.Bodies, from, nil)
	if !memory.Reserve(ctx, 2*int64(len(call.Body)), 0) { // the frame, and the body decoded from it
		memory.Close()
		return nil, cannotHelp(reasonMemoryShort)
	}
	startedAt := time.Now()
	r.active.Add(1)
	resp, err := r.Pool.Do(ctx, target, &upstream.Request{
		Method: call.Method, URI: call.URI, Host: call.Host, Header: call.Header, Body: upstream.Body{call.Body},
		Matches:         func(_ int, h http.Header) bool { return r.Codec.MatchesAttempt(call.AttemptID, h) },
		OnNewConnection: call.AttemptID == "",
	})
	d := &detour{relay: r, ctx: ctx, from: from, call: call, target: target, startedAt: startedAt, memory: memory}
	if err != nil {
		if !r.Pool.HasPath(call.Service) && !upstream.MayHaveBeenSent(err) {
			err = cannotHelp(reasonNoPath)
		}
		d.end(err)
		return nil, err
	}
	info := r.Codec.InspectResponse(resp.Status, resp.Header)
	r.recordStatements(target, call.AttemptID, resp.Status, &info)
	d.status, d.body = resp.Status, resp.Body
	resp.Body = d
	return resp, nil
}

// AwaitIdle waits until all requests and calls for other entries have ended, or ctx ends.
func (r *Relay) AwaitIdle(ctx context.Context) {
	for r.active.Load() > 0 && wait.For(ctx, idleCheckInterval) {
	}
}

// idleCheckInterval is the interval at which AwaitIdle checks the calls in progress.
const idleCheckInterval = 20 * time.Millisecond

// cannotHelp returns an error with the cause ErrCannotHelp.
func cannotHelp(reason string) error {
	return fmt.Errorf("%w: %w", ErrCannotHelp, fault.New(fault.Unavailable, "relay.detour", "", "%s", reason))
}

// obstacleToDetour returns why this entry makes no calls for others; empty if it does. A
// key that was taken away is refused here too, since this entry may have been frozen with
// the call on its way.
func (r *Relay) obstacleToDetour(call *DetourCall) string {
	doc, age := r.Documents.Current()
	switch {
	case doc == nil:
		return reasonNoDocument
	case r.isDraining():
		return reasonStopping
	case !r.Pool.HasPath(call.Service):
		return reasonNoPath
	case call.KeyHash == "":
		return ""
	case age > r.Limits.MaxDocumentAge:
		return reasonDocumentTooOld
	}
	if _, ok := doc.Organisation(call.KeyHash); !ok {
		return reasonUnknownKey
	}
	return ""
}

// usableTarget returns the server with the ID, unless it has another incarnation, leaves
// or has asked for a pause.
func (b *Balancer) usableTarget(id string, incarnation int64) (upstream.Target, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, ok := b.servers[id]
	if !ok || s.Leaving || s.Incarnation != incarnation || b.clock() < s.pausedUntil {
		return upstream.Target{}, false
	}
	return s.target, true
}

// detour is a call made for another entry, and the body of its response.
type detour struct {
	relay     *Relay
	ctx       context.Context
	from      string
	call      *DetourCall
	target    upstream.Target
	startedAt time.Time
	status    int
	body      io.ReadCloser
	memory    *membudget.Holder
	isEnded   bool
}

// Read implements io.Reader.
func (d *detour) Read(p []byte) (int, error) {
	n, err := d.body.Read(p)
	if err != nil {
		d.end(err)
	}
	return n, err
}

// Close implements io.Closer.
func (d *detour) Close() error {
	d.end(nil)
	return d.body.Close()
}

// end ends the call, once. A broken connection, as opposed to a call that was cancelled, is
// passed to the crash detector, since the other entry cannot probe the server.
func (d *detour) end(err error) {
	if d.isEnded {
		return
	}
	d.isEnded = true
	d.memory.Close()
	d.relay.active.Add(-1)
	text := ""
	if err != nil && err != io.EOF {
		text = err.Error()
		if d.ctx.Err() == nil && upstream.MayHaveBeenSent(err) {
			d.relay.detector.report(d.target, endedRun{content: d.call.Content, attemptID: d.call.AttemptID})
		}
	}
	d.relay.Log.Log(EvDetourEnded, "request", d.call.AttemptID, "from", d.from, "server", d.target.ID, "status", d.status,
		"total_ms", time.Since(d.startedAt).Milliseconds(), "error", text)
}

// recordPathChange logs that the path to all servers of a service was lost or regained.
// Failures until then say nothing about the servers.
func (r *Relay) recordPathChange(service string, isLost bool) {
	r.Balancer.forgetUnreachable(service)
	event := EvPathRegained
	if isLost {
		event = EvPathLost
	}
	r.Log.Log(event, "service", service, "active", r.InFlight())
}

// forgetUnreachable uses servers of a service again that are avoided, most of them because
// they could not be reached.
func (b *Balancer) forgetUnreachable(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.servers {
		if s.Service == service {
			s.health.backoff, s.health.avoidedUntil = 0, 0
		}
	}
	b.updatePickersLocked()
}

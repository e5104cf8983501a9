package entry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"buckthornpick/internal/fault"
	"buckthornpick/internal/gateway"
	"buckthornpick/internal/peer"
	"buckthornpick/internal/request"
)

const (
	// ownerSearchTimeout bounds the search for a request's owner while partitions
	// move between owners.
	ownerSearchTimeout = 15 * time.Second
	// ownerRetryPause is the pause between two attempts.
	ownerRetryPause = 100 * time.Millisecond
	// shortAttachWait is how long a request that is not found is searched for, since
	// a new table of members may not have arrived yet. For handoverPeriod after a
	// new table, while requests are handed over, longAttachWait applies.
	shortAttachWait = 500 * time.Millisecond
	longAttachWait  = 3 * time.Second
	handoverPeriod  = 5 * time.Second
	// localFallbackDelay is how long a repeatable request waits for an unreachable
	// owner before the ingress runs it.
	localFallbackDelay = time.Second
)

// attachWait returns how long a request that is not found is searched for.
func (n *Node) attachWait() time.Duration {
	changed := time.Unix(0, n.tableChangedAt.Load())
	if time.Since(changed) < handoverPeriod {
		return longAttachWait
	}
	return shortAttachWait
}

// GenerateRequestID implements gateway.Node.
func (n *Node) GenerateRequestID() request.ID { return n.minter.mint() }

// Submit implements gateway.Node.
func (n *Node) Submit(ctx context.Context, r *request.Request, pos request.Position) (gateway.Answer, error) {
	r.Zone = n.cfg.Self.Zone
	a := &answerStream{node: n, req: r, id: r.ID, organisation: r.Organisation, after: pos.After, answerName: pos.Answer, info: r.Info()}
	if err := a.connect(ctx); err != nil {
		return nil, err
	}
	return a, nil
}

// Attach implements gateway.Node.
func (n *Node) Attach(ctx context.Context, organisation string, id request.ID, pos request.Position) (gateway.Answer, error) {
	a := &answerStream{node: n, id: id, organisation: organisation, after: pos.After, answerName: pos.Answer}
	if err := a.connect(ctx); err != nil {
		return nil, err
	}
	return a, nil
}

// openSubmit submits a request to its owner and returns the source of its answer. A
// node that has no table yet only runs repeatable requests that no other node can
// have seen.
func (n *Node) openSubmit(ctx context.Context, r *request.Request, received request.Received, after int) (source, request.Info, error) {
	owner, ok := n.ownerOf(r.ID.Partition())
	if !ok && !(r.HasGeneratedKey && r.Repeatable) {
		return nil, request.Info{}, fault.New(fault.Unavailable, "entry.submit", "", "no table of members yet")
	}
	if !ok || owner.ID == n.cfg.Self.ID {
		return n.submitLocally(ctx, r, received, after)
	}
	return n.openRemote(ctx, owner, peer.Submit, submitMsg{Request: r, After: after, Received: received})
}

// ownerOf returns the node that accepts requests of the partition: its owner by the
// table, or the successor if the owner's VM is being reclaimed. The successor cannot
// claim non-repeatable requests before it owns the partition by the table, but it
// has the requests that the owner has handed over, even during a store outage.
func (n *Node) ownerOf(partition int) (peer.Node, bool) {
	owner, ok := n.members.Table().Owner(partition)
	if !ok {
		return peer.Node{}, false
	}
	if _, hasNotice := n.inventory.View().Deadlines[owner.ID]; !hasNotice {
		return nodeOf(owner), true
	}
	successor, ok := n.successors().Owner(partition)
	if !ok {
		return nodeOf(owner), true
	}
	return nodeOf(successor), true
}

// acceptsPartition reports whether this node accepts requests of the partition.
func (n *Node) acceptsPartition(partition int) bool {
	if n.ownership.OwnsPartition(partition) {
		return true
	}
	owner, ok := n.ownerOf(partition)
	return ok && owner.ID == n.cfg.Self.ID
}

// submitLocally starts a request at this node, unless it is found at an earlier owner
// of its partition.
func (n *Node) submitLocally(ctx context.Context, r *request.Request, received request.Received, after int) (source, request.Info, error) {
	if _, ok := n.dispatcher.Find(r.ID); !ok && !r.HasGeneratedKey {
		s, info, ok, isInconclusive := n.openAtEarlierOwner(ctx, attachMsg{Organisation: r.Organisation, ID: r.ID, After: after})
		if ok {
			return s, info, nil
		}
		if ctx.Err() != nil {
			// The search was cut short, and nobody waits for a new run.
			return nil, request.Info{}, fault.Wrap(ctx.Err(), fault.Unavailable, "entry.submit", "", "search for earlier owners")
		}
		received.MayHaveRun = isInconclusive
	}
	rec, err := n.dispatcher.Submit(r, received)
	if err != nil {
		return nil, request.Info{}, submitError(err)
	}
	return localSource{rec.Cursor(after)}, rec.Request.Info(), nil
}

// submitError converts the refusal of a reused idempotency key to an answer.
func submitError(err error) error {
	if !fault.Is(err, fault.Invalid) {
		return err
	}
	return &gateway.EndError{End: request.End{Outcome: request.NotRun, Problem: "idempotency_error",
		Message: fault.Text(err), Status: http.StatusUnprocessableEntity}}
}

// openAttach finds a known request and opens the source of its answer.
func (n *Node) openAttach(ctx context.Context, organisation string, id request.ID, after int) (source, request.Info, error) {
	if s, info, ok := n.attachLocally(organisation, id, after); ok {
		return s, info, nil
	}
	m := attachMsg{Organisation: organisation, ID: id, After: after}
	owner, ok := n.ownerOf(id.Partition())
	if ok && owner.ID != n.cfg.Self.ID {
		return n.openRemote(ctx, owner, peer.Attach, m)
	}
	if s, info, ok, _ := n.openAtEarlierOwner(ctx, m); ok {
		return s, info, nil
	}
	if s, info, ok := n.openAtRecentMember(ctx, m); ok {
		return s, info, nil
	}
	return nil, request.Info{}, fault.New(fault.Invalid, "entry.attach", "", "no such request")
}

// attachLocally opens the answer of a request that this node has a record of.
func (n *Node) attachLocally(organisation string, id request.ID, after int) (source, request.Info, bool) {
	rec, ok := n.dispatcher.Find(id)
	if !ok || rec.Request.Organisation != organisation {
		return nil, request.Info{}, false
	}
	return localSource{rec.Cursor(after)}, rec.Request.Info(), true
}

// openRemote opens a stream to a peer and waits for the Info of the answer.
func (n *Node) openRemote(ctx context.Context, to peer.Node, kind peer.Kind, first any) (source, request.Info, error) {
	stream, err := n.transport.Open(context.WithoutCancel(ctx), to, kind, first)
	if err != nil {
		return nil, request.Info{}, err
	}
	var m answerMsg
	if err := stream.Recv(ctx, &m); err != nil {
		stream.Close()
		return nil, request.Info{}, err
	}
	if m.Info == nil {
		stream.Close()
		return nil, request.Info{}, fault.New(fault.Protocol, "entry.open", to.ID, "answer without info")
	}
	return newRemoteSource(ctx, stream), *m.Info, nil
}

// remoteEnd returns the answer that err carries, if any.
func remoteEnd(err error) (*gateway.EndError, bool) {
	var end *gateway.EndError
	if errors.As(err, &end) {
		return end, true
	}
	return nil, false
}

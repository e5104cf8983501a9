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
	// ownerWait bounds the search for a request's owner while ownership moves.
	ownerWait = 15 * time.Second
	// ownerPause is the time between two tries.
	ownerPause = 100 * time.Millisecond
	// shortAttachWait is how long a request that is not found is looked for,
	// while the table of members may be on its way; longAttachWait is that for
	// movingTime after a new table, while requests are handed over.
	shortAttachWait = 500 * time.Millisecond
	longAttachWait  = 3 * time.Second
	movingTime      = 5 * time.Second
	// localFallback is how long a repeatable request waits for an unreachable
	// owner before this node runs it.
	localFallback = time.Second
)

// attachWait returns how long a request that is not found is looked for.
func (n *Node) attachWait() time.Duration {
	changed := time.Unix(0, n.tableChangedAt.Load())
	if time.Since(changed) < movingTime {
		return longAttachWait
	}
	return shortAttachWait
}

// MintID implements gateway.Node.
func (n *Node) GenerateRequestID() request.ID { return n.minter.mint() }

// Submit implements gateway.Node.
func (n *Node) Submit(ctx context.Context, r *request.Request, pos request.Position) (gateway.Answer, error) {
	r.Zone = n.cfg.Self.Zone
	f := &follower{node: n, req: r, id: r.ID, organisation: r.Organisation, after: pos.After, answer: pos.Answer, info: r.Info()}
	if err := f.connect(ctx); err != nil {
		return nil, err
	}
	return f, nil
}

// Attach implements gateway.Node.
func (n *Node) Attach(ctx context.Context, organisation string, id request.ID, pos request.Position) (gateway.Answer, error) {
	f := &follower{node: n, id: id, organisation: organisation, after: pos.After, answer: pos.Answer}
	if err := f.connect(ctx); err != nil {
		return nil, err
	}
	return f, nil
}

// openSubmit brings a request to its owner and returns the answer's source. A
// node that has no table yet runs only what no other node can know of.
func (n *Node) openSubmit(ctx context.Context, r *request.Request, received request.Received, after int) (source, request.Info, error) {
	owner, ok := n.ownerOf(r.ID.Partition())
	if !ok && !(r.HasGeneratedKey && r.Repeatable) {
		return nil, request.Info{}, fault.New(fault.Unavailable, "entry.submit", "", "no table of members yet")
	}
	if !ok || owner.ID == n.cfg.Self.ID {
		return n.submitHere(ctx, r, received, after)
	}
	return n.openRemote(ctx, owner, peer.Submit, submitMsg{Request: r, After: after, Received: received})
}

// ownerOf returns the node that takes requests of the partition: its owner by
// the table, or the heir of an owner whose VM is being taken back. The heir
// cannot claim non-repeatable requests before the table says so, but it has
// what the owner has handed over, also while the store is away.
func (n *Node) ownerOf(partition int) (peer.Node, bool) {
	owner, ok := n.members.Table().Owner(partition)
	if !ok {
		return peer.Node{}, false
	}
	if _, isNoticed := n.inventory.View().Deadlines[owner.ID]; !isNoticed {
		return nodeOf(owner), true
	}
	heir, ok := n.heirs().Owner(partition)
	if !ok {
		return nodeOf(owner), true
	}
	return nodeOf(heir), true
}

// takes reports whether this node takes requests of the partition.
func (n *Node) takes(partition int) bool {
	if n.own.OwnsPartition(partition) {
		return true
	}
	owner, ok := n.ownerOf(partition)
	return ok && owner.ID == n.cfg.Self.ID
}

// submitHere starts a request at this node, unless a node that owned it before
// still has it.
func (n *Node) submitHere(ctx context.Context, r *request.Request, received request.Received, after int) (source, request.Info, error) {
	if _, ok := n.owner.Find(r.ID); !ok && !r.HasGeneratedKey {
		s, info, ok, isUnsure := n.openAtEarlierOwner(ctx, attachMsg{Organisation: r.Organisation, ID: r.ID, After: after})
		if ok {
			return s, info, nil
		}
		received.MayHaveRun = isUnsure
	}
	rec, err := n.owner.Submit(r, received)
	if err != nil {
		return nil, request.Info{}, submitError(err)
	}
	return localSource{rec.Cursor(after)}, rec.Request.Info(), nil
}

// submitError turns a refused idempotency key into an answer.
func submitError(err error) error {
	if !fault.Is(err, fault.Invalid) {
		return err
	}
	return &gateway.EndError{End: request.End{Outcome: request.NotRun, Problem: "idempotency_error",
		Message: fault.Text(err), Status: http.StatusUnprocessableEntity}}
}

// openAttach finds the answer of a known request.
func (n *Node) openAttach(ctx context.Context, organisation string, id request.ID, after int) (source, request.Info, error) {
	if s, info, ok := n.attachHere(organisation, id, after); ok {
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
	if s, info, ok := n.openAtNewcomer(ctx, m); ok {
		return s, info, nil
	}
	return nil, request.Info{}, fault.New(fault.Invalid, "entry.attach", "", "no such request")
}

func (n *Node) attachHere(organisation string, id request.ID, after int) (source, request.Info, bool) {
	rec, ok := n.owner.Find(id)
	if !ok || rec.Request.Organisation != organisation {
		return nil, request.Info{}, false
	}
	return localSource{rec.Cursor(after)}, rec.Request.Info(), true
}

// openRemote opens a stream to a peer and waits for the answer's Info.
func (n *Node) openRemote(ctx context.Context, to peer.Node, kind peer.Kind, first any) (source, request.Info, error) {
	stream, err := n.transport.Open(context.WithoutCancel(ctx), to, kind, first)
	if err != nil {
		return nil, request.Info{}, err
	}
	var m stepMsg
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

// remoteEnd returns the answer that a peer's handler gave as an error.
func remoteEnd(err error) (*gateway.EndError, bool) {
	var end *gateway.EndError
	if errors.As(err, &end) {
		return end, true
	}
	return nil, false
}

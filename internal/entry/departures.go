package entry

import (
	"context"
	"time"

	"buckthornpick/internal/fault"
	"buckthornpick/internal/member"
	"buckthornpick/internal/peer"
	"buckthornpick/internal/wait"
)

const (
	// departBatchDelay is how long requests are collected into one change.
	departBatchDelay = 20 * time.Millisecond
	// departTimeout bounds one change of the table, and the call that requests it.
	departTimeout = 700 * time.Millisecond
	// maxQueuedDepartures bounds the queued requests.
	maxQueuedDepartures = 1024
)

// departMsg asks a node to remove its sender from the table, or to record in the
// table that the sender has handed over all its requests.
type departMsg struct {
	Incarnation  int64 `msgpack:"n"`
	IsHandedOver bool  `msgpack:"h,omitempty"`
}

// departReply confirms that the table was changed.
type departReply struct{}

// departureRequest is a queued departMsg; done receives its result.
type departureRequest struct {
	member       member.Member
	isHandedOver bool
	done         chan error
}

// departureBatcher removes members from the table at their request, many in one
// change: if all nodes of a reclaimed zone changed the table themselves, their
// transactions would conflict on its key.
type departureBatcher struct {
	members *member.Membership
	queue   chan departureRequest
}

func newDepartureBatcher(m *member.Membership) *departureBatcher {
	return &departureBatcher{members: m, queue: make(chan departureRequest, maxQueuedDepartures)}
}

// Run applies the requested changes until ctx ends. It always returns nil.
func (d *departureBatcher) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case first := <-d.queue:
			wait.For(ctx, departBatchDelay)
			d.applyBatch(ctx, d.collectBatch(first))
		}
	}
}

// collectBatch returns first and the requests that are queued after it.
func (d *departureBatcher) collectBatch(first departureRequest) []departureRequest {
	batch := []departureRequest{first}
	for len(batch) < maxQueuedDepartures {
		select {
		case next := <-d.queue:
			batch = append(batch, next)
		default:
			return batch
		}
	}
	return batch
}

// applyBatch changes the table for a batch: one change removes members, another records
// completed handovers.
func (d *departureBatcher) applyBatch(ctx context.Context, batch []departureRequest) {
	ctx, cancel := context.WithTimeout(ctx, departTimeout)
	defer cancel()
	d.applyChange(ctx, batch, false, d.members.RemoveLeaving)
	d.applyChange(ctx, batch, true, d.members.CloseGaps)
}

// applyChange makes one of the two kinds of change, by calling apply, for the
// requests of the batch that ask for it, and delivers its result to them.
func (d *departureBatcher) applyChange(ctx context.Context, batch []departureRequest, isHandedOver bool, apply func(context.Context, []member.Member) error) {
	var members []member.Member
	for _, r := range batch {
		if r.isHandedOver == isHandedOver {
			members = append(members, r.member)
		}
	}
	if len(members) == 0 {
		return
	}
	err := apply(ctx, members)
	for _, r := range batch {
		if r.isHandedOver == isHandedOver {
			r.done <- err
		}
	}
}

// serve handles peer.Depart. A node can only request its own departure.
func (d *departureBatcher) serve(ctx context.Context, from peer.Node, m departMsg) (departReply, error) {
	r := departureRequest{member: member.Member{ID: from.ID, Incarnation: m.Incarnation},
		isHandedOver: m.IsHandedOver, done: make(chan error, 1)}
	select {
	case d.queue <- r:
	default:
		return departReply{}, fault.New(fault.Exhausted, "entry.depart", from.ID, "too many departures wait")
	}
	select {
	case err := <-r.done:
		return departReply{}, err
	case <-ctx.Done():
		return departReply{}, ctx.Err()
	}
}

// requestDeparture asks the first member that is not leaving to change the table for
// this node. It reports whether the change was made; if not, the caller makes it.
func (n *Node) requestDeparture(ctx context.Context, m departMsg) bool {
	remaining := n.successors().Members
	if len(remaining) == 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, departTimeout)
	defer cancel()
	_, err := peer.Call[departReply](ctx, n.transport, nodeOf(remaining[0]), peer.Depart, m)
	if err != nil {
		n.log.Log(EvDepartFailed, "peer", remaining[0].ID, "error", err)
	}
	return err == nil
}

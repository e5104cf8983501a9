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
	// departBatchDelay is how long requests are gathered for one change.
	departBatchDelay = 20 * time.Millisecond
	// departTimeout bounds one change and the wait of those who asked for it.
	departTimeout = 700 * time.Millisecond
	// maxQueuedDepartures bounds the requests that wait.
	maxQueuedDepartures = 1024
)

// departMsg asks a node to take its sender out of the table, or to note there
// that the sender has handed everything over.
type departMsg struct {
	Incarnation  int64 `msgpack:"n"`
	IsHandedOver bool  `msgpack:"h,omitempty"`
}

// departReply confirms that the table says so.
type departReply struct{}

// departure is one request that waits; done takes one result.
type departureRequest struct {
	member       member.Member
	isHandedOver bool
	done         chan error
}

// departures takes members that ask for it out of the table, many in one
// change: if each of a wave's nodes made its own change, they would race for
// the table's key.
type departureBatcher struct {
	members *member.Membership
	queue   chan departureRequest
}

func newDepartureBatcher(m *member.Membership) *departureBatcher {
	return &departureBatcher{members: m, queue: make(chan departureRequest, maxQueuedDepartures)}
}

// Run makes the changes until ctx ends.
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

func (d *departureBatcher) applyBatch(ctx context.Context, batch []departureRequest) {
	ctx, cancel := context.WithTimeout(ctx, departTimeout)
	defer cancel()
	d.applyChange(ctx, batch, false, d.members.RemoveLeaving)
	d.applyChange(ctx, batch, true, d.members.HandedOver)
}

// change makes one of the two changes for those of the batch that ask for it.
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

// serve handles peer.Depart. The sender speaks for itself only.
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

// requestDeparture asks the first member that stays to make the change. After a
// failure the node makes it itself.
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

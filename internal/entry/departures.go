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
	// departGather is how long requests are gathered for one change.
	departGather = 20 * time.Millisecond
	// departTimeout bounds one change and the wait of those who asked for it.
	departTimeout = 700 * time.Millisecond
	// maxDepartures bounds the requests that wait.
	maxDepartures = 1024
)

// departMsg asks a node to take its sender out of the table.
type departMsg struct {
	Incarnation int64 `msgpack:"n"`
}

// departReply confirms that the sender is out of the table.
type departReply struct{}

// departure is one request that waits; done takes one result.
type departure struct {
	member member.Member
	done   chan error
}

// departures takes members that ask for it out of the table, many in one
// change: if each of a wave's nodes made its own change, they would race for
// the table's key.
type departures struct {
	members *member.Membership
	queue   chan departure
}

func newDepartures(m *member.Membership) *departures {
	return &departures{members: m, queue: make(chan departure, maxDepartures)}
}

// Run makes the changes until ctx ends.
func (d *departures) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case first := <-d.queue:
			wait.For(ctx, departGather)
			d.remove(ctx, d.gather(first))
		}
	}
}

func (d *departures) gather(first departure) []departure {
	batch := []departure{first}
	for len(batch) < maxDepartures {
		select {
		case next := <-d.queue:
			batch = append(batch, next)
		default:
			return batch
		}
	}
	return batch
}

func (d *departures) remove(ctx context.Context, batch []departure) {
	ctx, cancel := context.WithTimeout(ctx, departTimeout)
	defer cancel()
	var leaving []member.Member
	for _, one := range batch {
		leaving = append(leaving, one.member)
	}
	err := d.members.RemoveLeaving(ctx, leaving)
	for _, one := range batch {
		one.done <- err
	}
}

// serve handles peer.Depart. The sender speaks for itself only.
func (d *departures) serve(ctx context.Context, from peer.Node, m departMsg) (departReply, error) {
	one := departure{member: member.Member{ID: from.ID, Incarnation: m.Incarnation}, done: make(chan error, 1)}
	select {
	case d.queue <- one:
	default:
		return departReply{}, fault.New(fault.Exhausted, "entry.depart", from.ID, "too many departures wait")
	}
	select {
	case err := <-one.done:
		return departReply{}, err
	case <-ctx.Done():
		return departReply{}, ctx.Err()
	}
}

// askToDepart asks the first member that stays to take this node out of the
// table. After a failure the node leaves by a change of its own.
func (n *Node) askToDepart(ctx context.Context) {
	stay := n.heirs().Members
	if len(stay) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, departTimeout)
	defer cancel()
	_, err := peer.Call[departReply](ctx, n.transport, nodeOf(stay[0]), peer.Depart,
		departMsg{Incarnation: n.members.Incarnation()})
	if err != nil {
		n.log.Log(EvDepartFailed, "peer", stay[0].ID, "error", err)
	}
}

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

// departMsg asks a node to take its sender out of the table, or to note there
// that the sender has handed everything over.
type departMsg struct {
	Incarnation  int64 `msgpack:"n"`
	IsHandedOver bool  `msgpack:"h,omitempty"`
}

// departReply confirms that the table says so.
type departReply struct{}

// departure is one request that waits; done takes one result.
type departure struct {
	member       member.Member
	isHandedOver bool
	done         chan error
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
	d.change(ctx, batch, false, d.members.RemoveLeaving)
	d.change(ctx, batch, true, d.members.CloseGaps)
}

// change makes one of the two changes for those of the batch that ask for it.
func (d *departures) change(ctx context.Context, batch []departure, isHandedOver bool, f func(context.Context, []member.Member) error) {
	var members []member.Member
	for _, one := range batch {
		if one.isHandedOver == isHandedOver {
			members = append(members, one.member)
		}
	}
	if len(members) == 0 {
		return
	}
	err := f(ctx, members)
	for _, one := range batch {
		if one.isHandedOver == isHandedOver {
			one.done <- err
		}
	}
}

// serve handles peer.Depart. The sender speaks for itself only.
func (d *departures) serve(ctx context.Context, from peer.Node, m departMsg) (departReply, error) {
	one := departure{member: member.Member{ID: from.ID, Incarnation: m.Incarnation},
		isHandedOver: m.IsHandedOver, done: make(chan error, 1)}
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

// askToDepart asks the first member that stays to make the change. After a
// failure the node makes it itself.
func (n *Node) askToDepart(ctx context.Context, m departMsg) bool {
	stay := n.heirs().Members
	if len(stay) == 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, departTimeout)
	defer cancel()
	_, err := peer.Call[departReply](ctx, n.transport, nodeOf(stay[0]), peer.Depart, m)
	if err != nil {
		n.log.Log(EvDepartFailed, "peer", stay[0].ID, "error", err)
	}
	return err == nil
}

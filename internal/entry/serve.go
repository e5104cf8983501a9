package entry

import (
	"context"

	"buckthornpick/internal/dispatch"
	"buckthornpick/internal/fault"
	"buckthornpick/internal/peer"
	"buckthornpick/internal/request"
)

// handlePeers registers the handlers of the inner protocol.
func (n *Node) handlePeers() {
	n.transport.Handle(peer.Submit, n.serveSubmit)
	n.transport.Handle(peer.Attach, n.serveAttach)
	n.transport.Handle(peer.Locate, peer.HandleCall(n.serveLocate))
	n.transport.Handle(peer.Transfer, n.serveTransfer)
	n.transport.Handle(peer.Depart, peer.HandleCall(n.departures.serve))
	n.transport.Handle(peer.DemandPull, peer.HandleCall(n.serveDemand))
}

// serveSubmit takes a request that this node owns.
func (n *Node) serveSubmit(ctx context.Context, from peer.Node, s *peer.Stream) error {
	var m submitMsg
	if err := s.DecodeOpening(&m); err != nil {
		return err
	}
	if m.Request == nil || !m.Request.ID.Valid() {
		return fault.New(fault.Protocol, "entry.submit", from.ID, "submission without a valid request")
	}
	if _, isKnown := n.owner.Find(m.Request.ID); !isKnown && !n.takes(m.Request.ID.Partition()) {
		return fault.New(fault.Conflict, "entry.submit", n.cfg.Self.ID, "this node does not own partition %d",
			m.Request.ID.Partition())
	}
	src, info, err := n.submitHere(ctx, m.Request, m.Received, m.After)
	if err != nil {
		return remoteSubmitError(err)
	}
	return n.relay(ctx, s, src, info)
}

// remoteSubmitError keeps the fault type of a refusal, which crosses the wire.
func remoteSubmitError(err error) error {
	if end, ok := remoteEnd(err); ok {
		return fault.New(fault.Invalid, "entry.submit", "", "%s", end.End.Message)
	}
	return err
}

// serveAttach delivers the answer of a request that this node owns or has.
func (n *Node) serveAttach(ctx context.Context, _ peer.Node, s *peer.Stream) error {
	var m attachMsg
	if err := s.DecodeOpening(&m); err != nil {
		return err
	}
	src, info, ok := n.attachHere(m.Organisation, m.ID, m.After)
	if ok {
		return n.relay(ctx, s, src, info)
	}
	if m.IsLocal || !n.takes(m.ID.Partition()) {
		return fault.New(fault.Invalid, "entry.attach", n.cfg.Self.ID, "no such request")
	}
	src, info, err := n.openAttach(ctx, m.Organisation, m.ID, m.After)
	if err != nil {
		return err
	}
	return n.relay(ctx, s, src, info)
}

// relayBatch bounds the events of one message.
const relayBatch = 32

// relay sends an answer to a peer until its end. Events that are there already
// share a message.
func (n *Node) relay(ctx context.Context, s *peer.Stream, src source, info request.Info) error {
	defer src.close()
	if err := s.Send(ctx, stepMsg{Info: &info}); err != nil {
		return err
	}
	for {
		m, err := collectSteps(ctx, src)
		if err != nil {
			return err
		}
		if err := s.Send(ctx, m); err != nil {
			return err
		}
		if m.End != nil || m.HandedOver {
			return nil
		}
	}
}

// collectSteps waits for one step and adds those that are ready.
func collectSteps(ctx context.Context, src source) (stepMsg, error) {
	var m stepMsg
	for {
		step, err := src.next(ctx)
		if err != nil {
			return m, err
		}
		m.Head = firstNonNil(m.Head, step.Head)
		m.End = step.End
		m.HandedOver = step.HandedOver
		if step.Event != nil {
			m.Events = append(m.Events, *step.Event)
		}
		if m.End != nil || m.HandedOver || len(m.Events) >= relayBatch || !src.ready() {
			return m, nil
		}
	}
}

func firstNonNil(a, b *request.Head) *request.Head {
	if a != nil {
		return a
	}
	return b
}

// serveTransfer adopts the requests of a leaving node.
func (n *Node) serveTransfer(ctx context.Context, from peer.Node, s *peer.Stream) error {
	var m transferMsg
	if err := s.DecodeOpening(&m); err != nil {
		return err
	}
	if n.drain.isReclaimed() {
		return fault.New(fault.Unavailable, "entry.transfer", n.cfg.Self.ID, "this node is leaving too")
	}
	reply := transferReply{}
	for _, t := range m.Transfers {
		if err := n.adopt(t); err != nil {
			n.log.Log(EvTransferRefused, "peer", from.ID, "request", t.Request.ID, "error", err)
			continue
		}
		reply.Adopted++
	}
	return s.Send(ctx, reply)
}

func (n *Node) adopt(t dispatch.Transfer) error {
	if t.Request == nil || !t.Request.ID.Valid() {
		return fault.New(fault.Protocol, "entry.transfer", "", "transfer without a valid request")
	}
	return n.owner.Adopt(t)
}
